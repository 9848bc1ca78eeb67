//! The daemon's clock.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// A clock that starts from the wall clock and advances with the monotonic clock.
#[derive(Debug)]
pub(crate) struct Clock {
    started_at_ms: u64,
    started: Instant,
}

impl Clock {
    /// Creates a clock.
    pub(crate) fn new() -> Self {
        Self { started_at_ms: wall_ms(), started: Instant::now() }
    }

    /// Returns the milliseconds since the epoch; never goes backwards.
    pub(crate) fn now_ms(&self) -> u64 {
        let elapsed_ms = u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX);
        self.started_at_ms.saturating_add(elapsed_ms)
    }
}

/// Returns the wall clock's milliseconds since the epoch.
pub(crate) fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
