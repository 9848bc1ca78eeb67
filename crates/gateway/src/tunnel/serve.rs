//! Carries connections to servers for other gateways.

use crate::connect;
use crate::memory::{MemoryShare, Purpose};
use crate::node::Node;
use crate::paths;
use crate::tunnel::frames::{HEADER_BYTES, MAX_FRAME_BYTES, header};
use crate::tunnel::{CARRIES, CARRIES_CALLS, INCARNATION, SERVER, TunnelError};
use dispatch::eligibility::AllowedRegions;
use dispatch::paths::PathChoice;
use dispatch::registry::{ServerEntry, ServerId};
use http::{HeaderName, Request, StatusCode};
use hyper::body::Incoming;
use hyper::upgrade::{OnUpgrade, Upgraded};
use hyper_util::rt::TokioIo;
use protocol::ids::Incarnation;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// The connections that a gateway carries for others at a time.
const MAX_TUNNELS: usize = 256;
/// What a tunnel holds, in bytes: a frame, the bytes on the way to the server, and the buffers of two
/// connections.
const TUNNEL_BYTES: usize = HEADER_BYTES + MAX_FRAME_BYTES + 24 * 1024;
/// The bytes that are carried to a server at once.
const CARRIED_BYTES: usize = 8 * 1024;
/// How long a server may take to accept a connection. The longest round trip takes some 30 ms.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);

/// The connections that this gateway carries.
#[derive(Debug)]
pub struct Tunnels {
    free: Arc<Semaphore>,
}

impl Default for Tunnels {
    fn default() -> Self {
        Self { free: Arc::new(Semaphore::new(MAX_TUNNELS)) }
    }
}

impl Tunnels {
    /// Returns the number of connections that are open.
    pub fn open(&self) -> usize {
        MAX_TUNNELS - self.free.available_permits()
    }
}

/// What an open connection holds until it closes.
struct Permit {
    _free: OwnedSemaphorePermit,
    _memory: MemoryShare,
}

/// Opens a connection to a server for the gateway that asks, and returns the status of the answer.
pub async fn accept(
    node: &Arc<Node>,
    mut request: Request<Incoming>,
    from: SocketAddr,
) -> StatusCode {
    let opened = match is_gateway(node, from.ip()) {
        true => open(node, &request).await,
        false => return StatusCode::FORBIDDEN,
    };
    match opened {
        Ok((server, permit)) => {
            node.metrics.count("tunnels", "opened");
            tokio::spawn(carry(hyper::upgrade::on(&mut request), server, permit));
            StatusCode::SWITCHING_PROTOCOLS
        }
        Err(error) => {
            node.metrics.count("tunnels", error.as_str());
            error.status()
        }
    }
}

/// Returns whether a call comes from the host of a listed gateway.
fn is_gateway(node: &Node, from: IpAddr) -> bool {
    node.state().gateways.peers().any(|record| record.peer_address.ip() == from)
}

async fn open(
    node: &Node,
    request: &Request<Incoming>,
) -> Result<(TcpStream, Permit), TunnelError> {
    if node.is_draining() {
        return Err(TunnelError::Unavailable);
    }
    let entry = find_server(node, request).ok_or(TunnelError::NotUsable)?;
    let free = Arc::clone(&node.tunnels.free).try_acquire_owned();
    let free = free.map_err(|_| TunnelError::Unavailable)?;
    let mut memory = MemoryShare::new(Arc::clone(&node.memory), Purpose::Tunnels);
    if !memory.try_grow(TUNNEL_BYTES) {
        node.metrics.count("memory_refusals", Purpose::Tunnels.as_str());
        return Err(TunnelError::Unavailable);
    }
    let permit = Permit { _free: free, _memory: memory };
    let choice = {
        let state = node.state();
        if state.paths.is_cut_off() {
            return Err(TunnelError::Unavailable);
        }
        let now_ms = node.now_ms();
        if state.is_paused(&entry, now_ms) {
            return Err(TunnelError::NotUsable);
        }
        // The regions that the request allows are known only to the gateway that asks.
        let allowed = AllowedRegions::default();
        let eligibility = state.eligibility(&allowed, &node.context.regions);
        if !carries_calls(request) && !eligibility.allows(&entry.domain) {
            return Err(TunnelError::NotUsable);
        }
        state.paths.choose(&entry.id)
    };
    // A connection is carried over one gateway only.
    if choice != PathChoice::Direct {
        return Err(TunnelError::Unreached);
    }
    match connect::open_stream(entry.address, CONNECT_TIMEOUT).await {
        Ok(server) => Ok((server, permit)),
        Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => {
            // This gateway may have lost its links too, and not know yet.
            let is_certain = paths::links_work(node, &entry.id).await;
            Err(if is_certain { TunnelError::Refused } else { TunnelError::Unconfirmed })
        }
        Err(_) => Err(TunnelError::Unreached),
    }
}

/// Returns whether a connection carries no request of a caller.
fn carries_calls(request: &Request<Incoming>) -> bool {
    request.headers().get(CARRIES).is_some_and(|value| value == CARRIES_CALLS)
}

/// Returns the server that a request names, if it takes requests.
fn find_server(node: &Node, request: &Request<Incoming>) -> Option<ServerEntry> {
    let text = |name: HeaderName| request.headers().get(name)?.to_str().ok();
    let id = ServerId::new(text(SERVER)?);
    let incarnation = Incarnation::new(text(INCARNATION)?.parse().ok()?);
    let state = node.state();
    let is_usable = state.registry.is_usable(&id, incarnation);
    state.registry.get(&id).filter(|_| is_usable).map(|(entry, _)| entry.clone())
}

/// Carries bytes until either side closes; the permit is held as long.
async fn carry(upgrade: OnUpgrade, server: TcpStream, _permit: Permit) {
    let Ok(upgraded) = upgrade.await else { return };
    let (from_gateway, to_gateway) = tokio::io::split(TokioIo::<Upgraded>::new(upgraded));
    let (from_server, to_server) = server.into_split();
    let has_unwritten = AtomicBool::new(false);
    tokio::select! {
        // A gateway that closes has left; the server notices as if it were connected directly.
        _ = carry_bytes(from_gateway, to_server, &has_unwritten) => {}
        // An error ends the tunnel without the last frame.
        _ = carry_frames(from_server, to_gateway, &has_unwritten) => {}
    }
}

/// Carries bytes to the server; `has_unwritten` is set while some wait to be written.
async fn carry_bytes(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    has_unwritten: &AtomicBool,
) -> io::Result<()> {
    let mut bytes = vec![0; CARRIED_BYTES];
    loop {
        let read = from.read(&mut bytes).await?;
        if read == 0 {
            return Ok(());
        }
        has_unwritten.store(true, Ordering::Relaxed);
        to.write_all(&bytes[..read]).await?;
        has_unwritten.store(false, Ordering::Relaxed);
    }
}

/// Carries bytes from the server. An end that comes before the bytes to the server are written may break
/// an answer off, so the tunnel ends without the last frame then.
async fn carry_frames(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    has_unwritten: &AtomicBool,
) -> io::Result<()> {
    let mut frame = vec![0; HEADER_BYTES + MAX_FRAME_BYTES];
    loop {
        let read = from.read(&mut frame[HEADER_BYTES..]).await?;
        if read == 0 && has_unwritten.load(Ordering::Relaxed) {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        frame[..HEADER_BYTES].copy_from_slice(&header(read));
        to.write_all(&frame[..HEADER_BYTES + read]).await?;
        to.flush().await?;
        if read == 0 {
            return to.shutdown().await;
        }
    }
}
