//! The frames in which bytes from a server travel between gateways: a length of two bytes and as many
//! bytes. A frame without bytes is the end of the server's connection.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// The length of a frame's header, in bytes.
pub const HEADER_BYTES: usize = 2;
/// The largest number of bytes in a frame.
pub const MAX_FRAME_BYTES: usize = 16 * 1024;

/// Returns the header of a frame.
pub const fn header(length: usize) -> [u8; HEADER_BYTES] {
    (length as u16).to_be_bytes()
}

/// A stream whose bytes are read from frames and written as they are.
#[derive(Debug)]
pub struct FramedStream<S> {
    inner: S,
    header: [u8; HEADER_BYTES],
    header_bytes: usize,
    /// What is left of the current frame, in bytes.
    remaining: usize,
    has_ended: bool,
}

impl<S> FramedStream<S> {
    /// Reads frames from a stream.
    pub const fn new(inner: S) -> Self {
        let header = [0; HEADER_BYTES];
        Self { inner, header, header_bytes: 0, remaining: 0, has_ended: false }
    }
}

impl<S: AsyncRead + Unpin> FramedStream<S> {
    /// Reads the header of the next frame; returns false at the end of the server's connection.
    fn poll_header(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<bool>> {
        while self.header_bytes < HEADER_BYTES {
            let mut buffer = ReadBuf::new(&mut self.header[self.header_bytes..]);
            ready!(Pin::new(&mut self.inner).poll_read(cx, &mut buffer))?;
            let read = buffer.filled().len();
            if read == 0 {
                return Poll::Ready(Err(broken()));
            }
            self.header_bytes += read;
        }
        self.header_bytes = 0;
        self.remaining = usize::from(u16::from_be_bytes(self.header));
        self.has_ended = self.remaining == 0;
        Poll::Ready(Ok(!self.has_ended))
    }
}

/// The error of a tunnel that ended before the server's connection.
fn broken() -> io::Error {
    io::Error::new(io::ErrorKind::ConnectionReset, "the gateway that carried the connection ended")
}

impl<S: AsyncRead + Unpin> AsyncRead for FramedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.has_ended || (self.remaining == 0 && !ready!(self.poll_header(cx))?) {
            return Poll::Ready(Ok(()));
        }
        let wanted = self.remaining.min(buffer.remaining());
        let mut part = ReadBuf::new(buffer.initialize_unfilled_to(wanted));
        ready!(Pin::new(&mut self.inner).poll_read(cx, &mut part))?;
        let read = part.filled().len();
        if read == 0 && wanted > 0 {
            return Poll::Ready(Err(broken()));
        }
        buffer.advance(read);
        self.remaining -= read;
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for FramedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(cx, buffers)
    }

    // Without it the HTTP library copies each body behind its head.
    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
