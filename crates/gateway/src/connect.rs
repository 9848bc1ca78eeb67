//! Opening connections that notice a silent other side.

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

/// How long sent bytes may stay unconfirmed before the connection counts as dead. Longer than a
/// few retransmissions on a lossy link, shorter than any caller's patience.
const USER_TIMEOUT: Duration = Duration::from_millis(2_000);
/// How long a connection may be idle before it is probed.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(2);
/// How often an idle connection is probed.
const KEEPALIVE_EVERY: Duration = Duration::from_secs(1);

/// Sets what every connection needs: no delay of small writes, and bounds on silence.
///
/// # Errors
///
/// Returns an error if the socket refuses an option.
pub fn prepare(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    let probes = TcpKeepalive::new().with_time(KEEPALIVE_IDLE).with_interval(KEEPALIVE_EVERY);
    socket.set_tcp_keepalive(&probes)
}

/// An HTTP/1.1 connection as its client; dropping it closes the socket at once.
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
/// Returns an error if the other side refuses, or does not answer in time.
pub async fn open(address: SocketAddr, within: Duration) -> io::Result<ClientConnection> {
    let connecting = tokio::time::timeout(within, TcpStream::connect(address));
    let stream = connecting.await.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    prepare(&stream)?;
    let handshake = http1::Builder::new().handshake(TokioIo::new(stream)).await;
    let (sender, connection) = handshake.map_err(io::Error::other)?;
    // A broken connection shows at the next send; there is nobody else to tell.
    let task = tokio::spawn(async move { drop(connection.await) }).abort_handle();
    Ok(ClientConnection { sender, task })
}
