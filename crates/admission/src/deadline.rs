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
    check_share(timing, 1.0, ErrorKind::Overloaded, random)
}

/// Refuses a request that would queue for longer than a share of its maximum queueing time.
pub(crate) fn check_share(
    timing: &Timing,
    share: f64,
    kind: ErrorKind,
    random: f64,
) -> Result<(), Refusal> {
    let excess_ms = timing.queue_ms - share * timing.max_queue_ms();
    if excess_ms <= 0.0 {
        return Ok(());
    }
    Err(Refusal::new(kind).with_wait(excess_ms, random))
}
