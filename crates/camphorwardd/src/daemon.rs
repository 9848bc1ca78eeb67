//! Start, drain and shutdown of the daemon.

use crate::clock::wall_ms;
use crate::constants::{DRAIN_LINGER, DRAIN_POLL};
use crate::node::{BoundAddresses, Node};
use crate::{callers, follow, operators, peers, serve};
use protocol::ids::Incarnation;
use settings::process::ProcessSettings;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// The reason why a daemon did not start.
#[derive(Debug, Error)]
pub enum StartError {
    /// A listener cannot be bound to its address.
    #[error("listen.{listener}: cannot listen on {address}: {cause}")]
    Listen {
        /// The settings field that names the listener.
        listener: &'static str,
        /// The address.
        address: SocketAddr,
        /// The cause.
        cause: std::io::Error,
    },
    /// No socket can be opened for the counters.
    #[error("statsd: cannot open a socket: {0}")]
    Statsd(std::io::Error),
}

/// The result of a drain.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DrainEnd {
    /// All requests were answered within the bound.
    Finished,
    /// The bound passed with requests still in flight.
    BoundPassed {
        /// The number of requests that were aborted.
        cut_off: u64,
    },
}

/// A running daemon; stops when it is drained, killed or dropped.
#[derive(Debug)]
pub struct Daemon {
    node: Arc<Node>,
    listeners: JoinSet<()>,
    followers: JoinSet<()>,
}

impl Daemon {
    /// Starts a daemon in the current runtime.
    ///
    /// # Errors
    ///
    /// Returns [`StartError`] if a listener cannot be opened.
    pub async fn start(settings: ProcessSettings) -> Result<Self, StartError> {
        let callers = listen("callers", settings.listen.callers).await?;
        let peers = listen("peers", settings.listen.peers).await?;
        let operators = listen("operators", settings.listen.operators).await?;
        let addresses = BoundAddresses {
            callers: local_address(&callers, settings.listen.callers),
            peers: local_address(&peers, settings.listen.peers),
            operators: local_address(&operators, settings.listen.operators),
        };
        let node = Node::new(settings, new_incarnation(), addresses).map_err(StartError::Statsd)?;
        let node = Arc::new(node);
        let mut listeners = JoinSet::new();
        let routers = [
            (callers, callers::build_router(&node)),
            (peers, peers::build_router(&node)),
            (operators, operators::build_router(&node)),
        ];
        for (listener, router) in routers {
            listeners.spawn(serve::serve(listener, router, Arc::clone(&node)));
        }
        let mut followers = JoinSet::new();
        follow::start(&node, &mut followers);
        log::info!("host {} listens for callers on {}", node.settings.host, addresses.callers);
        Ok(Self { node, listeners, followers })
    }

    /// Returns the addresses that the daemon listens on.
    pub fn addresses(&self) -> BoundAddresses {
        self.node.addresses
    }

    /// Returns the daemon's incarnation.
    pub fn incarnation(&self) -> Incarnation {
        self.node.incarnation
    }

    /// Returns whether the daemon accepts requests.
    pub fn is_ready(&self) -> bool {
        self.node.not_ready_reason().is_none()
    }

    /// Returns whether a drain has started.
    pub fn is_draining(&self) -> bool {
        self.node.in_flight.is_draining()
    }

    /// Returns the value of each counter by name.
    pub fn counters(&self) -> std::collections::BTreeMap<String, u64> {
        self.node.counters.values()
    }

    /// Waits until a drain is requested at the operators' listener.
    pub async fn drain_requested(&self) {
        while !self.is_draining() {
            tokio::time::sleep(DRAIN_POLL).await;
        }
    }

    /// Stops accepting requests, waits for those in flight up to the bound, and stops.
    pub async fn drain(mut self) -> DrainEnd {
        self.node.start_drain();
        let settings = &self.node.settings.drain;
        let started = Instant::now();
        tokio::time::sleep(Duration::from_millis(settings.balancer_wait_ms)).await;
        self.node.in_flight.close();
        let bound = started + Duration::from_millis(settings.bound_ms);
        let end = wait_for_requests(&self.node, bound).await;
        tokio::time::sleep(DRAIN_LINGER).await;
        self.listeners.shutdown().await;
        self.followers.shutdown().await;
        log::info!("drain ended: {end:?}");
        end
    }

    /// Stops immediately, as if the process had crashed.
    pub async fn kill(mut self) {
        self.listeners.shutdown().await;
        self.followers.shutdown().await;
    }
}

async fn wait_for_requests(node: &Node, bound: Instant) -> DrainEnd {
    loop {
        let in_flight = node.in_flight.count();
        if in_flight == 0 && node.orders.is_settled() {
            return DrainEnd::Finished;
        }
        if Instant::now() >= bound {
            return DrainEnd::BoundPassed { cut_off: in_flight };
        }
        tokio::time::sleep(DRAIN_POLL).await;
    }
}

async fn listen(listener: &'static str, address: SocketAddr) -> Result<TcpListener, StartError> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|cause| StartError::Listen { listener, address, cause })
}

fn local_address(listener: &TcpListener, requested: SocketAddr) -> SocketAddr {
    listener.local_addr().unwrap_or(requested)
}

/// Returns the incarnation of this start. A later start has a greater one as long as the host's
/// clock does not go backwards.
fn new_incarnation() -> Incarnation {
    Incarnation::new(wall_ms())
}
