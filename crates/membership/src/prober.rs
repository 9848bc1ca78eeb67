//! Selects the hosts to probe in each tick.

use crate::limits::{
    CONFIRMATION_PROBES_PER_TICK, EAGER_FANOUT, MIN_WATCH_UPDATE_INTERVAL_MS,
    SERVER_PROBES_PER_TICK, TICKS_PER_PEER_PROBE, TICKS_PER_UNREACHABLE_PROBE,
};
use crate::table::HostTable;
use crate::view::{EntryHost, HostView, Reachability, Server};
use protocol::ids::{HostName, Incarnation};
use protocol::message::hosts::HostRole;
use protocol::rendezvous;
use smallvec::SmallVec;
use std::net::SocketAddr;
use std::sync::Arc;

/// The number of probe requests that are stored inline: the usual number in one tick.
const INLINE_REQUESTS: usize = 4;

/// Requests one probe of one host from the caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ProbeRequest {
    /// Send a probe message to an entry host.
    Peer(ProbeTarget),
    /// Read the load report of a server.
    Server(ProbeTarget),
}

/// The host to probe.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ProbeTarget {
    /// The host.
    pub host: HostName,
    /// The incarnation that the result applies to.
    pub incarnation: Incarnation,
    /// The address at which the host listens for probes.
    pub address: SocketAddr,
}

/// The probe requests of one tick.
pub type ProbeRequests = SmallVec<[ProbeRequest; INLINE_REQUESTS]>;

/// Probes all hosts in turn, entry hosts in random order, at a bounded cost per tick.
#[derive(Debug, Default)]
pub struct Prober {
    ticks: u64,
    pending_peers: Vec<HostName>,
    watched: Vec<HostName>,
    next_watched: usize,
    watched_view: Option<Arc<HostView>>,
    watched_at_ms: u64,
}

impl Prober {
    /// Creates a prober that has not probed any host.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the probes to send now.
    pub fn tick(&mut self, table: &HostTable, now_ms: u64, random: u64) -> ProbeRequests {
        self.ticks += 1;
        let view = table.view(now_ms);
        let mut requests = ProbeRequests::new();
        self.add_peers(table, &view, random, &mut requests);
        self.add_watched(table, &view, now_ms, &mut requests);
        add_unconfirmed(table, &mut requests);
        if self.ticks.is_multiple_of(TICKS_PER_UNREACHABLE_PROBE) {
            add_unreachable(&view, random, &mut requests);
        }
        requests
    }

    fn add_peers(
        &mut self,
        table: &HostTable,
        view: &HostView,
        random: u64,
        requests: &mut ProbeRequests,
    ) {
        let due = usize::from(self.ticks.is_multiple_of(TICKS_PER_PEER_PROBE));
        let count = if table.has_urgent() { EAGER_FANOUT } else { due };
        for _ in 0..count {
            let Some(peer) = self.next_peer(table, view, random) else {
                return;
            };
            add(requests, ProbeRequest::peer(peer));
        }
    }

    fn next_peer<'a>(
        &mut self,
        table: &HostTable,
        view: &'a HostView,
        random: u64,
    ) -> Option<&'a EntryHost> {
        if self.pending_peers.is_empty() {
            let mut shuffled: Vec<(u64, HostName)> = view
                .usable_entry_hosts()
                .filter(|host| host.host != *table.local_host())
                .map(|host| (rendezvous::weight(random, host.name_digest), host.host.clone()))
                .collect();
            shuffled.sort();
            self.pending_peers = shuffled.into_iter().map(|(_, host)| host).collect();
        }
        while let Some(name) = self.pending_peers.pop() {
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
        requests: &mut ProbeRequests,
    ) {
        self.refresh_watched(table, view, now_ms);
        for _ in 0..SERVER_PROBES_PER_TICK.min(self.watched.len()) {
            let index = self.next_watched % self.watched.len();
            self.next_watched = index + 1;
            let found = view.servers().find(|server| server.host == self.watched[index]);
            if let Some(server) = found {
                add(requests, ProbeRequest::server(server));
            }
        }
    }

    fn refresh_watched(&mut self, table: &HostTable, view: &Arc<HostView>, now_ms: u64) {
        let same = self.watched_view.as_ref().is_some_and(|from| Arc::ptr_eq(from, view));
        let recent = now_ms < self.watched_at_ms.saturating_add(MIN_WATCH_UPDATE_INTERVAL_MS);
        if same || (recent && self.watched_view.is_some()) {
            return;
        }
        let watched = view.watched_by(table.local_host());
        self.watched = watched.into_iter().map(|server| server.host.clone()).collect();
        self.watched_view = Some(view.clone());
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

fn add_unconfirmed(table: &HostTable, requests: &mut ProbeRequests) {
    for record in table.unconfirmed(CONFIRMATION_PROBES_PER_TICK) {
        let target = ProbeTarget {
            host: record.host,
            incarnation: record.incarnation,
            address: record.role.address(),
        };
        let request = match record.role {
            HostRole::Entry(_) => ProbeRequest::Peer(target),
            HostRole::Server(_) => ProbeRequest::Server(target),
        };
        add(requests, request);
    }
}

fn add_unreachable(view: &HostView, random: u64, requests: &mut ProbeRequests) {
    let peers = view.entry_hosts.iter().filter(|host| !host.is_usable());
    let servers = view.servers().filter(|server| server.reachability == Reachability::Unreachable);
    let unreachable = peers.map(ProbeRequest::peer).chain(servers.map(ProbeRequest::server));
    let weight = |request: &ProbeRequest| {
        let name = request.target().host.as_str();
        rendezvous::weight(random, rendezvous::digest(name.as_bytes()))
    };
    if let Some(request) = unreachable.max_by_key(weight) {
        add(requests, request);
    }
}

fn add(requests: &mut ProbeRequests, request: ProbeRequest) {
    if !requests.contains(&request) {
        requests.push(request);
    }
}
