//! Sends to servers that name a limit: asks the holder of each, and answers as a holder.

mod cold;
mod refresh;

pub use crate::limits::cold::{
    COLD_GRANT_PATH, ColdGrantAnswer, ColdGrantRequest, answer as answer_cold,
};
pub use crate::limits::refresh::run as refresh;

use crate::link::{Call, Link, is_ok};
use crate::node::Node;
use crate::peers::{self, Spread};
use crate::routing_state::RoutingState;
use crate::server_answers::{self, ServerIdentity};
use dispatch::limits::{GRANT_TTL_MS, Grant, OrganisationTag, Urgency, holders};
use dispatch::registry::{ServerEntry, ServerId};
use dispatch::request::RequestSpec;
use dispatch::terms::TermsReport;
use protocol::ids::HostName;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::Mutex as AsyncMutex;

/// The path that receives questions for sends.
pub const GRANT_PATH: &str = "/peers/grants";
/// How long a holder may take to answer. The longest round trip takes some 30 ms.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(120);
/// How long a server gets nothing after none of its holders answered, in milliseconds.
const NO_HOLDER_PAUSE_MS: u64 = 300;

/// A question for one send to a limited server.
#[derive(Clone, Debug)]
pub struct Ask {
    server: ServerIdentity,
    urgency: Urgency,
    organisation: OrganisationTag,
}

impl Ask {
    /// Asks for a send of a request.
    pub fn new(entry: &ServerEntry, spec: &RequestSpec) -> Self {
        Self {
            server: ServerIdentity::new(entry),
            urgency: spec.urgency(),
            organisation: OrganisationTag::new(spec.organisation.as_ref()),
        }
    }

    /// Asks for a health check, which yields to all requests.
    pub fn for_check(entry: &ServerEntry) -> Self {
        let organisation = OrganisationTag::new(None);
        Self { server: ServerIdentity::new(entry), urgency: Urgency::new(u8::MAX), organisation }
    }
}

/// The right to send one request to a server.
#[derive(Clone, Copy, Debug)]
pub struct Permit {
    /// When it expires, on the node's clock; `None` without a limit.
    until_ms: Option<u64>,
    /// Whether it also holds while the server is cold.
    is_for_cold: bool,
}

impl Permit {
    /// Returns whether the request may still be sent.
    pub fn is_valid(&self, now_ms: u64) -> bool {
        self.until_ms.is_none_or(|until_ms| now_ms <= until_ms)
    }

    /// Returns whether the request may also be sent if the server is cold.
    pub const fn is_for_cold(&self) -> bool {
        self.is_for_cold
    }
}

/// The message to a holder.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct GrantRequest {
    /// The server and what the asking gateway knows of its terms.
    pub report: TermsReport,
    /// The urgency of the request.
    pub urgency: Urgency,
    /// The request's organisation.
    pub organisation: OrganisationTag,
}

/// A holder's answer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct GrantAnswer {
    /// The delay after which to ask again, in milliseconds; `None` if the send is granted.
    pub retry_after_ms: Option<u64>,
    /// What the holder knows of the server's terms.
    pub report: TermsReport,
}

/// The connections to one holder for cold servers. Requests for them are a dozen a second for each
/// server, and a round trip between regions takes 25 ms; those after the first open on demand.
type ColdLinks = [AsyncMutex<Link>; 4];

/// The connections to holders.
#[derive(Debug, Default)]
pub struct GrantCalls {
    links: Mutex<HashMap<SocketAddr, Arc<AsyncMutex<Link>>>>,
    cold_links: Mutex<HashMap<SocketAddr, Arc<ColdLinks>>>,
}

impl GrantCalls {
    fn link(&self, address: SocketAddr) -> Arc<AsyncMutex<Link>> {
        let mut links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(
            links.entry(address).or_insert_with(|| Arc::new(AsyncMutex::new(Link::new(address)))),
        )
    }

    fn cold_links(&self, address: SocketAddr) -> Arc<ColdLinks> {
        let mut links = self.cold_links.lock().unwrap_or_else(PoisonError::into_inner);
        let new = || Arc::new(std::array::from_fn(|_| AsyncMutex::new(Link::new(address))));
        Arc::clone(links.entry(address).or_insert_with(new))
    }
}

/// Where a holder is.
#[derive(Clone, Debug)]
enum Holder {
    /// This gateway.
    Local,
    /// Another one.
    Peer(HostName, SocketAddr),
}

/// Asks for one send to a server; returns `None` if it is not granted.
pub async fn ask(node: &Node, ask: &Ask) -> Option<Permit> {
    let asked_ms = node.now_ms();
    let ServerIdentity { id, incarnation } = &ask.server;
    let is_for_cold = cold::is_cold(node, &ask.server);
    if is_for_cold && !cold::ask(node, ask).await {
        return None;
    }
    let terms = node.state().terms.terms(id, *incarnation);
    if !terms.needs_grants() {
        let until_ms = is_for_cold.then_some(asked_ms + GRANT_TTL_MS);
        return Some(Permit { until_ms, is_for_cold });
    }
    let permit = Permit { until_ms: Some(asked_ms + GRANT_TTL_MS), is_for_cold };
    for holder in find_limit_holders(node, id) {
        let retry_after_ms = match holder {
            Holder::Local => take_local(node, ask),
            Holder::Peer(host, address) => match call(node, ask, &host, address).await {
                Some(answer) => answer.retry_after_ms,
                None => continue,
            },
        };
        let Some(retry_after_ms) = retry_after_ms else {
            node.metrics.count("grants", "used");
            return Some(permit);
        };
        node.metrics.count("grants", "refused");
        let until_ms = node.now_ms() + retry_after_ms;
        node.state().asks.refuse(id, *incarnation, ask.urgency, until_ms);
        return None;
    }
    node.metrics.count("grants", "no_holder");
    if terms.limit.is_none() {
        // The load that is reported to this gateway has to do.
        return Some(permit);
    }
    let until_ms = node.now_ms() + NO_HOLDER_PAUSE_MS;
    node.state().asks.refuse(id, *incarnation, ask.urgency, until_ms);
    None
}

/// Returns the holders of a server that may be asked now.
fn find_limit_holders(node: &Node, server: &ServerId) -> SmallVec<[Holder; 2]> {
    let now_ms = node.now_ms();
    let state = node.state();
    let is_replaced = |host: &HostName| state.asks.is_replaced(host);
    find_holders(node, &state, server, is_replaced, |host| state.asks.may_ask(host, now_ms))
}

/// Returns the holders of a server among the gateways that are not replaced, as far as they may be
/// asked.
fn find_holders(
    node: &Node,
    state: &RoutingState,
    server: &ServerId,
    is_replaced: impl Fn(&HostName) -> bool,
    may_ask: impl Fn(&HostName) -> bool,
) -> SmallVec<[Holder; 2]> {
    let settings = &node.settings;
    let local = std::iter::once((&settings.host, &settings.failure_domain));
    let peers = state.gateways.peers().filter(|record| !is_replaced(&record.host));
    let peers = peers.map(|record| (&record.host, &record.failure_domain));
    let gateways: Vec<_> = local.chain(peers).collect();
    let found = holders(server, &gateways);
    let address = |host: &HostName| {
        state.gateways.peers().find(|record| record.host == *host).map(|record| record.peer_address)
    };
    let found = found.into_iter().filter_map(|host| {
        if *host == settings.host {
            return Some(Holder::Local);
        }
        address(host).filter(|_| may_ask(host)).map(|address| Holder::Peer(host.clone(), address))
    });
    found.collect()
}

/// Returns whether this gateway is the first holder of a server.
fn is_first_holder(node: &Node, server: &ServerId) -> bool {
    matches!(find_limit_holders(node, server).first(), Some(Holder::Local))
}

/// Takes a grant of this gateway; returns the delay until the next one if there is none.
fn take_local(node: &Node, ask: &Ask) -> Option<u64> {
    let Ask { server: ServerIdentity { id, incarnation }, urgency, organisation } = ask;
    let now_ms = node.now_ms();
    let mut guard = node.state();
    let state = &mut *guard;
    let terms = state.terms.terms(id, *incarnation);
    if terms.max_refusals.is_some() {
        if let Some(until_ms) = state.terms.refused_until_ms(id, *incarnation, now_ms) {
            return Some(until_ms - now_ms);
        }
        let slots = state.registry.get(id).map_or(1, |(entry, _)| entry.slots);
        let in_flight = state.loads.view(id, now_ms).in_flight as f64 * state.gateway_ratio();
        let grant = state.grants.take_room(id, in_flight, slots, *urgency, now_ms);
        if let Grant::Refused { retry_after_ms } = grant {
            return Some(retry_after_ms);
        }
    }
    match state.grants.take(id, *incarnation, terms.limit?, *urgency, *organisation, now_ms) {
        Grant::Granted => None,
        Grant::Refused { retry_after_ms } => Some(retry_after_ms),
    }
}

async fn call(node: &Node, ask: &Ask, host: &HostName, address: SocketAddr) -> Option<GrantAnswer> {
    let report = node.state().terms.report(&ask.server.id, node.now_ms())?;
    let request = GrantRequest { report, urgency: ask.urgency, organisation: ask.organisation };
    let link = node.grant_calls.link(address);
    let call = Call::post(GRANT_PATH, peers::encode(&request), ANSWER_TIMEOUT);
    let answering = async { link.lock().await.call(call).await };
    let answer = tokio::time::timeout(ANSWER_TIMEOUT, answering).await;
    let answer = answer.ok().and_then(Result::ok).filter(is_ok);
    let answer = answer.and_then(|answer| peers::decode::<GrantAnswer>(answer.body()));
    let now_ms = node.now_ms();
    let Some(answer) = answer else {
        node.metrics.count("peer_failures", "grant");
        node.state().asks.record_failure(host, now_ms);
        return None;
    };
    node.metrics.count("peer_calls", "grant");
    node.state().asks.record_answer(host);
    server_answers::apply_report(node, answer.report.clone(), Spread::None);
    Some(answer)
}

/// Answers a gateway that asks for a send.
pub fn answer(node: &Node, request: GrantRequest) -> GrantAnswer {
    let GrantRequest { report, urgency, organisation } = request;
    let server = ServerIdentity { id: report.server.clone(), incarnation: report.incarnation };
    server_answers::apply_report(node, report.clone(), Spread::None);
    let ask = Ask { server, urgency, organisation };
    let retry_after_ms = take_local(node, &ask);
    node.metrics.count("grants", if retry_after_ms.is_none() { "given" } else { "denied" });
    let report = node.state().terms.report(&ask.server.id, node.now_ms()).unwrap_or(report);
    GrantAnswer { retry_after_ms, report }
}
