//! Why an attempt brought no answer for the caller.

use crate::answer::Refusal;
use crate::forward::validation::InvalidAnswer;
use dispatch::load::Outcome;

/// The reason why a request did not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NotRun {
    /// The connection could not be opened.
    ConnectFailed,
    /// A new connection closed before the request was written.
    Unsent,
    /// The server left, asked for a pause or became cold while the connection was opened.
    Closed,
    /// The holder of a limited server granted no send.
    NotGranted,
    /// The server refused the request without running it.
    Shed,
    /// Another server has taken over the address.
    WrongServer,
    /// The server serves other weights.
    WrongWeights,
    /// The server's weights became too old before the request was sent.
    OldWeights,
    /// The server may not receive the request any more, or under other regions than it was chosen for.
    Ineligible,
    /// Organisations became dedicated or ordinary after the server was chosen.
    OtherScope,
}

impl NotRun {
    /// Returns the reason's name in logs and counters.
    pub const fn as_str(self) -> &'static str {
        match self {
            NotRun::ConnectFailed => "unconnected",
            NotRun::Unsent => "unsent",
            NotRun::Closed => "closed_unsent",
            NotRun::NotGranted => "not_granted",
            NotRun::Shed => "shed",
            NotRun::WrongServer => "other_server",
            NotRun::WrongWeights => "other_weights",
            NotRun::OldWeights => "old_weights_unsent",
            NotRun::Ineligible => "ineligible_unsent",
            NotRun::OtherScope => "other_scope_unsent",
        }
    }

    /// Returns the outcome to record for the server.
    pub const fn outcome(self) -> Outcome {
        match self {
            NotRun::ConnectFailed | NotRun::Unsent | NotRun::WrongServer => {
                Outcome::ConnectionFailed
            }
            NotRun::Shed | NotRun::WrongWeights => Outcome::Shed,
            NotRun::Closed
            | NotRun::NotGranted
            | NotRun::OldWeights
            | NotRun::Ineligible
            | NotRun::OtherScope => Outcome::Cancelled,
        }
    }
}

/// The reason why it is undetermined whether a request has run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MayHaveRun {
    /// The connection was lost, or the server sent no complete and valid answer.
    Aborted,
    /// The answer is larger than the gateway holds.
    TooLarge,
    /// The answer belongs to another request.
    Mismatched,
    /// The answer is none that a server gives to this request.
    Invalid(InvalidAnswer),
    /// The server failed the request, which may be retried.
    ServerFailed,
    /// The deadline passed.
    DeadlineExceeded,
    /// The server answered neither the request nor health checks, and another one answered first.
    Unresponsive,
    /// The request waited too long at a server with older weights.
    OldWeights,
}

impl MayHaveRun {
    /// Returns the reason's name in logs and counters.
    pub const fn as_str(self) -> &'static str {
        match self {
            MayHaveRun::Aborted => "broke",
            MayHaveRun::TooLarge => "too_large",
            MayHaveRun::Mismatched => "foreign_answer",
            MayHaveRun::Invalid(reason) => reason.as_str(),
            MayHaveRun::ServerFailed => "server_failed",
            MayHaveRun::DeadlineExceeded => "late",
            MayHaveRun::Unresponsive => "silent",
            MayHaveRun::OldWeights => "old_weights",
        }
    }

    /// Returns the outcome to record for the server.
    pub const fn outcome(self) -> Outcome {
        match self {
            MayHaveRun::Aborted | MayHaveRun::Unresponsive => Outcome::ConnectionFailed,
            MayHaveRun::TooLarge
            | MayHaveRun::Mismatched
            | MayHaveRun::Invalid(_)
            | MayHaveRun::ServerFailed => Outcome::Failed,
            MayHaveRun::DeadlineExceeded | MayHaveRun::OldWeights => Outcome::Cancelled,
        }
    }

    /// Returns the refusal that ends the request if nothing else is tried.
    pub const fn refusal(self) -> Refusal {
        match self {
            MayHaveRun::Aborted
            | MayHaveRun::TooLarge
            | MayHaveRun::Invalid(_)
            | MayHaveRun::ServerFailed
            | MayHaveRun::OldWeights => Refusal::ServerFailed,
            MayHaveRun::Mismatched => Refusal::MismatchedAnswer,
            MayHaveRun::DeadlineExceeded | MayHaveRun::Unresponsive => Refusal::DeadlineExceeded,
        }
    }
}
