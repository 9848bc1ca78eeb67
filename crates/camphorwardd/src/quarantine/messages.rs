//! Messages on suspects between entry hosts.

use admission::quarantine::{QuarantineStatus, StartedAttempt};
use protocol::ids::{AttemptId, HostName, Incarnation};
use protocol::message::suspect::{
    IsolateAnswer, IsolateRelease, IsolateRequest, SuspectDigest, SuspectReport,
};
use serde::{Deserialize, Serialize};

/// The peers' path for messages on suspects.
pub(crate) const SUSPECT_PATH: &str = "/inner/suspect";

/// An attempt and its entry host.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct AttemptMessage {
    pub(crate) report: SuspectReport,
    pub(crate) attempt_id: AttemptId,
    pub(crate) entry: HostName,
}

impl From<StartedAttempt> for AttemptMessage {
    fn from(attempt: StartedAttempt) -> Self {
        let report = SuspectReport {
            digest: attempt.digest,
            organisation: attempt.organisation,
            service: attempt.service,
            server: attempt.server,
            incarnation: attempt.incarnation,
            on_probation: attempt.on_probation,
        };
        Self { report, attempt_id: attempt.attempt_id, entry: attempt.entry }
    }
}

impl From<AttemptMessage> for StartedAttempt {
    fn from(message: AttemptMessage) -> Self {
        let report = message.report;
        Self {
            digest: report.digest,
            organisation: report.organisation,
            service: report.service,
            attempt_id: message.attempt_id,
            entry: message.entry,
            server: report.server,
            incarnation: report.incarnation,
            on_probation: report.on_probation,
        }
    }
}

/// A message on suspects between entry hosts.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum SuspectMessage {
    /// Queries a home for how a request may run.
    #[serde(rename = "ask")]
    Query {
        /// The request.
        digest: SuspectDigest,
        /// The servers that failed this request.
        failed: Vec<HostName>,
    },
    /// Reports the start of an attempt to the host that tracks it.
    Started(AttemptMessage),
    /// Reports the end of an attempt, other than by a broken connection, to the host that tracks
    /// it.
    Finished {
        /// The request.
        digest: SuspectDigest,
        /// The attempt.
        attempt_id: AttemptId,
        /// Whether the answer was complete.
        completed: bool,
    },
    /// Reports to the homes that the connection of an attempt broke.
    #[serde(rename = "broke_off")]
    Aborted(AttemptMessage),
    /// Reports to the homes that a server is alive although a connection to it broke.
    #[serde(rename = "server_lives")]
    ServerAlive {
        /// The server.
        server: HostName,
        /// The incarnation that is alive.
        incarnation: Incarnation,
    },
    /// Reports to the homes that a server crashed while running a request.
    Report(SuspectReport),
    /// Reports to the homes that a suspect ran to completion.
    Cleared(SuspectDigest),
    /// Requests a server for a suspect from the service's home.
    Isolate(IsolateRequest),
    /// Reports to the service's home that an isolated attempt ended.
    Release(IsolateRelease),
}

/// The reply to a [`SuspectMessage`].
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum SuspectReply {
    /// The message was applied.
    #[serde(rename = "noted")]
    Accepted,
    /// How the request may run.
    #[serde(rename = "standing")]
    Status(StatusMessage),
    /// Where the suspect may run.
    Isolation(IsolateAnswer),
}

/// A [`QuarantineStatus`] as sent between hosts.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum StatusMessage {
    /// Without constraints.
    Clear,
    /// Only on the server that is running the same content.
    Pinned(HostName),
    /// Isolated from other suspects.
    Suspect,
    /// Not determined yet; the delay before the next query, in milliseconds.
    Undecided(u64),
    /// Refused; the delay before the caller may retry, in seconds.
    Refused(Option<u32>),
}

impl From<QuarantineStatus> for StatusMessage {
    fn from(status: QuarantineStatus) -> Self {
        match status {
            QuarantineStatus::Clear => Self::Clear,
            QuarantineStatus::Pinned { server } => Self::Pinned(server),
            QuarantineStatus::Suspect => Self::Suspect,
            QuarantineStatus::Undecided { wait_ms } => Self::Undecided(wait_ms),
            QuarantineStatus::Refused(refusal) => Self::Refused(refusal.retry_after_s),
        }
    }
}
