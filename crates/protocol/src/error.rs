//! The closed list of error kinds, with the answer to each kind.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;

/// Whether a backend server executed the request that failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Execution {
    /// No backend server executed any part of the request.
    NotRun,
    /// A backend server may have executed the request in part or completely.
    MayHaveRun,
}

/// How the system retries after an error before it answers the caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum InnerRetry {
    /// The request is never retried.
    Never,
    /// The request is retried on another backend server, if it is idempotent or was not run.
    OtherServer,
    /// The rest of the answer is resumed after the tokens already passed on.
    Resume,
}

/// Describes the answer to the caller for one [`ErrorKind`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// Whether a backend server executed the request.
    pub execution: Execution,
    /// How the system retries before it answers.
    pub inner_retry: InnerRetry,
    /// The time after which the caller may retry, in seconds; `None` if a retry cannot help.
    pub retry_after_s: Option<u32>,
}

macro_rules! error_kinds {
    ($(#[doc = $doc:literal] $name:ident => $text:literal, $status:literal, $run:ident, $retry:ident, $after:expr;)*) => {
        /// The reason for which a request is refused, fails or is retried.
        #[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
        #[serde(rename_all = "snake_case")]
        pub enum ErrorKind {
            $(#[doc = $doc] $name,)*
        }

        impl ErrorKind {
            /// Every kind, in the order of the table.
            pub const ALL: &'static [ErrorKind] = &[$(ErrorKind::$name,)*];

            /// Returns the name used in answers and counters.
            pub const fn as_str(self) -> &'static str {
                match self {
                    $(ErrorKind::$name => $text,)*
                }
            }

            /// Returns a description of the kind in one sentence.
            pub fn description(self) -> &'static str {
                match self {
                    $(ErrorKind::$name => $doc.trim(),)*
                }
            }

            /// Returns the answer for this kind.
            pub const fn answer(self) -> Answer {
                match self {
                    $(ErrorKind::$name => Answer {
                        status: $status,
                        execution: Execution::$run,
                        inner_retry: InnerRetry::$retry,
                        retry_after_s: $after,
                    },)*
                }
            }
        }
    };
}

error_kinds! {
    /// The body is not the JSON that the call expects.
    MalformedRequest => "malformed_request", 400, NotRun, Never, None;
    /// The bearer key is missing or belongs to no organisation.
    UnknownOrganisation => "unknown_organisation", 401, NotRun, Never, None;
    /// No service serves the model.
    UnknownModel => "unknown_model", 404, NotRun, Never, None;
    /// No service has the name, or the path is not served.
    UnknownService => "unknown_service", 404, NotRun, Never, None;
    /// The path does not support this method.
    MethodNotAllowed => "method_not_allowed", 405, NotRun, Never, None;
    /// The caller sent its request too slowly.
    SlowCaller => "slow_caller", 408, NotRun, Never, Some(1);
    /// The body is larger than the settings allow.
    BodyTooLarge => "body_too_large", 413, NotRun, Never, None;
    /// The headers are larger than the settings allow.
    HeadersTooLarge => "headers_too_large", 431, NotRun, Never, None;
    /// A non-idempotent call has no `Idempotency-Key`.
    MissingIdempotencyKey => "missing_idempotency_key", 400, NotRun, Never, None;
    /// The `Idempotency-Key` is not a UUIDv7.
    InvalidIdempotencyKey => "invalid_idempotency_key", 400, NotRun, Never, None;
    /// The `Idempotency-Key` is older than the retention period of orders.
    IdempotencyKeyExpired => "idempotency_key_expired", 410, NotRun, Never, None;
    /// The `Idempotency-Key` was used before with another body.
    IdempotencyKeyReused => "idempotency_key_reused", 422, NotRun, Never, None;
    /// Another attempt at the same order is in progress.
    OrderInProgress => "order_in_progress", 409, MayHaveRun, Never, Some(2);
    /// An order was sent and its outcome cannot be determined now.
    OutcomeUnknown => "outcome_unknown", 502, MayHaveRun, Never, Some(5);
    /// The platform's log does not accept the record that the order requires.
    LogUnavailable => "log_unavailable", 503, NotRun, Never, Some(5);
    /// This host has no configuration yet.
    NotReady => "not_ready", 503, NotRun, Never, Some(2);
    /// This host is draining.
    Draining => "draining", 503, NotRun, Never, Some(1);
    /// No backend server of the service is live.
    NoServer => "no_server", 503, NotRun, Never, Some(2);
    /// The first token is expected after the request's deadline.
    Overloaded => "overloaded", 429, NotRun, Never, Some(2);
    /// The organisation has used its fair share while others wait.
    OverFairShare => "over_fair_share", 429, NotRun, Never, Some(2);
    /// The remaining queueing time is reserved for quick requests.
    ReservedForQuick => "reserved_for_quick", 429, NotRun, Never, Some(2);
    /// The retry budget of the organisation and service is exhausted.
    RetryBudgetSpent => "retry_budget_spent", 503, MayHaveRun, Never, Some(5);
    /// The request has crashed backend servers and is refused for a limited time.
    Quarantined => "quarantined", 422, MayHaveRun, Never, Some(60);
    /// The organisation has crashed too many backend servers of the service.
    CrashLimit => "crash_limit", 429, NotRun, Never, Some(30);
    /// The deadline passed before the answer was complete.
    DeadlineExceeded => "deadline_exceeded", 504, MayHaveRun, Never, Some(1);
    /// The backend server refused the connection.
    ServerUnreachable => "server_unreachable", 503, NotRun, OtherServer, Some(1);
    /// The backend server reported that it did not run the request.
    ServerRefused => "server_refused", 503, NotRun, OtherServer, Some(1);
    /// The backend server holds another weight version.
    WrongVersion => "wrong_version", 503, NotRun, OtherServer, Some(1);
    /// The backend server started to answer with another weight version.
    StaleVersion => "stale_version", 503, MayHaveRun, Resume, Some(1);
    /// The backend server closed the connection before the answer was complete.
    ServerDied => "server_died", 502, MayHaveRun, Resume, Some(1);
    /// The connection to the backend server became unresponsive.
    ServerSilent => "server_silent", 504, MayHaveRun, Resume, Some(1);
    /// The backend server answered with another attempt's id or an invalid offset.
    CrossedAnswer => "crossed_answer", 502, MayHaveRun, Resume, Some(1);
    /// The backend server sent an answer that violates its protocol.
    BadServerAnswer => "bad_server_answer", 502, MayHaveRun, Resume, Some(1);
    /// An internal error of this program.
    Internal => "internal", 500, MayHaveRun, Never, Some(1);
}

impl fmt::Display for ErrorKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for ErrorKind {
    type Err = UnknownErrorKind;

    fn from_str(text: &str) -> Result<Self, UnknownErrorKind> {
        Self::ALL.iter().copied().find(|kind| kind.as_str() == text).ok_or(UnknownErrorKind)
    }
}

/// The error for a text that is not the name of an [`ErrorKind`].
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("unknown error kind")]
pub struct UnknownErrorKind;
