//! Pool of idle connections to servers.

use crate::connect::ClientConnection;
use dispatch::registry::{ServerEntry, ServerId};
use http::HeaderMap;
use protocol::ids::Incarnation;
use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};

/// How long an idle connection is held if the server sends no keep-alive timeout, in milliseconds.
/// The platform omits a timeout below a second.
const DEFAULT_KEEP_ALIVE_MS: u64 = 300;
/// The share of the server's keep-alive timeout for which a connection is held, so that a request
/// does not cross the server's close.
const KEEP_ALIVE_SHARE: f64 = 0.6;
/// The maximum time that an idle connection is held, in milliseconds.
const MAX_KEEP_ALIVE_MS: u64 = 20_000;
/// The maximum number of idle connections to one server.
const MAX_IDLE_PER_SERVER: usize = 24;

/// A connection to one server, which carries at most one request at a time.
#[derive(Debug)]
pub struct ServerConnection {
    /// The connection.
    pub connection: ClientConnection,
    /// The incarnation of the server at the other end.
    incarnation: Incarnation,
    keep_alive_ms: u64,
    /// Whether a request was sent on it before.
    pub is_reused: bool,
    /// Whether another gateway carries it.
    pub is_detour: bool,
}

impl ServerConnection {
    /// Wraps a connection to an incarnation of a server on which nothing was sent.
    pub const fn new(
        connection: ClientConnection,
        incarnation: Incarnation,
        is_detour: bool,
    ) -> Self {
        Self { connection, incarnation, keep_alive_ms: 0, is_reused: false, is_detour }
    }

    /// Reads from the head of an answer how long the connection may be held. One that another gateway
    /// carries is not, as that gateway decides on each request anew.
    pub fn read_keep_alive(&mut self, headers: &HeaderMap) {
        self.keep_alive_ms = if self.is_detour { 0 } else { keep_alive_ms(headers) };
    }
}

#[derive(Debug)]
struct IdleConnection {
    connection: ServerConnection,
    since_ms: u64,
}

/// Holds idle connections by server.
#[derive(Debug, Default)]
pub struct Pool {
    idle: Mutex<HashMap<ServerId, Vec<IdleConnection>>>,
}

impl Pool {
    /// Creates an empty pool.
    pub fn new() -> Self {
        Self::default()
    }

    /// Removes and returns an idle connection to a server's incarnation that can be used now and that
    /// was used since a time.
    pub fn take(
        &self,
        server: &ServerEntry,
        used_since_ms: u64,
        now_ms: u64,
    ) -> Option<ServerConnection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.get_mut(&server.id)?;
        connections.retain(|entry| {
            entry.connection.incarnation == server.incarnation && is_usable(entry, now_ms)
        });
        let index = connections.iter().rposition(|entry| {
            entry.since_ms >= used_since_ms && entry.connection.connection.is_ready()
        })?;
        Some(connections.swap_remove(index).connection)
    }

    /// Adds a connection whose answer was read completely.
    pub fn put(&self, server: &ServerId, mut connection: ServerConnection, now_ms: u64) {
        if connection.keep_alive_ms == 0 || connection.connection.is_closed() {
            return;
        }
        connection.connection.release_answer();
        connection.is_reused = true;
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.entry(server.clone()).or_default();
        if connections.len() < MAX_IDLE_PER_SERVER {
            connections.push(IdleConnection { connection, since_ms: now_ms });
        }
    }

    /// Closes connections that were idle for too long, and all connections to servers that are no
    /// longer usable.
    pub fn sweep(&self, is_usable_server: impl Fn(&ServerId) -> bool, now_ms: u64) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|server, connections| {
            connections.retain(|entry| is_usable(entry, now_ms));
            !connections.is_empty() && is_usable_server(server)
        });
    }

    /// Closes the idle connections to one server.
    pub fn forget(&self, server: &ServerId) {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner).remove(server);
    }
}

fn is_usable(entry: &IdleConnection, now_ms: u64) -> bool {
    let connection = &entry.connection;
    now_ms < entry.since_ms + connection.keep_alive_ms && !connection.connection.is_closed()
}

fn keep_alive_ms(headers: &HeaderMap) -> u64 {
    let text = |name| headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or("");
    if text(http::header::CONNECTION).to_ascii_lowercase().contains("close") {
        return 0;
    }
    let keep_alive = text(http::HeaderName::from_static("keep-alive")).to_ascii_lowercase();
    let fields = keep_alive.split(',').filter_map(|field| field.trim().strip_prefix("timeout="));
    let timeout_s = fields.filter_map(|seconds| seconds.trim().parse::<u64>().ok()).next();
    match timeout_s {
        Some(seconds) => (seconds.saturating_mul(1_000) as f64 * KEEP_ALIVE_SHARE)
            .min(MAX_KEEP_ALIVE_MS as f64) as u64,
        None => DEFAULT_KEEP_ALIVE_MS,
    }
}
