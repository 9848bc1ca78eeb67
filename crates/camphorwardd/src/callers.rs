//! The callers' listener: chat, completions, models, plain services and health.

mod auth;
mod body;
mod chat;
mod completions;
mod format;
mod health;
mod models;
mod plain;
mod respond;

use crate::node::{Node, NodeHandle};
use crate::reply::{self, Failure};
use crate::serve::{Call, build_node_router, handle};
use futures_util::future::BoxFuture;
use gotham::helpers::http::Body;
use gotham::router::Router;
use gotham::router::builder::{DefineSingleRoute, DrawRoutes};
use gotham::state::State;
use http::header::CONTENT_TYPE;
use http::{Method, Response, StatusCode};
use protocol::error::ErrorKind;
use std::panic::RefUnwindSafe;
use std::sync::Arc;

/// Builds the router of the callers' listener.
pub(crate) fn build_router(node: &Arc<Node>) -> Router {
    build_node_router(node, |route| {
        route
            .post("/v1/chat/completions")
            .to(|state| handle(state, |call| boxed(chat::answer(call))));
        route
            .post("/v1/completions")
            .to(|state| handle(state, |call| boxed(completions::answer(call))));
        route.get("/v1/models").to(|state| handle(state, |call| boxed(models::answer(call))));
        route
            .request(
                vec![Method::GET, Method::POST, Method::PUT, Method::DELETE],
                "/v1/services/:service/*",
            )
            .to(|state| handle(state, |call| boxed(plain::answer(call))));
        route.get("/healthz").to(|state| handle(state, |call| boxed(health::answer_live(call))));
        route.get("/readyz").to(|state| handle(state, |call| boxed(health::answer_ready(call))));
        let not_found = replace_router_refusal(node, ErrorKind::UnknownService, "no such path");
        route.add_response_extender(StatusCode::NOT_FOUND, not_found);
        let wrong_method = replace_router_refusal(
            node,
            ErrorKind::MethodNotAllowed,
            "the path takes another method",
        );
        route.add_response_extender(StatusCode::METHOD_NOT_ALLOWED, wrong_method);
    })
}

fn boxed(
    answer: impl Future<Output = Response<Body>> + Send + 'static,
) -> BoxFuture<'static, Response<Body>> {
    Box::pin(answer)
}

/// Replaces the router's own refusals, which no handler sees, by the common JSON error body.
fn replace_router_refusal(
    node: &Arc<Node>,
    kind: ErrorKind,
    message: &'static str,
) -> impl Fn(&mut State, &mut Response<Body>) + Send + Sync + RefUnwindSafe + 'static {
    let node = NodeHandle::new(Arc::clone(node));
    move |_state, response| {
        if !response.headers().contains_key(CONTENT_TYPE) {
            *response = refuse(&node.node(), &Failure::new(kind, message));
        }
    }
}

/// Counts a refusal and builds its response.
pub(crate) fn refuse(node: &Node, failure: &Failure) -> Response<Body> {
    node.counters.count_refusal(failure.kind);
    reply::failure(failure)
}

/// Returns a failure if the host cannot accept calls now.
fn check_ready(call: &Call) -> Result<(), Failure> {
    // The load balancer keeps sending requests for a while after the host stops being ready.
    if call.node.in_flight.is_closed() {
        return Err(Failure::new(ErrorKind::Draining, "this host is draining"));
    }
    match call.node.missing_prerequisite() {
        Some(reason) => Err(Failure::new(ErrorKind::NotReady, reason)),
        None => Ok(()),
    }
}
