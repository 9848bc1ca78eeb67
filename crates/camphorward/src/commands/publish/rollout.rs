//! Waits until a version is in force on every entry host that can be reached.

use crate::nodes::{Nodes, Survey};
use protocol::ids::ConfigVersion;
use serde::Serialize;
use std::time::{Duration, Instant};

/// The pause between two surveys.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Says where a version is in force.
#[derive(Debug, Default, Serialize)]
pub(super) struct Rollout {
    /// The entry hosts on which it is.
    pub(super) in_force: Vec<String>,
    /// The reachable entry hosts on which it is not.
    pub(super) lagging: Vec<Lagging>,
    /// The entry hosts that do not answer.
    pub(super) unreachable: Vec<String>,
    /// How long it took, or was waited for, in milliseconds.
    pub(super) waited_ms: u64,
}

/// Names an entry host with an earlier version.
#[derive(Debug, Serialize)]
pub(super) struct Lagging {
    /// The entry host.
    pub(super) host: String,
    /// The version that it has.
    pub(super) config_version: ConfigVersion,
}

/// Waits until all reachable entry hosts have a version or a later one, or the deadline passes;
/// `None` if no entry host is known.
pub(super) async fn wait(
    nodes: &Nodes,
    version: ConfigVersion,
    deadline: Instant,
) -> Option<Rollout> {
    if nodes.is_empty() {
        return None;
    }
    let start = Instant::now();
    loop {
        let mut rollout = Rollout::new(&nodes.ask_all().await, version);
        let complete = rollout.lagging.is_empty() && !rollout.in_force.is_empty();
        if complete || Instant::now() >= deadline {
            rollout.waited_ms = u64::try_from(start.elapsed().as_millis()).unwrap_or(u64::MAX);
            return Some(rollout);
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

impl Rollout {
    fn new(survey: &Survey, version: ConfigVersion) -> Self {
        let mut rollout = Self::default();
        for status in survey.statuses() {
            let host = status.host.to_string();
            if status.config_version >= version {
                rollout.in_force.push(host);
            } else {
                let config_version = status.config_version;
                rollout.lagging.push(Lagging { host, config_version });
            }
        }
        rollout.unreachable = survey.silent().map(|(view, _)| view.label()).collect();
        rollout
    }
}
