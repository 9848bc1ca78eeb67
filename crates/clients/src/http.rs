//! HTTP/1.1 calls with JSON bodies, over one connection pool per address.

use crate::error::ClientError;
use bytes::Bytes;
use http::{Method, Request, Response, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

/// Timeout of establishing a TCP connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// How long an idle connection stays in the pool.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum number of idle connections to one address.
const MAX_IDLE_CONNECTIONS_PER_ADDRESS: usize = 64;
/// Maximum size of a body that is read into memory.
const MAX_BODY_BYTES: usize = 64 << 20;
/// How much of an error body is kept in [`ClientError::Refused`].
const MAX_ERROR_TEXT_BYTES: usize = 2_048;
/// Number of shards of the map of pools.
const SHARDS: usize = 16;

type Pool = Client<HttpConnector, Full<Bytes>>;

/// Maps addresses to the addresses under which they are reached from here.
pub type AddressMap = std::collections::BTreeMap<SocketAddr, SocketAddr>;

/// Calls other processes, with one connection pool per address.
#[derive(Debug)]
pub struct HttpClient {
    shards: Vec<Mutex<HashMap<SocketAddr, Pool>>>,
    address_map: AddressMap,
    max_idle_connections: usize,
}

impl HttpClient {
    /// Creates a client.
    pub fn new() -> Self {
        let shards = (0..SHARDS).map(|_| Mutex::default()).collect();
        Self {
            shards,
            address_map: AddressMap::new(),
            max_idle_connections: MAX_IDLE_CONNECTIONS_PER_ADDRESS,
        }
    }

    /// Sends calls for the mapped addresses to the addresses they map to.
    pub fn with_address_map(mut self, address_map: AddressMap) -> Self {
        self.address_map = address_map;
        self
    }

    /// Opens a new connection for each call, so that a refused connection guarantees that nothing
    /// was sent.
    pub fn with_fresh_connections(mut self) -> Self {
        self.max_idle_connections = 0;
        self
    }

    /// Drops the idle connections to an address.
    pub fn reset(&self, address: SocketAddr) {
        self.lock_shard(address).remove(&address);
    }

    /// Sends a request and returns the answer once its head has arrived, whatever its status.
    ///
    /// # Errors
    ///
    /// Returns [`ClientError::Unreachable`], [`ClientError::ConnectionLost`] or [`ClientError::TimedOut`].
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<Response<Incoming>, ClientError> {
        let request = self.map_address(address, request)?;
        let pool = self.pool(address);
        let answer = tokio::time::timeout(timeout, pool.request(request)).await;
        let time_out = || {
            self.reset(address);
            ClientError::TimedOut(timeout)
        };
        answer.map_err(|_| time_out())?.map_err(|error| classify_error(&error))
    }

    /// Sends a request and reads the complete answer, which must have a success status.
    ///
    /// # Errors
    ///
    /// Returns any [`ClientError`].
    pub async fn fetch(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<Bytes, ClientError> {
        let exchange = async {
            let answer = self.send(address, request, timeout).await?;
            let status = answer.status();
            let body = read_body(answer.into_body()).await?;
            if status.is_success() { Ok(body) } else { Err(refused(status.as_u16(), &body)) }
        };
        let timed_out = |_| ClientError::TimedOut(timeout);
        tokio::time::timeout(timeout, exchange).await.map_err(timed_out)?
    }

    /// Requests a JSON value with GET.
    ///
    /// # Errors
    ///
    /// Returns any [`ClientError`].
    pub async fn get_json<A: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        timeout: Duration,
    ) -> Result<A, ClientError> {
        let request = build_request(Method::GET, address, path, "", Bytes::new())?;
        from_json(&self.fetch(address, request, timeout).await?)
    }

    /// Sends a JSON value with POST and reads a JSON answer.
    ///
    /// # Errors
    ///
    /// Returns any [`ClientError`].
    pub async fn post_json<A: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        body: &impl Serialize,
        timeout: Duration,
    ) -> Result<A, ClientError> {
        let request = json_request(address, path, body)?;
        from_json(&self.fetch(address, request, timeout).await?)
    }

    /// Sends a JSON value with POST and ignores the answer's body.
    ///
    /// # Errors
    ///
    /// Returns any [`ClientError`].
    pub async fn post_json_unit(
        &self,
        address: SocketAddr,
        path: &str,
        body: &impl Serialize,
        timeout: Duration,
    ) -> Result<(), ClientError> {
        let request = json_request(address, path, body)?;
        self.fetch(address, request, timeout).await.map(drop)
    }

    fn pool(&self, address: SocketAddr) -> Pool {
        let mut shard = self.lock_shard(address);
        shard.entry(address).or_insert_with(|| new_pool(self.max_idle_connections)).clone()
    }

    fn lock_shard(
        &self,
        address: SocketAddr,
    ) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, Pool>> {
        let index = usize::from(address.port()) % self.shards.len();
        self.shards[index].lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn map_address(
        &self,
        address: SocketAddr,
        mut request: Request<Full<Bytes>>,
    ) -> Result<Request<Full<Bytes>>, ClientError> {
        let Some(mapped) = self.address_map.get(&address) else {
            return Ok(request);
        };
        let path = request.uri().path_and_query().map_or("/", |path| path.as_str());
        let uri = format!("http://{mapped}{path}").parse();
        *request.uri_mut() =
            uri.map_err(|error: http::uri::InvalidUri| ClientError::Malformed(error.to_string()))?;
        Ok(request)
    }
}

impl Default for HttpClient {
    fn default() -> Self {
        Self::new()
    }
}

fn new_pool(max_idle_connections: usize) -> Pool {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    Client::builder(TokioExecutor::new())
        .pool_idle_timeout(IDLE_TIMEOUT)
        .pool_max_idle_per_host(max_idle_connections)
        .retry_canceled_requests(false)
        .build(connector)
}

/// Builds a request; an empty content type sets no header.
///
/// # Errors
///
/// Returns [`ClientError::Malformed`] for a path that is not a valid URI.
pub fn build_request(
    method: Method,
    address: SocketAddr,
    path: &str,
    content_type: &str,
    body: Bytes,
) -> Result<Request<Full<Bytes>>, ClientError> {
    let mut builder = Request::builder().method(method).uri(format!("http://{address}{path}"));
    if !content_type.is_empty() {
        builder = builder.header(header::CONTENT_TYPE, content_type);
    }
    builder.body(Full::new(body)).map_err(|error| ClientError::Malformed(error.to_string()))
}

/// Builds a POST request with a JSON body.
///
/// # Errors
///
/// Returns [`ClientError::Malformed`] for a value that JSON cannot represent or a path that is
/// not a valid URI.
pub fn json_request(
    address: SocketAddr,
    path: &str,
    body: &impl Serialize,
) -> Result<Request<Full<Bytes>>, ClientError> {
    let bytes = serde_json::to_vec(body).map_err(|e| ClientError::Malformed(e.to_string()))?;
    build_request(Method::POST, address, path, "application/json", bytes.into())
}

/// Decodes a JSON value.
///
/// # Errors
///
/// Returns [`ClientError::Malformed`] for bytes that are not JSON of the expected form.
pub fn from_json<A: DeserializeOwned>(bytes: &[u8]) -> Result<A, ClientError> {
    serde_json::from_slice(bytes).map_err(|error| ClientError::Malformed(error.to_string()))
}

/// Reads a complete body into memory.
///
/// # Errors
///
/// Returns [`ClientError::ConnectionLost`] if the connection is lost or the body is too large.
pub async fn read_body(body: Incoming) -> Result<Bytes, ClientError> {
    let collected = Limited::new(body, MAX_BODY_BYTES).collect().await;
    collected
        .map(|body| body.to_bytes())
        .map_err(|error| ClientError::ConnectionLost(error.to_string()))
}

/// Returns the error for an answer with an error status.
pub fn refused(status: u16, body: &[u8]) -> ClientError {
    let excerpt = &body[..body.len().min(MAX_ERROR_TEXT_BYTES)];
    ClientError::Refused { status, body: String::from_utf8_lossy(excerpt).into_owned() }
}

fn classify_error(error: &hyper_util::client::legacy::Error) -> ClientError {
    let causes = describe_causes(error);
    if error.is_connect() {
        ClientError::Unreachable(causes)
    } else {
        ClientError::ConnectionLost(causes)
    }
}

/// Joins an error with its causes, because the outermost error alone gives little detail.
fn describe_causes(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(error) = cause {
        text.push_str(": ");
        text.push_str(&error.to_string());
        cause = error.source();
    }
    text
}
