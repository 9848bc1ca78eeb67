//! What can go wrong in a command.

use crate::exit::Exit;
use clients::error::ClientError;
use protocol::ids::{ConfigVersion, HostName, LogOffset, RequestId};
use serde::Serialize;
use settings::problem::{Problem, Report};
use thiserror::Error;

/// Tells the ways in which a command can fail.
#[derive(Debug, Error)]
pub enum CommandError {
    /// A file cannot be read.
    #[error("cannot read {file}: {reason}")]
    File {
        /// The file as named by the operator.
        file: String,
        /// The fault of the operating system.
        reason: String,
    },
    /// A text does not pass its check.
    #[error("{}", list_problems(file, report))]
    InvalidText {
        /// The file as named by the operator.
        file: String,
        /// The problems.
        report: Report,
    },
    /// An option or argument is missing or wrong.
    #[error("{0}")]
    Usage(String),
    /// Another configuration was accepted first.
    #[error("{}", describe_conflict(conflict))]
    Conflict {
        /// What is in force.
        conflict: Conflict,
    },
    /// The log does not answer.
    #[error("the log does not answer: {0}")]
    Log(ClientError),
    /// An append was sent and the record was not seen since.
    #[error(
        "it is not known whether the log took the record; look for publication {publication_id} \
         in `camphorward history`"
    )]
    AppendUnknown {
        /// What tells the record apart.
        publication_id: String,
    },
    /// No entry host answers.
    #[error("no entry host answers: {0}")]
    Nodes(String),
    /// The entry host that a command is for does not answer.
    #[error("{host} does not answer: {reason}")]
    Node {
        /// The entry host.
        host: HostName,
        /// What went wrong.
        reason: String,
    },
    /// The entry hosts that answer do not remember a request; others do not answer.
    #[error(
        "the entry hosts that answer do not remember request {request}; without an answer: {silent}"
    )]
    NotFoundYet {
        /// The request.
        request: RequestId,
        /// The entry hosts that do not answer, with the reasons.
        silent: String,
    },
    /// Some reachable entry hosts do not have the configuration in force yet.
    #[error("version {version} is accepted but not yet in force on {}", hosts.join(", "))]
    Lagging {
        /// The version.
        version: ConfigVersion,
        /// The entry hosts.
        hosts: Vec<String>,
    },
    /// The log or an entry host refused.
    #[error("refused: {0}")]
    Refused(String),
    /// There is nothing of that name.
    #[error("{0}")]
    NotThere(String),
}

/// Describes what is in force in place of a publication.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Conflict {
    /// The version that the publication started from.
    pub base: ConfigVersion,
    /// The version in force.
    pub in_force: ConfigVersion,
    /// The publication that made it.
    pub publication_id: Option<String>,
    /// Where that stands in the log.
    pub offset: Option<LogOffset>,
}

impl CommandError {
    /// Returns the exit code.
    pub fn exit(&self) -> Exit {
        match self {
            Self::File { .. } | Self::InvalidText { .. } | Self::Usage(_) => Exit::InputWrong,
            Self::Conflict { .. } => Exit::Conflict,
            Self::Log(_)
            | Self::AppendUnknown { .. }
            | Self::Nodes(_)
            | Self::Node { .. }
            | Self::NotFoundYet { .. }
            | Self::Lagging { .. } => Exit::Unreachable,
            Self::Refused(_) | Self::NotThere(_) => Exit::Refused,
        }
    }

    /// Returns the problems of a text.
    pub fn problems(&self) -> &[Problem] {
        match self {
            Self::InvalidText { report, .. } => &report.problems,
            _ => &[],
        }
    }

    /// Returns what is in force in place of a publication.
    pub fn conflict(&self) -> Option<&Conflict> {
        match self {
            Self::Conflict { conflict } => Some(conflict),
            _ => None,
        }
    }

    /// Sorts a failed call to the log.
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
    let lines: Vec<String> = report.problems.iter().map(|one| format!("  {one}")).collect();
    format!("{file} has {count} {noun}:\n{}", lines.join("\n"))
}

fn describe_conflict(conflict: &Conflict) -> String {
    let Conflict { base, in_force, publication_id, offset } = conflict;
    let by = match (publication_id, offset) {
        (Some(id), Some(offset)) => format!(" (publication {id} at offset {offset})"),
        _ => String::new(),
    };
    let advice = format!("look at `camphorward show`, then publish with --base {in_force}");
    format!("version {in_force}{by} is in force, not version {base}; {advice}")
}
