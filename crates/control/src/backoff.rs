//! Pauses between tries of a call that keeps failing.

/// The longest pause after the first failure, in milliseconds.
const FIRST_PAUSE_MS: u64 = 200;
/// The longest pause after any failure, in milliseconds.
pub const MAX_PAUSE_MS: u64 = 3_200;
/// The part of a pause that is never shortened.
const LEAST_PAUSE_SHARE: f64 = 0.5;

/// Doubles the pause with each failure, so that many hosts do not hold down a service that returns.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Backoff {
    failures: u32,
}

impl Backoff {
    /// Creates the state before any failure.
    pub const fn new() -> Self {
        Self { failures: 0 }
    }

    /// Notes a failure and returns the pause before the next try, in milliseconds; `random` from
    /// zero to one spreads the hosts.
    pub fn record_failure(&mut self, random: f64) -> u64 {
        self.failures = self.failures.saturating_add(1);
        let doublings = (self.failures - 1).min(u64::BITS - 1);
        let longest_ms = FIRST_PAUSE_MS.checked_shl(doublings).unwrap_or(MAX_PAUSE_MS);
        let longest_ms = longest_ms.clamp(FIRST_PAUSE_MS, MAX_PAUSE_MS);
        let share = LEAST_PAUSE_SHARE + (1.0 - LEAST_PAUSE_SHARE) * random;
        (longest_ms as f64 * share) as u64
    }

    /// Notes a success and returns how many failures it ends.
    pub const fn record_success(&mut self) -> u32 {
        let failures = self.failures;
        self.failures = 0;
        failures
    }

    /// Returns whether the last failure is worth a line in the log: the first, second, fourth and
    /// so on of a row.
    pub const fn should_log(&self) -> bool {
        self.failures.is_power_of_two()
    }
}
