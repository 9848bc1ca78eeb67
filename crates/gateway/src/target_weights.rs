//! Records the operators' target weight versions, and reports since when each one counts.

use crate::event;
use crate::node::Node;
use crate::routing_state::Found;
use dispatch::rollout::TargetVersions;
use protocol::ids::ModelName;

/// Records a target weight version that a source names.
pub fn record(node: &Node, model: ModelName, version: u64, found: Found, source: &str) {
    let now_ms = node.now_ms();
    let mut state = node.state();
    let old_version = state.weights.get(&model).and_then(TargetVersions::newest);
    if !state.record_target_version(model.clone(), version, found, now_ms) {
        return;
    }
    let since_ms = state.weights.get(&model).and_then(TargetVersions::newest_since_ms);
    drop(state);
    node.weights_changed.notify_one();
    node.metrics.count("target_weights", found.as_str());
    event!(info, now_ms, "weights_named", {
        "model": model.as_str(),
        "version": version,
        "old_version": old_version,
        "found": found.as_str(),
        "since_ms": since_ms,
        "source": source,
    });
}

/// Corrects since when a target weight version counts.
pub fn correct(node: &Node, model: &ModelName, version: u64, since_ms: u64, source: &str) {
    let mut state = node.state();
    let Some(versions) = state.weights.get_mut(model) else { return };
    let Some(old_since_ms) = versions.set_since_ms(version, since_ms) else { return };
    drop(state);
    if old_since_ms == since_ms {
        return;
    }
    node.metrics.count("target_weights", "corrected");
    event!(info, node.now_ms(), "weights_dated", {
        "model": model.as_str(),
        "version": version,
        "since_ms": since_ms,
        "old_since_ms": old_since_ms,
        "source": source,
    });
}
