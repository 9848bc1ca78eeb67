//! The window in which keys are remembered, the clock bound and the waiting times.

use crate::key::IdempotencyKey;

/// Says whether a key may be used at a moment.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum KeyAge {
    /// The key is inside the window.
    Current,
    /// The key is older than the window.
    Expired,
    /// The key is from further in the future than clocks may differ.
    Future,
}

/// Bounds how long keys are remembered and how long callers wait.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OrderLimits {
    /// How long after its creation a key may claim an order; below the log's retention.
    pub window_ms: u64,
    /// How far the clocks of callers, hosts and the log may differ.
    pub clock_bound_ms: u64,
    /// How long an intent may take to be read back.
    pub intent_wait_ms: u64,
    /// How long an answer waits for its outcome record before it is passed on without.
    pub outcome_wait_ms: u64,
    /// How long the outcome of another host's attempt is awaited before the service is asked.
    pub status_after_ms: u64,
}

const MINUTE_MS: u64 = 60_000;
const DEFAULT_RETENTION_MS: u64 = 60 * MINUTE_MS;

impl OrderLimits {
    /// Creates limits for a log that keeps records for a time.
    pub const fn new(retention_ms: u64) -> Self {
        Self {
            window_ms: retention_ms / 2,
            clock_bound_ms: MINUTE_MS,
            intent_wait_ms: 2_000,
            outcome_wait_ms: 500,
            status_after_ms: 1_000,
        }
    }

    /// Judges a key's age at a moment of one clock.
    pub const fn age(&self, key: IdempotencyKey, at_ms: u64) -> KeyAge {
        let created_at_ms = key.created_at_ms();
        if created_at_ms > at_ms.saturating_add(self.clock_bound_ms) {
            return KeyAge::Future;
        }
        if at_ms > self.expires_at_ms(key) {
            return KeyAge::Expired;
        }
        KeyAge::Current
    }

    /// Returns the last moment, by the log's clock, at which the key may claim an order.
    pub const fn expires_at_ms(&self, key: IdempotencyKey) -> u64 {
        key.created_at_ms().saturating_add(self.window_ms)
    }

    /// Returns whether a reader that missed nothing since a moment has seen every claim of a key.
    ///
    /// A claim counts only if the log took it no earlier than the clock bound before the key's own
    /// time, so the reader must have started at an older record.
    pub const fn covers(&self, covered_from_ms: u64, key: IdempotencyKey) -> bool {
        covered_from_ms.saturating_add(self.clock_bound_ms) < key.created_at_ms()
            || covered_from_ms == 0
    }
}

impl Default for OrderLimits {
    fn default() -> Self {
        Self::new(DEFAULT_RETENTION_MS)
    }
}
