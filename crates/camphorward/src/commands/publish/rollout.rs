//! Waits until a version is in force on all reachable entry hosts.

use crate::nodes::{ClusterStatus, NodeClient};
use protocol::ids::ConfigVersion;
use serde::Serialize;
use std::time::{Duration, Instant};

/// The interval at which the entry hosts are queried.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// The progress of a version across the entry hosts.
#[derive(Debug, Default, Serialize)]
pub(super) struct Rollout {
    /// The entry hosts on which the version is in force.
    pub(super) in_force: Vec<String>,
    /// The reachable entry hosts with an earlier version.
    pub(super) lagging: Vec<Lagging>,
    /// The entry hosts that do not answer.
    pub(super) unreachable: Vec<String>,
    /// The time waited, in milliseconds.
    pub(super) waited_ms: u64,
}

/// An entry host with an earlier version.
#[derive(Debug, Serialize)]
pub(super) struct Lagging {
    /// The entry host.
    pub(super) host: String,
    /// The version in force on it.
    pub(super) config_version: ConfigVersion,
}

/// Waits until all reachable entry hosts have a version or a later one, or the deadline passes.
/// Returns `None` if no entry host is configured.
pub(super) async fn wait(
    nodes: &NodeClient,
    version: ConfigVersion,
    deadline: Instant,
) -> Option<Rollout> {
    if nodes.is_empty() {
        return None;
    }
    let start = Instant::now();
    loop {
        let mut rollout = Rollout::new(&nodes.query_all().await, version);
        let complete = rollout.lagging.is_empty() && !rollout.in_force.is_empty();
        if complete || Instant::now() >= deadline {
            rollout.waited_ms = u64::try_from(start.elapsed().as_millis()).unwrap_or(u64::MAX);
            return Some(rollout);
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

impl Rollout {
    fn new(cluster: &ClusterStatus, version: ConfigVersion) -> Self {
        let mut rollout = Self::default();
        for status in cluster.statuses() {
            let host = status.host.to_string();
            if status.config_version >= version {
                rollout.in_force.push(host);
            } else {
                let config_version = status.config_version;
                rollout.lagging.push(Lagging { host, config_version });
            }
        }
        rollout.unreachable = cluster.unreachable().map(|(view, _)| view.label()).collect();
        rollout
    }
}
