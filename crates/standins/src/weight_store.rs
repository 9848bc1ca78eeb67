//! A rate-limited store of model weights, shared by the engines of a site.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

/// How many engines load at full speed at once.
const FULL_SPEED_LOADS: u32 = 2;
/// How often the progress of a load is counted.
const STEP: Duration = Duration::from_millis(20);

/// Shares a fixed rate among the engines that load weights.
#[derive(Debug, Default)]
pub struct WeightStore {
    loading: AtomicU32,
}

impl WeightStore {
    /// Creates a store that nobody loads from.
    pub fn new() -> Arc<Self> {
        Arc::default()
    }

    /// Returns how many engines load now.
    pub fn loading(&self) -> u32 {
        self.loading.load(Ordering::Relaxed)
    }

    /// Loads weights that take `alone` when at most two engines load.
    pub async fn load(&self, alone: Duration) {
        let _loading = Loading::new(&self.loading);
        let mut left = alone;
        while !left.is_zero() {
            tokio::time::sleep(STEP.min(left)).await;
            let sharers = self.loading().max(FULL_SPEED_LOADS);
            left = left.saturating_sub(STEP * FULL_SPEED_LOADS / sharers);
        }
    }
}

struct Loading<'a>(&'a AtomicU32);

impl<'a> Loading<'a> {
    fn new(count: &'a AtomicU32) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(count)
    }
}

impl Drop for Loading<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
