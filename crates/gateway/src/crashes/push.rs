//! Sends evidence to peers, and again until they have it.

use crate::crashes::{forward, learn};
use crate::link::{Call, Link, is_ok};
use crate::node::Node;
use crate::peers;
use dispatch::crashes::{Evidence, EvidenceReport};
use protocol::ids::FailureDomain;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Mutex;
use tokio::task::JoinSet;

/// The path that receives evidence.
pub const EVIDENCE_PATH: &str = "/peers/crashes";
/// How long evidence is gathered before it is sent.
const BATCH_DELAY: Duration = Duration::from_millis(20);
/// The delay before evidence is sent again to peers that did not answer.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// How long a peer may take to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

/// Evidence that a gateway sends to another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EvidenceMessage {
    /// The sender's failure domain.
    pub domain: FailureDomain,
    /// The evidence.
    pub report: EvidenceReport,
}

/// A peer to which evidence is sent.
#[derive(Debug)]
struct Recipient {
    link: Arc<Mutex<Link>>,
    unsent: Evidence,
}

/// Sends the evidence of the outbox until the process exits.
pub async fn run(node: Arc<Node>) {
    let mut recipients: HashMap<SocketAddr, Recipient> = HashMap::new();
    loop {
        let queued = node.crash_exchange.queued.notified();
        if recipients.values().all(|recipient| recipient.unsent.is_empty()) {
            queued.await;
        } else {
            // What failed is sent again with or without more evidence.
            drop(tokio::time::timeout(RETRY_DELAY, queued).await);
        }
        tokio::time::sleep(BATCH_DELAY).await;
        take_outbox(&node, &mut recipients);
        send_all(&node, &mut recipients).await;
    }
}

fn take_outbox(node: &Node, recipients: &mut HashMap<SocketAddr, Recipient>) {
    let outbox = std::mem::take(&mut *node.crash_exchange.lock());
    let (in_domain, remote) = addresses(node);
    recipients.retain(|address, _| in_domain.contains(address) || remote.contains(address));
    for address in in_domain.iter().chain(&remote) {
        let recipient = recipients.entry(*address).or_insert_with(|| Recipient {
            link: Arc::new(Mutex::new(Link::new(*address))),
            unsent: Evidence::default(),
        });
        recipient.unsent.merge(&outbox.noticed);
        if in_domain.contains(address) {
            recipient.unsent.merge(&outbox.forwarded);
        }
    }
}

/// Returns the peers in the same failure domain, and the others to which this gateway sends what it
/// noticed: all in a small installation, in a large one a few of each domain, which forward it.
fn addresses(node: &Node) -> (BTreeSet<SocketAddr>, BTreeSet<SocketAddr>) {
    let state = node.state();
    let domain = &node.settings.failure_domain;
    let peers = || state.gateways.peers();
    let local = peers().filter(|record| record.failure_domain == *domain);
    let local = local.map(|record| record.peer_address).collect();
    let remote = if state.gateways.is_small() {
        peers().map(|record| record.peer_address).collect()
    } else {
        state.gateways.relays(domain).into_iter().collect()
    };
    (local, remote)
}

async fn send_all(node: &Arc<Node>, recipients: &mut HashMap<SocketAddr, Recipient>) {
    let mut calls = JoinSet::new();
    for (address, recipient) in recipients.iter_mut().filter(|(_, held)| !held.unsent.is_empty()) {
        let domain = node.settings.failure_domain.clone();
        let message = EvidenceMessage { domain, report: recipient.unsent.to_report(node.now_ms()) };
        let call = Call::post(EVIDENCE_PATH, peers::encode(&message), ANSWER_TIMEOUT);
        let (link, address) = (Arc::clone(&recipient.link), *address);
        calls.spawn(async move {
            let answer = link.lock().await.call(call).await;
            (address, answer.is_ok_and(|answer| is_ok(&answer)))
        });
    }
    while let Some(result) = calls.join_next().await {
        let Ok((address, is_sent)) = result else { continue };
        node.metrics.count(if is_sent { "peer_calls" } else { "peer_failures" }, "crashes");
        if let Some(recipient) = recipients.get_mut(&address).filter(|_| is_sent) {
            recipient.unsent = Evidence::default();
        }
    }
}

/// Applies evidence that a peer sent.
pub fn receive(node: &Node, message: EvidenceMessage) {
    let evidence = Evidence::from_report(message.report, 0, node.now_ms());
    let is_new = learn(node, &evidence, "peer");
    let is_small = node.state().gateways.is_small();
    if is_new && !is_small && message.domain != node.settings.failure_domain {
        forward(node, &evidence);
    }
}
