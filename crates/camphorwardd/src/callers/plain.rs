//! `/v1/services/{service}/...`: calls of services that serve no model.

use crate::callers::respond::new_request_id;
use crate::callers::{auth, check_ready, refuse};
use crate::directory::Directory;
use crate::hosts::Server;
use crate::node::Node;
use crate::orders::{self, OrderCall, OrderRequest};
use crate::reply::{self, Failure, REQUEST_HEADER};
use crate::run::{Progress, after_failure};
use crate::serve::Call;
use admission::retry_budget::BudgetKey;
use bytes::Bytes;
use clients::error::ClientError;
use clients::http::{build_request, read_body};
use clients::wire::engine::ATTEMPT_HEADER;
use clients::wire::order::{IDEMPOTENCY_HEADER, ORGANISATION_HEADER};
use gotham::helpers::http::Body;
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Method, Response, StatusCode};
use protocol::error::{ErrorKind, Execution};
use protocol::ids::{OrganisationId, RequestId, ServiceName};
use settings::services::{CallEntry, OrderService};
use std::time::Duration;

const PREFIX: &str = "/v1/services/";
const WILDCARD: &str = "*";

/// One call of a plain service with the entry that it matches.
struct PlainCall {
    organisation: OrganisationId,
    service: ServiceName,
    settings: OrderService,
    entry: CallEntry,
    path: String,
}

/// Answers a call of a plain service.
pub(crate) async fn answer(call: Call) -> Response<Body> {
    let request_id = new_request_id();
    let _guard = call.node.in_flight.enter();
    let result = match prepare(&call) {
        Ok(plain) if plain.entry.idempotent => forward(&call, &plain, &request_id).await,
        Ok(plain) => order(&call, plain).await,
        Err(failure) => Err(failure),
    };
    let mut response = result.unwrap_or_else(|failure| refuse(&call.node, &failure));
    reply::set_header(&mut response, REQUEST_HEADER, request_id.as_str());
    response
}

fn prepare(call: &Call) -> Result<PlainCall, Failure> {
    check_ready(call)?;
    let directory = call.node.directory();
    let organisation = auth::find_organisation(&call.headers, &directory)?;
    match_call(call, &directory, organisation)
}

fn match_call(
    call: &Call,
    directory: &Directory,
    organisation: OrganisationId,
) -> Result<PlainCall, Failure> {
    let rest = call.uri.path().strip_prefix(PREFIX).unwrap_or_default();
    let (name, path) = rest.split_once('/').unwrap_or((rest, ""));
    let unknown = |message: &str| Failure::new(ErrorKind::UnknownService, message);
    let service: ServiceName = name.parse().map_err(|_| unknown("no such service"))?;
    let settings = directory.order_service(&service).ok_or_else(|| unknown("no such service"))?;
    let path = format!("/{path}");
    let on_path: Vec<&CallEntry> =
        settings.calls.iter().filter(|entry| matches_path(&entry.path, &path)).collect();
    if on_path.is_empty() {
        return Err(unknown("the service has no such call"));
    }
    let Some(entry) = on_path.into_iter().find(|entry| entry.method == call.method.as_str()) else {
        let message = "the call takes another method";
        return Err(Failure::new(ErrorKind::MethodNotAllowed, message));
    };
    let (entry, settings) = (entry.clone(), settings.clone());
    Ok(PlainCall { organisation, service, settings, entry, path })
}

/// Matches a path to a pattern whose last segment may be `*`.
fn matches_path(pattern: &str, path: &str) -> bool {
    match pattern.strip_suffix(WILDCARD) {
        Some(start) => path.len() > start.len() && path.starts_with(start),
        None => path == pattern,
    }
}

/// Executes a non-idempotent call, which must not be sent twice.
async fn order(call: &Call, plain: PlainCall) -> Result<Response<Body>, Failure> {
    let key = call.headers.get(IDEMPOTENCY_HEADER);
    let order = OrderCall {
        organisation: plain.organisation,
        service: plain.service,
        deadline_ms: plain.settings.deadline_ms,
        key: key.map(|value| String::from_utf8_lossy(value.as_bytes()).into_owned()),
        request: OrderRequest {
            method: call.method.clone(),
            path: with_query(call, &plain.path),
            content_type: content_type(call),
            body: call.body.clone(),
            deadline_ms: plain.settings.deadline_ms,
        },
    };
    let answer = orders::execute(&call.node, order).await?;
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let content_type = answer.content_type.as_deref().unwrap_or(reply::JSON);
    Ok(reply::bytes_response(status, content_type, answer.body.into()))
}

/// Sends an idempotent call; tries the next server if one fails.
async fn forward(
    call: &Call,
    plain: &PlainCall,
    request_id: &RequestId,
) -> Result<Response<Body>, Failure> {
    let node = &call.node;
    let budget =
        BudgetKey { organisation: plain.organisation.clone(), service: plain.service.clone() };
    node.admission.budgets.first_attempt(&budget, node.now_ms());
    let deadline_at_ms = node.now_ms() + plain.settings.deadline_ms;
    let servers = node.hosts.servers(&plain.service, node.now_ms());
    let mut last = Failure::new(ErrorKind::NoServer, "no server of the service is live");
    let mut ran_before = false;
    for (server, attempt) in servers.iter().filter(|server| server.accepts_requests()).zip(1..) {
        match send(call, plain, server, request_id, attempt).await {
            Ok(response) => return Ok(response),
            Err(error) => {
                let kind = classify_error(&error);
                log::warn!(
                    "request={request_id} server={} failed kind={kind}: {error}",
                    server.host
                );
                last = Failure::new(kind, "the server of the service failed");
                ran_before |= kind.answer().execution == Execution::MayHaveRun;
                let progress = Progress { attempt, ran_before, deadline_at_ms };
                tokio::time::sleep(after_failure(node, &budget, &last, progress)?).await;
            }
        }
    }
    Err(last.with_ran_before(ran_before))
}

fn classify_error(error: &ClientError) -> ErrorKind {
    match error {
        ClientError::Unreachable(_) => ErrorKind::ServerUnreachable,
        ClientError::TimedOut(_) => ErrorKind::ServerSilent,
        ClientError::ConnectionLost(_) => ErrorKind::ServerDied,
        ClientError::Refused { .. } | ClientError::Malformed(_) => ErrorKind::BadServerAnswer,
    }
}

async fn send(
    call: &Call,
    plain: &PlainCall,
    server: &Server,
    request_id: &RequestId,
    attempt: u32,
) -> Result<Response<Body>, ClientError> {
    let path = with_query(call, &plain.path);
    let content_type = content_type(call);
    let body = call.body.clone();
    let mut request =
        build_request(call.method.clone(), server.address, &path, &content_type, body)?;
    let attempt_id = format!("{request_id}.{attempt}");
    if let Ok(value) = HeaderValue::from_str(&attempt_id) {
        request.headers_mut().insert(ATTEMPT_HEADER, value);
    }
    if let Ok(value) = HeaderValue::from_str(plain.organisation.as_str()) {
        request.headers_mut().insert(ORGANISATION_HEADER, value);
    }
    exchange(&call.node, server, request, Duration::from_millis(plain.settings.deadline_ms)).await
}

async fn exchange(
    node: &Node,
    server: &Server,
    request: http::Request<http_body_util::Full<Bytes>>,
    deadline: Duration,
) -> Result<Response<Body>, ClientError> {
    let answer = node.clients.fresh_http.send(server.address, request, deadline).await?;
    let status = answer.status();
    let content_type = answer.headers().get(CONTENT_TYPE).cloned();
    let body = tokio::time::timeout(deadline, read_body(answer.into_body()));
    let body = body.await.map_err(|_| ClientError::TimedOut(deadline))??;
    let content_type = content_type.as_ref().and_then(|value| value.to_str().ok());
    let status = StatusCode::from_u16(status.as_u16()).unwrap_or(StatusCode::BAD_GATEWAY);
    Ok(reply::bytes_response(status, content_type.unwrap_or(reply::JSON), body))
}

fn with_query(call: &Call, path: &str) -> String {
    let query = call.uri.query().map(|query| format!("?{query}")).unwrap_or_default();
    format!("{path}{query}")
}

fn content_type(call: &Call) -> String {
    if call.method == Method::GET {
        return String::new();
    }
    let value = call.headers.get(CONTENT_TYPE).and_then(|value| value.to_str().ok());
    value.unwrap_or(reply::JSON).to_owned()
}
