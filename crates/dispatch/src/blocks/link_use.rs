//! How far a store's link is in use.

/// How long use of a link is averaged over, in milliseconds for each gateway that a known one stands
/// for: the fewer transfers are known, the longer it takes to tell.
const USE_WINDOW_MS: f64 = 200.0;
/// The least time that use is averaged over, in milliseconds.
const LEAST_USE_WINDOW_MS: f64 = 1_500.0;
/// The share of its time that a store's link is in use, as this gateway causes it.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LinkUse {
    average: f64,
    at_ms: u64,
}

impl LinkUse {
    /// Returns the share of the link's time that this gateway's transfers take.
    pub(super) fn get(&self, stands_for: f64, now_ms: u64) -> f64 {
        let passed_ms = now_ms.saturating_sub(self.at_ms) as f64;
        self.average * (-passed_ms / use_window_ms(stands_for)).exp()
    }

    pub(super) fn add(&mut self, busy_ms: f64, stands_for: f64, now_ms: u64) {
        self.average = self.get(stands_for, now_ms) + busy_ms / use_window_ms(stands_for);
        self.at_ms = now_ms;
    }
}

fn use_window_ms(stands_for: f64) -> f64 {
    (USE_WINDOW_MS * stands_for).max(LEAST_USE_WINDOW_MS)
}
