//! Pushes updates to other gateways as events occur.

use crate::link::{Call, Link};
use crate::node::Node;
use crate::peers::failures;
use crate::peers::message::{self, UPDATE_PATH};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Mutex;
use tokio::task::JoinSet;

/// How long events are gathered before an update is sent.
const BATCH_DELAY: Duration = Duration::from_millis(40);
/// How long a peer may take to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

/// Sends the updates of the outbox until the process exits.
pub async fn run(node: Arc<Node>) {
    let mut links: HashMap<SocketAddr, Arc<Mutex<Link>>> = HashMap::new();
    loop {
        node.update_queued.notified().await;
        tokio::time::sleep(BATCH_DELAY).await;
        let update = node.take_outbox();
        if update.is_empty() {
            continue;
        }
        let body = message::encode_with(&update, &update.store_era);
        let peers: Vec<SocketAddr> =
            node.state().gateways.peers().map(|record| record.peer_address).collect();
        links.retain(|address, _| peers.contains(address));
        let mut calls = JoinSet::new();
        for peer in peers {
            let link = links.entry(peer).or_insert_with(|| Arc::new(Mutex::new(Link::new(peer))));
            let (link, body, node) = (Arc::clone(link), body.clone(), Arc::clone(&node));
            calls.spawn(async move {
                let call = Call::post(UPDATE_PATH, body, ANSWER_TIMEOUT);
                let answer = link.lock().await.call(call).await;
                answer.inspect_err(|error| failures::record(&node, peer, error)).is_ok()
            });
        }
        while let Some(result) = calls.join_next().await {
            let name = if result.unwrap_or(false) { "peer_calls" } else { "peer_failures" };
            node.metrics.count(name, "news");
        }
    }
}
