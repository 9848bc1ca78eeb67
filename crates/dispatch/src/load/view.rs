//! A server's load and health as placement sees them.

use crate::load::InFlightLoad;

/// What a server says of its load in an answer's header.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoadHeader {
    /// The requests that run.
    pub running: u32,
    /// The requests that wait.
    pub waiting: u32,
    /// The requests that it runs at once.
    pub slots: u32,
}

/// Says whether a server should take new requests.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Health {
    /// Nothing speaks against it.
    Good,
    /// It failed, shed or broke recently, or is loading weights.
    Avoided,
    /// It has been silent for too long.
    Suspected,
}

/// A server's load as placement sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadView {
    /// Whether it should take new requests.
    pub health: Health,
    /// The known sends that have not started yet, in milliseconds of service.
    pub unstarted_ms: f64,
    /// The known sends in flight, own ones and those that other gateways told.
    pub in_flight: usize,
    /// Their tokens in its memory.
    pub memory_tokens: u64,
    /// What the server last said itself, if that is recent.
    pub header: Option<LoadHeader>,
}

impl LoadView {
    /// Adds up own and told sends.
    pub(super) fn new(
        health: Health,
        local: InFlightLoad,
        peers: InFlightLoad,
        header: Option<LoadHeader>,
    ) -> Self {
        let mut all = local;
        all.add(&peers);
        Self {
            health,
            unstarted_ms: f64::from(all.unstarted_ms),
            in_flight: all.in_flight as usize,
            memory_tokens: all.memory_tokens,
            header,
        }
    }
}
