//! Bounds the connections of all listeners, and decides which one is closed when there is no room for
//! another.
//!
//! Load patterns: more clients than descriptors or memory; clients that send nothing, send heads
//! slowly, or leave answers unread.

use crate::connect;
use crate::event;
use crate::node::Node;
use crate::watched::{Standing, Watch};
use rustix::process::{Resource, getrlimit};
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// What a connection with a full head holds, in bytes: its read buffer, the head's copy that is
/// checked for its framing, and what is about to be written.
pub const FULL_CONNECTION_BYTES: usize = 40 * 1024;
/// The descriptors that are assumed without a limit.
const UNLIMITED_DESCRIPTORS: usize = 1 << 20;
/// The minimum age at which a connection that was never served may be closed for another, in
/// milliseconds. Its first request is usually sent right after it opens.
const MIN_UNSERVED_AGE_MS: u64 = 100;
/// How long a caller may take none of its answer before its connection may be closed for another, in
/// milliseconds. Callers pause longer than this only when they stop reading.
const MIN_UNREAD_MS: u64 = 2_000;
/// The minimum interval between log lines about a full listener, in milliseconds.
const LOG_INTERVAL_MS: u64 = 1_000;

/// Whose connections a listener accepts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Side {
    /// Callers.
    Callers,
    /// Other gateways.
    Peers,
    /// The platform's balancer.
    Readiness,
    /// Operators.
    Metrics,
}

impl Side {
    const COUNT: usize = 4;

    /// Returns the side's name in counters and logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Callers => "callers",
            Self::Peers => "peers",
            Self::Readiness => "readiness",
            Self::Metrics => "metrics",
        }
    }

    /// Returns how many connections may be open, given the process's descriptors and its account of
    /// memory. All sides together leave a quarter of the descriptors for connections to servers, peers
    /// and the store.
    pub fn max_connections(self, descriptors: usize, account_bytes: usize) -> usize {
        /// The maximum for listeners with few and short calls.
        const MAX_SHORT_CALLS: usize = 64;
        let full_connections = account_bytes / FULL_CONNECTION_BYTES;
        let limit = match self {
            Self::Callers => (descriptors / 2).min(full_connections / 2),
            // While the store is away, up to 350 gateways may follow one of the seeds.
            Self::Peers => (descriptors * 3 / 16).min(full_connections * 3 / 8),
            Self::Readiness | Self::Metrics => {
                (descriptors / 32).min(full_connections / 16).min(MAX_SHORT_CALLS)
            }
        };
        limit.max(1)
    }
}

/// Returns the connection that is closed first, by the index of its standing; `None` if each has a
/// request that runs, or has just opened.
///
/// Connections that were never served, send a head or leave an answer unread go before idle ones of
/// callers that were served, and among them the one that has stood so for the longest time.
pub fn first_to_close(standings: &[Standing]) -> Option<usize> {
    let rank = |standing: &Standing| match *standing {
        Standing::Unserved { for_ms } | Standing::Head { for_ms } => {
            (for_ms >= MIN_UNSERVED_AGE_MS).then_some((1, for_ms))
        }
        Standing::Unread { for_ms } => (for_ms >= MIN_UNREAD_MS).then_some((1, for_ms)),
        Standing::Idle { for_ms } => Some((0, for_ms)),
        Standing::Running => None,
    };
    let ranked = standings.iter().enumerate();
    let ranked = ranked.filter_map(|(index, standing)| Some((rank(standing)?, index)));
    ranked.max().map(|(_, index)| index)
}

#[derive(Debug)]
struct Member {
    watch: Watch,
    evicted: Arc<Notify>,
}

#[derive(Debug, Default)]
struct Members {
    by_id: HashMap<u64, Member>,
    next_id: u64,
    logged_ms: Option<u64>,
}

/// The open connections of one listener.
#[derive(Debug)]
pub struct ConnectionLimit {
    side: Side,
    limit: usize,
    members: Mutex<Members>,
}

impl ConnectionLimit {
    fn new(side: Side, descriptors: usize, account_bytes: usize) -> Self {
        let limit = side.max_connections(descriptors, account_bytes);
        Self { side, limit, members: Mutex::default() }
    }

    /// Returns how many connections may be open.
    pub const fn limit(&self) -> usize {
        self.limit
    }

    fn lock(&self) -> MutexGuard<'_, Members> {
        self.members.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a connection. If there is no room, the first one to close is closed for it; if none may
    /// be closed, returns `None`.
    fn add(self: &Arc<Self>, node: &Node, watch: Watch) -> Option<Membership> {
        let now_ms = node.now_ms();
        let mut members = self.lock();
        if members.by_id.len() >= self.limit {
            // Bodies that have stalled end sooner.
            node.memory.record_refused_body();
            let closed = evict(&mut members, now_ms, |_| true);
            let reason = closed.map_or("refused", Standing::as_str);
            node.metrics.count("connections_full", &format!("{}_{reason}", self.side.as_str()));
            self.log_full(&mut members, node, reason);
            closed?;
        }
        let id = members.next_id;
        members.next_id += 1;
        let evicted = Arc::new(Notify::new());
        members.by_id.insert(id, Member { watch, evicted: Arc::clone(&evicted) });
        drop(members);
        Some(Membership { limit: Arc::clone(self), id, evicted })
    }

    /// Closes the connection that has left an answer unread for the longest time, because there is no
    /// memory for more; returns whether there was one.
    pub fn close_unread(&self, node: &Node) -> bool {
        let now_ms = node.now_ms();
        let mut members = self.lock();
        let is_unread = |standing: Standing| matches!(standing, Standing::Unread { .. });
        let closed = evict(&mut members, now_ms, is_unread);
        let reason = if closed.is_some() { "closed" } else { "none_to_close" };
        node.metrics.count("answers_without_room", reason);
        self.log_full(&mut members, node, reason);
        closed.is_some()
    }

    fn log_full(&self, members: &mut Members, node: &Node, closed: &str) {
        let now_ms = node.now_ms();
        let is_due = members.logged_ms.is_none_or(|logged| now_ms >= logged + LOG_INTERVAL_MS);
        if !is_due {
            return;
        }
        members.logged_ms = Some(now_ms);
        event!(warn, now_ms, "connections_full", {
            "side": self.side.as_str(),
            "limit": self.limit,
            "closed": closed,
        });
    }
}

/// Closes the first connection to close among some, if there is one, and returns what it did.
fn evict(
    members: &mut Members,
    now_ms: u64,
    is_among: impl Fn(Standing) -> bool,
) -> Option<Standing> {
    let standings = members.by_id.iter().map(|(id, member)| (*id, member.watch.standing(now_ms)));
    let (ids, standings): (Vec<u64>, Vec<Standing>) =
        standings.filter(|(_, standing)| is_among(*standing)).unzip();
    let index = first_to_close(&standings)?;
    let member = members.by_id.remove(&ids[index])?;
    member.evicted.notify_one();
    Some(standings[index])
}

/// A connection's place among those of its listener, until it is dropped.
#[derive(Debug)]
pub struct Membership {
    limit: Arc<ConnectionLimit>,
    id: u64,
    evicted: Arc<Notify>,
}

impl Membership {
    /// Waits until the connection must close for another one.
    pub async fn evicted(&self) {
        self.evicted.notified().await;
    }
}

impl Drop for Membership {
    fn drop(&mut self) {
        self.limit.lock().by_id.remove(&self.id);
    }
}

/// The open connections of all listeners.
#[derive(Debug)]
pub struct ConnectionLimits([Arc<ConnectionLimit>; Side::COUNT]);

impl ConnectionLimits {
    /// Creates the limits that follow from an account of memory and from the process's
    /// descriptors.
    pub fn for_process(account_bytes: usize) -> Self {
        let descriptors = getrlimit(Resource::Nofile).current;
        let descriptors = descriptors.and_then(|count| usize::try_from(count).ok());
        let descriptors = descriptors.unwrap_or(UNLIMITED_DESCRIPTORS).min(UNLIMITED_DESCRIPTORS);
        let sides = [Side::Callers, Side::Peers, Side::Readiness, Side::Metrics];
        Self(sides.map(|side| Arc::new(ConnectionLimit::new(side, descriptors, account_bytes))))
    }

    /// Returns the connections of a side.
    pub const fn of(&self, side: Side) -> &Arc<ConnectionLimit> {
        &self.0[side as usize]
    }
}

/// A connection that has a place, before anything is read on it.
#[derive(Debug)]
pub struct Admitted {
    /// The stream.
    pub stream: TcpStream,
    /// Its state.
    pub watch: Watch,
    /// Its place.
    pub membership: Membership,
}

/// Admits an accepted connection; returns `None` if it is closed, because there is no room.
pub fn admit(node: &Node, side: Side, stream: TcpStream) -> Option<Admitted> {
    let prepared = match side {
        Side::Callers => connect::prepare_caller(&stream),
        _ => connect::prepare(&stream),
    };
    prepared.ok()?;
    let watch = Watch::new(node);
    let membership = node.connection_limits.of(side).add(node, watch.clone())?;
    Some(Admitted { stream, watch, membership })
}
