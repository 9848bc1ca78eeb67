//! A refusal that is answered at once, with when to come back.

use protocol::error::{ErrorKind, Execution};

/// The longest time that a caller is told to stay away, in seconds.
pub const MAX_RETRY_AFTER_S: u32 = 120;
/// How much of a wait is spread over callers, so that they do not come back together.
const SPREAD_SHARE: f64 = 0.5;
const MS_PER_S: f64 = 1_000.0;

/// Holds a refusal.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Why.
    pub kind: ErrorKind,
    /// Whether no backend server executed any part of the request.
    pub not_run: bool,
    /// When the caller may ask again, in seconds; `None` if asking again cannot help.
    pub retry_after_s: Option<u32>,
}

impl Refusal {
    /// Creates the refusal that the table of error kinds gives.
    pub const fn new(kind: ErrorKind) -> Self {
        let answer = kind.answer();
        let not_run = matches!(answer.execution, Execution::NotRun);
        Self { kind, not_run, retry_after_s: answer.retry_after_s }
    }

    /// Replaces the time after which to ask again by a known wait, lengthened by up to a half by
    /// a random number from zero to one.
    pub fn with_wait(mut self, wait_ms: f64, random: f64) -> Self {
        let spread_ms = wait_ms * (1.0 + SPREAD_SHARE * random);
        let whole_s = (spread_ms / MS_PER_S).ceil() as u32;
        self.retry_after_s = Some(whole_s.clamp(1, MAX_RETRY_AFTER_S));
        self
    }

    /// Withdraws the claim that nothing was run, if an earlier attempt may have run.
    pub const fn with_earlier_attempt(mut self, may_have_run: bool) -> Self {
        self.not_run = self.not_run && !may_have_run;
        self
    }
}
