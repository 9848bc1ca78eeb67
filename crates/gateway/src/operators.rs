//! Readiness for the platform's balancer, and metrics for operators.

use crate::connection_limits::Side;
use crate::listener::{self, Reply};
use crate::node::Node;
use http::StatusCode;
use platform::headers::READY_PATH;
use std::sync::Arc;
use tokio::net::TcpListener;

/// The path of the counters and histograms.
const METRICS_PATH: &str = "/metrics";

/// Serves readiness and metrics on the listener of a side.
pub async fn accept(node: Arc<Node>, side: Side, listener: TcpListener) {
    let answering = Arc::clone(&node);
    let respond = move |request: http::Request<_>, _| {
        let reply = reply(&answering, request.uri().path());
        async move { reply }
    };
    listener::accept(node, side, listener, respond).await;
}

fn reply(node: &Node, path: &str) -> Reply {
    match path {
        READY_PATH if is_ready(node) => (StatusCode::OK, Vec::new()),
        READY_PATH => (StatusCode::SERVICE_UNAVAILABLE, Vec::new()),
        METRICS_PATH => (StatusCode::OK, metrics(node)),
        _ => (StatusCode::NOT_FOUND, Vec::new()),
    }
}

fn metrics(node: &Node) -> Vec<u8> {
    node.metrics.to_text(&node.memory.ledger()).into_bytes()
}

/// A gateway is ready when it has a configuration and usable servers, knows the evacuations, and does
/// not drain.
fn is_ready(node: &Node) -> bool {
    let (has_servers, knows_evacuations) = {
        let state = node.state();
        (state.registry.all_usable().next().is_some(), state.evacuations.is_known())
    };
    !node.is_draining() && node.in_force().is_some() && has_servers && knows_evacuations
}
