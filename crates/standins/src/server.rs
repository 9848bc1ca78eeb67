//! An HTTP server that can be killed and restarted on its address.

mod connections;

use bytes::Bytes;
use connections::{Connections, Tracked};
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use gotham::handler::{Handler, HandlerFuture, NewHandler};
use gotham::helpers::http::Body;
use gotham::state::{FromState, State, client_addr};
use http::{HeaderMap, Method, Response, StatusCode, Uri};
use http_body_util::BodyExt;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::io;
use std::net::SocketAddr;
use std::panic::RefUnwindSafe;
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError, Weak};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

/// The handler of the calls to one stand-in.
pub type HandlerFn = Arc<dyn Fn(Call) -> BoxFuture<'static, Response<Body>> + Send + Sync>;

/// The response to a call that failed.
pub type ErrorResponse = Box<Response<Body>>;

/// The result of a handler: the response to a successful call or to a failed one.
pub type HandlerResult = Result<Response<Body>, ErrorResponse>;

/// Kills a stand-in as if its process were killed.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Kill {
    /// The delay before the stand-in restarts, in milliseconds; no restart if absent.
    pub restart_after_ms: Option<u64>,
}

/// A request with its complete body.
pub struct Call {
    /// The method.
    pub method: Method,
    /// The path and query.
    pub uri: Uri,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    peer: Option<SocketAddr>,
    connections: Arc<Connections>,
    server: Weak<Server>,
}

impl Call {
    /// Returns the path's segments.
    pub fn segments(&self) -> Vec<&str> {
        self.uri.path().split('/').filter(|segment| !segment.is_empty()).collect()
    }

    /// Returns a numeric query parameter, or `default` if it is absent or malformed.
    pub fn query_u64(&self, name: &str, default: u64) -> u64 {
        let pairs = self.uri.query().unwrap_or_default().split('&');
        let mut found =
            pairs.filter_map(|pair| pair.split_once('=')).filter(|(key, _)| *key == name);
        found.next().and_then(|(_, value)| value.parse().ok()).unwrap_or(default)
    }

    /// Returns a header's value, or an empty string.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
    }

    /// Decodes the body as JSON.
    ///
    /// # Errors
    ///
    /// Returns the response to a malformed body.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, ErrorResponse> {
        serde_json::from_slice(&self.body).map_err(|error| {
            Box::new(crate::reply::with_bytes(StatusCode::BAD_REQUEST, error.to_string()))
        })
    }

    /// Kills the server that received the call, and restarts it if the body gives a delay.
    pub async fn kill_server(&self) -> Response<Body> {
        let kill: Kill = match self.json() {
            Ok(kill) => kill,
            Err(response) => return *response,
        };
        if let Some(server) = self.server.upgrade() {
            tokio::spawn(async move { server.kill_and_resume(kill).await });
        }
        std::future::pending().await
    }

    /// Closes the connection of the call, so that no answer reaches the caller.
    pub async fn drop_connection(&self) -> Response<Body> {
        if let Some(peer) = self.peer {
            self.connections.close(peer);
        }
        std::future::pending().await
    }
}

/// An HTTP server on one address.
pub struct Server {
    address: SocketAddr,
    handle: HandlerFn,
    connections: Arc<Connections>,
    accepting: Mutex<Option<JoinHandle<()>>>,
}

impl Server {
    /// Binds the address and serves in the background; port 0 selects any free port.
    ///
    /// # Errors
    ///
    /// Returns the error of binding the address.
    pub async fn start(address: SocketAddr, handle: HandlerFn) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind(address).await?;
        let server = Arc::new(Self {
            address: listener.local_addr()?,
            handle,
            connections: Arc::default(),
            accepting: Mutex::default(),
        });
        server.accept(listener);
        Ok(server)
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting connections; open ones continue.
    pub fn stop(&self) {
        let accepting = self.accepting.lock().unwrap_or_else(PoisonError::into_inner).take();
        if let Some(task) = accepting {
            task.abort();
        }
    }

    /// Stops accepting connections and closes every open one at once.
    pub fn kill(&self) {
        self.stop();
        self.connections.close_all();
    }

    /// Sends and reads nothing on any connection until [`Server::unpause`]; all stay open.
    pub fn pause(&self) {
        self.connections.pause();
    }

    /// Ends a pause; each connection continues where it stopped.
    pub fn unpause(&self) {
        self.connections.unpause();
    }

    async fn kill_and_resume(self: Arc<Self>, kill: Kill) {
        self.kill();
        let Some(delay_ms) = kill.restart_after_ms else {
            return;
        };
        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        if let Err(error) = self.resume().await {
            log::error!("stand-in cannot bind its address again after a kill: {error}");
        }
    }

    /// Restarts on the same address after [`Server::stop`] or [`Server::kill`].
    ///
    /// # Errors
    ///
    /// Returns the error of binding the address.
    pub async fn resume(self: &Arc<Self>) -> io::Result<()> {
        self.stop();
        let listener = bind_with_retries(self.address).await?;
        self.accept(listener);
        Ok(())
    }

    fn accept(self: &Arc<Self>, listener: TcpListener) {
        let connections = Arc::clone(&self.connections);
        let dispatch = Dispatch {
            handle: Arc::clone(&self.handle),
            connections: Arc::clone(&connections),
            server: Arc::downgrade(self),
        };
        let task = tokio::spawn(async move {
            let track = move |socket| std::future::ready(Tracked::new(socket, &connections));
            gotham::bind_server(listener, dispatch, track).await
        });
        *self.accepting.lock().unwrap_or_else(PoisonError::into_inner) = Some(task);
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Binds the address, with retries while the aborted accept task still holds the listener.
async fn bind_with_retries(address: SocketAddr) -> io::Result<TcpListener> {
    const MAX_RETRIES: u32 = 200;
    const RETRY_DELAY: Duration = Duration::from_millis(5);
    for _ in 0..MAX_RETRIES {
        match TcpListener::bind(address).await {
            Err(error) if error.kind() == io::ErrorKind::AddrInUse => {
                tokio::time::sleep(RETRY_DELAY).await
            }
            other => return other,
        }
    }
    TcpListener::bind(address).await
}

#[derive(Clone)]
struct Dispatch {
    handle: HandlerFn,
    connections: Arc<Connections>,
    server: Weak<Server>,
}

impl RefUnwindSafe for Dispatch {}

impl NewHandler for Dispatch {
    type Instance = Self;

    fn new_handler(&self) -> gotham::anyhow::Result<Self> {
        Ok(self.clone())
    }
}

impl Handler for Dispatch {
    fn handle(self, mut state: State) -> Pin<Box<HandlerFuture>> {
        let peer = client_addr(&state);
        let method = Method::take_from(&mut state);
        let uri = Uri::take_from(&mut state);
        let headers = HeaderMap::take_from(&mut state);
        let body = Body::take_from(&mut state);
        async move {
            let response = match body.collect().await {
                Ok(body) => {
                    let Self { handle, connections, server } = self;
                    let body = body.to_bytes();
                    handle(Call { method, uri, headers, body, peer, connections, server }).await
                }
                Err(_) => crate::reply::empty(StatusCode::BAD_REQUEST),
            };
            Ok((state, response))
        }
        .boxed()
    }
}
