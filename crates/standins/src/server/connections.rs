//! The open connections of a server, which can be closed or paused from outside their tasks.

use std::collections::HashMap;
use std::io;
use std::net::{Shutdown, SocketAddr};
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A second descriptor of each open connection, by the peer's address.
#[derive(Default)]
pub(crate) struct Connections {
    open: Mutex<HashMap<SocketAddr, std::net::TcpStream>>,
    pause: Mutex<Pause>,
}

/// Whether the connections are paused, and the tasks that wait for the end of the pause.
#[derive(Default)]
struct Pause {
    paused: bool,
    waiting: Vec<Waker>,
}

impl Connections {
    /// Closes the connection to a peer.
    pub(crate) fn close(&self, peer: SocketAddr) {
        if let Some(socket) = self.lock().get(&peer) {
            let _ = socket.shutdown(Shutdown::Both);
        }
    }

    /// Closes all connections.
    pub(crate) fn close_all(&self) {
        for socket in self.lock().values() {
            let _ = socket.shutdown(Shutdown::Both);
        }
    }

    /// Stops reading from and writing to every connection; they stay open.
    pub(crate) fn pause(&self) {
        self.lock_pause().paused = true;
    }

    /// Ends a pause; each connection continues where it stopped.
    pub(crate) fn unpause(&self) {
        let waiting = {
            let mut pause = self.lock_pause();
            pause.paused = false;
            std::mem::take(&mut pause.waiting)
        };
        waiting.into_iter().for_each(Waker::wake);
    }

    fn poll_unpaused(&self, context: &Context<'_>) -> Poll<()> {
        let mut pause = self.lock_pause();
        if !pause.paused {
            return Poll::Ready(());
        }
        pause.waiting.push(context.waker().clone());
        Poll::Pending
    }

    fn lock_pause(&self) -> MutexGuard<'_, Pause> {
        self.pause.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, std::net::TcpStream>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// An accepted socket that is registered while it is open.
pub(crate) struct Tracked {
    socket: TcpStream,
    peer: SocketAddr,
    connections: Arc<Connections>,
}

impl Tracked {
    /// Registers the socket; drops it on an error.
    pub(crate) fn new(socket: TcpStream, connections: &Arc<Connections>) -> Result<Self, ()> {
        Self::try_new(socket, connections).map_err(|_| ())
    }

    fn try_new(socket: TcpStream, connections: &Arc<Connections>) -> io::Result<Self> {
        socket.set_nodelay(true)?;
        let peer = socket.peer_addr()?;
        let socket = socket.into_std()?;
        let duplicate = socket.try_clone()?;
        let socket = TcpStream::from_std(socket)?;
        connections.lock().insert(peer, duplicate);
        Ok(Self { socket, peer, connections: Arc::clone(connections) })
    }
}

impl Drop for Tracked {
    fn drop(&mut self) {
        self.connections.lock().remove(&self.peer);
    }
}

impl AsyncRead for Tracked {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        ready!(self.connections.poll_unpaused(context));
        Pin::new(&mut self.socket).poll_read(context, buffer)
    }
}

impl AsyncWrite for Tracked {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        ready!(self.connections.poll_unpaused(context));
        Pin::new(&mut self.socket).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(context)
    }
}
