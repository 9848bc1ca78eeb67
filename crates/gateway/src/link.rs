//! Sequential calls over one persistent connection: to the store, peers, engines and block stores.

use crate::answer_memory::{HeldBody, ReadError};
use crate::connect::{self, ClientConnection, SendError};
use crate::memory::{MemoryAccount, MemoryShare, Purpose};
use crate::settings::SMALL_HOST_MEMORY_MB;
use bytes::Bytes;
use dispatch::registry::ServerId;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::Full;
use platform::codec::CONTENT_TYPE;
use platform::headers::EXPECT_SERVER;
use std::net::SocketAddr;
use std::sync::{Arc, OnceLock};
use std::time::Duration;
use thiserror::Error;

/// The account of the process, in which the answers to all calls are held.
static MEMORY: OnceLock<Arc<MemoryAccount>> = OnceLock::new();

/// The timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);

/// Sets the account in which the answers to all calls of the process are held. Only the first account
/// is used.
pub fn set_memory(account: &Arc<MemoryAccount>) {
    drop(MEMORY.set(Arc::clone(account)));
}

fn memory() -> Arc<MemoryAccount> {
    let small_host = || Arc::new(MemoryAccount::for_host(SMALL_HOST_MEMORY_MB));
    Arc::clone(MEMORY.get_or_init(small_host))
}

/// A call that got no answer.
#[derive(Debug, Error)]
pub enum CallError {
    /// The connection could not be opened; the call was not sent.
    #[error("cannot connect: {0}")]
    Connect(#[from] std::io::Error),
    /// The connection was lost; the call may have been executed.
    #[error("connection lost: {0}")]
    ConnectionLost(String),
    /// The answer is larger than what is held of one; the call may have been executed.
    #[error("the answer is too large")]
    TooLarge,
    /// No answer arrived in time; the call may have been executed.
    #[error("no answer within {0:?}")]
    TimedOut(Duration),
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
    pub timeout: Duration,
}

impl Call {
    /// Builds a call without a body.
    pub fn get(path: impl Into<String>, timeout: Duration) -> Self {
        let headers = HeaderMap::new();
        Self { method: Method::GET, path: path.into(), headers, body: Bytes::new(), timeout }
    }

    /// Builds a call with a body.
    pub fn post(path: impl Into<String>, body: Vec<u8>, timeout: Duration) -> Self {
        let call = Self { method: Method::POST, body: body.into(), ..Self::get(path, timeout) };
        call.with_header(http::header::CONTENT_TYPE, HeaderValue::from_static(CONTENT_TYPE))
    }

    /// Sets the only server that may execute the call.
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

/// A persistent connection to one address.
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

    /// Creates a link over an open connection.
    pub const fn over(connection: ClientConnection, address: SocketAddr) -> Self {
        Self { address, connection: Some(connection) }
    }

    /// Returns the peer's address.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes the connection; the next call opens a new one. Answers to calls carry no id, so one that
    /// a faulty server repeats would pass for that to the next call.
    pub fn close(&mut self) {
        self.connection = None;
    }

    /// Makes a call. After an error, the next call opens a new connection.
    ///
    /// # Errors
    ///
    /// Returns an error that distinguishes whether the call was sent.
    pub async fn call(&mut self, call: Call) -> Result<Response<Bytes>, CallError> {
        let mut connection = match self.connection.take().filter(|idle| idle.is_ready()) {
            Some(idle) => idle,
            None => {
                let share = MemoryShare::new(memory(), Purpose::Calls);
                connect::open(self.address, CONNECT_TIMEOUT.min(call.timeout), share).await?
            }
        };
        let timeout = call.timeout;
        let exchange = tokio::time::timeout(timeout, exchange(&mut connection, self.address, call));
        let answer = exchange.await.map_err(|_| CallError::TimedOut(timeout))??;
        self.connection = Some(connection);
        Ok(answer)
    }
}

async fn exchange(
    connection: &mut ClientConnection,
    address: SocketAddr,
    call: Call,
) -> Result<Response<Bytes>, CallError> {
    let lost = |error: &dyn std::fmt::Display| CallError::ConnectionLost(error.to_string());
    let mut request = Request::builder().method(call.method).uri(call.path);
    if let Some(headers) = request.headers_mut() {
        *headers = call.headers;
    }
    let request = request
        .header(http::header::HOST, address.to_string())
        .body(Full::new(call.body))
        .map_err(|error| lost(&error))?;
    connection.ready().await.map_err(|error| lost(&error))?;
    let answer = connection.send(request).await.map_err(|error| match error {
        SendError::TooLarge => CallError::TooLarge,
        SendError::Unsent(error) | SendError::Lost(error) => lost(&error),
    })?;
    let (head, body) = answer.into_parts();
    let body =
        HeldBody::read(body, memory(), Purpose::Calls).await.map_err(|error| match error {
            ReadError::TooLarge => CallError::TooLarge,
            ReadError::Aborted(_) | ReadError::EndedEarly => lost(&error),
        })?;
    Ok(Response::from_parts(head, body.into_bytes()))
}

/// Returns whether an answer has the status 200.
pub fn is_ok(answer: &Response<Bytes>) -> bool {
    answer.status() == StatusCode::OK
}
