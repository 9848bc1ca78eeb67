//! TCP connections with deadlines for stalled writes and idle connections.

use crate::counters::{Counter, Counters};
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep};

/// The deadlines of a connection.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConnectionDeadlines {
    /// How long a write may stall because the other side does not read.
    pub(crate) write: Duration,
    /// How long the connection may be idle in both directions.
    pub(crate) idle: Duration,
}

/// A TCP stream whose reads and writes fail when a deadline passes.
#[derive(Debug)]
pub(crate) struct DeadlineStream {
    inner: TcpStream,
    deadlines: ConnectionDeadlines,
    write_timer: Option<Pin<Box<Sleep>>>,
    idle_timer: Pin<Box<Sleep>>,
    counters: Arc<Counters>,
}

impl DeadlineStream {
    /// Wraps a stream.
    pub(crate) fn new(
        inner: TcpStream,
        deadlines: ConnectionDeadlines,
        counters: Arc<Counters>,
    ) -> Self {
        let idle_timer = Box::pin(tokio::time::sleep(deadlines.idle));
        Self { inner, deadlines, write_timer: None, idle_timer, counters }
    }

    fn record_progress(&mut self) {
        let idle_until = Instant::now() + self.deadlines.idle;
        self.idle_timer.as_mut().reset(idle_until);
        self.write_timer = None;
    }

    fn timed_out(&self) -> io::Error {
        self.counters.count(Counter::ConnectionsTimedOut);
        io::Error::from(io::ErrorKind::TimedOut)
    }

    fn watch_write<T>(
        &mut self,
        cx: &mut Context<'_>,
        result: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if result.is_ready() {
            self.record_progress();
            return result;
        }
        let timeout = self.deadlines.write;
        let timer = self.write_timer.get_or_insert_with(|| Box::pin(tokio::time::sleep(timeout)));
        ready!(timer.as_mut().poll(cx));
        Poll::Ready(Err(self.timed_out()))
    }
}

impl AsyncRead for DeadlineStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        let result = Pin::new(&mut this.inner).poll_read(cx, buf);
        if result.is_ready() {
            this.record_progress();
            return result;
        }
        ready!(this.idle_timer.as_mut().poll(cx));
        Poll::Ready(Err(this.timed_out()))
    }
}

impl AsyncWrite for DeadlineStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = &mut *self;
        let result = Pin::new(&mut this.inner).poll_write(cx, buf);
        this.watch_write(cx, result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let this = &mut *self;
        let result = Pin::new(&mut this.inner).poll_write_vectored(cx, bufs);
        this.watch_write(cx, result)
    }

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
