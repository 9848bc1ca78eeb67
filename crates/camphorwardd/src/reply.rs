//! Answers to callers, operators and peers.

use bytes::Bytes;
use gotham::helpers::http::Body;
use http::header::{CACHE_CONTROL, CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use http::{Response, StatusCode};
use http_body_util::{BodyExt, Full};
use protocol::error::{ErrorKind, Execution};
use serde::Serialize;

/// The header that names the request in every answer to a caller.
pub const REQUEST_HEADER: &str = "x-request-id";
/// The content type of JSON.
pub const JSON: &str = "application/json";
/// The content type of server-sent events.
pub const EVENT_STREAM: &str = "text/event-stream";

/// Gives the reason why a request got no answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Failure {
    /// The kind, which decides status and advice.
    pub kind: ErrorKind,
    /// What was wrong, for a person to read.
    pub message: String,
    /// When to come back, where that is known better than by the kind.
    pub retry_after_s: Option<u32>,
    /// Whether an earlier attempt may have run, whatever the kind of the last one says.
    pub ran_before: bool,
}

impl Failure {
    /// Creates a failure.
    pub fn new(kind: ErrorKind, message: impl Into<String>) -> Self {
        Self { kind, message: message.into(), retry_after_s: None, ran_before: false }
    }

    /// Says when the caller may come back.
    pub fn with_retry_after_s(mut self, retry_after_s: u32) -> Self {
        self.retry_after_s = Some(retry_after_s);
        self
    }

    /// Says whether an earlier attempt may have run.
    pub fn with_ran_before(mut self, ran_before: bool) -> Self {
        self.ran_before = ran_before;
        self
    }

    /// Returns whether it is certain that no backend server executed the request.
    pub fn is_not_run(&self) -> bool {
        !self.ran_before && self.kind.answer().execution == Execution::NotRun
    }

    /// Returns the body that callers get.
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

/// Holds the one JSON shape of errors.
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
    /// What was wrong.
    pub message: String,
    /// Whether it is certain that no backend server executed the request.
    pub not_run: bool,
    /// When to come back, in seconds; absent if coming back cannot help.
    pub retry_after_s: Option<u32>,
}

/// Builds a JSON answer.
pub fn json(status: StatusCode, value: &impl Serialize) -> Response<Body> {
    let bytes = serde_json::to_vec(value).unwrap_or_default();
    bytes_answer(status, JSON, bytes.into())
}

/// Builds an answer with a whole body.
pub fn bytes_answer(status: StatusCode, content_type: &str, body: Bytes) -> Response<Body> {
    let mut response = Response::new(whole_body(body));
    *response.status_mut() = status;
    set_header(&mut response, CONTENT_TYPE, content_type);
    response
}

/// Builds the answer for a failure.
pub fn failure(failure: &Failure) -> Response<Body> {
    let status = StatusCode::from_u16(failure.kind.answer().status);
    let body = failure.to_body();
    let mut response = json(status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR), &body);
    if let Some(seconds) = body.error.retry_after_s {
        set_header(&mut response, RETRY_AFTER, &seconds.to_string());
    }
    response
}

/// Builds an answer of server-sent events.
pub fn event_stream(body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    set_header(&mut response, CONTENT_TYPE, EVENT_STREAM);
    set_header(&mut response, CACHE_CONTROL, "no-store");
    response
}

/// Sets a header, unless the value cannot stand in one.
pub fn set_header(
    response: &mut Response<Body>,
    name: impl http::header::IntoHeaderName,
    value: &str,
) {
    if let Ok(value) = HeaderValue::from_str(value) {
        response.headers_mut().insert(name, value);
    }
}

fn whole_body(bytes: Bytes) -> Body {
    Full::new(bytes).map_err(|never| match never {}).boxed_unsync()
}
