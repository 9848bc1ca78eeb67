//! The weights in an engine's memory, and orders to load others.

use super::Core;
use super::life::Life;
use crate::switch::lock;
use clients::wire::engine::LoadCommand;
use protocol::ids::{LogOffset, WeightVersion};
use std::sync::Arc;
use std::time::Duration;

/// Holds the version in use and the orders that are being carried out.
pub(super) struct Weights {
    version: WeightVersion,
    newest_fencing: LogOffset,
    loading: u32,
}

impl Weights {
    /// Holds a version that no order asked for.
    pub(super) fn new(version: WeightVersion) -> Self {
        Self { version, newest_fencing: LogOffset::default(), loading: 0 }
    }

    /// Returns the version in use.
    pub(super) fn version(&self) -> &WeightVersion {
        &self.version
    }

    /// Returns whether weights are being loaded.
    pub(super) fn is_loading(&self) -> bool {
        self.loading > 0
    }
}

/// Starts to carry out an order; returns whether it was accepted.
pub(super) fn order(core: &Arc<Core>, life: &Arc<Life>, order: LoadCommand) -> bool {
    let mut weights = lock(&life.weights);
    if core.config.checks_fencing && order.fencing < weights.newest_fencing {
        core.count(|counters| counters.stale_commands += 1);
        return false;
    }
    weights.newest_fencing = weights.newest_fencing.max(order.fencing);
    weights.loading += 1;
    drop(weights);
    life.spawn(load(Arc::clone(core), Arc::clone(life), order));
    true
}

async fn load(core: Arc<Core>, life: Arc<Life>, order: LoadCommand) {
    core.weight_store.load(Duration::from_millis(core.config.load_ms)).await;
    let swapped = {
        let mut weights = lock(&life.weights);
        weights.loading -= 1;
        let is_stale = core.config.checks_fencing && order.fencing < weights.newest_fencing;
        let is_new = !is_stale && weights.version != order.weight_version;
        if is_new {
            weights.version = order.weight_version;
        }
        is_new
    };
    if swapped {
        lock(&life.cache).clear();
        core.count(|counters| counters.loads += 1);
    }
    life.queue_changed.notify_one();
}
