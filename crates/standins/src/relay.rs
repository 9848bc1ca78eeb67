//! Links between places: TCP relays on loopback with delay, limited rate, counters and cuts.

mod pump;

use crate::rate::RateLimit;
use crate::switch::lock;
use protocol::size::{ByteCount, BytesPerSecond};
use pump::Pump;
use serde::{Deserialize, Serialize};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};

/// Configures a link.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LinkConfig {
    /// The delay one way, in milliseconds.
    pub delay_ms: f64,
    /// What the link carries each way; unlimited if absent.
    pub bytes_per_s: Option<BytesPerSecond>,
}

/// Says how a link is cut.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Partition {
    /// The link passes everything.
    #[default]
    None,
    /// Connections stay open or can be opened, and nothing passes until the cut ends.
    Blackhole,
    /// Open connections are closed, and new ones as soon as they are made.
    Refuse,
}

/// Counts what a link passed on.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LinkCounters {
    /// From the relays' clients to their targets.
    pub forward_bytes: ByteCount,
    /// From the relays' targets to their clients.
    pub backward_bytes: ByteCount,
}

/// Holds one direction of a link.
struct Direction {
    rate: Option<RateLimit>,
    bytes: AtomicU64,
}

impl Direction {
    fn new(config: &LinkConfig) -> Self {
        Self { rate: config.bytes_per_s.map(RateLimit::new), bytes: AtomicU64::new(0) }
    }

    fn counted(&self) -> ByteCount {
        ByteCount::new(self.bytes.load(Ordering::Relaxed))
    }
}

/// Holds what all relays over one link share.
pub struct Link {
    delay: Duration,
    forward: Arc<Direction>,
    backward: Arc<Direction>,
    cut: Arc<watch::Sender<Partition>>,
    /// Connections of an earlier generation pass nothing for good.
    generation: Arc<watch::Sender<u64>>,
}

impl Link {
    /// Creates a link that is not cut.
    pub fn new(config: LinkConfig) -> Arc<Self> {
        Arc::new(Self {
            delay: Duration::from_secs_f64(config.delay_ms.max(0.0) / 1_000.0),
            forward: Arc::new(Direction::new(&config)),
            backward: Arc::new(Direction::new(&config)),
            cut: Arc::default(),
            generation: Arc::default(),
        })
    }

    /// Creates a link that carries the same traffic, with client and target sides exchanged.
    ///
    /// The rate of each way, the counters and the cuts are shared with this link.
    pub fn reversed(&self) -> Arc<Self> {
        Arc::new(Self {
            delay: self.delay,
            forward: Arc::clone(&self.backward),
            backward: Arc::clone(&self.forward),
            cut: Arc::clone(&self.cut),
            generation: Arc::clone(&self.generation),
        })
    }

    /// Cuts the link or ends a cut.
    pub fn set_partition(&self, cut: Partition) {
        self.cut.send_replace(cut);
    }

    /// Makes the open connections silent for good; new ones work.
    pub fn stall_open_connections(&self) {
        self.generation.send_modify(|generation| *generation += 1);
    }

    /// Returns the counters.
    pub fn counters(&self) -> LinkCounters {
        LinkCounters {
            forward_bytes: self.forward.counted(),
            backward_bytes: self.backward.counted(),
        }
    }
}

/// Relays connections from one address to another over a link.
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
        let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
        let address = listener.local_addr()?;
        let target = Arc::new(Mutex::new(target));
        let task = tokio::spawn(accept(listener, link, Arc::clone(&target)));
        Ok(Self { address, target, task })
    }

    /// Returns the address that stands for the target.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Leads new connections elsewhere.
    pub fn set_target(&self, target: SocketAddr) {
        *lock(&self.target) = target;
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(listener: TcpListener, link: Arc<Link>, target: Arc<Mutex<SocketAddr>>) {
    let mut connections = JoinSet::new();
    loop {
        let Ok((client, _)) = listener.accept().await else {
            continue;
        };
        while connections.try_join_next().is_some() {}
        let target = *lock(&target);
        connections.spawn(relay(client, Arc::clone(&link), target));
    }
}

/// Relays one connection until an end closes it or the link refuses it.
async fn relay(client: TcpStream, link: Arc<Link>, target: SocketAddr) {
    let mut cut = link.cut.subscribe();
    if *cut.borrow_and_update() == Partition::Refuse {
        return;
    }
    let refused = async move {
        let _ = cut.wait_for(|cut| *cut == Partition::Refuse).await;
    };
    tokio::select! {
        () = refused => {}
        _ = connect_and_pump(client, &link, target) => {}
    }
}

async fn connect_and_pump(client: TcpStream, link: &Link, target: SocketAddr) -> io::Result<()> {
    let mut cut = link.cut.subscribe();
    let _ = cut.wait_for(|cut| *cut != Partition::Blackhole).await;
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
