//! The gateway's clock, which runs on while the host is suspended.

use rustix::time::{ClockId, clock_gettime};

/// The clock's time at its start, in milliseconds: room for events from before it.
pub const START_MS: u64 = 60_000;

/// Reads milliseconds since the clock was made, suspension included.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin_ms: u64,
}

impl Clock {
    /// Starts now, at [`START_MS`].
    pub fn new() -> Self {
        Self { origin_ms: read_ms(ClockId::Boottime).saturating_sub(START_MS) }
    }

    /// Returns the milliseconds since the start.
    pub fn now_ms(&self) -> u64 {
        read_ms(ClockId::Boottime) - self.origin_ms
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}

/// Returns the Unix time in milliseconds, which may jump.
pub fn unix_ms() -> u64 {
    read_ms(ClockId::Realtime)
}

fn read_ms(clock: ClockId) -> u64 {
    let time = clock_gettime(clock);
    time.tv_sec as u64 * 1_000 + time.tv_nsec as u64 / 1_000_000
}
