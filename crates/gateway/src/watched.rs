//! Monitors a stream for slow heads, idle time, unread answers and requests with conflicting framing
//! headers, and accounts for its buffers.

use crate::callers::connection::header_timeout_ms;
use crate::connection_limits::FULL_CONNECTION_BYTES;
use crate::memory::{MemoryShare, Purpose};
use crate::node::Node;
use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// The maximum size of a head that is scanned, in bytes. The HTTP library rejects longer heads.
const MAX_SCANNED_BYTES: usize = 64 * 1024;
/// What a connection without a request holds, in bytes: its task and its socket, and once it was
/// served the buffers that the HTTP library keeps.
const UNSERVED_BYTES: usize = 2 * 1024;
const IDLE_BYTES: usize = 12 * 1024;

/// The phase of a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// Waiting for the first byte of a request.
    Idle,
    /// Reading a request's head.
    Head,
    /// Serving a request.
    Request {
        /// The request's deadline, after which the connection may be closed.
        deadline_at_ms: u64,
    },
}

impl Phase {
    /// Returns the phase's name in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Idle => "idle",
            Self::Head => "head",
            Self::Request { .. } => "request",
        }
    }
}

/// What a connection does, for the choice of the one that is closed when there is no room.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Standing {
    /// It has sent no request yet.
    Unserved {
        /// The time since it opened, in milliseconds.
        for_ms: u64,
    },
    /// It sends a head.
    Head {
        /// The time since the head began, in milliseconds.
        for_ms: u64,
    },
    /// Its client takes none of the bytes of an answer.
    Unread {
        /// The time since the client took some, in milliseconds.
        for_ms: u64,
    },
    /// It has been served, and has no request.
    Idle {
        /// The time since the last answer, in milliseconds.
        for_ms: u64,
    },
    /// It has a request in progress.
    Running,
}

impl Standing {
    /// Returns the standing's name in counters and logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Unserved { .. } => "unserved",
            Self::Head { .. } => "slow_head",
            Self::Unread { .. } => "unread",
            Self::Idle { .. } => "idle",
            Self::Running => "running",
        }
    }
}

/// The state that the watched stream and the service share.
#[derive(Debug)]
pub struct WatchState {
    /// The phase of the connection.
    pub phase: Phase,
    /// When the phase began.
    pub since_ms: u64,
    /// Whether bytes of the last answer are not yet written to the socket.
    pub has_unsent_bytes: bool,
    /// Whether a request was read.
    pub has_served: bool,
    /// The header timeout when the head began, in milliseconds.
    pub first_header_timeout_ms: u64,
    /// Since when the socket has accepted no bytes that are to be written.
    blocked_since_ms: Option<u64>,
    head: Vec<u8>,
    buffers: MemoryShare,
    /// The bytes of answers that are handed to the HTTP library and not yet written to the socket.
    unsent: MemoryShare,
}

/// A handle to the shared state of one connection.
#[derive(Clone, Debug)]
pub struct Watch {
    state: Arc<Mutex<WatchState>>,
    flushed: Arc<Notify>,
}

impl Watch {
    /// Creates the state of an idle connection.
    pub fn new(node: &Node) -> Self {
        let mut buffers = MemoryShare::new(Arc::clone(&node.memory), Purpose::Connections);
        buffers.resize(UNSERVED_BYTES);
        let state = WatchState {
            phase: Phase::Idle,
            since_ms: node.now_ms(),
            has_unsent_bytes: false,
            has_served: false,
            first_header_timeout_ms: 0,
            blocked_since_ms: None,
            head: Vec::new(),
            buffers,
            unsent: MemoryShare::new(Arc::clone(&node.memory), Purpose::Answers),
        };
        Self { state: Arc::new(Mutex::new(state)), flushed: Arc::default() }
    }

    /// Locks the state.
    pub fn lock(&self) -> MutexGuard<'_, WatchState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts a request. Returns whether its head has both a content length and a transfer
    /// encoding.
    pub fn start_request(&self, now_ms: u64, deadline_at_ms: u64) -> bool {
        let mut state = self.lock();
        state.phase = Phase::Request { deadline_at_ms };
        state.since_ms = now_ms;
        state.has_served = true;
        let head = std::mem::take(&mut state.head);
        has_conflicting_framing(&head)
    }

    /// Returns what the connection does.
    pub fn standing(&self, now_ms: u64) -> Standing {
        let state = self.lock();
        let for_ms = now_ms.saturating_sub(state.since_ms);
        if let Some(blocked_ms) = state.blocked_since_ms {
            return Standing::Unread { for_ms: now_ms.saturating_sub(blocked_ms) };
        }
        match state.phase {
            Phase::Idle if state.has_served => Standing::Idle { for_ms },
            Phase::Idle => Standing::Unserved { for_ms },
            Phase::Head => Standing::Head { for_ms },
            Phase::Request { .. } => Standing::Running,
        }
    }

    /// Waits until the answers to the requests before are written. The HTTP library would otherwise
    /// serve pipelined requests and keep all of their answers, however many nobody reads.
    pub async fn until_flushed(&self) {
        while self.lock().has_unsent_bytes {
            self.flushed.notified().await;
        }
    }

    /// Records bytes of an answer that are handed to the HTTP library; returns whether the memory
    /// allows them.
    pub fn record_unsent(&self, bytes: usize) -> bool {
        let mut state = self.lock();
        let unsent_bytes = state.unsent.bytes() + bytes;
        state.unsent.resize(unsent_bytes)
    }

    /// Records that the answer is complete. The request ends once its last bytes are written.
    pub fn end_answer(&self) {
        self.lock().has_unsent_bytes = true;
    }

    /// Records that all bytes handed to the stream are written.
    fn record_flush(&self, now_ms: u64) {
        let mut state = self.lock();
        state.blocked_since_ms = None;
        state.unsent.shrink(0);
        if std::mem::take(&mut state.has_unsent_bytes) {
            state.phase = Phase::Idle;
            state.since_ms = now_ms;
            state.buffers.shrink(IDLE_BYTES);
            self.flushed.notify_one();
        }
    }

    /// Records whether the socket accepts bytes.
    fn record_write(&self, is_accepted: bool, now_ms: u64) {
        let mut state = self.lock();
        if is_accepted {
            state.blocked_since_ms = None;
        } else {
            state.blocked_since_ms.get_or_insert(now_ms);
        }
    }

    fn record_bytes(&self, bytes: &[u8], node: &Node) {
        let mut state = self.lock();
        if matches!(state.phase, Phase::Request { .. }) {
            return;
        }
        if state.phase == Phase::Idle {
            state.phase = Phase::Head;
            state.since_ms = node.now_ms();
            state.first_header_timeout_ms = header_timeout_ms(node);
            state.buffers.resize(FULL_CONNECTION_BYTES);
        }
        if state.head.len() < MAX_SCANNED_BYTES {
            state.head.extend_from_slice(bytes);
        }
    }
}

/// Returns whether a head has both a content length and a transfer encoding. The body is not
/// scanned, because it may hold anything.
fn has_conflicting_framing(bytes: &[u8]) -> bool {
    let end = bytes.windows(4).position(|window| window == b"\r\n\r\n").unwrap_or(bytes.len());
    let mut has_content_length = false;
    let mut has_transfer_encoding = false;
    for line in bytes[..end].split(|byte| *byte == b'\n') {
        let name = line.split(|byte| *byte == b':').next().unwrap_or_default().trim_ascii();
        has_content_length |= name.eq_ignore_ascii_case(b"content-length");
        has_transfer_encoding |= name.eq_ignore_ascii_case(b"transfer-encoding");
    }
    has_content_length && has_transfer_encoding
}

/// A TCP stream that records what it receives in its watch.
#[derive(Debug)]
pub struct WatchedStream {
    inner: TcpStream,
    watch: Watch,
    node: Arc<Node>,
}

impl WatchedStream {
    /// Wraps a stream.
    pub const fn new(inner: TcpStream, watch: Watch, node: Arc<Node>) -> Self {
        Self { inner, watch, node }
    }
}

impl AsyncRead for WatchedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buf.filled().len();
        let result = Pin::new(&mut self.inner).poll_read(cx, buf);
        let new = &buf.filled()[filled..];
        if result.is_ready() && !new.is_empty() {
            self.watch.record_bytes(new, &self.node);
        }
        result
    }
}

impl AsyncWrite for WatchedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.inner).poll_write(cx, buf);
        self.watch.record_write(result.is_ready(), self.node.now_ms());
        result
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.inner).poll_write_vectored(cx, bufs);
        self.watch.record_write(result.is_ready(), self.node.now_ms());
        result
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let result = Pin::new(&mut self.inner).poll_flush(cx);
        // The HTTP library flushes the stream only once its own buffer is empty.
        if matches!(result, Poll::Ready(Ok(()))) {
            self.watch.record_flush(self.node.now_ms());
        }
        result
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
