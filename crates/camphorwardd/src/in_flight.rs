//! The number of requests in flight, and whether the host is draining.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

/// Counts the requests in flight.
#[derive(Clone, Debug, Default)]
pub struct InFlightRequests {
    count: Arc<AtomicU64>,
    draining: Arc<AtomicBool>,
    closed: Arc<AtomicBool>,
}

impl InFlightRequests {
    /// Creates a count of zero.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a request as in flight until the guard is dropped.
    pub fn enter(&self) -> InFlightGuard {
        self.count.fetch_add(1, Ordering::AcqRel);
        InFlightGuard { count: Arc::clone(&self.count) }
    }

    /// Returns the number of requests in flight.
    pub fn count(&self) -> u64 {
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

    /// Starts refusing new requests.
    pub fn close(&self) {
        self.closed.store(true, Ordering::Release);
    }

    /// Marks the host as draining; returns whether it already was.
    pub fn start_drain(&self) -> bool {
        self.draining.swap(true, Ordering::AcqRel)
    }
}

/// Counts one request as in flight until it is dropped.
#[derive(Debug)]
pub struct InFlightGuard {
    count: Arc<AtomicU64>,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.count.fetch_sub(1, Ordering::AcqRel);
    }
}
