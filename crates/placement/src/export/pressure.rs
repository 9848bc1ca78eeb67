//! What a block must be worth to be kept on a store host that refused writes.

use protocol::ids::HostName;
use std::collections::HashMap;

/// The value asked after a first refusal, in prompt tokens saved for each megabyte.
const FIRST_THRESHOLD: f64 = 1.0;
/// How much more is asked after each further refusal.
const REFUSAL_FACTOR: f64 = 2.0;
/// The time in which the value asked halves, in milliseconds.
const HALF_LIFE_MS: f64 = 30_000.0;
/// The value below which a store host counts as free again.
const FREE_THRESHOLD: f64 = 0.1;

/// Holds the value asked by each store host that refused a write.
#[derive(Debug, Default)]
pub struct StorePressure {
    stores: HashMap<HostName, Threshold>,
}

#[derive(Debug)]
struct Threshold {
    tokens_per_megabyte: f64,
    at_ms: u64,
}

impl Threshold {
    fn value(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.at_ms) as f64;
        self.tokens_per_megabyte * (-age_ms / HALF_LIFE_MS).exp2()
    }
}

impl StorePressure {
    /// Creates a table in which every store host takes any block.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes that a store host refused a block of some value, as it is full.
    pub fn refused(&mut self, store: &HostName, tokens_saved_per_megabyte: f64, now_ms: u64) {
        let before = self.stores.get(store).map_or(0.0, |threshold| threshold.value(now_ms));
        let asked = (REFUSAL_FACTOR * before.max(tokens_saved_per_megabyte)).max(FIRST_THRESHOLD);
        let threshold = Threshold { tokens_per_megabyte: asked, at_ms: now_ms };
        self.stores.insert(store.clone(), threshold);
    }

    /// Tells whether a block of some value is to be written to or renewed on a store host.
    pub fn allows(&self, store: &HostName, tokens_saved_per_megabyte: f64, now_ms: u64) -> bool {
        let asked = self.stores.get(store).map_or(0.0, |threshold| threshold.value(now_ms));
        let is_free = asked < FREE_THRESHOLD;
        tokens_saved_per_megabyte > 0.0 && (is_free || tokens_saved_per_megabyte >= asked)
    }
}
