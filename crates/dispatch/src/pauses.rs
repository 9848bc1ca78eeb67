//! Servers that asked for a pause, and the limit of sends to them afterwards.
//!
//! Load pattern: a server asks all gateways for the same pause. Without a limit, what was held back
//! meanwhile would reach it at once at the end.

use crate::registry::ServerId;
use protocol::ids::Incarnation;
use std::collections::HashMap;

/// The attempts in flight that are allowed at the end of a pause.
const FIRST_IN_FLIGHT: usize = 2;
/// The interval after which that limit doubles, in milliseconds.
const DOUBLING_MS: u64 = 200;
/// The number of intervals after which there is no limit.
const DOUBLINGS: u64 = 6;
/// The share of a delay over which the callers' retries are spread.
const SPREAD_SHARE: f64 = 0.5;
/// The minimum time over which the callers' retries are spread, in milliseconds.
const MIN_SPREAD_MS: f64 = 200.0;

#[derive(Clone, Copy, Debug)]
struct Pause {
    incarnation: Incarnation,
    until_ms: u64,
}

/// The latest pause of each server.
#[derive(Debug, Default)]
pub struct Pauses {
    servers: HashMap<ServerId, Pause>,
}

impl Pauses {
    /// Creates a table without pauses.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that an incarnation of a server asked for a pause. A pause is never shortened.
    pub fn pause(&mut self, id: &ServerId, incarnation: Incarnation, for_ms: u64, now_ms: u64) {
        let until_ms = now_ms.saturating_add(for_ms);
        let pause = self.servers.entry(id.clone()).or_insert(Pause { incarnation, until_ms });
        if pause.incarnation < incarnation {
            *pause = Pause { incarnation, until_ms };
        } else if pause.incarnation == incarnation {
            pause.until_ms = pause.until_ms.max(until_ms);
        }
    }

    /// Returns the end of a server's pause; `None` while it is not paused.
    pub fn until_ms(&self, id: &ServerId, incarnation: Incarnation, now_ms: u64) -> Option<u64> {
        self.get(id, incarnation).map(|pause| pause.until_ms).filter(|until_ms| now_ms < *until_ms)
    }

    /// Checks whether a server takes another attempt; `in_flight_since` returns the number of
    /// attempts in flight there that were sent since a time.
    ///
    /// # Errors
    ///
    /// Returns the time at which it may take the next one.
    pub fn check(
        &self,
        id: &ServerId,
        incarnation: Incarnation,
        in_flight_since: impl FnOnce(u64) -> usize,
        now_ms: u64,
    ) -> Result<(), u64> {
        let Some(Pause { until_ms, .. }) = self.get(id, incarnation) else { return Ok(()) };
        if now_ms < until_ms {
            return Err(until_ms);
        }
        let doublings = (now_ms - until_ms) / DOUBLING_MS;
        if doublings >= DOUBLINGS || in_flight_since(until_ms) < FIRST_IN_FLIGHT << doublings {
            return Ok(());
        }
        Err(until_ms + (doublings + 1) * DOUBLING_MS)
    }

    fn get(&self, id: &ServerId, incarnation: Incarnation) -> Option<Pause> {
        self.servers.get(id).copied().filter(|pause| pause.incarnation == incarnation)
    }
}

/// Returns the delay after which a caller should retry if no server takes an attempt before
/// `wait_ms`; `spread`, from 0 to 1, spreads the callers.
pub fn retry_after_ms(wait_ms: u64, spread: f64) -> u64 {
    let spread_ms = (SPREAD_SHARE * wait_ms as f64).max(MIN_SPREAD_MS);
    wait_ms + (spread * spread_ms) as u64
}
