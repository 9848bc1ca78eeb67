//! Requests that crash servers: finds out whether a server has crashed when an attempt is aborted,
//! and exchanges the evidence with other gateways.
//!
//! Evidence goes to peers by calls that are repeated until they are answered, and into the
//! platform's store for gateways that start later or that no peer reaches.

mod confirm;
mod push;
mod store;
mod trial;

pub use crate::crashes::push::{EVIDENCE_PATH, EvidenceMessage, receive, run as push};
pub use crate::crashes::store::{read, write};
pub use crate::crashes::trial::claim as claim_trial;

use crate::callers::CallerRequest;
use crate::event;
use crate::node::Node;
use crate::store::StoreClient;
use dispatch::crashes::{Aborted, CrashId, Evidence, Feature, Features};
use dispatch::registry::{RegistryStatus, ServerEntry};
use platform::prompt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::Notify;

/// The evidence that waits to be sent to peers.
#[derive(Debug, Default)]
pub struct CrashExchange {
    outbox: Mutex<Outbox>,
    /// Woken when the outbox holds evidence.
    queued: Notify,
    /// Woken when this gateway has noticed something itself.
    noticed: Notify,
    /// Woken when the store has been read for the first time.
    listed: Notify,
    /// Held while this gateway's record is written.
    writing: tokio::sync::Mutex<()>,
    /// Held while a trial is claimed; the client connects with the first claim.
    claims: tokio::sync::Mutex<Option<StoreClient>>,
}

#[derive(Debug, Default)]
struct Outbox {
    /// What this gateway noticed, for all recipients.
    noticed: Evidence,
    /// What it received from other failure domains, for its own.
    forwarded: Evidence,
}

impl CrashExchange {
    fn lock(&self) -> MutexGuard<'_, Outbox> {
        self.outbox.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Records an attempt that was aborted, and finds out whether its server has crashed. A segment
/// crashes servers as an answer begins, so it is no suspect once the answer `has_begun`.
pub fn record_aborted(
    node: &Arc<Node>,
    server: &Arc<ServerEntry>,
    request: &CallerRequest,
    has_begun: bool,
) {
    let now_ms = node.now_ms();
    let id = CrashId { server: server.id.clone(), incarnation: server.incarnation };
    let features = if has_begun {
        [Feature::content(&request.content)].into_iter().collect()
    } else {
        request.features()
    };
    let aborted = {
        let mut state = node.state();
        let registered = state.registry.get(&id.server);
        let has_left = registered.is_some_and(|(entry, status)| {
            entry.incarnation == id.incarnation && status == RegistryStatus::Leaving
        });
        let is_overloaded = state.terms.has_refused(&id.server, id.incarnation, now_ms);
        // It was expected to end, or ended for another reason than its requests.
        if has_left || is_overloaded {
            return;
        }
        state.crashes.record_aborted(&id, features, now_ms)
    };
    match aborted {
        Aborted::Confirm => {
            tokio::spawn(confirm::run(Arc::clone(node), Arc::clone(server), id));
        }
        Aborted::Unconfirmed => {}
        Aborted::Crashed(evidence) => publish(node, &evidence),
    }
}

/// Records a whole answer that began at a time, which clears its request and its segments.
pub fn record_answered(node: &Node, request: &CallerRequest, began_ms: u64) {
    if !node.state().crashes.known().is_empty() {
        clear(node, request, &request.features(), began_ms);
    }
}

/// Records that a stream went on after its first events, which clears the segments: they crash
/// servers as an answer begins.
pub fn record_progress(node: &Node, request: &CallerRequest, began_ms: u64) {
    let Some(prompt) = &request.spec.prompt else { return };
    if node.state().crashes.known().is_empty() {
        return;
    }
    let segments: Features = Feature::segments(prompt).map(|(feature, _)| feature).collect();
    clear(node, request, &segments, began_ms);
}

fn clear(node: &Node, request: &CallerRequest, features: &Features, began_ms: u64) {
    let evidence = node.state().crashes.clear(features, began_ms, node.now_ms());
    if evidence.is_empty() {
        return;
    }
    node.metrics.count("crashes", "cleared");
    event!(info, node.now_ms(), "request_cleared", {
        "request": request.id_text(),
        "content": request.content.to_string(),
        "parts": request.spec.prompt.as_ref().map(prompt::format_segments),
        "crashes": evidence.crashes.len(),
    });
    publish(node, &evidence);
}

/// Sends evidence that this gateway noticed to its peers and into the store.
fn publish(node: &Node, evidence: &Evidence) {
    let exchange = &node.crash_exchange;
    exchange.lock().noticed.merge(evidence);
    exchange.queued.notify_one();
    exchange.noticed.notify_one();
}

/// Applies evidence of other gateways; returns whether it held anything new.
fn learn(node: &Node, evidence: &Evidence, source: &str) -> bool {
    let now_ms = node.now_ms();
    let is_new = node.state().crashes.learn(evidence, now_ms);
    if is_new {
        event!(info, now_ms, "crashes_learnt", {
            "crashes": evidence.crashes.len(),
            "source": source,
        });
    }
    is_new
}

/// Sends evidence on to the peers of this failure domain.
fn forward(node: &Node, evidence: &Evidence) {
    node.crash_exchange.lock().forwarded.merge(evidence);
    node.crash_exchange.queued.notify_one();
}
