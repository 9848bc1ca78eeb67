//! Accepts callers' connections and counts their requests.

pub mod body;
pub(crate) mod connection;
mod request;
mod resumed;

use crate::connection_limits::{self, Side};
use crate::node::Node;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;

pub use crate::callers::request::CallerRequest;

/// The back-off delay after an accept error, such as too many open files.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// Counts the requests and connections of callers.
#[derive(Debug)]
pub struct Traffic {
    /// Open connections.
    pub connections: AtomicUsize,
    /// Requests that are being read or are in progress.
    pub requests: AtomicUsize,
    closing: watch::Sender<bool>,
}

impl Traffic {
    /// Creates counters without connections.
    pub fn new() -> Self {
        Self {
            connections: AtomicUsize::new(0),
            requests: AtomicUsize::new(0),
            closing: watch::Sender::new(false),
        }
    }

    /// Closes each connection once it has no request in progress.
    pub fn close_idle(&self) {
        self.closing.send_replace(true);
    }
}

impl Default for Traffic {
    fn default() -> Self {
        Self::new()
    }
}

/// Holds a counter one higher until dropped.
#[derive(Debug)]
struct CountGuard<'a>(&'a AtomicUsize);

impl<'a> CountGuard<'a> {
    fn new(counter: &'a AtomicUsize) -> Self {
        counter.fetch_add(1, Ordering::Relaxed);
        Self(counter)
    }
}

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Accepts callers' connections until the task is aborted.
pub async fn accept(node: Arc<Node>, traffic: Arc<Traffic>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                node.metrics.count("caller_connections", "accepted");
                if let Some(admitted) = connection_limits::admit(&node, Side::Callers, stream) {
                    let (node, traffic) = (Arc::clone(&node), Arc::clone(&traffic));
                    tokio::spawn(connection::serve(node, traffic, admitted));
                }
                // A connection that was admitted is read before others may take its place.
                tokio::task::yield_now().await;
            }
            Err(error) => {
                log_accept_error(&node, &error);
                tokio::time::sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}

fn log_accept_error(node: &Node, error: &io::Error) {
    node.metrics.count("caller_connections", "accept_failed");
    crate::event!(warn, node.now_ms(), "accept_failed", { "error": error.to_string() });
}
