//! Exponential back-off with jitter for retries.

/// The maximum delay after the first failure, in milliseconds.
const INITIAL_DELAY_MS: u64 = 200;
/// The maximum delay after any failure, in milliseconds.
pub const MAX_DELAY_MS: u64 = 3_200;
/// The share of a delay that jitter never shortens.
const MIN_DELAY_SHARE: f64 = 0.5;

/// Doubles the delay with each failure, so that retries of many hosts do not overload a service
/// that recovers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Backoff {
    failures: u32,
}

impl Backoff {
    /// Creates the state before any failure.
    pub const fn new() -> Self {
        Self { failures: 0 }
    }

    /// Records a failure and returns the delay before the next attempt, in milliseconds.
    ///
    /// `random`, from zero to one, sets the jitter that spreads the retries of the hosts.
    pub fn record_failure(&mut self, random: f64) -> u64 {
        self.failures = self.failures.saturating_add(1);
        let doublings = (self.failures - 1).min(u64::BITS - 1);
        let max_delay_ms = INITIAL_DELAY_MS.checked_shl(doublings).unwrap_or(MAX_DELAY_MS);
        let max_delay_ms = max_delay_ms.clamp(INITIAL_DELAY_MS, MAX_DELAY_MS);
        let share = MIN_DELAY_SHARE + (1.0 - MIN_DELAY_SHARE) * random;
        (max_delay_ms as f64 * share) as u64
    }

    /// Records a success and returns the number of consecutive failures before it.
    pub const fn record_success(&mut self) -> u32 {
        let failures = self.failures;
        self.failures = 0;
        failures
    }

    /// Returns whether to log the last failure: the first, second, fourth and so on of a series.
    pub const fn should_log(&self) -> bool {
        self.failures.is_power_of_two()
    }
}
