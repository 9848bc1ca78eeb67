//! Telling other gateways news as it happens.

use crate::link::{Call, Link};
use crate::node::Node;
use crate::peers::message::{self, NEWS_PATH};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Mutex;
use tokio::task::JoinSet;

/// How long news gathers before it is told.
const GATHER: Duration = Duration::from_millis(40);
/// How long a peer may take to hear news.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

/// Tells news for as long as the process lives.
pub async fn run(node: Arc<Node>) {
    let mut links: HashMap<SocketAddr, Arc<Mutex<Link>>> = HashMap::new();
    loop {
        node.has_news.notified().await;
        tokio::time::sleep(GATHER).await;
        let news = node.take_news();
        if news.is_empty() {
            continue;
        }
        let body = message::encode(&news);
        let peers: Vec<SocketAddr> =
            node.state().gateways.others().map(|record| record.peers).collect();
        links.retain(|address, _| peers.contains(address));
        let mut calls = JoinSet::new();
        for peer in peers {
            let link = links.entry(peer).or_insert_with(|| Arc::new(Mutex::new(Link::new(peer))));
            let (link, body) = (Arc::clone(link), body.clone());
            calls.spawn(async move {
                let call = Call::post(NEWS_PATH, body, ANSWER_TIMEOUT);
                link.lock().await.call(call).await.is_ok()
            });
        }
        while let Some(heard) = calls.join_next().await {
            let name = if heard.unwrap_or(false) { "peer_calls" } else { "peer_failures" };
            node.metrics.count(name, "news");
        }
    }
}
