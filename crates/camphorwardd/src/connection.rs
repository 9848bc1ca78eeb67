//! A caller's connection with deadlines for stalled writes and long idleness.

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

/// Bounds how long a connection may stand still.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConnectionDeadlines {
    /// How long written bytes may stay untaken.
    pub(crate) write: Duration,
    /// How long no byte may pass in either direction.
    pub(crate) idle: Duration,
}

/// Wraps a TCP stream and fails it when a deadline passes.
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

    fn note_progress(&mut self) {
        let idle_until = Instant::now() + self.deadlines.idle;
        self.idle_timer.as_mut().reset(idle_until);
        self.write_timer = None;
    }

    fn silent(&self) -> io::Error {
        self.counters.count(Counter::ConnectionsSilent);
        io::Error::from(io::ErrorKind::TimedOut)
    }

    fn watch_write<T>(
        &mut self,
        cx: &mut Context<'_>,
        result: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if result.is_ready() {
            self.note_progress();
            return result;
        }
        let bound = self.deadlines.write;
        let timer = self.write_timer.get_or_insert_with(|| Box::pin(tokio::time::sleep(bound)));
        ready!(timer.as_mut().poll(cx));
        Poll::Ready(Err(self.silent()))
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
            this.note_progress();
            return result;
        }
        ready!(this.idle_timer.as_mut().poll(cx));
        Poll::Ready(Err(this.silent()))
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
