//! Sends the terms that servers name to peers, and again until they have them.
//!
//! A message holds all terms that this gateway knows, so that it can be lost, repeated and overtaken.

use crate::cold;
use crate::link::{Call, Link, is_ok};
use crate::node::Node;
use crate::peers::message;
use crate::server_answers;
use dispatch::cold::ColdReport;
use dispatch::terms::TermsReport;
use protocol::ids::FailureDomain;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::{Mutex, Notify};
use tokio::task::JoinSet;

/// The path that receives terms.
pub const TERMS_PATH: &str = "/peers/terms";
/// How long changes are gathered before they are sent.
const BATCH_DELAY: Duration = Duration::from_millis(20);
/// The delay before terms are sent again to peers that did not answer, and the interval at which
/// gateways that have started are looked for.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// The maximum of that delay, in retries, for a peer that does not answer for long.
const MAX_RETRIES_SKIPPED: u32 = 16;
/// How long a peer may take to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

/// The terms that a gateway sends to another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TermsMessage {
    /// The sender's failure domain.
    pub domain: FailureDomain,
    /// All terms that it knows.
    pub reports: Vec<TermsReport>,
}

/// How far a change of terms must be sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Spread {
    /// To all peers, because this gateway noticed it.
    All,
    /// To the peers of this failure domain, because it came from another one.
    Domain,
    /// To nobody: whoever sent it reaches the others too.
    None,
}

/// Counts the changes that peers must receive.
#[derive(Debug, Default)]
pub struct TermsExchange {
    /// The changes that all peers must receive.
    for_all: AtomicU64,
    /// The further changes that only the peers of this failure domain must receive.
    for_domain: AtomicU64,
    changed: Notify,
}

impl TermsExchange {
    /// Notes a change of the terms of a server.
    pub fn note_change(&self, spread: Spread) {
        match spread {
            Spread::All => &self.for_all,
            Spread::Domain => &self.for_domain,
            Spread::None => return,
        }
        .fetch_add(1, Ordering::Relaxed);
        self.changed.notify_one();
    }

    fn revision(&self, is_local: bool) -> u64 {
        let for_domain = if is_local { self.for_domain.load(Ordering::Relaxed) } else { 0 };
        self.for_all.load(Ordering::Relaxed) + for_domain
    }
}

/// A peer to which terms are sent.
#[derive(Debug)]
struct Recipient {
    link: Arc<Mutex<Link>>,
    /// The incarnation of its process.
    incarnation: u64,
    /// The changes that it has received.
    received: u64,
    failures: u32,
    /// The rounds for which it is left out.
    skipped: u32,
}

/// Sends the terms that this gateway knows until the process exits.
pub async fn run(node: Arc<Node>) {
    let mut recipients: HashMap<SocketAddr, Recipient> = HashMap::new();
    loop {
        let changed = node.terms_exchange.changed.notified();
        // What failed is sent again, and gateways may have started.
        drop(tokio::time::timeout(RETRY_DELAY, changed).await);
        tokio::time::sleep(BATCH_DELAY).await;
        if node.terms_exchange.revision(true) > 0 {
            send_all(&node, &mut recipients).await;
        }
    }
}

async fn send_all(node: &Arc<Node>, recipients: &mut HashMap<SocketAddr, Recipient>) {
    let addresses = addresses(node);
    recipients.retain(|address, _| addresses.iter().any(|(other, ..)| other == address));
    let mut calls = JoinSet::new();
    let mut message = None;
    for (address, incarnation, is_local) in addresses {
        let new = || Recipient {
            link: Arc::new(Mutex::new(Link::new(address))),
            incarnation,
            received: 0,
            failures: 0,
            skipped: 0,
        };
        let recipient = recipients.entry(address).or_insert_with(new);
        if recipient.incarnation != incarnation {
            *recipient = new();
        }
        let revision = node.terms_exchange.revision(is_local);
        if recipient.received >= revision {
            continue;
        }
        if recipient.skipped > 0 {
            recipient.skipped -= 1;
            continue;
        }
        let body = message.get_or_insert_with(|| encode_terms(node)).clone();
        let link = Arc::clone(&recipient.link);
        calls.spawn(async move {
            let call = Call::post(TERMS_PATH, body, ANSWER_TIMEOUT);
            let answer = link.lock().await.call(call).await;
            (address, revision, answer.is_ok_and(|answer| is_ok(&answer)))
        });
    }
    while let Some(result) = calls.join_next().await {
        let Ok((address, revision, is_received)) = result else { continue };
        node.metrics.count(if is_received { "peer_calls" } else { "peer_failures" }, "terms");
        let Some(recipient) = recipients.get_mut(&address) else { continue };
        if is_received {
            (recipient.received, recipient.failures) = (revision, 0);
        } else {
            recipient.failures = (recipient.failures + 1).min(MAX_RETRIES_SKIPPED.ilog2());
            recipient.skipped = (1 << recipient.failures) - 2;
        }
    }
}

fn encode_terms(node: &Node) -> Vec<u8> {
    let reports = node.state().terms.reports(node.now_ms());
    let domain = node.settings.failure_domain.clone();
    message::encode_with(&TermsMessage { domain, reports }, &cold::reports(node))
}

/// Returns the address and incarnation of each recipient, and whether it also receives what comes
/// from other failure domains.
fn addresses(node: &Node) -> Vec<(SocketAddr, u64, bool)> {
    let state = node.state();
    let domain = &node.settings.failure_domain;
    let relays = if state.gateways.is_small() { Vec::new() } else { state.gateways.relays(domain) };
    let peers = state.gateways.peers().filter_map(|record| {
        let is_local = record.failure_domain == *domain;
        let address = record.peer_address;
        let is_recipient = is_local || state.gateways.is_small() || relays.contains(&address);
        is_recipient.then_some((address, record.incarnation, is_local))
    });
    peers.collect()
}

/// Applies the terms that a peer sent, and what it knows of cold servers.
pub fn receive(node: &Node, message: TermsMessage, cold: &[ColdReport]) {
    let is_remote = message.domain != node.settings.failure_domain;
    let is_relayed = is_remote && !node.state().gateways.is_small();
    let spread = if is_relayed { Spread::Domain } else { Spread::None };
    cold::apply_reports(node, cold, spread);
    for report in message.reports {
        server_answers::apply_report(node, report, spread);
    }
}
