//! Early refusal of requests whose first token would miss the deadline.

use crate::refusal::Refusal;
use protocol::error::ErrorKind;

/// The share of the deadline for which a request may queue even if its processing takes all of the
/// deadline.
const MIN_QUEUE_SHARE: f64 = 0.25;

/// Holds the expected times on which admission depends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Timing {
    /// The time for which the request would queue behind others.
    pub queue_ms: f64,
    /// The time for its transmission, imports and computation.
    pub processing_ms: f64,
    /// The time until its first token is due.
    pub deadline_ms: f64,
}

impl Timing {
    /// Returns the longest time for which the request may queue behind others.
    ///
    /// A request whose processing takes longer than the deadline misses it even on idle servers.
    /// Refusing it would not help, so it may always queue for a minimum share of its deadline.
    pub fn max_queue_ms(&self) -> f64 {
        let remaining_ms = self.deadline_ms - self.processing_ms;
        remaining_ms.max(MIN_QUEUE_SHARE * self.deadline_ms)
    }
}

/// Refuses a request that would queue for longer than its maximum; the retry time of the refusal is
/// the time that the backlog needs to shrink to that maximum.
///
/// # Errors
///
/// Returns the refusal if the request would queue for too long.
pub fn check(timing: &Timing, random: f64) -> Result<(), Refusal> {
    let checked = check_limit(timing, timing.max_queue_ms(), ErrorKind::Overloaded);
    checked.map_err(|excess| excess.into_refusal(random))
}

/// Why a request is not admitted now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Excess {
    /// The reason.
    pub kind: ErrorKind,
    /// The time for which it would queue beyond its limit: the time that the backlog needs to
    /// shrink to that limit, in milliseconds.
    pub wait_ms: f64,
}

impl Excess {
    /// Converts to a refusal; see [`Refusal::with_wait`].
    pub fn into_refusal(self, random: f64) -> Refusal {
        Refusal::new(self.kind).with_wait(self.wait_ms, random)
    }
}

/// Checks whether a request would queue for longer than a limit.
///
/// # Errors
///
/// Returns by how much it would.
pub fn check_limit(timing: &Timing, limit_ms: f64, kind: ErrorKind) -> Result<(), Excess> {
    let wait_ms = timing.queue_ms - limit_ms;
    if wait_ms <= 0.0 {
        return Ok(());
    }
    Err(Excess { kind, wait_ms })
}
