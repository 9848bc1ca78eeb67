//! The operators' listener: status, counters, placement explanations and drain.

use crate::hosts::Server;
use crate::node::Node;
use crate::reply;
use crate::serve::{Call, build_node_router, handle};
use gotham::helpers::http::Body;
use gotham::router::Router;
use gotham::router::builder::{DefineSingleRoute, DrawRoutes};
use http::{Response, StatusCode};
use membership::EntryHost;
use protocol::ids::RequestId;
use protocol::message::operator::{
    Counters, DrainAnswer, EntryHostStatus, NodeStatus, OperatorError, OperatorRefusal,
    ServerState, ServerStatus,
};
use std::sync::Arc;

const WHY_PREFIX: &str = "/why/";

/// Builds the router of the operators' listener.
pub(crate) fn build_router(node: &Arc<Node>) -> Router {
    build_node_router(node, |route| {
        route.get("/status").to(|state| handle(state, |call| Box::pin(status(call))));
        route.get("/counters").to(|state| handle(state, |call| Box::pin(counters(call))));
        route.get("/why/:request").to(|state| handle(state, |call| Box::pin(why(call))));
        route.post("/drain").to(|state| handle(state, |call| Box::pin(drain(call))));
    })
}

async fn status(call: Call) -> Response<Body> {
    let node = &call.node;
    let reason = node.not_ready_reason();
    let status = NodeStatus {
        host: node.settings.host.clone(),
        incarnation: node.incarnation,
        failure_domain: node.settings.failure_domain.clone(),
        region: node.settings.region.clone(),
        ready: reason.is_none(),
        not_ready_reason: reason,
        draining: node.in_flight.is_draining(),
        config_version: node.directory().version(),
        requests_in_flight: node.in_flight.count(),
        live_entry_hosts: node
            .hosts
            .entry_hosts(node.now_ms())
            .into_iter()
            .map(to_entry_status)
            .collect(),
        servers: servers_status(node),
    };
    reply::json(StatusCode::OK, &status)
}

fn servers_status(node: &Node) -> Vec<ServerStatus> {
    let servers = node.hosts.all_servers(node.now_ms()).into_iter();
    servers.map(|server| to_server_status(node, server)).collect()
}

fn to_entry_status(entry: EntryHost) -> EntryHostStatus {
    EntryHostStatus {
        host: entry.host,
        operators: entry.addresses.operators,
        failure_domain: Some(entry.failure_domain),
    }
}

fn to_server_status(node: &Node, server: Server) -> ServerStatus {
    let state = if server.leaving {
        ServerState::Leaving
    } else if !server.accepts_requests() || node.placement.is_unreachable(&server.host) {
        ServerState::Unreachable
    } else {
        ServerState::Live
    };
    let estimate = node.placement.loads.estimate(&server.host, node.now_ms());
    ServerStatus {
        weight_version: node.placement.version(&server.host),
        host: server.host,
        service: server.service,
        failure_domain: server.failure_domain,
        incarnation: Some(server.incarnation),
        state,
        running: estimate.attempts,
        queued: 0,
    }
}

async fn counters(call: Call) -> Response<Body> {
    reply::json(StatusCode::OK, &Counters { values: call.node.counters.values() })
}

async fn why(call: Call) -> Response<Body> {
    let id = call.uri.path().strip_prefix(WHY_PREFIX).unwrap_or_default();
    let explanation = id.parse::<RequestId>().ok().and_then(|id| call.node.explanations.find(&id));
    match explanation {
        Some(explanation) => reply::json(StatusCode::OK, &explanation),
        None => refuse("unknown_request", "this host has no record of the request"),
    }
}

fn refuse(kind: &str, message: &str) -> Response<Body> {
    let error = OperatorError { kind: kind.to_owned(), message: message.to_owned() };
    reply::json(StatusCode::NOT_FOUND, &OperatorRefusal { error })
}

async fn drain(call: Call) -> Response<Body> {
    let node = &call.node;
    let answer = DrainAnswer {
        host: node.settings.host.clone(),
        already_draining: node.start_drain(),
        requests_in_flight: node.in_flight.count(),
        bound_ms: node.settings.drain.bound_ms,
    };
    log::info!("drain ordered by an operator");
    reply::json(StatusCode::OK, &answer)
}
