//! Accounts for the bytes of an answer that are received and not passed on yet, and tells whether an
//! answer that ends with its connection is whole.
//!
//! Load pattern: servers that send bytes without end to many callers at once, in heads, between heads or
//! in the framing of bodies. The HTTP library keeps them, or reads them to no purpose.

use crate::answer_memory::ReadError;
use crate::memory::MemoryShare;
use bytes::Bytes;
use http::HeaderMap;
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;
use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// The maximum number of bytes that are received for one head, interim ones included, or from one part of
/// a body to the next.
const MAX_RECEIVED_BYTES: usize = 128 * 1024;
/// The maximum number of bytes that are received at once. It bounds the buffer that the HTTP library
/// reserves.
const MAX_READ_BYTES: usize = 16 * 1024;

#[derive(Debug)]
struct State {
    share: MemoryShare,
    /// What the present head takes.
    head_bytes: usize,
    is_over_limit: bool,
    /// Whether the bytes are not HTTP any more.
    is_upgraded: bool,
    /// Whether nothing that was to be written is left.
    is_flushed: bool,
}

/// The bytes received on one connection since its last request. They are held in the gateway's account:
/// those of the head until the next request, others until they are passed on.
#[derive(Clone, Debug)]
pub struct ReceivedBytes(Arc<Mutex<State>>);

impl ReceivedBytes {
    /// Creates the account of a connection without a request.
    pub fn new(share: MemoryShare) -> Self {
        let state = State {
            share,
            head_bytes: 0,
            is_over_limit: false,
            is_upgraded: false,
            is_flushed: true,
        };
        Self(Arc::new(Mutex::new(state)))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Releases what the answer before holds.
    pub fn release(&self) {
        let mut state = self.lock();
        state.head_bytes = 0;
        state.share.shrink(0);
    }

    /// Records that a head is complete.
    pub fn end_head(&self) {
        let mut state = self.lock();
        state.head_bytes = state.share.bytes();
    }

    /// Releases everything, as what follows is no answer.
    pub fn end_answers(&self) {
        self.lock().is_upgraded = true;
        self.release();
    }

    /// Returns whether the connection was ended because it received too much.
    pub fn is_over_limit(&self) -> bool {
        self.lock().is_over_limit
    }

    /// Returns whether the request is written completely. The HTTP library writes nothing more once the
    /// other side has ended its own.
    fn is_request_written(&self) -> bool {
        self.lock().is_flushed
    }

    fn pass_on(&self) {
        let mut state = self.lock();
        let head_bytes = state.head_bytes;
        state.share.shrink(head_bytes);
    }

    /// Records received bytes; returns whether more may be received.
    fn record(&self, bytes: usize) -> bool {
        let mut state = self.lock();
        if state.is_upgraded {
            return true;
        }
        let held_bytes = state.share.bytes() + bytes;
        let has_room = state.share.resize(held_bytes);
        let unparsed_bytes = held_bytes - state.head_bytes;
        // What is received at once always has room: it is passed on, and held there or not.
        state.is_over_limit =
            unparsed_bytes > MAX_RECEIVED_BYTES || (unparsed_bytes > MAX_READ_BYTES && !has_room);
        !state.is_over_limit
    }
}

/// A stream whose received bytes are accounted for. It fails once there are too many.
#[derive(Debug)]
pub struct AccountedStream<S> {
    inner: S,
    received: ReceivedBytes,
}

impl<S> AccountedStream<S> {
    /// Wraps a stream.
    pub const fn new(inner: S, received: ReceivedBytes) -> Self {
        Self { inner, received }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for AccountedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let wanted = buffer.remaining().min(MAX_READ_BYTES);
        let mut part = ReadBuf::new(buffer.initialize_unfilled_to(wanted));
        ready!(Pin::new(&mut self.inner).poll_read(cx, &mut part))?;
        let read = part.filled().len();
        buffer.advance(read);
        if !self.received.record(read) {
            return Poll::Ready(Err(io::Error::other("the answer is too large")));
        }
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for AccountedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.received.lock().is_flushed = false;
        Pin::new(&mut self.inner).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.received.lock().is_flushed = false;
        Pin::new(&mut self.inner).poll_write_vectored(cx, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.inner).poll_flush(cx))?;
        // The HTTP library flushes the stream only once its own buffer is empty.
        self.received.lock().is_flushed = true;
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}

/// The body of an answer. Each part that is taken from it is passed on.
#[derive(Debug)]
pub struct ReceivedBody {
    inner: Incoming,
    received: ReceivedBytes,
    /// Whether the end of the connection is the only sign of its end.
    is_unframed: bool,
}

impl ReceivedBody {
    /// Wraps the body of an answer on a connection.
    pub fn new(inner: Incoming, headers: &HeaderMap, received: ReceivedBytes) -> Self {
        let is_framed =
            headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING);
        let is_unframed = !is_framed && !inner.is_end_stream();
        Self { inner, received, is_unframed }
    }
}

impl Body for ReceivedBody {
    type Data = Bytes;
    type Error = ReadError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ReadError>>> {
        let frame = ready!(Pin::new(&mut self.inner).poll_frame(cx));
        if frame.is_none() && self.is_unframed && !self.received.is_request_written() {
            return Poll::Ready(Some(Err(ReadError::EndedEarly)));
        }
        Poll::Ready(frame.map(|frame| match frame {
            Ok(frame) => {
                self.received.pass_on();
                Ok(frame)
            }
            Err(_) if self.received.is_over_limit() => Err(ReadError::TooLarge),
            Err(error) => Err(ReadError::Aborted(error)),
        }))
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
