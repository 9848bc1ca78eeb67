//! Requests under way, and whether the host is draining.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

/// Counts the requests under way.
#[derive(Clone, Debug, Default)]
pub struct Flights {
    count: Arc<AtomicU64>,
    draining: Arc<AtomicBool>,
    closed: Arc<AtomicBool>,
}

impl Flights {
    /// Creates a count of zero.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a request until the guard is dropped.
    pub fn enter(&self) -> FlightGuard {
        self.count.fetch_add(1, Ordering::AcqRel);
        FlightGuard { count: Arc::clone(&self.count) }
    }

    /// Returns the number of requests under way.
    pub fn in_flight(&self) -> u64 {
        self.count.load(Ordering::Acquire)
    }

    /// Returns whether the host is draining.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// Returns whether new requests are refused.
    pub fn is_closed(&self) -> bool {
        self.closed.load(Ordering::Acquire)
    }

    /// Refuses new requests from now on.
    pub fn close(&self) {
        self.closed.store(true, Ordering::Release);
    }

    /// Marks the host as draining; returns whether it was so before.
    pub fn start_drain(&self) -> bool {
        self.draining.swap(true, Ordering::AcqRel)
    }
}

/// Counts one request as under way.
#[derive(Debug)]
pub struct FlightGuard {
    count: Arc<AtomicU64>,
}

impl Drop for FlightGuard {
    fn drop(&mut self) {
        self.count.fetch_sub(1, Ordering::AcqRel);
    }
}
