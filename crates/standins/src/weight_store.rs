//! A rate-limited store of model weights, shared by the engines of a site.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

/// Maximum number of engines that load at full speed at once.
const FULL_SPEED_LOADS: u32 = 2;
/// Interval at which the progress of a load is updated.
const STEP: Duration = Duration::from_millis(20);

/// Shares a fixed rate among the engines that load weights.
#[derive(Debug, Default)]
pub struct WeightStore {
    loading: AtomicU32,
}

impl WeightStore {
    /// Creates a store without loads in progress.
    pub fn new() -> Arc<Self> {
        Arc::default()
    }

    /// Returns the number of loads in progress.
    pub fn loading(&self) -> u32 {
        self.loading.load(Ordering::Relaxed)
    }

    /// Loads weights, which takes `full_speed_time` while at most two engines load.
    pub async fn load(&self, full_speed_time: Duration) {
        let _loading = LoadGuard::new(&self.loading);
        let mut remaining = full_speed_time;
        while !remaining.is_zero() {
            tokio::time::sleep(STEP.min(remaining)).await;
            let sharers = self.loading().max(FULL_SPEED_LOADS);
            remaining = remaining.saturating_sub(STEP * FULL_SPEED_LOADS / sharers);
        }
    }
}

struct LoadGuard<'a>(&'a AtomicU32);

impl<'a> LoadGuard<'a> {
    fn new(count: &'a AtomicU32) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(count)
    }
}

impl Drop for LoadGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
