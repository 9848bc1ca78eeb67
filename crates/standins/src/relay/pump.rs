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

/// Maximum number of bytes per read.
const CHUNK_BYTES: usize = 16 << 10;
/// Maximum number of chunks in flight.
const MAX_CHUNKS_IN_FLIGHT: usize = 64;

/// Forwards bytes after the link's delay and at its rate.
pub(super) struct Pump {
    delay: Duration,
    direction: Arc<Direction>,
    partition: watch::Receiver<Partition>,
    generation: watch::Receiver<u64>,
    opened_generation: u64,
}

impl Pump {
    /// Creates a pump for one direction of a newly opened connection.
    pub(super) fn new(link: &Link, direction: Arc<Direction>) -> Self {
        let generation = link.generation.subscribe();
        let opened_generation = *generation.borrow();
        Self {
            delay: link.delay,
            direction,
            partition: link.partition.subscribe(),
            generation,
            opened_generation,
        }
    }

    /// Forwards bytes until the sending side closes the connection.
    pub(super) async fn run(
        mut self,
        mut from: OwnedReadHalf,
        mut to: OwnedWriteHalf,
    ) -> io::Result<()> {
        let (sender, mut in_flight) = mpsc::channel::<(Instant, Bytes)>(MAX_CHUNKS_IN_FLIGHT);
        let direction = Arc::clone(&self.direction);
        let delay = self.delay;
        let reading = async move {
            loop {
                let mut chunk = BytesMut::with_capacity(CHUNK_BYTES);
                if from.read_buf(&mut chunk).await? == 0 {
                    return io::Result::Ok(());
                }
                let passed_at = direction.reserve(chunk.len() as u64);
                if sender.send((passed_at + delay, chunk.freeze())).await.is_err() {
                    return Ok(());
                }
            }
        };
        let writing = async {
            while let Some((due, chunk)) = in_flight.recv().await {
                sleep_until(due).await;
                self.wait_while_blocked().await;
                to.write_all(&chunk).await?;
            }
            to.shutdown().await
        };
        tokio::try_join!(reading, writing)?;
        Ok(())
    }

    /// Waits until the link forwards bytes; waits forever if the connection is stalled.
    async fn wait_while_blocked(&mut self) {
        let _ = self.partition.wait_for(|partition| *partition != Partition::Blackhole).await;
        if *self.generation.borrow() != self.opened_generation {
            std::future::pending().await
        }
    }
}

impl Direction {
    /// Counts bytes and returns the time at which the last of them has passed the link.
    fn reserve(&self, bytes: u64) -> Instant {
        self.bytes.fetch_add(bytes, Ordering::Relaxed);
        self.rate.as_ref().map_or_else(Instant::now, |rate| rate.reserve(bytes))
    }
}
