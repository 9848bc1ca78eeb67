//! Simulated network links: TCP relays on loopback with delay, limited rate, byte counters and
//! partitions.

mod pump;

use crate::rate::RateLimit;
use crate::switch::lock;
use protocol::size::{ByteCount, BytesPerSecond};
use pump::Pump;
use serde::{Deserialize, Serialize};
use socket2::SockRef;
use std::io;
use std::net::{Shutdown, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};

/// The configuration of a link.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LinkConfig {
    /// The one-way delay, in milliseconds.
    pub delay_ms: f64,
    /// The rate in each direction; unlimited if absent.
    pub bytes_per_s: Option<BytesPerSecond>,
}

/// How a link is partitioned.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Partition {
    /// The link forwards everything.
    #[default]
    None,
    /// Connections stay open and new ones are accepted, but nothing is forwarded until the
    /// partition ends.
    Blackhole,
    /// Open connections are closed, and new ones are closed as soon as they are accepted.
    Refuse,
    /// Open connections live on, and new ones are refused.
    RefuseNew,
}

/// The byte counters of a link.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LinkCounters {
    /// Bytes from the relays' clients to their targets.
    pub forward_bytes: ByteCount,
    /// Bytes from the relays' targets to their clients.
    pub backward_bytes: ByteCount,
}

/// One direction of a link.
struct Direction {
    rate: Option<RateLimit>,
    bytes: AtomicU64,
}

impl Direction {
    fn new(config: &LinkConfig) -> Self {
        Self { rate: config.bytes_per_s.map(RateLimit::new), bytes: AtomicU64::new(0) }
    }

    fn byte_count(&self) -> ByteCount {
        ByteCount::new(self.bytes.load(Ordering::Relaxed))
    }
}

/// A link, shared by all relays over it.
pub struct Link {
    delay: Duration,
    forward: Arc<Direction>,
    backward: Arc<Direction>,
    partition: Arc<watch::Sender<Partition>>,
    /// Connections of an earlier generation are stalled permanently.
    generation: Arc<watch::Sender<u64>>,
}

impl Link {
    /// Creates a link without a partition.
    pub fn new(config: LinkConfig) -> Arc<Self> {
        Arc::new(Self {
            delay: Duration::from_secs_f64(config.delay_ms.max(0.0) / 1_000.0),
            forward: Arc::new(Direction::new(&config)),
            backward: Arc::new(Direction::new(&config)),
            partition: Arc::default(),
            generation: Arc::default(),
        })
    }

    /// Returns a view of this link with the client and target sides exchanged.
    ///
    /// The view shares the rates, the counters and the partition of this link.
    pub fn reversed(&self) -> Arc<Self> {
        Arc::new(Self {
            delay: self.delay,
            forward: Arc::clone(&self.backward),
            backward: Arc::clone(&self.forward),
            partition: Arc::clone(&self.partition),
            generation: Arc::clone(&self.generation),
        })
    }

    /// Starts or ends a partition.
    pub fn set_partition(&self, partition: Partition) {
        self.partition.send_replace(partition);
    }

    /// Stalls the open connections permanently; new ones are not affected.
    pub fn stall_open_connections(&self) {
        self.generation.send_modify(|generation| *generation += 1);
    }

    /// Returns the counters.
    pub fn counters(&self) -> LinkCounters {
        LinkCounters {
            forward_bytes: self.forward.byte_count(),
            backward_bytes: self.backward.byte_count(),
        }
    }
}

/// A relay that forwards connections to a target over a link.
pub struct Relay {
    address: SocketAddr,
    target: Arc<Mutex<SocketAddr>>,
    task: JoinHandle<()>,
}

impl Relay {
    /// Starts a relay on a free port.
    ///
    /// # Errors
    ///
    /// Returns the error of binding the address.
    pub async fn start(link: Arc<Link>, target: SocketAddr) -> io::Result<Self> {
        let listener = bind_free_port().await?;
        let address = listener.local_addr()?;
        let target = Arc::new(Mutex::new(target));
        let task = tokio::spawn(accept(listener, link, Arc::clone(&target)));
        Ok(Self { address, target, task })
    }

    /// Returns the address under which the target is reached.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the target of new connections.
    pub fn set_target(&self, target: SocketAddr) {
        *lock(&self.target) = target;
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Binds a free port by its number: only then it stays bound while nothing listens.
async fn bind_free_port() -> io::Result<TcpListener> {
    loop {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let address = TcpListener::bind(any).await?.local_addr()?;
        match TcpListener::bind(address).await {
            // Another process was first.
            Err(error) if error.kind() == io::ErrorKind::AddrInUse => {}
            bound => return bound,
        }
    }
}

async fn accept(mut listener: TcpListener, link: Arc<Link>, target: Arc<Mutex<SocketAddr>>) {
    let mut connections = JoinSet::new();
    let mut partition = link.partition.subscribe();
    loop {
        if *partition.borrow_and_update() == Partition::RefuseNew {
            match refuse_until_changed(listener, &mut partition).await {
                Ok(listening) => listener = listening,
                Err(_) => return,
            }
            continue;
        }
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = partition.changed() => continue,
        };
        let Ok((client, _)) = accepted else {
            continue;
        };
        while connections.try_join_next().is_some() {}
        let target = *lock(&target);
        connections.spawn(relay(client, Arc::clone(&link), target));
    }
}

/// Stops listening until the partition changes; the port stays bound.
async fn refuse_until_changed(
    listener: TcpListener,
    partition: &mut watch::Receiver<Partition>,
) -> io::Result<TcpListener> {
    const BACKLOG: i32 = 128;
    // On Linux this ends the listening, and `listen` begins it again. The runtime forgets the closed
    // state only with a new registration.
    let listener = listener.into_std()?;
    SockRef::from(&listener).shutdown(Shutdown::Both)?;
    // Without a sender the relay ends too.
    let _ = partition.changed().await;
    SockRef::from(&listener).listen(BACKLOG)?;
    TcpListener::from_std(listener)
}

/// Relays one connection until either side closes it or the link refuses it.
async fn relay(client: TcpStream, link: Arc<Link>, target: SocketAddr) {
    let mut partition = link.partition.subscribe();
    if *partition.borrow_and_update() == Partition::Refuse {
        return;
    }
    let refused = async move {
        let _ = partition.wait_for(|partition| *partition == Partition::Refuse).await;
    };
    tokio::select! {
        () = refused => {}
        _ = connect_and_pump(client, &link, target) => {}
    }
}

async fn connect_and_pump(client: TcpStream, link: &Link, target: SocketAddr) -> io::Result<()> {
    let mut partition = link.partition.subscribe();
    let _ = partition.wait_for(|partition| *partition != Partition::Blackhole).await;
    let server = TcpStream::connect(target).await?;
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let forward = Pump::new(link, Arc::clone(&link.forward));
    let backward = Pump::new(link, Arc::clone(&link.backward));
    tokio::try_join!(
        forward.run(client_read, server_write),
        backward.run(server_read, client_write),
    )?;
    Ok(())
}
