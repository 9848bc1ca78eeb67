//! The view of the host table that routing and role assignment use.

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

/// Whether a host can be reached from this node.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Reachability {
    /// No evidence counts against the host.
    Live,
    /// This node failed to reach the host, or a peer suspects it; the host may recover.
    Suspect,
    /// The host is considered crashed or cut off, but stays in the table until it expires.
    Unreachable,
}

/// An entry host.
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
    /// Whether the host can be reached from this node.
    pub reachability: Reachability,
    /// The addresses at which the host listens.
    pub addresses: EntryAddresses,
}

/// A server of a service.
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
    /// Whether the server can be reached from this node.
    pub reachability: Reachability,
    /// The address at which the server listens.
    pub address: SocketAddr,
}

/// A snapshot of all hosts, including unreachable ones.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HostView {
    /// The entry hosts, sorted by name.
    pub entry_hosts: Vec<EntryHost>,
    /// The servers of each service, sorted by name.
    pub services: BTreeMap<ServiceName, Vec<Server>>,
}

impl EntryHost {
    /// Returns whether the host may be assigned a role or sent messages.
    pub fn is_usable(&self) -> bool {
        self.reachability != Reachability::Unreachable
    }
}

impl Server {
    /// Returns whether the server may be sent new requests.
    pub fn is_usable(&self) -> bool {
        !self.leaving && self.reachability != Reachability::Unreachable
    }
}

impl HostView {
    /// Builds a view of rows; a row whose address belongs to a later incarnation is left out.
    pub(crate) fn from_rows(rows: Vec<Row>, local_host: &HostName, now_ms: u64) -> Self {
        let holders = holders_of(&rows);
        let mut view = Self::default();
        for row in rows {
            let holder = &holders[&row.record.role.address()];
            if holder.host == row.record.host {
                let leaving = holder.leaving;
                view.add(row, leaving, local_host, now_ms);
            }
        }
        view.entry_hosts.sort_by(|a, b| a.host.cmp(&b.host));
        for servers in view.services.values_mut() {
            servers.sort_by(|a, b| a.host.cmp(&b.host));
        }
        view
    }

    fn add(&mut self, row: Row, leaving: bool, local_host: &HostName, now_ms: u64) {
        let is_local = row.record.host == *local_host;
        let reachability = if is_local { Reachability::Live } else { row.reachability(now_ms) };
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

    /// Returns the servers of a service that may be sent new requests.
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

    /// Returns the entry hosts that are not unreachable.
    pub fn usable_entry_hosts(&self) -> impl Iterator<Item = &EntryHost> {
        self.entry_hosts.iter().filter(|host| host.is_usable())
    }

    /// Returns the entry hosts of a region that are neither unreachable nor leaving; they share the
    /// homes of the region's prompts.
    pub fn homes<'a>(&'a self, region: &'a Region) -> impl Iterator<Item = &'a EntryHost> {
        self.usable_entry_hosts().filter(move |host| !host.leaving && host.region == *region)
    }

    /// Returns an entry host by name.
    pub fn entry_host(&self, name: &HostName) -> Option<&EntryHost> {
        let found = self.entry_hosts.binary_search_by(|host| host.host.cmp(name));
        found.ok().map(|index| &self.entry_hosts[index])
    }

    /// Returns the entry hosts of a failure domain that read the platform's host list.
    pub fn list_readers(&self, domain: &FailureDomain) -> SmallVec<[&HostName; 4]> {
        let key = rendezvous::digest(domain.as_str().as_bytes());
        let candidates = || self.usable_entry_hosts().filter(|host| host.failure_domain == *domain);
        let staying = candidates().filter(|host| !host.leaving);
        let chosen = winners(key, LIST_READERS_PER_DOMAIN, staying);
        if chosen.is_empty() { winners(key, LIST_READERS_PER_DOMAIN, candidates()) } else { chosen }
    }

    /// Returns whether an entry host is one of its failure domain's list readers.
    pub fn is_list_reader(&self, name: &HostName) -> bool {
        let found = self.entry_host(name);
        found.is_some_and(|host| self.list_readers(&host.failure_domain).contains(&name))
    }

    /// Returns the servers that an entry host watches, that is, probes regularly.
    pub fn watched_by(&self, name: &HostName) -> Vec<&Server> {
        self.servers().filter(|server| self.watchers(server).contains(&name)).collect()
    }

    fn watchers<'a>(&'a self, server: &'a Server) -> SmallVec<[&'a HostName; 4]> {
        let key = rendezvous::digest(server.host.as_str().as_bytes());
        let in_region = winners(key, WATCHERS_PER_SERVER, self.homes(&server.region));
        if in_region.is_empty() {
            return winners(key, WATCHERS_PER_SERVER, self.usable_entry_hosts());
        }
        in_region
    }
}

fn winners<'a>(
    key: u64,
    count: usize,
    hosts: impl Iterator<Item = &'a EntryHost>,
) -> SmallVec<[&'a HostName; 4]> {
    rendezvous::winners(key, count, hosts.map(|host| (&host.host, host.name_digest)))
}

/// The host with the latest incarnation at an address.
#[derive(Debug)]
struct Holder {
    incarnation: Incarnation,
    host: HostName,
    leaving: bool,
}

/// Returns the holder of each address.
///
/// Equal incarnations at one address are one host under two names.
fn holders_of(rows: &[Row]) -> HashMap<SocketAddr, Holder> {
    let mut holders: HashMap<SocketAddr, Holder> = HashMap::with_capacity(rows.len());
    for row in rows {
        let record = &row.record;
        let holder = Holder {
            incarnation: record.incarnation,
            host: record.host.clone(),
            leaving: record.leaving,
        };
        match holders.entry(record.role.address()) {
            Entry::Vacant(entry) => {
                entry.insert(holder);
            }
            Entry::Occupied(mut entry) => entry.get_mut().merge(holder),
        }
    }
    holders
}

impl Holder {
    fn merge(&mut self, other: Self) {
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
