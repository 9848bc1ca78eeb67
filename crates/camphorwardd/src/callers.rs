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
            .to(|state| handle(state, |call| box_up(chat::answer(call))));
        route
            .post("/v1/completions")
            .to(|state| handle(state, |call| box_up(completions::answer(call))));
        route.get("/v1/models").to(|state| handle(state, |call| box_up(models::answer(call))));
        route
            .request(
                vec![Method::GET, Method::POST, Method::PUT, Method::DELETE],
                "/v1/services/:service/*",
            )
            .to(|state| handle(state, |call| box_up(plain::answer(call))));
        route.get("/healthz").to(|state| handle(state, |call| box_up(health::answer_live(call))));
        route.get("/readyz").to(|state| handle(state, |call| box_up(health::answer_ready(call))));
        let not_found = replace_empty(node, ErrorKind::UnknownService, "no such path");
        route.add_response_extender(StatusCode::NOT_FOUND, not_found);
        let wrong_method =
            replace_empty(node, ErrorKind::MethodNotAllowed, "the path takes another method");
        route.add_response_extender(StatusCode::METHOD_NOT_ALLOWED, wrong_method);
    })
}

fn box_up(
    answer: impl Future<Output = Response<Body>> + Send + 'static,
) -> BoxFuture<'static, Response<Body>> {
    Box::pin(answer)
}

/// Gives the router's own refusals, which come before any handler, the shape of all errors.
fn replace_empty(
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

/// Counts a refusal and builds its answer.
pub(crate) fn refuse(node: &Node, failure: &Failure) -> Response<Body> {
    node.counters.count_refusal(failure.kind);
    reply::failure(failure)
}

/// Returns why a call cannot be taken now, if it cannot.
fn check_ready(call: &Call) -> Result<(), Failure> {
    // The balancer still sends requests for a while after the host stopped being ready.
    if call.node.flights.is_closed() {
        return Err(Failure::new(ErrorKind::Draining, "this host is draining"));
    }
    match call.node.unable_reason() {
        Some(reason) => Err(Failure::new(ErrorKind::NotReady, reason)),
        None => Ok(()),
    }
}
