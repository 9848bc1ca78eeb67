//! Dispatches orders to the servers of their service, and queries these for outcomes.

use super::{OrderRequest, lock, run_actions};
use crate::constants::ORDER_STATUS_TIMEOUT;
use crate::counters::Counter;
use crate::hosts::Server;
use crate::node::Node;
use bytes::Bytes;
use clients::error::ClientError;
use clients::http::{build_request, read_body};
use clients::wire::engine::{ATTEMPT_HEADER, Refusal};
use clients::wire::order::{IDEMPOTENCY_HEADER, ORGANISATION_HEADER};
use http::{HeaderValue, Method, Request, header};
use http_body_util::Full;
use orders::executor::{DispatchResult, StatusResult, Target};
use orders::record::OrderAnswer;
use protocol::error::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// The placeholder for the idempotency key in an outcome path.
const KEY_PLACEHOLDER: &str = "{key}";
/// The lowest HTTP status that reports a fault of the server.
const FIRST_SERVER_ERROR: u16 = 500;

/// Dispatches an attempt once, and reports the result to the coordinator.
pub(crate) async fn dispatch(node: Arc<Node>, target: Target) {
    let request = lock(&node.orders.requests).remove(&target.attempt);
    let result = match request {
        Some(request) => send_once(&node, &target, &request).await,
        None => DispatchResult::NotRun(ErrorKind::Internal),
    };
    node.counters.count(Counter::OrderDispatches);
    let actions = node.orders.coordinator.dispatched(&target, result, node.now_ms());
    run_actions(&node, actions);
}

/// Tries the servers in order until one of them may have received the order.
async fn send_once(node: &Node, target: &Target, request: &OrderRequest) -> DispatchResult {
    let mut last = ErrorKind::NoServer;
    for server in servers(node, target) {
        let prepared = order_request(target, request, server.address);
        let timeout = Duration::from_millis(request.deadline_ms);
        let result = match prepared {
            Ok(prepared) => exchange(node, server.address, prepared, timeout).await,
            Err(error) => Err(error),
        };
        match classify(result) {
            DispatchResult::NotRun(kind) => {
                log::warn!("attempt={} server={} not run: {kind}", target.attempt, server.host);
                node.counters.count_retry(kind);
                last = kind;
            }
            done => return done,
        }
    }
    DispatchResult::NotRun(last)
}

/// Classifies an exchange: answered, certainly not run, or unanswered.
fn classify(result: Result<OrderAnswer, ClientError>) -> DispatchResult {
    match result {
        Err(error) if error.is_unsent() => DispatchResult::NotRun(ErrorKind::ServerUnreachable),
        Err(_) => DispatchResult::Unanswered,
        Ok(answer) if answer.status < FIRST_SERVER_ERROR => DispatchResult::Answered(answer),
        Ok(answer) if is_not_run_refusal(&answer) => {
            DispatchResult::NotRun(ErrorKind::ServerRefused)
        }
        Ok(_) => DispatchResult::Unanswered,
    }
}

fn is_not_run_refusal(answer: &OrderAnswer) -> bool {
    serde_json::from_str::<Refusal>(&answer.body).is_ok_and(|refusal| refusal.not_run)
}

/// Queries the service's servers for the outcome until one of them answers.
pub(crate) async fn query_outcome(node: Arc<Node>, target: Target) {
    node.counters.count(Counter::OrderStatusChecks);
    let result = find_outcome(&node, &target).await;
    let actions = node.orders.coordinator.status_received(&target, result, node.now_ms());
    run_actions(&node, actions);
}

async fn find_outcome(node: &Node, target: &Target) -> StatusResult {
    let directory = node.directory();
    let service = directory.order_service(&target.service);
    let Some(path) = service.and_then(|service| service.outcome_path.clone()) else {
        // Without a status call the service can never tell.
        return StatusResult::NoSuchOrder;
    };
    let path = path.replace(KEY_PLACEHOLDER, &target.key.key.to_string());
    for server in servers(node, target) {
        let request = build_request(Method::GET, server.address, &path, "", Bytes::new());
        let Ok(mut request) = request else { continue };
        set_order_headers(&mut request, target);
        match exchange(node, server.address, request, ORDER_STATUS_TIMEOUT).await {
            Ok(answer) if answer.status < FIRST_SERVER_ERROR => {
                return match answer.status / 100 {
                    2 => StatusResult::Answered(answer),
                    _ => StatusResult::NoSuchOrder,
                };
            }
            _ => continue,
        }
    }
    StatusResult::Unanswered
}

/// Returns the servers that accept requests, starting with the next one on each call.
fn servers(node: &Node, target: &Target) -> Vec<Server> {
    let mut servers = node.hosts.servers(&target.service, node.now_ms());
    servers.retain(Server::accepts_requests);
    if !servers.is_empty() {
        let index = node.orders.next_server.fetch_add(1, Ordering::Relaxed) as usize;
        let first = index % servers.len();
        servers.rotate_left(first);
    }
    servers
}

fn order_request(
    target: &Target,
    request: &OrderRequest,
    address: SocketAddr,
) -> Result<Request<Full<Bytes>>, ClientError> {
    let OrderRequest { method, path, content_type, body, .. } = request.clone();
    let mut prepared = build_request(method, address, &path, &content_type, body)?;
    set_order_headers(&mut prepared, target);
    Ok(prepared)
}

fn set_order_headers(request: &mut Request<Full<Bytes>>, target: &Target) {
    let key = target.key.key.to_string();
    let headers = [
        (IDEMPOTENCY_HEADER, key.as_str()),
        (ORGANISATION_HEADER, target.key.organisation.as_str()),
        (ATTEMPT_HEADER, target.attempt.as_str()),
    ];
    for (name, value) in headers {
        if let Ok(value) = HeaderValue::from_str(value) {
            request.headers_mut().insert(name, value);
        }
    }
}

async fn exchange(
    node: &Node,
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    timeout: Duration,
) -> Result<OrderAnswer, ClientError> {
    let answer = node.clients.fresh_http.send(address, request, timeout).await?;
    let (head, body) = answer.into_parts();
    let content_type = head.headers.get(header::CONTENT_TYPE);
    let content_type = content_type.and_then(|value| value.to_str().ok()).map(str::to_owned);
    let body = tokio::time::timeout(timeout, read_body(body)).await;
    let body = body.map_err(|_| ClientError::TimedOut(timeout))??;
    let body = String::from_utf8_lossy(&body).into_owned();
    Ok(OrderAnswer { status: head.status.as_u16(), content_type, body })
}
