//! What the head of any answer says about its server.

use crate::event;
use crate::follow;
use crate::node::Node;
use dispatch::registry::{ServerEntry, ServerId};
use http::{HeaderMap, StatusCode};
use platform::headers::{SERVER_ID, is_leaving};
use protocol::ids::Incarnation;

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
    /// No answer: another gateway passed on what it was told.
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
    if is_from(server, status, headers) && is_leaving(headers) {
        record_leaving(node, server, source);
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
