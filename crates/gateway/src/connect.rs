//! Opens connections that detect an unresponsive peer.

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

/// How long sent bytes may stay unacknowledged before the connection is closed. It also decides when
/// the probes of an idle connection give up, whatever their count, so it allows for several: a sound
/// server may be silent for a second.
const USER_TIMEOUT: Duration = Duration::from_millis(5_000);
/// The same for callers. It also limits how long a caller that is connected may read nothing, so it
/// is longer than any pause in reading.
const CALLER_USER_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a connection may be idle before it is probed.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(2);
/// The interval between probes of an idle connection.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// The number of unanswered probes after which the connection is closed.
const KEEPALIVE_PROBES: u32 = 3;

/// The maximum size of a head, and of the buffer from which heads and bodies are read, in bytes.
const MAX_BUFFER_BYTES: usize = 64 * 1024;

/// Sets the options of a connection to a server, a peer or the store: no delay of small writes, and
/// limits on how long the other side may be unresponsive.
///
/// # Errors
///
/// Returns an error if a socket option cannot be set.
pub fn prepare(stream: &TcpStream) -> io::Result<()> {
    set_options(stream, USER_TIMEOUT)
}

/// Sets the options of a caller's connection, which may read its answer slowly.
///
/// # Errors
///
/// Returns an error if a socket option cannot be set.
pub fn prepare_caller(stream: &TcpStream) -> io::Result<()> {
    set_options(stream, CALLER_USER_TIMEOUT)
}

fn set_options(stream: &TcpStream, user_timeout: Duration) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(user_timeout))?;
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&probes)
}

/// An HTTP/1.1 client connection. Dropping it closes the socket at once.
#[derive(Debug)]
pub struct ClientConnection {
    /// Sends requests.
    pub sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
}

impl Drop for ClientConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Opens a connection.
///
/// # Errors
///
/// Returns an error if the peer refuses, or does not answer in time.
pub async fn open(address: SocketAddr, timeout: Duration) -> io::Result<ClientConnection> {
    handshake(open_stream(address, timeout).await?).await
}

/// Opens a connection without a protocol.
///
/// # Errors
///
/// Returns an error if the peer refuses, or does not answer in time.
pub async fn open_stream(address: SocketAddr, timeout: Duration) -> io::Result<TcpStream> {
    let connecting = tokio::time::timeout(timeout, TcpStream::connect(address));
    let stream = connecting.await.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    prepare(&stream)?;
    Ok(stream)
}

/// Begins HTTP/1.1 on an open connection.
///
/// # Errors
///
/// Returns an error if the connection has closed.
pub async fn handshake<S>(stream: S) -> io::Result<ClientConnection>
where
    S: AsyncRead + AsyncWrite + Send + Unpin + 'static,
{
    let handshake =
        http1::Builder::new().max_buf_size(MAX_BUFFER_BYTES).handshake(TokioIo::new(stream)).await;
    let (sender, connection) = handshake.map_err(io::Error::other)?;
    // A lost connection shows at the next request, so the error is ignored here.
    let task = tokio::spawn(async move { drop(connection.with_upgrades().await) }).abort_handle();
    Ok(ClientConnection { sender, task })
}
