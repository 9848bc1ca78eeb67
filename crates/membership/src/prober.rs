//! Which hosts to probe next.

use crate::limits::{
    CHECKS_PER_TICK, EAGER_FANOUT, SERVER_PROBES_PER_TICK, TICKS_PER_PEER_PROBE,
    TICKS_PER_UNREACHABLE_PROBE, WATCH_GAP_MS,
};
use crate::table::HostTable;
use crate::view::{EntryHost, HostView, Reachability, Server};
use protocol::ids::{HostName, Incarnation};
use protocol::message::hosts::HostRole;
use protocol::rendezvous;
use smallvec::SmallVec;
use std::net::SocketAddr;
use std::sync::Arc;

/// The usual number of probes in one tick.
const USUAL_ORDERS: usize = 4;

/// Orders one probe of one host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ProbeRequest {
    /// Sends a probe message to an entry host.
    Peer(ProbeTarget),
    /// Asks a server for its load report.
    Server(ProbeTarget),
}

/// Names the host to probe.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ProbeTarget {
    /// The host.
    pub host: HostName,
    /// The incarnation that the result speaks of.
    pub incarnation: Incarnation,
    /// Where the host listens.
    pub address: SocketAddr,
}

/// Holds the orders of one tick.
pub type ProbeRequests = SmallVec<[ProbeRequest; USUAL_ORDERS]>;

/// Walks over all hosts in a random order, at a bounded cost a tick.
#[derive(Debug, Default)]
pub struct Prober {
    ticks: u64,
    peers: Vec<HostName>,
    watched: Vec<HostName>,
    next_watched: usize,
    watched_from: Option<Arc<HostView>>,
    watched_at_ms: u64,
}

impl Prober {
    /// Creates a prober that has probed nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the probes to send now.
    pub fn tick(&mut self, table: &HostTable, now_ms: u64, random: u64) -> ProbeRequests {
        self.ticks += 1;
        let view = table.view(now_ms);
        let mut orders = ProbeRequests::new();
        self.add_peers(table, &view, random, &mut orders);
        self.add_watched(table, &view, now_ms, &mut orders);
        add_doubtful(table, &mut orders);
        if self.ticks.is_multiple_of(TICKS_PER_UNREACHABLE_PROBE) {
            add_unreachable(&view, random, &mut orders);
        }
        orders
    }

    fn add_peers(
        &mut self,
        table: &HostTable,
        view: &HostView,
        random: u64,
        orders: &mut ProbeRequests,
    ) {
        let due = usize::from(self.ticks.is_multiple_of(TICKS_PER_PEER_PROBE));
        let count = if table.has_urgent() { EAGER_FANOUT } else { due };
        for _ in 0..count {
            let Some(peer) = self.next_peer(table, view, random) else {
                return;
            };
            add(orders, ProbeRequest::peer(peer));
        }
    }

    fn next_peer<'a>(
        &mut self,
        table: &HostTable,
        view: &'a HostView,
        random: u64,
    ) -> Option<&'a EntryHost> {
        if self.peers.is_empty() {
            let mut order: Vec<(u64, HostName)> = view
                .usable_entry_hosts()
                .filter(|host| host.host != *table.own())
                .map(|host| (rendezvous::weight(random, host.name_digest), host.host.clone()))
                .collect();
            order.sort();
            self.peers = order.into_iter().map(|(_, host)| host).collect();
        }
        while let Some(name) = self.peers.pop() {
            let found = view.entry_host(&name).filter(|host| host.is_usable());
            if found.is_some() {
                return found;
            }
        }
        None
    }

    fn add_watched(
        &mut self,
        table: &HostTable,
        view: &Arc<HostView>,
        now_ms: u64,
        orders: &mut ProbeRequests,
    ) {
        self.refresh_watched(table, view, now_ms);
        for _ in 0..SERVER_PROBES_PER_TICK.min(self.watched.len()) {
            let index = self.next_watched % self.watched.len();
            self.next_watched = index + 1;
            let found = view.servers().find(|server| server.host == self.watched[index]);
            if let Some(server) = found {
                add(orders, ProbeRequest::server(server));
            }
        }
    }

    fn refresh_watched(&mut self, table: &HostTable, view: &Arc<HostView>, now_ms: u64) {
        let same = self.watched_from.as_ref().is_some_and(|from| Arc::ptr_eq(from, view));
        let recent = now_ms < self.watched_at_ms.saturating_add(WATCH_GAP_MS);
        if same || (recent && self.watched_from.is_some()) {
            return;
        }
        let watched = view.watched_by(table.own());
        self.watched = watched.into_iter().map(|server| server.host.clone()).collect();
        self.watched_from = Some(view.clone());
        self.watched_at_ms = now_ms;
    }
}

impl ProbeRequest {
    fn peer(host: &EntryHost) -> Self {
        Self::Peer(ProbeTarget {
            host: host.host.clone(),
            incarnation: host.incarnation,
            address: host.addresses.peers,
        })
    }

    fn server(server: &Server) -> Self {
        Self::Server(ProbeTarget {
            host: server.host.clone(),
            incarnation: server.incarnation,
            address: server.address,
        })
    }

    /// Returns the host to probe.
    pub const fn target(&self) -> &ProbeTarget {
        match self {
            Self::Peer(target) | Self::Server(target) => target,
        }
    }
}

fn add_doubtful(table: &HostTable, orders: &mut ProbeRequests) {
    for record in table.doubtful(CHECKS_PER_TICK) {
        let target = ProbeTarget {
            host: record.host,
            incarnation: record.incarnation,
            address: record.role.address(),
        };
        let order = match record.role {
            HostRole::Entry(_) => ProbeRequest::Peer(target),
            HostRole::Server(_) => ProbeRequest::Server(target),
        };
        add(orders, order);
    }
}

fn add_unreachable(view: &HostView, random: u64, orders: &mut ProbeRequests) {
    let peers = view.entry_hosts.iter().filter(|host| !host.is_usable());
    let servers = view.servers().filter(|server| server.reachability == Reachability::Unreachable);
    let unreachable = peers.map(ProbeRequest::peer).chain(servers.map(ProbeRequest::server));
    let weight = |order: &ProbeRequest| {
        let name = order.target().host.as_str();
        rendezvous::weight(random, rendezvous::digest(name.as_bytes()))
    };
    if let Some(order) = unreachable.max_by_key(weight) {
        add(orders, order);
    }
}

fn add(orders: &mut ProbeRequests, order: ProbeRequest) {
    if !orders.contains(&order) {
        orders.push(order);
    }
}
