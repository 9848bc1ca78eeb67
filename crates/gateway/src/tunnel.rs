//! Connections to servers that one gateway carries for another which has lost its links.
//!
//! The bytes to the server travel unchanged. Those from it are framed, so that the end of an answer
//! is not mistaken for the end of the gateway that carries it.

mod frames;
mod serve;

pub use crate::tunnel::frames::FramedStream;
pub use crate::tunnel::serve::{Tunnels, accept};

use crate::connect::{self, ClientConnection};
use crate::listener::TUNNEL_PROTOCOL;
use crate::memory::{MemoryAccount, MemoryShare, Purpose};
use crate::paths::Carried;
use bytes::Bytes;
use dispatch::registry::ServerEntry;
use http::header::{CONNECTION, HOST, UPGRADE};
use http::{HeaderName, Method, Request, StatusCode};
use http_body_util::Full;
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// The path that opens a tunnel.
pub const TUNNEL_PATH: &str = "/peers/tunnel";
/// The server to connect to, and its incarnation.
const SERVER: HeaderName = HeaderName::from_static("camphorward-server");
const INCARNATION: HeaderName = HeaderName::from_static("camphorward-incarnation");
/// What the connection carries; builds before it do not send it.
const CARRIES: HeaderName = HeaderName::from_static("camphorward-carries");
/// The value for calls of the gateway itself, which evacuations allow.
const CARRIES_CALLS: &str = "calls";
/// The timeout for connecting to a peer. The longest round trip takes some 30 ms.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// How long a peer may take to connect to a server, or to find out whether its links work.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(800);

/// Why a peer carries no connection to a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TunnelError {
    /// The server refuses the peer's connections.
    Refused,
    /// The server refuses the peer's connections, but the peer reaches no other server either.
    Unconfirmed,
    /// The peer does not reach the server.
    Unreached,
    /// For the peer the server takes no requests, or its failure domain is evacuated.
    NotUsable,
    /// The peer does not answer, drains, is cut off itself or carries enough.
    Unavailable,
    /// The peer runs a version of the program without tunnels.
    Unsupported,
}

impl TunnelError {
    /// Returns the reason's name in counters.
    pub const fn as_str(self) -> &'static str {
        match self {
            TunnelError::Refused => "refused",
            TunnelError::Unconfirmed => "unconfirmed",
            TunnelError::Unreached => "unreached",
            TunnelError::NotUsable => "not_usable",
            TunnelError::Unavailable => "unavailable",
            TunnelError::Unsupported => "unsupported",
        }
    }

    /// Returns the status that stands for it between gateways.
    const fn status(self) -> StatusCode {
        match self {
            TunnelError::Refused => StatusCode::BAD_GATEWAY,
            TunnelError::Unconfirmed => StatusCode::FAILED_DEPENDENCY,
            TunnelError::Unreached => StatusCode::GATEWAY_TIMEOUT,
            TunnelError::NotUsable => StatusCode::CONFLICT,
            TunnelError::Unavailable => StatusCode::SERVICE_UNAVAILABLE,
            TunnelError::Unsupported => StatusCode::NOT_FOUND,
        }
    }

    const fn from_status(status: StatusCode) -> Self {
        match status {
            StatusCode::BAD_GATEWAY => TunnelError::Refused,
            StatusCode::FAILED_DEPENDENCY => TunnelError::Unconfirmed,
            StatusCode::GATEWAY_TIMEOUT => TunnelError::Unreached,
            StatusCode::CONFLICT => TunnelError::NotUsable,
            StatusCode::NOT_FOUND => TunnelError::Unsupported,
            _ => TunnelError::Unavailable,
        }
    }
}

/// Opens a connection to a server through a peer.
///
/// # Errors
///
/// Returns why the peer carries none.
pub async fn open(
    entry: &ServerEntry,
    peer: SocketAddr,
    carried: Carried<'_>,
    memory: &Arc<MemoryAccount>,
) -> Result<ClientConnection, TunnelError> {
    let unavailable = |_| TunnelError::Unavailable;
    let share = |purpose| MemoryShare::new(Arc::clone(memory), purpose);
    let opening = connect::open(peer, CONNECT_TIMEOUT, share(Purpose::Calls));
    let mut connection = opening.await.map_err(unavailable)?;
    let carries = match carried {
        Carried::Request(_) => "request",
        Carried::Calls => CARRIES_CALLS,
    };
    let request = Request::builder()
        .method(Method::GET)
        .uri(TUNNEL_PATH)
        .header(HOST, peer.to_string())
        .header(CONNECTION, "upgrade")
        .header(UPGRADE, TUNNEL_PROTOCOL)
        .header(SERVER, entry.id.as_str())
        .header(INCARNATION, entry.incarnation.value())
        .header(CARRIES, carries)
        .body(Full::new(Bytes::new()))
        .map_err(|_| TunnelError::Unavailable)?;
    let upgrading = async {
        let answer = connection.send(request).await.map_err(|_| TunnelError::Unavailable)?;
        if answer.status() != StatusCode::SWITCHING_PROTOCOLS {
            return Err(TunnelError::from_status(answer.status()));
        }
        connection.end_answers();
        hyper::upgrade::on(answer).await.map_err(|_| TunnelError::Unavailable)
    };
    let upgraded = tokio::time::timeout(ANSWER_TIMEOUT, upgrading);
    let upgraded = upgraded.await.unwrap_or(Err(TunnelError::Unavailable))?;
    let stream = FramedStream::new(TokioIo::new(upgraded));
    connect::handshake(stream, share(Purpose::Answers)).await.map_err(unavailable)
}
