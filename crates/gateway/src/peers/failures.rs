//! Calls to peers that fail.

use crate::event;
use crate::link::CallError;
use crate::node::Node;
use std::net::SocketAddr;

/// Records an answer of a peer that is too large; other errors are counted by their callers.
pub fn record(node: &Node, peer: SocketAddr, error: &CallError) {
    if matches!(error, CallError::TooLarge) {
        node.metrics.count("peer_failures", "too_large");
        event!(warn, node.now_ms(), "peer_answer_too_large", { "peer": peer });
    }
}
