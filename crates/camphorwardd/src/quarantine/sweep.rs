//! Removes expired entries, and records crashes of entry hosts and servers.

use crate::node::Node;
use crate::quarantine::watch;
use protocol::ids::{HostName, Incarnation};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Interval at which expired entries are removed and the hosts are checked.
const SWEEP_INTERVAL: Duration = Duration::from_millis(1_000);

/// The incarnation of each host at the last check.
type Incarnations = HashMap<HostName, Incarnation>;

/// Sweeps periodically until the daemon stops.
pub(crate) async fn sweep(node: Arc<Node>) {
    let (mut entries, mut servers) = (Incarnations::new(), Incarnations::new());
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        entries = record_entry_crashes(&node, &entries);
        servers = record_server_crashes(&node, &servers).await;
        node.quarantine.requests.sweep(node.now_ms());
    }
}

fn record_entry_crashes(node: &Node, previous: &Incarnations) -> Incarnations {
    let now_ms = node.now_ms();
    let entries = node.hosts.entry_hosts(now_ms).into_iter();
    let live: Incarnations = entries.map(|entry| (entry.host, entry.incarnation)).collect();
    for (host, incarnation) in previous {
        if live.get(host) != Some(incarnation) {
            node.quarantine.requests.entry_host_crashed(host, now_ms);
        }
    }
    live
}

/// Records servers with a new incarnation as crashed. The entry host of an attempt may have crashed
/// along with the server, so each host that tracks an attempt checks for itself.
async fn record_server_crashes(node: &Arc<Node>, previous: &Incarnations) -> Incarnations {
    let servers = node.hosts.all_servers(node.now_ms()).into_iter();
    let listed: Incarnations = servers.map(|server| (server.host, server.incarnation)).collect();
    for (host, before) in previous {
        if listed.get(host).is_some_and(|incarnation| incarnation > before) {
            watch::server_crashed(Arc::clone(node), host.clone(), *before).await;
        }
    }
    listed
}
