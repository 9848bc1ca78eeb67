//! Follows the platform's host list.

use crate::constants::HOST_LIST_INTERVAL;
use crate::counters::Counter;
use crate::node::Node;
use control::backoff::Backoff;
use rand::Rng;
use std::sync::Arc;
use std::time::Duration;

/// Reads the list at intervals for as long as the daemon runs.
pub(crate) async fn follow(node: Arc<Node>) {
    let mut backoff = Backoff::new();
    loop {
        let now_ms = node.now_ms();
        if node.hosts.view(now_ms).is_list_reader(&node.settings.host) {
            read(&node, &mut backoff).await;
        }
        tokio::time::sleep(HOST_LIST_INTERVAL).await;
    }
}

async fn read(node: &Node, backoff: &mut Backoff) {
    match node.clients.host_list.read().await {
        Ok(list) => {
            backoff.record_success();
            node.hosts.merge_list(list, node.now_ms());
        }
        Err(error) => {
            node.counters.count(Counter::HostListFailures);
            let pause_ms = backoff.record_failure(rand::rng().random());
            if backoff.should_log() {
                log::warn!("cannot read the host list: {error}");
            }
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        }
    }
}
