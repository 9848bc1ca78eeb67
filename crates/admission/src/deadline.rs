//! Early refusal of requests whose first token would come past the deadline.

use crate::refusal::Refusal;
use protocol::error::ErrorKind;

/// The part of the deadline that a request may queue even if its own work takes all of it.
const LEAST_ROOM_SHARE: f64 = 0.25;

/// Holds the times that decide whether a request is admitted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Timing {
    /// The time that the request would wait behind others.
    pub queue_ms: f64,
    /// The time for its own way, imports and computation.
    pub processing_ms: f64,
    /// What is left until its first token is due.
    pub deadline_ms: f64,
}

impl Timing {
    /// Returns the longest time that the request may wait behind others.
    ///
    /// A request whose own work takes longer than the deadline is late however empty the servers
    /// are; refusing it could not help, so it keeps a least room.
    pub fn room_ms(&self) -> f64 {
        let left_ms = self.deadline_ms - self.processing_ms;
        left_ms.max(LEAST_ROOM_SHARE * self.deadline_ms)
    }
}

/// Refuses a request that would wait past its room, with the time that the backlog needs to
/// shrink to it.
///
/// # Errors
///
/// Returns the refusal.
pub fn check(timing: &Timing, random: f64) -> Result<(), Refusal> {
    check_share(timing, 1.0, ErrorKind::Overloaded, random)
}

/// Refuses a request that would wait past a share of its room.
pub(crate) fn check_share(
    timing: &Timing,
    share: f64,
    kind: ErrorKind,
    random: f64,
) -> Result<(), Refusal> {
    let excess_ms = timing.queue_ms - share * timing.room_ms();
    if excess_ms <= 0.0 {
        return Ok(());
    }
    Err(Refusal::new(kind).with_wait(excess_ms, random))
}
