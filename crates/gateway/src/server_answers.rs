//! What the head of any answer says about its server.

use crate::cold;
use crate::event;
use crate::follow;
use crate::node::Node;
use crate::peers::Spread;
use dispatch::registry::{ServerEntry, ServerId};
use dispatch::terms::{Terms, TermsReport};
use http::{HeaderMap, HeaderValue, StatusCode};
use platform::headers::{
    NOT_EXECUTED, SERVER_ID, is_leaving, parse_limit, parse_max_refusals, parse_retry_after_ms,
    parse_slowdown,
};
use protocol::ids::Incarnation;
use std::time::Duration;

/// Identifies the server that a call is meant for.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct ServerIdentity {
    /// The server.
    pub id: ServerId,
    /// Its incarnation when the call was sent.
    pub incarnation: Incarnation,
}

impl ServerIdentity {
    /// Returns the identity of a registered server.
    pub fn new(entry: &ServerEntry) -> Self {
        Self { id: entry.id.clone(), incarnation: entry.incarnation }
    }
}

/// What an answer is about.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerSource {
    /// A caller's request.
    Request,
    /// A health check.
    HealthCheck,
    /// A query of the server's state.
    Report,
    /// A command to load weights.
    Command,
    /// A poll for changes of cached blocks.
    BlockChanges,
    /// No answer: another gateway passed on what it had received.
    Peer,
}

impl AnswerSource {
    /// Returns the source's name in logs and counters.
    pub const fn as_str(self) -> &'static str {
        match self {
            AnswerSource::Request => "request",
            AnswerSource::HealthCheck => "health_check",
            AnswerSource::Report => "report",
            AnswerSource::Command => "command",
            AnswerSource::BlockChanges => "block_changes",
            AnswerSource::Peer => "peer",
        }
    }
}

/// Records what the head of an answer says about its server. A head that another server sent says
/// nothing.
pub fn record(
    node: &Node,
    server: &ServerIdentity,
    status: StatusCode,
    headers: &HeaderMap,
    source: AnswerSource,
) {
    if !is_from(server, status, headers) {
        return;
    }
    if is_leaving(headers) {
        record_leaving(node, server, source);
    }
    match parse_limit(headers) {
        Ok(limit) => {
            let written_ms = node.suspensions.written_since_ms(node.now_ms());
            let terms = Terms { limit, max_refusals: parse_max_refusals(headers) };
            if record_terms(node, server, terms, written_ms, source) {
                node.terms_exchange.note_change(Spread::All);
            }
        }
        Err(reason) => node.metrics.count("server_limits_ignored", reason.as_str()),
    }
    if matches!(source, AnswerSource::HealthCheck | AnswerSource::Report) {
        cold::record_answer(node, server, headers);
    }
    record_slowdown(node, server, headers);
    if status == StatusCode::SERVICE_UNAVAILABLE && headers.contains_key(NOT_EXECUTED) {
        record_refusal(node, server, node.suspensions.written_since_ms(node.now_ms()), Spread::All);
    }
    if status == StatusCode::SERVICE_UNAVAILABLE
        && let Some(retry_after) = headers.get(http::header::RETRY_AFTER)
    {
        record_pause(node, server, retry_after, source);
    }
}

/// Returns whether an answer is from the server that the call was meant for. Without an id in the
/// answer it is, because any other server rejects the call.
fn is_from(server: &ServerIdentity, status: StatusCode, headers: &HeaderMap) -> bool {
    match headers.get(SERVER_ID) {
        Some(id) => id.as_bytes() == server.id.as_str().as_bytes(),
        None => status != StatusCode::MISDIRECTED_REQUEST,
    }
}

/// Records how long work takes on a server's machine, if the answer names it.
fn record_slowdown(node: &Node, server: &ServerIdentity, headers: &HeaderMap) {
    let slowdown = match parse_slowdown(headers) {
        Ok(Some(slowdown)) => slowdown,
        Ok(None) => return,
        Err(reason) => return node.metrics.count("slowdowns_ignored", reason.as_str()),
    };
    let now_ms = node.now_ms();
    let written_ms = node.suspensions.written_since_ms(now_ms);
    let mut state = node.state();
    let registered = state.registry.get(&server.id);
    if registered.is_none_or(|(entry, _)| entry.incarnation != server.incarnation) {
        drop(state);
        return node.metrics.count("slowdowns_ignored", "other_incarnation");
    }
    state.loads.record_slowdown(&server.id, slowdown, written_ms, now_ms);
    drop(state);
    node.metrics.count("slowdowns", "heard");
}

/// Records the terms in an answer that a server wrote at a time; returns whether they have changed.
fn record_terms(
    node: &Node,
    server: &ServerIdentity,
    terms: Terms,
    written_ms: u64,
    source: AnswerSource,
) -> bool {
    let ServerIdentity { id, incarnation } = server;
    let before = {
        let mut state = node.state();
        let before = state.terms.record(id, *incarnation, terms, written_ms);
        if before.is_some() && !terms.needs_grants() {
            state.asks.forget(id);
        }
        before
    };
    let Some(before) = before else { return false };
    node.metrics.count("server_terms", source.as_str());
    event!(warn, node.now_ms(), "server_terms", {
        "server": id.as_str(),
        "incarnation": incarnation.value(),
        "limit_per_s": terms.limit.map(|limit| limit.per_s()),
        "limit_before_per_s": before.limit.map(|limit| limit.per_s()),
        "max_refusals_per_s": terms.max_refusals,
        "max_refusals_before_per_s": before.max_refusals,
        "source": source.as_str(),
    });
    node.capacity_freed.notify_waiters();
    true
}

/// Records that a brittle server refused a request for want of room, for all gateways.
fn record_refusal(node: &Node, server: &ServerIdentity, at_ms: u64, spread: Spread) {
    let ServerIdentity { id, incarnation } = server;
    if node.state().terms.record_refusal(id, *incarnation, at_ms) {
        node.metrics
            .count("brittle_refusals", if spread == Spread::All { "noticed" } else { "peer" });
        node.terms_exchange.note_change(spread);
    }
}

/// Records the terms that another gateway reports, as far as they are newer.
pub fn apply_report(node: &Node, report: TermsReport, spread: Spread) {
    let written_ms = node.now_ms().saturating_sub(report.age_ms);
    let server = ServerIdentity { id: report.server, incarnation: report.incarnation };
    if record_terms(node, &server, report.terms, written_ms, AnswerSource::Peer) {
        node.terms_exchange.note_change(spread);
    }
    if let Some(ago_ms) = report.refused_ago_ms {
        record_refusal(node, &server, node.now_ms().saturating_sub(ago_ms), spread);
    }
}

/// Records that a server asked for a pause.
fn record_pause(
    node: &Node,
    server: &ServerIdentity,
    retry_after: &HeaderValue,
    source: AnswerSource,
) {
    let for_ms = match parse_retry_after_ms(retry_after) {
        Ok(for_ms) => for_ms,
        Err(reason) => return node.metrics.count("retry_after_ignored", reason.as_str()),
    };
    let now_ms = node.now_ms();
    node.state().pauses.pause(&server.id, server.incarnation, for_ms, now_ms);
    node.metrics.count("server_pauses", source.as_str());
    event!(warn, now_ms, "server_paused", {
        "server": server.id.as_str(),
        "incarnation": server.incarnation.value(),
        "for_ms": for_ms,
        "source": source.as_str(),
    });
    node.capacity_freed.notify_waiters();
}

/// Waits while a server is paused.
pub async fn until_unpaused(node: &Node, server: &ServerIdentity) {
    loop {
        let now_ms = node.now_ms();
        let until_ms = node.state().pauses.until_ms(&server.id, server.incarnation, now_ms);
        let Some(until_ms) = until_ms else { return };
        tokio::time::sleep(Duration::from_millis(until_ms - now_ms)).await;
    }
}

/// Records that a server announced that it leaves, and passes on to the other gateways what an
/// answer said.
pub fn record_leaving(node: &Node, server: &ServerIdentity, source: AnswerSource) {
    let ServerIdentity { id, incarnation } = server;
    let mut state = node.state();
    if state.registry.has_announced_leaving(id, *incarnation) {
        return;
    }
    let change = state.registry.announce_leaving(id, *incarnation);
    drop(state);
    node.metrics.count("servers_leaving", source.as_str());
    event!(info, node.now_ms(), "server_leaving", {
        "server": id.as_str(),
        "incarnation": incarnation.value(),
        "source": source.as_str(),
    });
    if source != AnswerSource::Peer {
        node.queue_update(|update| update.leaving.push((id.clone(), *incarnation)));
    }
    follow::handle_registry_changes(node, change, "announced");
    node.state_changed.notify_waiters();
    node.capacity_freed.notify_waiters();
}
