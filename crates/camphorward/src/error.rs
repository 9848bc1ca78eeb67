//! Errors of the commands.

use crate::exit::Exit;
use clients::error::ClientError;
use protocol::ids::{ConfigVersion, HostName, LogOffset, RequestId};
use serde::Serialize;
use settings::problem::{Problem, Report};
use std::net::SocketAddr;
use thiserror::Error;

/// The error of a command.
#[derive(Debug, Error)]
pub enum CommandError {
    /// A file cannot be read.
    #[error("cannot read {file}: {reason}")]
    File {
        /// The file as given on the command line.
        file: String,
        /// The operating system's error message.
        reason: String,
    },
    /// A text is invalid.
    #[error("{}", list_problems(file, report))]
    InvalidText {
        /// The file as given on the command line.
        file: String,
        /// The problems.
        report: Report,
    },
    /// A configuration cannot be decoded.
    #[error("{file}: {reason}")]
    MalformedConfiguration {
        /// The file as given on the command line.
        file: String,
        /// What is malformed, with its place.
        reason: String,
    },
    /// A configuration has errors, which the report lists.
    #[error("{file}: errors in the configuration: {errors}")]
    InvalidConfiguration {
        /// The file as given on the command line.
        file: String,
        /// The number of errors.
        errors: usize,
    },
    /// The platform's store cannot be read.
    #[error("cannot read the configuration in force from the store at {address}: {reason}")]
    Store {
        /// The store.
        address: SocketAddr,
        /// Why.
        reason: String,
    },
    /// An option or argument is missing or invalid.
    #[error("{0}")]
    Usage(String),
    /// Another configuration was accepted first.
    #[error("{}", describe_conflict(conflict))]
    Conflict {
        /// The configuration in force.
        conflict: Conflict,
    },
    /// The log does not answer.
    #[error("the log does not answer: {0}")]
    Log(ClientError),
    /// An append was sent, but the record was not found in the log afterwards.
    #[error(
        "it is not known whether the log stored the record; look for publication \
         {publication_id} in `camphorward history`"
    )]
    AppendUnconfirmed {
        /// The unique id of the publication.
        publication_id: String,
    },
    /// No entry host answers.
    #[error("no entry host answers: {0}")]
    Nodes(String),
    /// The target entry host of a command does not answer.
    #[error("{host} does not answer: {reason}")]
    Node {
        /// The entry host.
        host: HostName,
        /// The reason.
        reason: String,
    },
    /// No reachable entry host has a record of a request, and some entry hosts are unreachable.
    #[error(
        "no reachable entry host has a record of request {request}; no answer from {unreachable}"
    )]
    NotFoundOnReachable {
        /// The request.
        request: RequestId,
        /// The entry hosts that do not answer, with the reasons.
        unreachable: String,
    },
    /// Some reachable entry hosts do not have the configuration in force yet.
    #[error("version {version} is accepted but not yet in force on {}", hosts.join(", "))]
    Lagging {
        /// The version.
        version: ConfigVersion,
        /// The entry hosts.
        hosts: Vec<String>,
    },
    /// The log or an entry host refused the request.
    #[error("refused: {0}")]
    Refused(String),
    /// The version or request does not exist.
    #[error("{0}")]
    NotFound(String),
}

/// The configuration that is in force in place of a publication.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Conflict {
    /// The version that the publication is based on.
    pub base: ConfigVersion,
    /// The version in force.
    pub in_force: ConfigVersion,
    /// The publication that set the version in force, if known.
    pub publication_id: Option<String>,
    /// The offset of that publication in the log, if known.
    pub offset: Option<LogOffset>,
}

impl CommandError {
    /// Returns the exit code.
    pub fn exit(&self) -> Exit {
        match self {
            Self::File { .. }
            | Self::InvalidText { .. }
            | Self::MalformedConfiguration { .. }
            | Self::InvalidConfiguration { .. }
            | Self::Usage(_) => Exit::InvalidInput,
            Self::Conflict { .. } => Exit::Conflict,
            Self::Log(_)
            | Self::Store { .. }
            | Self::AppendUnconfirmed { .. }
            | Self::Nodes(_)
            | Self::Node { .. }
            | Self::NotFoundOnReachable { .. }
            | Self::Lagging { .. } => Exit::Unreachable,
            Self::Refused(_) | Self::NotFound(_) => Exit::Refused,
        }
    }

    /// Returns the problems of an invalid text; empty for other errors.
    pub fn problems(&self) -> &[Problem] {
        match self {
            Self::InvalidText { report, .. } => &report.problems,
            _ => &[],
        }
    }

    /// Returns the configuration that is in force in place of a publication, for a conflict.
    pub fn conflict(&self) -> Option<&Conflict> {
        match self {
            Self::Conflict { conflict } => Some(conflict),
            _ => None,
        }
    }

    /// Converts the error of a call to the log.
    pub fn from_log(error: ClientError) -> Self {
        match error {
            ClientError::Refused { status, body } if status < 500 => {
                Self::Refused(format!("the log answered {status} {body}"))
            }
            other => Self::Log(other),
        }
    }
}

fn list_problems(file: &str, report: &Report) -> String {
    let count = report.problems.len();
    let noun = if count == 1 { "problem" } else { "problems" };
    let lines: Vec<String> = report.problems.iter().map(|problem| format!("  {problem}")).collect();
    format!("{file} has {count} {noun}:\n{}", lines.join("\n"))
}

fn describe_conflict(conflict: &Conflict) -> String {
    let Conflict { base, in_force, publication_id, offset } = conflict;
    let source = match (publication_id, offset) {
        (Some(id), Some(offset)) => format!(" (publication {id} at offset {offset})"),
        _ => String::new(),
    };
    let advice = format!("see `camphorward show`, then publish with --base {in_force}");
    format!("version {in_force}{source} is in force, not version {base}; {advice}")
}
