//! The weights in an engine's memory, and the commands to load others.

use super::Core;
use super::instance::Instance;
use crate::switch::lock;
use clients::wire::engine::LoadCommand;
use protocol::ids::{LogOffset, WeightVersion};
use std::sync::Arc;
use std::time::Duration;

/// The weight version in use and the loads in progress.
pub(super) struct Weights {
    version: WeightVersion,
    max_fencing: LogOffset,
    loading: u32,
}

impl Weights {
    /// Creates the state for a version that no command loaded.
    pub(super) fn new(version: WeightVersion) -> Self {
        Self { version, max_fencing: LogOffset::default(), loading: 0 }
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

/// Starts to execute a load command; returns whether it was accepted.
pub(super) fn start_load(core: &Arc<Core>, instance: &Arc<Instance>, command: LoadCommand) -> bool {
    let mut weights = lock(&instance.weights);
    if core.config.checks_fencing && command.fencing < weights.max_fencing {
        core.count(|counters| counters.stale_commands += 1);
        return false;
    }
    weights.max_fencing = weights.max_fencing.max(command.fencing);
    weights.loading += 1;
    drop(weights);
    instance.spawn(load(Arc::clone(core), Arc::clone(instance), command));
    true
}

async fn load(core: Arc<Core>, instance: Arc<Instance>, command: LoadCommand) {
    core.weight_store.load(Duration::from_millis(core.config.load_ms)).await;
    let swapped = {
        let mut weights = lock(&instance.weights);
        weights.loading -= 1;
        let is_stale = core.config.checks_fencing && command.fencing < weights.max_fencing;
        let is_new = !is_stale && weights.version != command.weight_version;
        if is_new {
            weights.version = command.weight_version;
        }
        is_new
    };
    if swapped {
        lock(&instance.cache).clear();
        core.count(|counters| counters.loads += 1);
    }
    instance.queue_changed.notify_one();
}
