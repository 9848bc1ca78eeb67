//! The window in which keys are retained, the clock bound and the timeouts.

use crate::key::IdempotencyKey;

/// The position of a key's creation time relative to the window.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum KeyAge {
    /// The key is within the window.
    Current,
    /// The key is older than the window.
    Expired,
    /// The key is further in the future than clocks may differ.
    Future,
}

/// Limits how long keys are retained and how long callers wait.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OrderLimits {
    /// How long after its creation a key may be claimed; shorter than the log's retention.
    pub window_ms: u64,
    /// The maximum difference between the clocks of callers, hosts and the log.
    pub clock_bound_ms: u64,
    /// How long to wait for an intent to be read back.
    pub intent_wait_ms: u64,
    /// How long to wait for an outcome record to be read back before replying without it.
    pub outcome_wait_ms: u64,
    /// How long to wait for the outcome of a peer's attempt before querying the service, and between
    /// queries.
    pub status_after_ms: u64,
}

const MS_PER_MINUTE: u64 = 60_000;
const DEFAULT_RETENTION_MS: u64 = 60 * MS_PER_MINUTE;

impl OrderLimits {
    /// Creates the limits for a log with the given retention.
    pub const fn new(retention_ms: u64) -> Self {
        Self {
            window_ms: retention_ms / 2,
            clock_bound_ms: MS_PER_MINUTE,
            intent_wait_ms: 2_000,
            outcome_wait_ms: 500,
            status_after_ms: 1_000,
        }
    }

    /// Classifies a key's age at the given time of one clock.
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

    /// Returns the last time, by the log's clock, at which the key may be claimed.
    pub const fn expires_at_ms(&self, key: IdempotencyKey) -> u64 {
        key.created_at_ms().saturating_add(self.window_ms)
    }

    /// Returns whether a reader that missed no record since `covered_from_ms` has read every claim
    /// of the key.
    ///
    /// A claim takes effect only if the log stored it no earlier than the clock bound before the
    /// key's creation time, so the reader must have started at an older record.
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
