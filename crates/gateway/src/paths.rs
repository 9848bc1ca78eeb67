//! Connections to servers: direct ones, or through a peer where this gateway has lost its links.

mod probe;

pub use crate::paths::probe::{links_work, run as probe, verify};

use crate::connect::{self, ClientConnection};
use crate::event;
use crate::link::{Call, CallError, Link};
use crate::memory::{MemoryShare, Purpose};
use crate::node::Node;
use crate::pool::ServerConnection;
use crate::tunnel::{self, TunnelError};
use bytes::Bytes;
use dispatch::eligibility::{AllowedRegions, may_carry};
use dispatch::paths::{DetourPeer, PathChange, PathChoice};
use dispatch::registry::{ServerEntry, ServerId};
use http::Response;
use protocol::ids::HostName;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// The timeout for opening a connection to a server. The longest round trip takes some 30 ms; the
/// rest allows for one lost packet.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(450);
/// How long a peer that cannot carry connections is left out, in milliseconds.
const UNAVAILABLE_MS: u64 = 1_000;
/// The same for a peer through which a server did not answer.
const SILENT_PEER_MS: u64 = 2_000;
/// The same for a peer that does not know the protocol.
const UNSUPPORTED_MS: u64 = 30_000;
/// The number of peers through which a server is called.
const CALLED_PEERS: usize = 3;
/// The time without a byte from a server after which a request there counts as lost once all links
/// are, in milliseconds.
const SILENT_MS: u64 = 300;

/// What peers say of a server that this gateway does not reach.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PeerVerdict {
    /// A peer reaches it.
    Reached,
    /// It refuses a peer's connections too.
    Refused,
    /// No peer knows.
    Unknown,
}

/// What a connection through a peer carries.
#[derive(Clone, Copy, Debug)]
pub enum Carried<'a> {
    /// The request of a caller, with the regions in which it may be served.
    Request(&'a AllowedRegions),
    /// This gateway's own calls, such as health checks.
    Calls,
}

/// Returns an idle connection to a server for a request with some allowed regions, or opens one.
///
/// # Errors
///
/// Returns an error if neither this gateway nor a peer reaches the server.
pub async fn acquire(
    node: &Node,
    entry: &ServerEntry,
    allowed: &AllowedRegions,
) -> io::Result<ServerConnection> {
    let choice = node.state().paths.choose(&entry.id);
    let used_since_ms = match choice {
        PathChoice::Direct => 0,
        PathChoice::Detour { broken_since_ms } => broken_since_ms,
    };
    if let Some(pooled) = node.pool.take(entry, used_since_ms, node.now_ms()) {
        return Ok(pooled);
    }
    let error = match choice {
        PathChoice::Direct => match open(node, entry).await {
            Ok(connection) => {
                return Ok(ServerConnection::new(connection, entry.incarnation, false));
            }
            Err(error) => error,
        },
        PathChoice::Detour { .. } => io::Error::from(io::ErrorKind::NetworkUnreachable),
    };
    let detour = detour(node, entry, Carried::Request(allowed));
    let (connection, _) = detour.await.map_err(|_| error)?;
    if choice == PathChoice::Direct {
        record_broken(node, &entry.id);
    }
    Ok(connection)
}

async fn open(node: &Node, entry: &ServerEntry) -> io::Result<ClientConnection> {
    let share = MemoryShare::new(Arc::clone(&node.memory), Purpose::Answers);
    connect::open(entry.address, CONNECT_TIMEOUT, share).await
}

/// Opens a connection to a server through a peer; returns the peer too.
async fn detour(
    node: &Node,
    entry: &ServerEntry,
    carried: Carried<'_>,
) -> Result<(ServerConnection, HostName), TunnelError> {
    let mut last = TunnelError::Unavailable;
    for (host, address) in peers(node, carried) {
        match tunnel::open(entry, address, carried, &node.memory).await {
            Ok(connection) => {
                node.metrics.count("detours", "opened");
                let connection = ServerConnection::new(connection, entry.incarnation, true);
                return Ok((connection, host));
            }
            Err(error) => {
                node.metrics.count("detours", error.as_str());
                last = error;
                let for_ms = match error {
                    TunnelError::Refused => break,
                    TunnelError::NotUsable | TunnelError::Unconfirmed => continue,
                    TunnelError::Unavailable | TunnelError::Unreached => UNAVAILABLE_MS,
                    TunnelError::Unsupported => UNSUPPORTED_MS,
                };
                record_unavailable(node, &host, for_ms);
            }
        }
    }
    Err(last)
}

fn record_unavailable(node: &Node, host: &HostName, for_ms: u64) {
    let now_ms = node.now_ms();
    node.state().paths.record_unavailable(host, for_ms, now_ms);
}

/// Returns the peers to try for one connection.
fn peers(node: &Node, carried: Carried<'_>) -> Vec<(HostName, SocketAddr)> {
    let now_ms = node.now_ms();
    let state = node.state();
    let (domain, regions) = (&node.settings.failure_domain, &node.context.regions);
    let peers = state.gateways.peers().map(|record| DetourPeer {
        host: &record.host,
        domain: &record.failure_domain,
        address: record.peer_address,
    });
    let peers: Vec<DetourPeer<'_>> = match carried {
        Carried::Request(allowed) => {
            peers.filter(|peer| may_carry(allowed, regions, domain, peer.domain)).collect()
        }
        Carried::Calls => peers.collect(),
    };
    let found = state.paths.detour_peers(&peers, domain, rand::random(), now_ms);
    found.into_iter().map(|peer| (peer.host.clone(), peer.address)).collect()
}

/// Asks peers about a server that refuses this gateway's connections.
pub async fn ask_peers(node: &Node, entry: &ServerEntry) -> PeerVerdict {
    match detour(node, entry, Carried::Calls).await {
        Ok(_) => {
            record_broken(node, &entry.id);
            PeerVerdict::Reached
        }
        Err(TunnelError::Refused) => PeerVerdict::Refused,
        Err(_) => PeerVerdict::Unknown,
    }
}

/// Makes a call to a server through peers, one after another, after it got no direct answer.
///
/// # Errors
///
/// Returns an error if no peer gets an answer either.
pub async fn call_by_detour(
    node: &Node,
    entry: &ServerEntry,
    call: Call,
) -> Result<Response<Bytes>, CallError> {
    let mut last = CallError::TimedOut(call.timeout);
    for _ in 0..CALLED_PEERS {
        let (connection, host) = detour(node, entry, Carried::Calls).await.map_err(|error| {
            CallError::Connect(io::Error::new(io::ErrorKind::NetworkUnreachable, error.as_str()))
        })?;
        match Link::over(connection.connection, entry.address).call(call.clone()).await {
            Ok(answer) => {
                record_broken(node, &entry.id);
                return Ok(answer);
            }
            // The peer's links may hang as this gateway's do.
            Err(error) => last = error,
        }
        record_unavailable(node, &host, SILENT_PEER_MS);
    }
    Err(last)
}

/// Records that a peer reaches a server which this gateway does not reach.
fn record_broken(node: &Node, server: &ServerId) {
    let now_ms = node.now_ms();
    let mut guard = node.state();
    let state = &mut *guard;
    let change = state.paths.record_broken(server, now_ms);
    if change == PathChange::Unchanged {
        return;
    }
    state.loads.reached_by_detour(server);
    if change == PathChange::CutOff {
        for silent in state.loads.silent_since(now_ms.saturating_sub(SILENT_MS)) {
            state.loads.reached_by_detour(&silent);
        }
    }
    drop(guard);
    log_change(node, server, change);
    // What was sent before may never be answered.
    node.server_unresponsive.notify_waiters();
    node.capacity_freed.notify_waiters();
}

fn log_change(node: &Node, server: &ServerId, change: PathChange) {
    let (now_ms, is_cut_off) = (node.now_ms(), node.state().paths.is_cut_off());
    let kind = match change {
        PathChange::Unchanged => return,
        PathChange::Broken => {
            event!(warn, now_ms, "server_path_broken", { "server": server.as_str() });
            "broken"
        }
        PathChange::CutOff => {
            event!(warn, now_ms, "servers_cut_off", { "server": server.as_str() });
            "cut_off"
        }
        PathChange::Restored | PathChange::AllRestored => {
            event!(info, now_ms, "server_path_restored", {
                "server": server.as_str(),
                "cut_off": is_cut_off,
            });
            "restored"
        }
    };
    node.metrics.count("server_paths", kind);
}
