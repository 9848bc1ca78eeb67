//! The gateway's clock, which advances while the host is suspended.

use crate::node::Node;
use rustix::time::{ClockId, clock_gettime};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

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

/// The interval at which a process notes that it runs.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// The time without a tick from which on the process counts as suspended, in milliseconds.
const SUSPENDED_MS: u64 = 400;
/// How long after a suspension bytes from before may still be read, in milliseconds.
const BACKLOG_MS: u64 = 150;

/// Finds out when bytes were written that are read after the process was suspended.
#[derive(Debug, Default)]
pub struct SuspensionDetector {
    ticks: Mutex<Ticks>,
}

#[derive(Debug, Default)]
struct Ticks {
    last_ms: u64,
    suspended_ms: u64,
    resumed_ms: u64,
}

impl SuspensionDetector {
    /// Notes that the process runs.
    pub fn tick(&self, now_ms: u64) {
        let mut ticks = self.ticks.lock().unwrap_or_else(PoisonError::into_inner);
        let last_ms = std::mem::replace(&mut ticks.last_ms, now_ms);
        if last_ms > 0 && now_ms > last_ms + SUSPENDED_MS {
            ticks.suspended_ms = last_ms;
            ticks.resumed_ms = now_ms;
        }
    }

    /// Returns the earliest time at which bytes that are read now may have been written, apart from
    /// their way.
    pub fn written_since_ms(&self, now_ms: u64) -> u64 {
        let ticks = self.ticks.lock().unwrap_or_else(PoisonError::into_inner);
        if ticks.last_ms > 0 && now_ms > ticks.last_ms + SUSPENDED_MS {
            return ticks.last_ms;
        }
        let is_backlog = ticks.resumed_ms > 0 && now_ms < ticks.resumed_ms + BACKLOG_MS;
        if is_backlog { ticks.suspended_ms } else { now_ms }
    }
}

/// Notes at intervals that the process runs, until it exits.
pub async fn run(node: Arc<Node>) {
    loop {
        node.suspensions.tick(node.now_ms());
        tokio::time::sleep(TICK_INTERVAL).await;
    }
}
