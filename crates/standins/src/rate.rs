//! A shared limit on bytes per second.

use crate::switch::lock;
use protocol::size::BytesPerSecond;
use std::sync::Mutex;
use std::time::Duration;
use tokio::time::Instant;

/// Schedules transfers on a link that carries one transfer at a time.
#[derive(Debug)]
pub struct RateLimit {
    rate: BytesPerSecond,
    free_at: Mutex<Option<Instant>>,
}

impl RateLimit {
    /// Creates an idle link.
    pub fn new(rate: BytesPerSecond) -> Self {
        Self { rate, free_at: Mutex::default() }
    }

    /// Reserves the link for a transfer and returns the time at which its last byte has passed.
    pub fn reserve(&self, bytes: u64) -> Instant {
        let now = Instant::now();
        let mut free_at = lock(&self.free_at);
        let start = free_at.map_or(now, |free_at| free_at.max(now));
        let end = start + duration(bytes, self.rate.value());
        *free_at = Some(end);
        end
    }
}

/// Returns the time that an amount takes at a rate per second.
pub(crate) fn duration(amount: u64, per_second: u64) -> Duration {
    const NANOS_PER_SECOND: u128 = 1_000_000_000;
    let nanos = u128::from(amount) * NANOS_PER_SECOND / u128::from(per_second.max(1));
    Duration::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX))
}
