//! Utilisation of a store's link.

/// The averaging window of link utilisation, in milliseconds for each gateway that one reporting
/// gateway represents. The fewer transfers are reported, the longer a stable average takes.
const USE_WINDOW_MS: f64 = 200.0;
/// The shortest averaging window, in milliseconds.
const MIN_USE_WINDOW_MS: f64 = 1_500.0;
/// The share of time that this gateway's transfers occupy a store's link, as a decaying average.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LinkUse {
    average: f64,
    at_ms: u64,
}

impl LinkUse {
    /// Returns the share of the link's time that this gateway's transfers take.
    pub(super) fn get(&self, gateway_ratio: f64, now_ms: u64) -> f64 {
        let passed_ms = now_ms.saturating_sub(self.at_ms) as f64;
        self.average * (-passed_ms / use_window_ms(gateway_ratio)).exp()
    }

    pub(super) fn add(&mut self, busy_ms: f64, gateway_ratio: f64, now_ms: u64) {
        self.average = self.get(gateway_ratio, now_ms) + busy_ms / use_window_ms(gateway_ratio);
        self.at_ms = now_ms;
    }
}

fn use_window_ms(gateway_ratio: f64) -> f64 {
    (USE_WINDOW_MS * gateway_ratio).max(MIN_USE_WINDOW_MS)
}
