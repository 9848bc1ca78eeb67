//! `GET /healthz` and `GET /readyz`.

use crate::reply;
use crate::serve::Call;
use gotham::helpers::http::Body;
use http::{Response, StatusCode};
use serde::Serialize;

#[derive(Serialize)]
struct Health {
    ready: bool,
    reason: Option<String>,
}

/// Answers the liveness probe.
pub(crate) async fn answer_live(_call: Call) -> Response<Body> {
    reply::bytes_response(StatusCode::OK, "text/plain", "ok\n".into())
}

/// Answers the readiness probe: whether the host accepts requests.
pub(crate) async fn answer_ready(call: Call) -> Response<Body> {
    let reason = call.node.not_ready_reason();
    let ready = reason.is_none();
    let status = if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    reply::json(status, &Health { ready, reason })
}
