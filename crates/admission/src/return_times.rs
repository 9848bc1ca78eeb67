//! The times at which refused callers are told to come back.
//!
//! Load pattern: callers that were refused together come back together and are refused again.

use crate::fair_share::URGENCY_LEVELS;

/// The longest time by which a caller is told to come back after the backlog has shrunk, in
/// milliseconds.
const MAX_SPREAD_MS: f64 = 300.0;
/// The shortest delay, in milliseconds.
const MIN_DELAY_MS: f64 = 50.0;
/// The share of its remaining time up to which a caller honours a delay.
const HONOURED_SHARE: f64 = 1.0 / 3.0;

/// The times for which callers of one service were booked to come back.
#[derive(Debug, Default)]
pub struct ReturnTimes {
    /// The latest time booked for each urgency, in milliseconds.
    booked_ms: [f64; URGENCY_LEVELS],
}

impl ReturnTimes {
    /// Creates a table without bookings.
    pub fn new() -> Self {
        Self::default()
    }

    /// Books the return of a caller and returns the delay, in milliseconds.
    ///
    /// The backlog needs `wait_ms` to shrink, and takes one caller of this host every `gap_ms` from
    /// then on. Nobody is told to come back before a caller of the same or a higher urgency that was
    /// refused earlier, unless its own remaining time is too short for that.
    pub fn book(
        &mut self,
        urgency: usize,
        wait_ms: f64,
        gap_ms: f64,
        remaining_ms: f64,
        now_ms: u64,
    ) -> u64 {
        let urgency = urgency.min(URGENCY_LEVELS - 1);
        let now = now_ms as f64;
        let earliest = now + wait_ms.max(MIN_DELAY_MS);
        let booked = self.booked_ms.iter().take(urgency + 1).copied().fold(0.0, f64::max);
        let spread = (booked + gap_ms).clamp(earliest, earliest + MAX_SPREAD_MS);
        let at = spread.max(booked);
        let limit_ms = (HONOURED_SHARE * remaining_ms).max(MIN_DELAY_MS);
        if at - now > limit_ms {
            return limit_ms as u64;
        }
        self.booked_ms[urgency] = at;
        (at - now).ceil() as u64
    }
}
