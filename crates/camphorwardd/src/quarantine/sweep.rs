//! Forgets what no longer counts, and notes the deaths of entry hosts.

use crate::node::Node;
use protocol::ids::{HostName, Incarnation};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// How often old contents are forgotten and entry hosts are looked at.
const SWEEP_INTERVAL: Duration = Duration::from_millis(1_000);

/// Sweeps for as long as the daemon runs.
pub(crate) async fn sweep(node: Arc<Node>) {
    let mut known = HashMap::new();
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        let now_ms = node.now_ms();
        let live = live_entry_hosts(&node);
        for (host, incarnation) in &known {
            if live.get(host) != Some(incarnation) {
                node.quarantine.contents.entry_died(host, now_ms);
            }
        }
        known = live;
        node.quarantine.contents.sweep(now_ms);
    }
}

fn live_entry_hosts(node: &Node) -> HashMap<HostName, Incarnation> {
    let entries = node.hosts.entry_hosts(node.now_ms());
    entries.into_iter().map(|entry| (entry.host, entry.incarnation)).collect()
}
