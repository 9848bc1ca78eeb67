//! Responses to callers, operators and peers.

use bytes::Bytes;
use gotham::helpers::http::Body;
use http::header::{CACHE_CONTROL, CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use http::{Response, StatusCode};
use http_body_util::{BodyExt, Full};
use protocol::error::{ErrorKind, Execution};
use serde::Serialize;

/// The header that carries the request id in every response to a caller.
pub const REQUEST_HEADER: &str = "x-request-id";
/// The content type of JSON.
pub const JSON: &str = "application/json";
/// The content type of server-sent events.
pub const EVENT_STREAM: &str = "text/event-stream";

/// The reason why a request failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Failure {
    /// The kind, which determines the HTTP status and the advice on retries.
    pub kind: ErrorKind,
    /// A description for people.
    pub message: String,
    /// The delay before a retry, where it is more specific than that of the kind.
    pub retry_after_s: Option<u32>,
    /// Whether an earlier attempt may have run, regardless of the kind of the last failure.
    pub ran_before: bool,
}

impl Failure {
    /// Creates a failure.
    pub fn new(kind: ErrorKind, message: impl Into<String>) -> Self {
        Self { kind, message: message.into(), retry_after_s: None, ran_before: false }
    }

    /// Sets the delay before the caller may retry.
    pub fn with_retry_after_s(mut self, retry_after_s: u32) -> Self {
        self.retry_after_s = Some(retry_after_s);
        self
    }

    /// Sets whether an earlier attempt may have run.
    pub fn with_ran_before(mut self, ran_before: bool) -> Self {
        self.ran_before = ran_before;
        self
    }

    /// Returns whether it is certain that no backend server executed the request.
    pub fn is_not_run(&self) -> bool {
        !self.ran_before && self.kind.answer().execution == Execution::NotRun
    }

    /// Returns the body of the response to the caller.
    pub fn to_body(&self) -> ErrorBody {
        let answer = self.kind.answer();
        ErrorBody {
            error: ErrorDetail {
                kind: self.kind,
                message: self.message.clone(),
                not_run: self.is_not_run(),
                retry_after_s: self.retry_after_s.or(answer.retry_after_s),
            },
        }
    }
}

/// The JSON body of all error responses.
#[derive(Clone, Debug, Serialize)]
pub struct ErrorBody {
    /// The error.
    pub error: ErrorDetail,
}

/// Describes an error to a caller.
#[derive(Clone, Debug, Serialize)]
pub struct ErrorDetail {
    /// The kind.
    pub kind: ErrorKind,
    /// A description for people.
    pub message: String,
    /// Whether it is certain that no backend server executed the request.
    pub not_run: bool,
    /// The delay before a retry, in seconds; absent if a retry cannot help.
    pub retry_after_s: Option<u32>,
}

/// Builds a JSON response.
pub fn json(status: StatusCode, value: &impl Serialize) -> Response<Body> {
    let bytes = serde_json::to_vec(value).unwrap_or_default();
    bytes_response(status, JSON, bytes.into())
}

/// Builds a response with a complete body.
pub fn bytes_response(status: StatusCode, content_type: &str, body: Bytes) -> Response<Body> {
    let mut response = Response::new(full_body(body));
    *response.status_mut() = status;
    set_header(&mut response, CONTENT_TYPE, content_type);
    response
}

/// Builds the response for a failure.
pub fn failure(failure: &Failure) -> Response<Body> {
    let status = StatusCode::from_u16(failure.kind.answer().status);
    let body = failure.to_body();
    let mut response = json(status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR), &body);
    if let Some(seconds) = body.error.retry_after_s {
        set_header(&mut response, RETRY_AFTER, &seconds.to_string());
    }
    response
}

/// Builds a response of server-sent events.
pub fn event_stream(body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    set_header(&mut response, CONTENT_TYPE, EVENT_STREAM);
    set_header(&mut response, CACHE_CONTROL, "no-store");
    response
}

/// Sets a header, unless the value is not a valid header value.
pub fn set_header(
    response: &mut Response<Body>,
    name: impl http::header::IntoHeaderName,
    value: &str,
) {
    if let Ok(value) = HeaderValue::from_str(value) {
        response.headers_mut().insert(name, value);
    }
}

fn full_body(bytes: Bytes) -> Body {
    Full::new(bytes).map_err(|never| match never {}).boxed_unsync()
}
