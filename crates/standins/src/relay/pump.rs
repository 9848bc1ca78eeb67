//! One direction of one relayed connection.

use super::{Direction, Link, Partition};
use bytes::{Bytes, BytesMut};
use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep_until};

/// The most bytes that are read at once.
const CHUNK_BYTES: usize = 16 << 10;
/// How many chunks may be on their way.
const CHUNKS_ON_WAY: usize = 64;

/// Passes bytes on after the link's delay and at its rate.
pub(super) struct Pump {
    delay: Duration,
    direction: Arc<Direction>,
    cut: watch::Receiver<Partition>,
    generation: watch::Receiver<u64>,
    opened_in: u64,
}

impl Pump {
    /// Creates a pump for one direction of a connection that opens now.
    pub(super) fn new(link: &Link, direction: Arc<Direction>) -> Self {
        let generation = link.generation.subscribe();
        let opened_in = *generation.borrow();
        Self { delay: link.delay, direction, cut: link.cut.subscribe(), generation, opened_in }
    }

    /// Passes bytes on until the reading end closes.
    pub(super) async fn run(
        mut self,
        mut from: OwnedReadHalf,
        mut to: OwnedWriteHalf,
    ) -> io::Result<()> {
        let (sender, mut on_way) = mpsc::channel::<(Instant, Bytes)>(CHUNKS_ON_WAY);
        let direction = Arc::clone(&self.direction);
        let delay = self.delay;
        let reading = async move {
            loop {
                let mut chunk = BytesMut::with_capacity(CHUNK_BYTES);
                if from.read_buf(&mut chunk).await? == 0 {
                    return io::Result::Ok(());
                }
                let through = direction.pass(chunk.len() as u64);
                if sender.send((through + delay, chunk.freeze())).await.is_err() {
                    return Ok(());
                }
            }
        };
        let writing = async {
            while let Some((due, chunk)) = on_way.recv().await {
                sleep_until(due).await;
                self.wait_while_cut().await;
                to.write_all(&chunk).await?;
            }
            to.shutdown().await
        };
        tokio::try_join!(reading, writing)?;
        Ok(())
    }

    /// Waits until nothing holds the bytes back; forever if the connection was silenced.
    async fn wait_while_cut(&mut self) {
        let _ = self.cut.wait_for(|cut| *cut != Partition::Blackhole).await;
        if *self.generation.borrow() != self.opened_in {
            std::future::pending().await
        }
    }
}

impl Direction {
    /// Counts bytes and returns when the last of them is through the link.
    fn pass(&self, bytes: u64) -> Instant {
        self.bytes.fetch_add(bytes, Ordering::Relaxed);
        self.rate.as_ref().map_or_else(Instant::now, |rate| rate.reserve(bytes))
    }
}
