//! Refusals that are answered immediately, with the time after which to retry.

use protocol::error::{ErrorKind, Execution};

/// The maximum `Retry-After` sent to a caller, in seconds.
pub const MAX_RETRY_AFTER_S: u32 = 120;
/// The maximum jitter as a share of the wait, so that callers do not retry at the same time.
const JITTER_SHARE: f64 = 0.5;
const MS_PER_S: f64 = 1_000.0;

/// A refusal of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// The reason.
    pub kind: ErrorKind,
    /// Whether no backend server executed any part of the request.
    pub not_run: bool,
    /// The time after which the caller may retry, in seconds; `None` if a retry cannot help.
    pub retry_after_s: Option<u32>,
}

impl Refusal {
    /// Creates the refusal for an error kind, with the values of [`ErrorKind::answer`].
    pub const fn new(kind: ErrorKind) -> Self {
        let answer = kind.answer();
        let not_run = matches!(answer.execution, Execution::NotRun);
        Self { kind, not_run, retry_after_s: answer.retry_after_s }
    }

    /// Replaces the retry time by a known wait, which `random` from zero to one lengthens by up
    /// to a half.
    pub fn with_wait(mut self, wait_ms: f64, random: f64) -> Self {
        let jittered_ms = wait_ms * (1.0 + JITTER_SHARE * random);
        let rounded_s = (jittered_ms / MS_PER_S).ceil() as u32;
        self.retry_after_s = Some(rounded_s.clamp(1, MAX_RETRY_AFTER_S));
        self
    }

    /// Clears `not_run` if an earlier attempt may have run.
    pub const fn with_earlier_attempt(mut self, may_have_run: bool) -> Self {
        self.not_run = self.not_run && !may_have_run;
        self
    }
}
