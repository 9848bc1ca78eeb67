//! Calls one after the other over one kept connection: to the store, peers, engines and stores of
//! kept blocks.

use crate::connect::{self, ClientConnection};
use bytes::Bytes;
use dispatch::registry::ServerId;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use platform::codec::CONTENT_TYPE;
use platform::headers::EXPECT_SERVER;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;

/// The largest answer accepted, in bytes; a page of the store has at most a few megabytes.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;
/// How long a connection may take to open.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);

/// Reports a call without an answer.
#[derive(Debug, Error)]
pub enum CallError {
    /// The connection could not be opened; the call was not sent.
    #[error("cannot connect: {0}")]
    Connect(#[from] std::io::Error),
    /// The connection broke; the call may have been carried out.
    #[error("the connection broke: {0}")]
    Broken(String),
    /// No answer came in time; the call may have been carried out.
    #[error("no answer within {0:?}")]
    Silent(Duration),
}

/// A call and its body.
#[derive(Clone, Debug)]
pub struct Call {
    /// The method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers besides the host.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// How long the answer may take.
    pub within: Duration,
}

impl Call {
    /// Builds a call without a body.
    pub fn get(path: impl Into<String>, within: Duration) -> Self {
        let headers = HeaderMap::new();
        Self { method: Method::GET, path: path.into(), headers, body: Bytes::new(), within }
    }

    /// Builds a call with a body.
    pub fn post(path: impl Into<String>, body: Vec<u8>, within: Duration) -> Self {
        let call = Self { method: Method::POST, body: body.into(), ..Self::get(path, within) };
        call.with_header(http::header::CONTENT_TYPE, HeaderValue::from_static(CONTENT_TYPE))
    }

    /// Names the only server that may take the call.
    pub fn expecting(self, server: &ServerId) -> Self {
        match HeaderValue::from_str(server.as_str()) {
            Ok(id) => self.with_header(EXPECT_SERVER, id),
            Err(_) => self,
        }
    }

    /// Adds a header.
    pub fn with_header(mut self, name: http::HeaderName, value: http::HeaderValue) -> Self {
        self.headers.insert(name, value);
        self
    }
}

/// A kept connection to one address.
#[derive(Debug)]
pub struct Link {
    address: SocketAddr,
    connection: Option<ClientConnection>,
}

impl Link {
    /// Creates a link that connects with its first call.
    pub const fn new(address: SocketAddr) -> Self {
        Self { address, connection: None }
    }

    /// Returns the other side's address.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Makes a call; after an error the next one opens a new connection.
    ///
    /// # Errors
    ///
    /// Says whether the call was sent.
    pub async fn call(&mut self, call: Call) -> Result<Response<Bytes>, CallError> {
        let mut connection = match self.connection.take().filter(|kept| kept.sender.is_ready()) {
            Some(kept) => kept,
            None => connect::open(self.address, CONNECT_TIMEOUT.min(call.within)).await?,
        };
        let within = call.within;
        let exchange = tokio::time::timeout(within, exchange(&mut connection, self.address, call));
        let answer = exchange.await.map_err(|_| CallError::Silent(within))??;
        self.connection = Some(connection);
        Ok(answer)
    }
}

async fn exchange(
    connection: &mut ClientConnection,
    address: SocketAddr,
    call: Call,
) -> Result<Response<Bytes>, CallError> {
    let broken = |error: &dyn std::fmt::Display| CallError::Broken(error.to_string());
    let mut request = Request::builder().method(call.method).uri(call.path);
    if let Some(headers) = request.headers_mut() {
        *headers = call.headers;
    }
    let request = request
        .header(http::header::HOST, address.to_string())
        .body(Full::new(call.body))
        .map_err(|error| broken(&error))?;
    connection.sender.ready().await.map_err(|error| broken(&error))?;
    let answer = connection.sender.send_request(request).await.map_err(|error| broken(&error))?;
    let (head, body) = answer.into_parts();
    let body = Limited::new(body, MAX_ANSWER_BYTES).collect().await;
    let body = body.map_err(|error| CallError::Broken(error.to_string()))?.to_bytes();
    Ok(Response::from_parts(head, body))
}

/// Says whether a status is a plain success.
pub fn is_ok(answer: &Response<Bytes>) -> bool {
    answer.status() == StatusCode::OK
}
