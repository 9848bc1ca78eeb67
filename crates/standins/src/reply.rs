//! Responses of the stand-ins' handlers.

use bytes::Bytes;
use gotham::helpers::http::Body;
use http::header::CONTENT_TYPE;
use http::{Response, StatusCode};
use http_body_util::{BodyExt, Full};
use serde::Serialize;

/// Creates a body from bytes.
pub fn body(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// Creates a response without a body.
pub fn empty(status: StatusCode) -> Response<Body> {
    with_bytes(status, Bytes::new())
}

/// Creates a response with raw bytes.
pub fn with_bytes(status: StatusCode, bytes: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(body(bytes));
    *response.status_mut() = status;
    response
}

/// Creates a response with a JSON body.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    let Ok(text) = serde_json::to_vec(value) else {
        return empty(StatusCode::INTERNAL_SERVER_ERROR);
    };
    let mut response = with_bytes(status, text);
    response.headers_mut().insert(CONTENT_TYPE, http::HeaderValue::from_static("application/json"));
    response
}
