//! Sends to cold servers: asks the holder of each, and answers as a holder.

use crate::cold;
use crate::limits::{ANSWER_TIMEOUT, Ask, ColdLinks, Holder, NO_HOLDER_PAUSE_MS, find_holders};
use crate::link::{Call, Link, is_ok};
use crate::node::Node;
use crate::peers::{self, Spread};
use crate::server_answers::ServerIdentity;
use dispatch::cold::ColdReport;
use dispatch::limits::{Grant, HolderRole, OrganisationTag, Urgency};
use dispatch::registry::ServerId;
use protocol::ids::{HostName, Incarnation};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use tokio::sync::MutexGuard;

/// The path that receives questions for sends to cold servers. Gateways of earlier builds do not
/// know it and count as holders that do not answer.
pub const COLD_GRANT_PATH: &str = "/peers/cold-grants";
/// The delay after which a holder that does not know a server yet may be asked again, in
/// milliseconds.
const UNKNOWN_RETRY_MS: u64 = 150;

/// The message to the holder of a cold server.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ColdGrantRequest {
    /// The server.
    pub server: ServerId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// What the asking gateway knows of it.
    pub report: Option<ColdReport>,
    /// The urgency of the request.
    pub urgency: Urgency,
    /// The request's organisation.
    pub organisation: OrganisationTag,
}

/// The answer of a cold server's holder.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ColdGrantAnswer {
    /// The delay after which to ask again, in milliseconds; `None` if the send is granted.
    pub retry_after_ms: Option<u64>,
    /// What the holder knows of the server.
    pub report: Option<ColdReport>,
}

/// Returns whether an incarnation of a server is cold, as far as this gateway knows.
pub(super) fn is_cold(node: &Node, server: &ServerIdentity) -> bool {
    let state = node.state();
    let registered = state.registry.get(&server.id).map(|(entry, _)| entry);
    let current = registered.filter(|entry| entry.incarnation == server.incarnation);
    current.is_some_and(|entry| state.cold.limit_of(entry, node.now_ms()).is_some())
}

/// Asks for one send to a cold server; returns whether it is granted.
pub(super) async fn ask(node: &Node, ask: &Ask) -> bool {
    let ServerIdentity { id, incarnation } = &ask.server;
    for holder in find_cold_holders(node, id) {
        let (retry_after_ms, kind) = match holder {
            Holder::Local => (take(node, ask), "local"),
            Holder::Peer(host, address) => match call(node, ask, &host, address).await {
                Some(answer) => (answer.retry_after_ms, "peer"),
                None => continue,
            },
        };
        let Some(retry_after_ms) = retry_after_ms else {
            node.metrics.count("cold_grants", kind);
            return true;
        };
        node.metrics.count("cold_grants", "refused");
        let until_ms = node.now_ms() + retry_after_ms;
        node.state().cold.asks.refuse(id, *incarnation, ask.urgency, until_ms);
        return false;
    }
    node.metrics.count("cold_grants", "no_holder");
    let until_ms = node.now_ms() + NO_HOLDER_PAUSE_MS;
    node.state().cold.asks.refuse(id, *incarnation, ask.urgency, until_ms);
    false
}

/// Returns the holders of a cold server that may be asked now. No other gateway replaces one that
/// does not answer: only two may grant at a time, and no gateway is its own holder for lack of peers.
fn find_cold_holders(node: &Node, server: &ServerId) -> impl Iterator<Item = Holder> {
    let now_ms = node.now_ms();
    let state = node.state();
    find_holders(node, &state, server, |_| false, |host| state.cold.asks.may_ask(host, now_ms))
        .into_iter()
}

/// Takes a grant of this gateway; returns the delay until the next one if there is none.
fn take(node: &Node, ask: &Ask) -> Option<u64> {
    let ServerIdentity { id, incarnation } = &ask.server;
    let now_ms = node.now_ms();
    let mut guard = node.state();
    let state = &mut *guard;
    let entry = state.registry.get(id).map(|(entry, _)| entry);
    let Some(limit) = entry.and_then(|entry| state.cold.limit(&entry.service)) else {
        return Some(UNKNOWN_RETRY_MS);
    };
    let host = &node.settings.host;
    let is_first = state.cold.listings.is_settled_first(host, id, now_ms);
    let shape = limit.shape(if is_first { HolderRole::First } else { HolderRole::Other });
    let Ask { urgency, organisation, .. } = ask;
    match state.grants.take_cold(id, *incarnation, shape, *urgency, *organisation, now_ms) {
        Grant::Granted => None,
        Grant::Refused { retry_after_ms } => Some(retry_after_ms),
    }
}

/// Locks the first of some links that is free, or waits for one.
async fn lock_any(links: &ColdLinks) -> MutexGuard<'_, Link> {
    match links.iter().find_map(|link| link.try_lock().ok()) {
        Some(link) => link,
        None => links[0].lock().await,
    }
}

/// Returns for how long the holder of a server has refused this gateway; `None` if it has not.
fn refused_for_ms(node: &Node, ask: &Ask) -> Option<u64> {
    let ServerIdentity { id, incarnation } = &ask.server;
    let now_ms = node.now_ms();
    let state = node.state();
    let until_ms = state.cold.asks.refused_until_ms(id, *incarnation, ask.urgency, now_ms)?;
    Some(until_ms - now_ms)
}

async fn call(
    node: &Node,
    ask: &Ask,
    host: &HostName,
    address: SocketAddr,
) -> Option<ColdGrantAnswer> {
    let ServerIdentity { id, incarnation } = &ask.server;
    let request = ColdGrantRequest {
        server: id.clone(),
        incarnation: *incarnation,
        report: node.state().cold.table.report(id, *incarnation, node.now_ms()),
        urgency: ask.urgency,
        organisation: ask.organisation,
    };
    let links = node.grant_calls.cold_links(address);
    let locked = tokio::time::timeout(ANSWER_TIMEOUT, lock_any(&links)).await;
    let refused_ms = refused_for_ms(node, ask);
    let (Ok(mut link), None) = (locked, refused_ms) else {
        // The holder is busy with questions of this gateway, or has refused one meanwhile.
        let retry_after_ms = Some(refused_ms.unwrap_or(UNKNOWN_RETRY_MS));
        return Some(ColdGrantAnswer { retry_after_ms, report: None });
    };
    let call = Call::post(COLD_GRANT_PATH, peers::encode(&request), ANSWER_TIMEOUT);
    let answer = tokio::time::timeout(ANSWER_TIMEOUT, link.call(call)).await;
    drop(link);
    let answer = answer.ok().and_then(Result::ok).filter(is_ok);
    let answer = answer.and_then(|answer| peers::decode::<ColdGrantAnswer>(answer.body()));
    let now_ms = node.now_ms();
    let Some(answer) = answer else {
        node.metrics.count("peer_failures", "cold_grant");
        node.state().cold.asks.record_failure(host, now_ms);
        return None;
    };
    node.metrics.count("peer_calls", "cold_grant");
    node.state().cold.asks.record_answer(host);
    cold::apply_reports(node, answer.report.as_slice(), Spread::None);
    Some(answer)
}

/// Answers a gateway that asks for a send to a cold server.
pub fn answer(node: &Node, request: ColdGrantRequest) -> ColdGrantAnswer {
    let ColdGrantRequest { server, incarnation, report, urgency, organisation } = request;
    cold::apply_reports(node, report.as_slice(), Spread::None);
    let server = ServerIdentity { id: server, incarnation };
    let ask = Ask { server, urgency, organisation };
    // A gateway that takes the server for cold gets no more than others, also where this one knows
    // better: it learns that from the answer.
    let retry_after_ms = take(node, &ask);
    node.metrics.count("cold_grants", if retry_after_ms.is_none() { "given" } else { "denied" });
    let report = node.state().cold.table.report(&ask.server.id, incarnation, node.now_ms());
    ColdGrantAnswer { retry_after_ms, report }
}
