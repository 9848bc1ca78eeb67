//! The peers' listener: messages between entry hosts.

use crate::follow::peers::{CONFIGURATION_PATH, EXCHANGE_PATH, PROBE_PATH, fetch_configuration};
use crate::node::Node;
use crate::quarantine::{self, SUSPECT_PATH};
use crate::reply::{self, Failure};
use crate::run::{self, FINISHED_PATH, PLACE_PATH};
use crate::serve::{Call, build_node_router, handle};
use clients::peer::{CONTENT_TYPE, decode, encode};
use gotham::helpers::http::Body;
use gotham::router::Router;
use gotham::router::builder::{DefineSingleRoute, DrawRoutes};
use http::{Response, StatusCode};
use membership::exchange::{answer_exchange, answer_probe};
use protocol::error::ErrorKind;
use protocol::message::probe::{MAX_EXCHANGE_BYTES, MAX_PROBE_BYTES, Probe};
use serde::Serialize;
use std::sync::Arc;

/// Builds the router of the peers' listener.
pub(crate) fn build_router(node: &Arc<Node>) -> Router {
    build_node_router(node, |route| {
        route.post(PLACE_PATH).to(|state| handle(state, |call| Box::pin(place(call))));
        route.post(PROBE_PATH).to(|state| handle(state, |call| Box::pin(probe(call))));
        route
            .post(CONFIGURATION_PATH)
            .to(|state| handle(state, |call| Box::pin(configuration(call))));
        route.post(EXCHANGE_PATH).to(|state| handle(state, |call| Box::pin(exchange(call))));
        route.post(SUSPECT_PATH).to(|state| handle(state, |call| Box::pin(suspect(call))));
        route.post(FINISHED_PATH).to(|state| handle(state, |call| Box::pin(finished(call))));
    })
}

async fn place(call: Call) -> Response<Body> {
    match decode(&call.body) {
        Ok(request) => {
            call.node.counters.count(crate::counters::Counter::HomeAnswered);
            answer(&run::decide_and_count(&call.node, &request).await)
        }
        Err(error) => malformed(&error),
    }
}

async fn probe(call: Call) -> Response<Body> {
    if call.body.len() > MAX_PROBE_BYTES {
        return too_large();
    }
    let node = &call.node;
    match decode(&call.body) {
        Ok(probe) => {
            fetch_later_configuration(node, &probe);
            let version = node.configuration.version();
            answer(&answer_probe(node.hosts.table(), &probe, version, node.now_ms()))
        }
        Err(error) => malformed(&error),
    }
}

/// Fetches the configuration of a sender that has a later one.
fn fetch_later_configuration(node: &Arc<Node>, probe: &Probe) {
    if probe.heartbeat.config_version <= node.configuration.version() {
        return;
    }
    let view = node.hosts.view(node.now_ms());
    let Some(sender) = view.entry_host(&probe.heartbeat.host) else {
        return;
    };
    let (node, address) = (Arc::clone(node), sender.addresses.peers);
    tokio::spawn(async move { fetch_configuration(&node, address).await });
}

async fn configuration(call: Call) -> Response<Body> {
    match decode(&call.body) {
        Ok(request) => answer(&call.node.configuration.answer(request)),
        Err(error) => malformed(&error),
    }
}

async fn exchange(call: Call) -> Response<Body> {
    if call.body.len() > MAX_EXCHANGE_BYTES {
        return too_large();
    }
    match decode(&call.body) {
        Ok(request) => {
            answer(&answer_exchange(call.node.hosts.table(), &request, call.node.now_ms()))
        }
        Err(error) => malformed(&error),
    }
}

fn too_large() -> Response<Body> {
    reply::failure(&Failure::new(ErrorKind::BodyTooLarge, "the message is too large"))
}

async fn finished(call: Call) -> Response<Body> {
    match decode(&call.body) {
        Ok(notice) => {
            // An export takes longer than the sender waits for the answer.
            tokio::spawn(async move { run::apply_notice(&call.node, notice).await });
            answer(&())
        }
        Err(error) => malformed(&error),
    }
}

async fn suspect(call: Call) -> Response<Body> {
    match decode(&call.body) {
        Ok(message) => answer(&quarantine::receive(&call.node, message)),
        Err(error) => malformed(&error),
    }
}

fn answer(message: &impl Serialize) -> Response<Body> {
    match encode(message) {
        Ok(bytes) => reply::bytes_response(StatusCode::OK, CONTENT_TYPE, bytes.into()),
        Err(error) => malformed(&error),
    }
}

fn malformed(error: &clients::error::ClientError) -> Response<Body> {
    reply::failure(&Failure::new(ErrorKind::MalformedRequest, error.to_string()))
}
