//! What routing and role assignment see of the host table.

use crate::limits::{LIST_READERS_PER_DOMAIN, WATCHERS_PER_SERVER};
use crate::row::Row;
use protocol::ids::{FailureDomain, HostName, Incarnation, Region, ServiceName};
use protocol::message::hosts::{EntryAddresses, HostRole};
use protocol::rendezvous;
use smallvec::SmallVec;
use std::cmp::Ordering;
use std::collections::hash_map::Entry;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

/// Says whether a host can be reached from this node.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Reachability {
    /// Nothing speaks against the host.
    Live,
    /// Probes have failed; the host may recover.
    Suspect,
    /// The host is taken for dead or cut off, but stays known.
    Unreachable,
}

/// Describes an entry host.
#[derive(Clone, Debug, PartialEq)]
pub struct EntryHost {
    /// The host's name.
    pub host: HostName,
    /// A digest of the name.
    pub name_digest: u64,
    /// The host's incarnation.
    pub incarnation: Incarnation,
    /// The host's region.
    pub region: Region,
    /// The host's failure domain.
    pub failure_domain: FailureDomain,
    /// Whether the host is leaving.
    pub leaving: bool,
    /// Whether the host can be reached from here.
    pub reachability: Reachability,
    /// Where the host listens.
    pub addresses: EntryAddresses,
}

/// Describes a server of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Server {
    /// The host's name.
    pub host: HostName,
    /// The host's incarnation.
    pub incarnation: Incarnation,
    /// The host's region.
    pub region: Region,
    /// The host's failure domain.
    pub failure_domain: FailureDomain,
    /// Whether the server is leaving.
    pub leaving: bool,
    /// Whether the server can be reached from here.
    pub reachability: Reachability,
    /// Where the server listens.
    pub address: SocketAddr,
}

/// Holds all hosts as known at one moment; unreachable ones included.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HostView {
    /// The entry hosts in the order of their names.
    pub entry_hosts: Vec<EntryHost>,
    /// The servers by service, each in the order of their names.
    pub services: BTreeMap<ServiceName, Vec<Server>>,
}

impl EntryHost {
    /// Returns whether the host may be given a role or a message.
    pub fn is_usable(&self) -> bool {
        self.reachability != Reachability::Unreachable
    }
}

impl Server {
    /// Returns whether the server may be given new work.
    pub fn is_usable(&self) -> bool {
        !self.leaving && self.reachability != Reachability::Unreachable
    }
}

impl HostView {
    /// Builds a view of rows; a row whose address a later incarnation holds is left out.
    pub(crate) fn from_rows(rows: Vec<Row>, own: &HostName, now_ms: u64) -> Self {
        let holders = holders_of(&rows);
        let mut view = Self::default();
        for row in rows {
            let holder = &holders[&row.record.role.address()];
            if holder.host == row.record.host {
                let leaving = holder.leaving;
                view.add(row, leaving, own, now_ms);
            }
        }
        view.entry_hosts.sort_by(|a, b| a.host.cmp(&b.host));
        for servers in view.services.values_mut() {
            servers.sort_by(|a, b| a.host.cmp(&b.host));
        }
        view
    }

    fn add(&mut self, row: Row, leaving: bool, own: &HostName, now_ms: u64) {
        let is_own = row.record.host == *own;
        let reachability = if is_own { Reachability::Live } else { row.reachability(now_ms) };
        let record = row.record;
        match record.role {
            HostRole::Entry(addresses) => self.entry_hosts.push(EntryHost {
                host: record.host,
                name_digest: row.name_digest,
                incarnation: record.incarnation,
                region: record.region,
                failure_domain: record.failure_domain,
                leaving,
                reachability,
                addresses,
            }),
            HostRole::Server(at) => self.services.entry(at.service).or_default().push(Server {
                host: record.host,
                incarnation: record.incarnation,
                region: record.region,
                failure_domain: record.failure_domain,
                leaving,
                reachability,
                address: at.address,
            }),
        }
    }

    /// Returns the servers of a service that may be given new work.
    pub fn usable_servers<'a>(
        &'a self,
        service: &ServiceName,
    ) -> impl Iterator<Item = &'a Server> + use<'a> {
        self.services.get(service).into_iter().flatten().filter(|server| server.is_usable())
    }

    /// Returns all servers of all services.
    pub fn servers(&self) -> impl Iterator<Item = &Server> {
        self.services.values().flatten()
    }

    /// Returns the entry hosts that can be reached.
    pub fn usable_entry_hosts(&self) -> impl Iterator<Item = &EntryHost> {
        self.entry_hosts.iter().filter(|host| host.is_usable())
    }

    /// Returns the reachable, staying entry hosts of a region, which share its prompts' homes.
    pub fn homes<'a>(&'a self, region: &'a Region) -> impl Iterator<Item = &'a EntryHost> {
        self.usable_entry_hosts().filter(move |host| !host.leaving && host.region == *region)
    }

    /// Returns an entry host by name.
    pub fn entry_host(&self, name: &HostName) -> Option<&EntryHost> {
        let found = self.entry_hosts.binary_search_by(|host| host.host.cmp(name));
        found.ok().map(|index| &self.entry_hosts[index])
    }

    /// Returns the entry hosts of a failure domain that read the platform's list.
    pub fn list_readers(&self, domain: &FailureDomain) -> SmallVec<[&HostName; 4]> {
        let key = rendezvous::digest(domain.as_str().as_bytes());
        let candidates = || self.usable_entry_hosts().filter(|host| host.failure_domain == *domain);
        let staying = candidates().filter(|host| !host.leaving);
        let chosen = winners(key, LIST_READERS_PER_DOMAIN, staying);
        if chosen.is_empty() { winners(key, LIST_READERS_PER_DOMAIN, candidates()) } else { chosen }
    }

    /// Returns whether an entry host is one of its failure domain's list readers.
    pub fn is_list_reader(&self, name: &HostName) -> bool {
        let own = self.entry_host(name);
        own.is_some_and(|own| self.list_readers(&own.failure_domain).contains(&name))
    }

    /// Returns the servers that an entry host probes: it is among the watchers of each.
    pub fn watched_by(&self, name: &HostName) -> Vec<&Server> {
        self.servers().filter(|server| self.watchers(server).contains(&name)).collect()
    }

    fn watchers<'a>(&'a self, server: &'a Server) -> SmallVec<[&'a HostName; 4]> {
        let key = rendezvous::digest(server.host.as_str().as_bytes());
        let near = winners(key, WATCHERS_PER_SERVER, self.homes(&server.region));
        if near.is_empty() {
            return winners(key, WATCHERS_PER_SERVER, self.usable_entry_hosts());
        }
        near
    }
}

fn winners<'a>(
    key: u64,
    count: usize,
    hosts: impl Iterator<Item = &'a EntryHost>,
) -> SmallVec<[&'a HostName; 4]> {
    rendezvous::winners(key, count, hosts.map(|host| (&host.host, host.name_digest)))
}

/// Names the latest incarnation at an address.
#[derive(Debug)]
struct Holder {
    incarnation: Incarnation,
    host: HostName,
    leaving: bool,
}

/// Finds who holds each address; equal incarnations at one address are one life under two names.
fn holders_of(rows: &[Row]) -> HashMap<SocketAddr, Holder> {
    let mut holders: HashMap<SocketAddr, Holder> = HashMap::with_capacity(rows.len());
    for row in rows {
        let record = &row.record;
        let found = Holder {
            incarnation: record.incarnation,
            host: record.host.clone(),
            leaving: record.leaving,
        };
        match holders.entry(record.role.address()) {
            Entry::Vacant(place) => {
                place.insert(found);
            }
            Entry::Occupied(mut place) => place.get_mut().contend(found),
        }
    }
    holders
}

impl Holder {
    fn contend(&mut self, other: Self) {
        match other.incarnation.cmp(&self.incarnation) {
            Ordering::Less => {}
            Ordering::Greater => *self = other,
            Ordering::Equal => {
                self.leaving |= other.leaving;
                self.host = self.host.clone().min(other.host);
            }
        }
    }
}
