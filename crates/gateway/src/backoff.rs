//! Delays between tries of a call that fails again and again.

use std::time::Duration;

/// Doubles the delay after each failure, up to a maximum.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    first: Duration,
    max: Duration,
    next: Duration,
}

impl Backoff {
    /// Creates a backoff of which no try has failed.
    pub const fn new(first: Duration, max: Duration) -> Self {
        Self { first, max, next: first }
    }

    /// Records a failure; returns the delay until the next try.
    pub fn record_failure(&mut self) -> Duration {
        let delay = self.next;
        self.next = (2 * delay).min(self.max);
        delay
    }

    /// Records a success: the next failure is the first one again.
    pub const fn record_success(&mut self) {
        self.next = self.first;
    }
}
