//! Handling of a caller's order, from its arrival to its reply.

use super::{lock, run_actions};
use crate::node::Node;
use crate::reply::Failure;
use bytes::Bytes;
use http::Method;
use orders::executor::Order;
use orders::key::{IdempotencyKey, KeyError, OrderDigest, OrderKey};
use orders::record::OrderAnswer;
use protocol::error::ErrorKind;
use protocol::ids::{AttemptId, OrganisationId, ServiceName};
use std::sync::Arc;
use uuid::Uuid;

/// An order as its caller sent it.
#[derive(Clone, Debug)]
pub(crate) struct OrderCall {
    pub(crate) organisation: OrganisationId,
    pub(crate) service: ServiceName,
    pub(crate) deadline_ms: u64,
    /// The value of the `Idempotency-Key` header, if there is one.
    pub(crate) key: Option<String>,
    pub(crate) request: OrderRequest,
}

/// The request that is sent to the order service.
#[derive(Clone, Debug)]
pub(crate) struct OrderRequest {
    pub(crate) method: Method,
    /// The path under the service, with the query.
    pub(crate) path: String,
    pub(crate) content_type: String,
    pub(crate) body: Bytes,
    /// How long the service may take, in milliseconds.
    pub(crate) deadline_ms: u64,
}

/// Executes an order at most once, and returns the service's answer.
///
/// The order continues if its caller disconnects.
///
/// # Errors
///
/// Returns the reason why there is no answer, and whether the order may have run.
pub(crate) async fn execute(node: &Arc<Node>, call: OrderCall) -> Result<OrderAnswer, Failure> {
    let key = read_key(call.key.as_deref())?;
    let running = tokio::spawn(run(Arc::clone(node), call, key));
    let reply = running.await.unwrap_or(Err(ErrorKind::OutcomeUnknown));
    reply.map_err(|kind| Failure::new(kind, message(kind)))
}

async fn run(
    node: Arc<Node>,
    call: OrderCall,
    key: IdempotencyKey,
) -> Result<OrderAnswer, ErrorKind> {
    let _guard = node.in_flight.enter();
    let now_ms = node.now_ms();
    let attempt = new_attempt_id();
    let (waiter, reply) = node.orders.wait_for_reply();
    let request = &call.request;
    let target = format!("{}{}", call.service, request.path);
    let order = Order {
        waiter,
        key: OrderKey::new(call.organisation, key),
        service: call.service,
        digest: OrderDigest::new(request.method.as_str(), &target, &request.body),
        attempt: attempt.clone(),
        deadline_ms: now_ms.saturating_add(call.deadline_ms),
    };
    log::debug!("attempt={attempt} order={}", order.key);
    lock(&node.orders.requests).insert(attempt.clone(), call.request);
    let log_up = node.orders.committer().is_up();
    let actions = node.orders.coordinator.submit(order, log_up, now_ms);
    run_actions(&node, actions);
    let reply = reply.await.unwrap_or(Err(ErrorKind::OutcomeUnknown));
    lock(&node.orders.requests).remove(&attempt);
    reply
}

fn read_key(key: Option<&str>) -> Result<IdempotencyKey, Failure> {
    let Some(key) = key else {
        let message = "the header `Idempotency-Key` is missing; the call is not idempotent";
        return Err(Failure::new(ErrorKind::MissingIdempotencyKey, message));
    };
    let invalid =
        |error: KeyError| Failure::new(ErrorKind::InvalidIdempotencyKey, error.to_string());
    key.trim().parse().map_err(invalid)
}

fn new_attempt_id() -> AttemptId {
    let text = format!("ord-{}", Uuid::now_v7().simple());
    AttemptId::try_from(text).unwrap_or_else(|_| unreachable!("a UUID is a valid id"))
}

fn message(kind: ErrorKind) -> &'static str {
    match kind {
        ErrorKind::InvalidIdempotencyKey => "the idempotency key's time is in the future",
        ErrorKind::IdempotencyKeyExpired => "the key is too old; check the order's status",
        ErrorKind::IdempotencyKeyReused => "the key was used for another order",
        ErrorKind::OrderInProgress => "the order is in progress; send it again with the same key",
        ErrorKind::OutcomeUnknown => "the order may have run; check its status",
        ErrorKind::LogUnavailable => "the log is unavailable; send it again with the same key",
        _ => "the order was not run; send it again with the same key",
    }
}
