//! A server's load and health, as used for placement.

use crate::load::{InFlightLoad, Slowdown, SlowdownView};

/// The load that a server reports in a response header.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoadHeader {
    /// The number of running requests.
    pub running: u32,
    /// The number of waiting requests.
    pub waiting: u32,
    /// The number of requests that it runs at once.
    pub slots: u32,
    /// How long work takes on its machine, if it names that.
    pub slowdown: Option<Slowdown>,
}

/// Whether a server should take new requests.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Health {
    /// Nothing counts against it.
    Good,
    /// It recently failed, shed a request or lost a connection, or it is loading weights.
    Avoided,
    /// It exceeded a response timeout.
    Suspected,
}

/// A server's load, as used for placement.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadView {
    /// Whether it should take new requests.
    pub health: Health,
    /// The service time of the attempts that have no answer yet, in milliseconds.
    pub unstarted_ms: f64,
    /// The attempts in flight, local ones and those that peers reported.
    pub in_flight: usize,
    /// The tokens that they take in its memory.
    pub memory_tokens: u64,
    /// The load that the server last reported itself, if that is recent.
    pub header: Option<LoadHeader>,
    /// How long work takes on its machine, as all gateways have heard; `None` if it named nothing
    /// lately.
    pub slowdown: Option<SlowdownView>,
}

impl LoadView {
    /// Adds up the local load and that of the peers.
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
            slowdown: None,
        }
    }

    /// Returns the factor by which work takes longer on the server than usual.
    pub fn slowdown_factor(&self) -> f64 {
        self.slowdown.map_or(1.0, |slowdown| slowdown.factor())
    }
}
