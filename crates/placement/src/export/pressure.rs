//! The minimum value of blocks on store hosts that refused writes because they were full.

use protocol::ids::HostName;
use std::collections::HashMap;

/// The lowest threshold after a refusal, in prompt tokens saved per megabyte.
const MIN_THRESHOLD: f64 = 1.0;
/// The factor by which a refusal raises the threshold above the refused value or the previous
/// threshold, whichever is greater.
const REFUSAL_FACTOR: f64 = 2.0;
/// The time in which a threshold halves, in milliseconds.
const THRESHOLD_HALF_LIFE_MS: f64 = 30_000.0;
/// The threshold below which a store host accepts any block of value again.
const NEGLIGIBLE_THRESHOLD: f64 = 0.1;

/// Holds the threshold of each store host that refused a write.
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
        self.tokens_per_megabyte * (-age_ms / THRESHOLD_HALF_LIFE_MS).exp2()
    }
}

impl StorePressure {
    /// Creates a table in which every store host accepts any block of value.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a full store host refused a block of some value.
    pub fn record_refusal(
        &mut self,
        store: &HostName,
        tokens_saved_per_megabyte: f64,
        now_ms: u64,
    ) {
        let before = self.stores.get(store).map_or(0.0, |threshold| threshold.value(now_ms));
        let required = (REFUSAL_FACTOR * before.max(tokens_saved_per_megabyte)).max(MIN_THRESHOLD);
        let threshold = Threshold { tokens_per_megabyte: required, at_ms: now_ms };
        self.stores.insert(store.clone(), threshold);
    }

    /// Returns whether a block of some value may be exported to, or renewed on, a store host.
    pub fn allows(&self, store: &HostName, tokens_saved_per_megabyte: f64, now_ms: u64) -> bool {
        let required = self.stores.get(store).map_or(0.0, |threshold| threshold.value(now_ms));
        let is_unrestricted = required < NEGLIGIBLE_THRESHOLD;
        tokens_saved_per_megabyte > 0.0
            && (is_unrestricted || tokens_saved_per_megabyte >= required)
    }
}
