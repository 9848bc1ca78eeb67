//! Kept connections to servers.

use crate::connect::{self, ClientConnection};
use dispatch::registry::{ServerEntry, ServerId};
use http::HeaderMap;
use std::collections::HashMap;
use std::io;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

/// How long an idle connection is kept if the server names no time, in milliseconds. The platform
/// leaves the time out when it is below a second.
const UNNAMED_KEEP_MS: u64 = 300;
/// The part of the server's time for which a connection is kept, so that a request does not cross
/// the server's close.
const KEPT_SHARE: f64 = 0.6;
/// The longest time that an idle connection is kept, in milliseconds.
const LONGEST_KEEP_MS: u64 = 20_000;
/// The idle connections kept to one server.
const MAX_IDLE: usize = 24;
/// How long a connection to a server may take to open. The farthest round trip takes some 30 ms;
/// this leaves room for one lost packet.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(450);

/// A connection to one server, at most one request at a time.
#[derive(Debug)]
pub struct ServerConnection {
    /// The connection.
    pub connection: ClientConnection,
    keep_ms: u64,
    /// Whether a request was sent on it before.
    pub is_reused: bool,
}

impl ServerConnection {
    /// Notes the head of an answer, which says how long the connection may be kept.
    pub fn note_head(&mut self, headers: &HeaderMap) {
        self.keep_ms = keep_ms(headers);
    }
}

#[derive(Debug)]
struct Idle {
    connection: ServerConnection,
    since_ms: u64,
}

/// Holds idle connections by server.
#[derive(Debug, Default)]
pub struct Pool {
    idle: Mutex<HashMap<ServerId, Vec<Idle>>>,
}

impl Pool {
    /// Creates an empty pool.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes a kept connection that can be used now.
    pub fn take(&self, server: &ServerId, now_ms: u64) -> Option<ServerConnection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let kept = idle.get_mut(server)?;
        kept.retain(|entry| is_usable(entry, now_ms));
        let index = kept.iter().rposition(|entry| entry.connection.connection.sender.is_ready())?;
        Some(kept.swap_remove(index).connection)
    }

    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Returns an error if the server refuses or does not answer in time.
    pub async fn open(&self, entry: &ServerEntry) -> io::Result<ServerConnection> {
        let connection = connect::open(entry.address, CONNECT_TIMEOUT).await?;
        Ok(ServerConnection { connection, keep_ms: 0, is_reused: false })
    }

    /// Keeps a connection whose answer was read whole.
    pub fn put(&self, server: &ServerId, mut connection: ServerConnection, now_ms: u64) {
        if connection.keep_ms == 0 || connection.connection.sender.is_closed() {
            return;
        }
        connection.is_reused = true;
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let kept = idle.entry(server.clone()).or_default();
        if kept.len() < MAX_IDLE {
            kept.push(Idle { connection, since_ms: now_ms });
        }
    }

    /// Closes connections that were idle for too long, and all to servers that left.
    pub fn sweep(&self, is_usable_server: impl Fn(&ServerId) -> bool, now_ms: u64) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|server, kept| {
            kept.retain(|entry| is_usable(entry, now_ms));
            !kept.is_empty() && is_usable_server(server)
        });
    }

    /// Closes the idle connections to one server.
    pub fn forget(&self, server: &ServerId) {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner).remove(server);
    }
}

fn is_usable(entry: &Idle, now_ms: u64) -> bool {
    let connection = &entry.connection;
    now_ms < entry.since_ms + connection.keep_ms && !connection.connection.sender.is_closed()
}

fn keep_ms(headers: &HeaderMap) -> u64 {
    let text = |name| headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or("");
    if text(http::header::CONNECTION).to_ascii_lowercase().contains("close") {
        return 0;
    }
    let keep_alive = text(http::HeaderName::from_static("keep-alive")).to_ascii_lowercase();
    let fields = keep_alive.split(',').filter_map(|field| field.trim().strip_prefix("timeout="));
    let named_s = fields.filter_map(|seconds| seconds.trim().parse::<u64>().ok()).next();
    match named_s {
        Some(seconds) => ((seconds * 1_000) as f64 * KEPT_SHARE).min(LONGEST_KEEP_MS as f64) as u64,
        None => UNNAMED_KEEP_MS,
    }
}
