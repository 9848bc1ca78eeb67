//! Forgets what no longer counts, and notes the deaths of entry hosts and servers.

use crate::node::Node;
use crate::quarantine::watch;
use protocol::ids::{HostName, Incarnation};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// How often old contents are forgotten and the hosts are looked at.
const SWEEP_INTERVAL: Duration = Duration::from_millis(1_000);

/// Holds the incarnation of each host at the last look.
type Incarnations = HashMap<HostName, Incarnation>;

/// Sweeps for as long as the daemon runs.
pub(crate) async fn sweep(node: Arc<Node>) {
    let (mut entries, mut servers) = (Incarnations::new(), Incarnations::new());
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        entries = note_entry_deaths(&node, &entries);
        servers = note_server_deaths(&node, &servers).await;
        node.quarantine.contents.sweep(node.now_ms());
    }
}

fn note_entry_deaths(node: &Node, known: &Incarnations) -> Incarnations {
    let now_ms = node.now_ms();
    let entries = node.hosts.entry_hosts(now_ms).into_iter();
    let live: Incarnations = entries.map(|entry| (entry.host, entry.incarnation)).collect();
    for (host, incarnation) in known {
        if live.get(host) != Some(incarnation) {
            node.quarantine.contents.entry_host_crashed(host, now_ms);
        }
    }
    live
}

/// The entry host of a run may have died with its server, so each host that follows a run looks
/// for itself.
async fn note_server_deaths(node: &Arc<Node>, known: &Incarnations) -> Incarnations {
    let servers = node.hosts.all_servers(node.now_ms()).into_iter();
    let listed: Incarnations = servers.map(|server| (server.host, server.incarnation)).collect();
    for (host, before) in known {
        if listed.get(host).is_some_and(|incarnation| incarnation > before) {
            watch::server_died(Arc::clone(node), host.clone(), *before).await;
        }
    }
    listed
}
