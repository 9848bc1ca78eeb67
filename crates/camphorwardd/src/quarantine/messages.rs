//! Messages on suspects between entry hosts.

use admission::quarantine::{QuarantineStatus, StartedAttempt};
use protocol::ids::{AttemptId, HostName, Incarnation};
use protocol::message::suspect::{
    IsolateAnswer, IsolateRelease, IsolateRequest, SuspectDigest, SuspectReport,
};
use serde::{Deserialize, Serialize};

/// The peers' path for messages on suspects.
pub(crate) const SUSPECT_PATH: &str = "/inner/suspect";

/// Describes an attempt that is being sent, with its entry host.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct RunNote {
    pub(crate) report: SuspectReport,
    pub(crate) attempt_id: AttemptId,
    pub(crate) entry: HostName,
}

impl From<StartedAttempt> for RunNote {
    fn from(run: StartedAttempt) -> Self {
        let report = SuspectReport {
            digest: run.digest,
            organisation: run.organisation,
            service: run.service,
            server: run.server,
            incarnation: run.incarnation,
            on_probation: run.on_probation,
        };
        Self { report, attempt_id: run.attempt_id, entry: run.entry }
    }
}

impl From<RunNote> for StartedAttempt {
    fn from(note: RunNote) -> Self {
        let report = note.report;
        Self {
            digest: report.digest,
            organisation: report.organisation,
            service: report.service,
            attempt_id: note.attempt_id,
            entry: note.entry,
            server: report.server,
            incarnation: report.incarnation,
            on_probation: report.on_probation,
        }
    }
}

/// Holds one message on suspects.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum SuspectMessage {
    /// Asks a home how a request may run.
    Ask {
        /// The request.
        digest: SuspectDigest,
        /// The servers that failed this request.
        failed: Vec<HostName>,
    },
    /// Tells the follower of a run that it started.
    Started(RunNote),
    /// Tells the follower of a run that it ended other than by a broken connection.
    Finished {
        /// The request.
        digest: SuspectDigest,
        /// The attempt.
        attempt_id: AttemptId,
        /// Whether the answer was whole.
        completed: bool,
    },
    /// Tells the homes that the connection to a run broke.
    BrokeOff(RunNote),
    /// Tells the homes that a server lives on to which a connection broke.
    ServerLives {
        /// The server.
        server: HostName,
        /// The incarnation that lives.
        incarnation: Incarnation,
    },
    /// Tells the homes that a server died while a request ran there.
    Report(SuspectReport),
    /// Tells the homes that a suspect ran to its end.
    Cleared(SuspectDigest),
    /// Asks the service's home for a server for a suspect.
    Isolate(IsolateRequest),
    /// Tells the service's home that an isolated attempt ended.
    Release(IsolateRelease),
}

/// Answers a [`SuspectMessage`].
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum SuspectReply {
    /// The message was taken in.
    Noted,
    /// How the request may run.
    Standing(StandingNote),
    /// Where the suspect may run.
    Isolation(IsolateAnswer),
}

/// Holds a [`QuarantineStatus`] on its way between hosts.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum StandingNote {
    /// Like any other.
    Clear,
    /// On the server where the same content runs now.
    Pinned(HostName),
    /// Isolated from other suspects.
    Suspect,
    /// Not known yet; when to ask again, in milliseconds.
    Undecided(u64),
    /// Refused; when the caller may come back, in seconds.
    Refused(Option<u32>),
}

impl From<QuarantineStatus> for StandingNote {
    fn from(standing: QuarantineStatus) -> Self {
        match standing {
            QuarantineStatus::Clear => Self::Clear,
            QuarantineStatus::Pinned { server } => Self::Pinned(server),
            QuarantineStatus::Suspect => Self::Suspect,
            QuarantineStatus::Undecided { wait_ms } => Self::Undecided(wait_ms),
            QuarantineStatus::Refused(refusal) => Self::Refused(refusal.retry_after_s),
        }
    }
}
