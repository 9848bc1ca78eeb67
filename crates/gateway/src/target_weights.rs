//! Records the operators' target weight versions, and reports since when each one counts.

use crate::event;
use crate::node::Node;
use crate::routing_state::Found;
use dispatch::target_versions::{TargetHistory, TargetTable, TargetVersion, TargetVersions};
use protocol::ids::ModelName;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// The smallest change of the time from which a version counts that is reported, in milliseconds.
const REPORTED_CHANGE_MS: u64 = 100;
/// The largest error of a gateway's view of the servers' clock, in milliseconds.
const SERVERS_CLOCK_ERROR_MS: i64 = 250;

/// The target weight versions that a gateway knows, on its own clock.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TargetReport {
    /// The time at which the report was built.
    pub now_ms: u64,
    /// How long the question had waited by then.
    pub held_ms: u64,
    /// The versions.
    pub history: TargetHistory,
}

/// Returns what this gateway knows, for a question that came at a time.
pub fn report(node: &Node, asked_ms: u64) -> TargetReport {
    let history = node.state().weights.history();
    let now_ms = node.now_ms();
    TargetReport { now_ms, held_ms: now_ms.saturating_sub(asked_ms), history }
}

/// Records a target weight version from a record of the store.
pub fn record(node: &Node, model: &ModelName, version: u64, found: Found, source: &str) {
    let read_ms = node.now_ms();
    let not_before_ms = match found {
        Found::Listed => None,
        Found::Appended { not_before_ms } => not_before_ms,
    };
    update(node, found.as_str(), source, |targets| {
        targets.record_read(model, version, not_before_ms, read_ms);
    });
}

/// Records that the operators' records were read to their end, as it was at a time.
pub fn record_complete(node: &Node, until_ms: u64) {
    node.state().weights.record_complete(until_ms);
}

/// Merges the report of another gateway that was asked at a time.
pub fn merge_report(node: &Node, report: TargetReport, asked_ms: u64, source: &str) {
    // It was built between the arrival of the question and that of the answer.
    let built_from_ms = asked_ms.saturating_add(report.held_ms);
    let lead = |at_ms: u64| at_ms.cast_signed().saturating_sub(report.now_ms.cast_signed());
    let history = report.history.shifted(lead(built_from_ms), lead(node.now_ms()));
    update(node, "reported", source, |targets| targets.merge(&history));
}

/// Records the newest versions that a gateway of an earlier build knows, which reports no times. Its
/// state was `age_ms` old.
pub fn record_newest(
    node: &Node,
    versions: BTreeMap<ModelName, u64>,
    age_ms: u64,
    asked_ms: u64,
    source: &str,
) {
    let now_ms = node.now_ms();
    update(node, "listed", source, |targets| {
        for (model, version) in versions {
            targets.record_newest(&model, version, now_ms);
        }
        targets.record_complete(asked_ms.saturating_sub(age_ms));
    });
}

/// Returns what this gateway knows, on the servers' clock; `None` while that is unknown.
pub fn history_on_servers_clock(node: &Node) -> Option<TargetHistory> {
    let lead_ms = node.to_servers_clock_ms(0)?.cast_signed();
    Some(node.state().weights.history().shifted(lead_ms, lead_ms))
}

/// Merges versions with times on the servers' clock.
pub fn merge_from_servers_clock(node: &Node, history: TargetHistory, source: &str) {
    let Some(lead_ms) = node.to_servers_clock_ms(0) else { return };
    let lead_ms = -lead_ms.cast_signed();
    let history =
        history.shifted(lead_ms - SERVERS_CLOCK_ERROR_MS, lead_ms + SERVERS_CLOCK_ERROR_MS);
    update(node, "recorded", source, |targets| targets.merge(&history));
}

/// Returns whether this gateway does not know since when a version counts.
pub fn is_uncertain(node: &Node) -> bool {
    node.state().weights.is_uncertain(node.settings.bounds.weights_ms, node.now_ms())
}

/// Waits until a request that has not begun at a server with a weight version must be given up.
/// Versions that are named meanwhile count.
pub async fn until_too_old(node: &Node, model: &ModelName, version: u64) {
    let mut changes = node.target_changes.subscribe();
    loop {
        changes.mark_unchanged();
        let abort_at_ms = {
            let state = node.state();
            let targets = state.weights.get(model);
            targets
                .and_then(|targets| targets.abort_at_ms(version, node.settings.bounds.weights_ms))
        };
        let wait_ms = abort_at_ms.map_or(u64::MAX, |at_ms| at_ms.saturating_sub(node.now_ms()));
        if wait_ms == 0 {
            return;
        }
        // Either the time has come or there is a change; the next iteration checks both.
        drop(tokio::time::timeout(Duration::from_millis(wait_ms), changes.changed()).await);
    }
}

/// Changes what this gateway knows, and reports versions and times that are new.
fn update(node: &Node, found: &str, source: &str, change: impl FnOnce(&mut TargetTable)) {
    let allowed_ms = node.settings.bounds.weights_ms;
    let mut state = node.state();
    let before = state.weights.clone();
    change(&mut state.weights);
    state.weights.forget_outdated(allowed_ms, node.now_ms());
    let after = state.weights.clone();
    if after.models().eq(before.models()) {
        return;
    }
    for (model, versions) in after.models() {
        for target in versions.versions() {
            state.blocks.retirements.record_target(model, target.version, node.now_ms());
        }
    }
    drop(state);
    node.target_changes.send_modify(|changes| *changes += 1);
    for (model, versions) in after.models() {
        let known = before.get(model);
        if versions.newest() > known.and_then(TargetVersions::newest) {
            node.weights_changed.notify_one();
        }
        for target in versions.versions() {
            let before = known.and_then(|known| {
                known.versions().iter().find(|before| before.version == target.version)
            });
            let change =
                Change { model, old_version: known.and_then(TargetVersions::newest), source };
            match before {
                None => change.log_named(node, target, found),
                Some(before) => change.log_dated(node, before, target),
            }
        }
    }
}

/// A change at a model's versions.
struct Change<'a> {
    model: &'a ModelName,
    old_version: Option<u64>,
    source: &'a str,
}

impl Change<'_> {
    fn log_named(&self, node: &Node, target: &TargetVersion, found: &str) {
        node.metrics.count("target_weights", found);
        event!(info, node.now_ms(), "weights_named", {
            "model": self.model.as_str(),
            "version": target.version,
            "old_version": self.old_version,
            "found": found,
            "earliest_ms": target.earliest_ms,
            "latest_ms": target.latest_ms,
            "since_ms": target.since_ms(node.settings.bounds.weights_ms),
            "source": self.source,
        });
    }

    fn log_dated(&self, node: &Node, before: &TargetVersion, after: &TargetVersion) {
        let allowed_ms = node.settings.bounds.weights_ms;
        let (old_since_ms, since_ms) = (before.since_ms(allowed_ms), after.since_ms(allowed_ms));
        if since_ms.abs_diff(old_since_ms) < REPORTED_CHANGE_MS {
            return;
        }
        node.metrics.count("target_weights", "corrected");
        event!(info, node.now_ms(), "weights_dated", {
            "model": self.model.as_str(),
            "version": after.version,
            "earliest_ms": after.earliest_ms,
            "latest_ms": after.latest_ms,
            "since_ms": since_ms,
            "old_since_ms": old_since_ms,
            "source": self.source,
        });
    }
}
