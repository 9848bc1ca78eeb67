//! Opens connections that detect an unresponsive peer.

use crate::memory::MemoryShare;
use crate::received::{AccountedStream, ReceivedBody, ReceivedBytes};
use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;
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

/// The maximum size of a head, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;

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

/// Why a request got no head of an answer.
#[derive(Debug, Error)]
pub enum SendError {
    /// The connection closed before the request was written.
    #[error("not sent: {0}")]
    Unsent(hyper::Error),
    /// The head is larger than what is held of one.
    #[error("the answer is too large")]
    TooLarge,
    /// The connection was lost, or no answer was sent.
    #[error("connection lost: {0}")]
    Lost(hyper::Error),
}

/// An HTTP/1.1 client connection. Dropping it closes the socket at once.
#[derive(Debug)]
pub struct ClientConnection {
    sender: SendRequest<Full<Bytes>>,
    received: ReceivedBytes,
    task: AbortHandle,
}

impl ClientConnection {
    /// Returns whether a request can be sent.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Returns whether the connection has closed.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Waits until a request can be sent.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection has closed.
    pub async fn ready(&mut self) -> hyper::Result<()> {
        self.sender.ready().await
    }

    /// Sends a request and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// Returns an error that distinguishes whether the request was written.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<ReceivedBody>, SendError> {
        self.received.release();
        match self.sender.try_send_request(request).await {
            Ok(answer) => {
                self.received.end_head();
                let (head, body) = answer.into_parts();
                let body = ReceivedBody::new(body, &head.headers, self.received.clone());
                Ok(Response::from_parts(head, body))
            }
            Err(mut error) => Err(match error.take_message() {
                Some(_) => SendError::Unsent(error.into_error()),
                None if error.error().is_parse_too_large() || self.received.is_over_limit() => {
                    SendError::TooLarge
                }
                None => SendError::Lost(error.into_error()),
            }),
        }
    }

    /// Releases the memory that the last answer holds.
    pub fn release_answer(&self) {
        self.received.release();
    }

    /// Records that the connection carries another protocol from now on.
    pub fn end_answers(&self) {
        self.received.end_answers();
    }
}

impl Drop for ClientConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Opens a connection whose answers are held in a share of the memory.
///
/// # Errors
///
/// Returns an error if the peer refuses, or does not answer in time.
pub async fn open(
    address: SocketAddr,
    timeout: Duration,
    share: MemoryShare,
) -> io::Result<ClientConnection> {
    handshake(open_stream(address, timeout).await?, share).await
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

/// Begins HTTP/1.1 on an open connection whose answers are held in a share of the memory.
///
/// # Errors
///
/// Returns an error if the connection has closed.
pub async fn handshake<S>(stream: S, share: MemoryShare) -> io::Result<ClientConnection>
where
    S: AsyncRead + AsyncWrite + Send + Unpin + 'static,
{
    let received = ReceivedBytes::new(share);
    let stream = TokioIo::new(AccountedStream::new(stream, received.clone()));
    let handshake = http1::Builder::new().max_buf_size(MAX_HEAD_BYTES).handshake(stream);
    let (sender, connection) = handshake.await.map_err(io::Error::other)?;
    // A lost connection shows at the next request, so the error is ignored here.
    let task = tokio::spawn(async move { drop(connection.with_upgrades().await) }).abort_handle();
    Ok(ClientConnection { sender, received, task })
}
