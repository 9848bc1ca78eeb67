//! The gateway's clock, which advances while the host is suspended.

use rustix::time::{ClockId, clock_gettime};

/// The time of a new clock, in milliseconds. It is above zero so that events before the start have
/// a valid time.
pub const START_MS: u64 = 60_000;

/// A millisecond clock that includes the time for which the host was suspended.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin_ms: u64,
}

impl Clock {
    /// Creates a clock that reads [`START_MS`] now.
    pub fn new() -> Self {
        Self { origin_ms: read_ms(ClockId::Boottime).saturating_sub(START_MS) }
    }

    /// Returns the current time: [`START_MS`] plus the milliseconds since the clock was created.
    pub fn now_ms(&self) -> u64 {
        read_ms(ClockId::Boottime) - self.origin_ms
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}

/// Returns the Unix time in milliseconds. It may jump forwards or backwards.
pub fn unix_ms() -> u64 {
    read_ms(ClockId::Realtime)
}

fn read_ms(clock: ClockId) -> u64 {
    let time = clock_gettime(clock);
    time.tv_sec as u64 * 1_000 + time.tv_nsec as u64 / 1_000_000
}
