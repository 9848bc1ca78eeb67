//! Wall-clock time of the stand-ins.

use std::time::{SystemTime, UNIX_EPOCH};

/// Returns the time since the epoch in milliseconds.
pub fn now_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}
