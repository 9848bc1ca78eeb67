//! Follows the platform's host list.

use crate::constants::HOST_LIST_INTERVAL;
use crate::counters::Counter;
use crate::node::Node;
use std::sync::Arc;

/// Reads the list at intervals for as long as the daemon runs.
pub(crate) async fn follow(node: Arc<Node>) {
    loop {
        let now_ms = node.now_ms();
        if node.hosts.view(now_ms).is_list_reader(&node.settings.host) {
            read(&node).await;
        }
        tokio::time::sleep(HOST_LIST_INTERVAL).await;
    }
}

async fn read(node: &Node) {
    match node.clients.host_list.read().await {
        Ok(list) => node.hosts.merge_list(list, node.now_ms()),
        Err(error) => {
            node.counters.count(Counter::HostListFailures);
            log::warn!("cannot read the host list: {error}");
        }
    }
}
