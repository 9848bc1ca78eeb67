//! Follows the platform's host list.

use crate::constants::HOST_LIST_INTERVAL;
use crate::counters::Counter;
use crate::node::Node;
use std::sync::Arc;

/// Reads the list at intervals for as long as the daemon runs.
pub(crate) async fn follow(node: Arc<Node>) {
    loop {
        match node.clients.host_list.read().await {
            Ok(list) => node.hosts.update(list),
            Err(error) => {
                node.counters.count(Counter::HostListFailures);
                log::warn!("cannot read the host list: {error}");
            }
        }
        tokio::time::sleep(HOST_LIST_INTERVAL).await;
    }
}
