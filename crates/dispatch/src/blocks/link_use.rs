//! How far a store's link is in use.

/// How long use of a link is averaged over, in milliseconds for each gateway: one gateway's
/// transfers stand for those of all, and the fewer it makes, the longer it takes to tell.
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
    /// Returns the share of the link's time that all gateways use, if all use it as this one does.
    pub(super) fn by_all(&self, gateways: usize, now_ms: u64) -> f64 {
        self.by_own(gateways, now_ms) * gateways as f64
    }

    pub(super) fn by_own(&self, gateways: usize, now_ms: u64) -> f64 {
        let passed_ms = now_ms.saturating_sub(self.at_ms) as f64;
        self.average * (-passed_ms / use_window_ms(gateways)).exp()
    }

    pub(super) fn add(&mut self, busy_ms: f64, gateways: usize, now_ms: u64) {
        self.average = self.by_own(gateways, now_ms) + busy_ms / use_window_ms(gateways);
        self.at_ms = now_ms;
    }
}

fn use_window_ms(gateways: usize) -> f64 {
    (USE_WINDOW_MS * gateways as f64).max(LEAST_USE_WINDOW_MS)
}
