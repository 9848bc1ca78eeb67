//! The gateways that are registered in the platform's store.

pub use crate::store::LogPosition;

use protocol::ids::{FailureDomain, HostName};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// The number of gateways assumed before the first listing. A gateway that counted only itself
/// would exhaust the retry budgets of all its peers.
const ASSUMED_GATEWAYS: usize = 64;

/// The record that a gateway writes to the store.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct GatewayRecord {
    /// The gateway's host.
    pub host: HostName,
    /// The gateway's failure domain.
    pub failure_domain: FailureDomain,
    /// The address for calls and datagrams of its peers.
    #[serde(rename = "peers")]
    pub peer_address: SocketAddr,
    /// The start of its process as Unix milliseconds, which identifies its incarnation.
    #[serde(rename = "life")]
    pub incarnation: u64,
}

/// What a gateway's build takes part in beyond the first one; it follows the encoded record, and bits
/// that are not known are ignored. The records of earlier builds have none.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Features(u32);

impl Features {
    /// The features of this build.
    pub const LOCAL: Self =
        Self(Self::DIGESTS | Self::LISTS_RETIREMENTS | Self::SLOWDOWNS | Self::ADMITTED_WORK);
    /// It reads digests of load and reports to the relay that sends them.
    const DIGESTS: u32 = 1;
    /// It lists what is retired after its start, before it fetches cached blocks.
    const LISTS_RETIREMENTS: u32 = 2;
    /// It reads the slowdowns of servers.
    const SLOWDOWNS: u32 = 4;
    /// It reads the recent work that other gateways admitted.
    const ADMITTED_WORK: u32 = 8;

    /// Returns whether the gateway reads digests of load.
    pub const fn reads_digests(self) -> bool {
        self.0 & Self::DIGESTS != 0
    }

    /// Returns whether the gateway reads the slowdowns of servers.
    pub const fn reads_slowdowns(self) -> bool {
        self.0 & Self::SLOWDOWNS != 0
    }

    /// Returns whether the gateway reads the recent work that other gateways admitted.
    pub const fn reads_admitted_work(self) -> bool {
        self.0 & Self::ADMITTED_WORK != 0
    }

    /// Returns whether the gateway lists what is retired before it fetches cached blocks.
    pub const fn lists_retirements(self) -> bool {
        self.0 & Self::LISTS_RETIREMENTS != 0
    }
}

/// The largest number of gateways that all read the stores directly: a block store holds at most a
/// dozen long polls open.
pub const MAX_READERS: usize = 12;

/// The number of gateways of each other failure domain that receive a domain's aggregated load.
const RELAYS_PER_DOMAIN: usize = 2;

/// Where a gateway reads the stores' content.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Source {
    /// It reads the stores directly.
    Stores,
    /// It follows the gateway at this address.
    Gateway(SocketAddr),
}

#[derive(Debug)]
struct ListedGateway {
    record: GatewayRecord,
    features: Features,
    /// The position of its record; `None` if a peer named it.
    position: Option<LogPosition>,
    /// The number of listings since its record last changed.
    unchanged: u32,
}

/// The record of a gateway that has expired.
#[derive(Debug)]
struct ExpiredGateway {
    position: Option<LogPosition>,
    incarnation: u64,
}

/// The table of gateways.
#[derive(Debug)]
pub struct Gateways {
    local: HostName,
    by_host: BTreeMap<HostName, ListedGateway>,
    /// The records of gateways that have expired, which stay in the store.
    expired: BTreeMap<HostName, ExpiredGateway>,
    is_listed: bool,
}

impl Gateways {
    /// Creates a table without peers.
    pub const fn new(local: HostName) -> Self {
        Self { local, by_host: BTreeMap::new(), expired: BTreeMap::new(), is_listed: false }
    }

    /// Adds a gateway from a peer's snapshot.
    pub fn add(&mut self, record: GatewayRecord) {
        self.is_listed = true;
        let has_expired = |expired: &ExpiredGateway| record.incarnation <= expired.incarnation;
        if self.expired.get(&record.host).is_some_and(has_expired) {
            return;
        }
        let held = self.by_host.get(&record.host);
        if held.is_none_or(|held| held.record.incarnation < record.incarnation) {
            let host = record.host.clone();
            let features = Features::default();
            let listed = ListedGateway { record, features, position: None, unchanged: 0 };
            self.by_host.insert(host, listed);
        }
    }

    /// Records the address from which a listed gateway sends, which a restart may have changed since
    /// the listing.
    pub fn record_address(&mut self, host: &HostName, incarnation: u64, address: SocketAddr) {
        let Some(listed) = self.by_host.get_mut(host) else { return };
        if listed.record.incarnation <= incarnation {
            listed.record.incarnation = incarnation;
            listed.record.peer_address = address;
        }
    }

    /// Replaces the table by a listing of the store. Gateways whose record is missing or did not
    /// change for `expire_after` listings are removed. Gateways do not delete records: one is missing
    /// because the store has returned from an older copy.
    pub fn replace_listed(
        &mut self,
        records: Vec<(GatewayRecord, Features, LogPosition)>,
        expire_after: u32,
    ) {
        self.is_listed = true;
        let mut next = std::mem::take(&mut self.by_host);
        for listed in next.values_mut() {
            listed.unchanged += 1;
        }
        for (record, features, position) in records {
            if self.has_expired(&record.host, position) {
                continue;
            }
            let held = next.get(&record.host);
            let is_same = |held: &&ListedGateway| held.position == Some(position);
            let unchanged = held.filter(is_same).map_or(0, |held| held.unchanged);
            let newer = held.map(|held| &held.record);
            let newer = newer.filter(|held| held.incarnation > record.incarnation).cloned();
            let record = newer.unwrap_or(record);
            let listed = ListedGateway { record, features, position: Some(position), unchanged };
            next.insert(listed.record.host.clone(), listed);
        }
        for (host, expired) in next.extract_if(.., |_, listed| listed.unchanged >= expire_after) {
            let ListedGateway { position, record, .. } = expired;
            let incarnation = record.incarnation;
            self.expired.insert(host, ExpiredGateway { position, incarnation });
        }
        self.by_host = next;
    }

    fn has_expired(&self, host: &HostName, position: LogPosition) -> bool {
        self.expired.get(host).is_some_and(|expired| expired.position == Some(position))
    }

    /// Adds a listing of the store between those that replace the table.
    pub fn add_listed(&mut self, records: Vec<(GatewayRecord, Features, LogPosition)>) {
        self.is_listed = true;
        for (record, features, position) in records {
            let held = self.by_host.get(&record.host);
            let is_known = held.is_some_and(|held| {
                let is_same = held.position == Some(position) && held.features == features;
                is_same || held.record.incarnation > record.incarnation
            });
            if !is_known && !self.has_expired(&record.host, position) {
                let position = Some(position);
                let listed = ListedGateway { record, features, position, unchanged: 0 };
                self.by_host.insert(listed.record.host.clone(), listed);
            }
        }
    }

    /// Returns the other gateways whose builds do not list what is retired.
    pub fn earlier_builds(&self) -> impl Iterator<Item = &HostName> {
        let others = self.by_host.values().filter(|listed| listed.record.host != self.local);
        let earlier = others.filter(|listed| !listed.features.lists_retirements());
        earlier.map(|listed| &listed.record.host)
    }

    /// Returns whether the gateways have been listed.
    pub const fn is_listed(&self) -> bool {
        self.is_listed
    }

    /// Returns the number of gateways that may be running, this one included.
    pub fn count(&self) -> usize {
        if self.is_listed { self.peers().count() + 1 } else { ASSUMED_GATEWAYS }
    }

    /// Returns the other gateways.
    pub fn peers(&self) -> impl Iterator<Item = &GatewayRecord> {
        let all = self.by_host.values().map(|listed| &listed.record);
        all.filter(|record| record.host != self.local)
    }

    /// Returns where this gateway reads the content of the platform's store and of the block
    /// stores.
    ///
    /// Load pattern: with many gateways, direct calls from each to every store would be the largest
    /// cost, and a block store serves only a dozen readers. One gateway of each failure domain
    /// reads the stores; the others follow it, and read directly when it falls behind.
    pub fn source(&self, local_domain: &FailureDomain) -> Source {
        if !self.is_listed || self.is_small() {
            return Source::Stores;
        }
        let in_domain = |record: &&GatewayRecord| record.failure_domain == *local_domain;
        let first = self.peers().filter(in_domain).min_by(|left, right| left.host.cmp(&right.host));
        match first {
            Some(first) if first.host < self.local => Source::Gateway(first.peer_address),
            _ => Source::Stores,
        }
    }

    /// Returns whether all gateways send load reports to each other. In a large installation only
    /// those of the same failure domain do, and one of them sends the aggregated load to the other
    /// domains.
    pub fn is_small(&self) -> bool {
        self.count() <= MAX_READERS
    }

    /// Returns the peers that send load reports to each other: all of a small installation, those of
    /// the failure domain in a large one.
    fn reporters<'a>(
        &'a self,
        local_domain: &'a FailureDomain,
    ) -> impl Iterator<Item = &'a ListedGateway> {
        let is_small = self.is_small();
        let peers = self.by_host.values().filter(|listed| listed.record.host != self.local);
        peers.filter(move |listed| is_small || listed.record.failure_domain == *local_domain)
    }

    /// Returns the addresses that receive this gateway's load reports directly: in a large
    /// installation those whose builds read no digests.
    pub fn report_recipients(&self, local_domain: &FailureDomain) -> Vec<SocketAddr> {
        let is_small = self.is_small();
        let reporters = self.reporters(local_domain);
        let recipients = reporters.filter(|listed| is_small || !listed.features.reads_digests());
        recipients.map(|listed| listed.record.peer_address).collect()
    }

    /// Returns the addresses that receive the digests of the failure domain's relay.
    pub fn digest_recipients(&self, local_domain: &FailureDomain) -> Vec<SocketAddr> {
        let reporters = self.reporters(local_domain);
        let recipients = reporters.filter(|listed| listed.features.reads_digests());
        recipients.map(|listed| listed.record.peer_address).collect()
    }

    /// Returns the addresses of the gateways that exchange load reports with this one and read the
    /// slowdowns of servers.
    pub fn slowdown_recipients(&self, local_domain: &FailureDomain) -> Vec<SocketAddr> {
        let reporters = self.reporters(local_domain);
        let recipients = reporters.filter(|listed| listed.features.reads_slowdowns());
        recipients.map(|listed| listed.record.peer_address).collect()
    }

    /// Returns whether the gateway at an address reads the slowdowns of servers.
    pub fn reads_slowdowns(&self, address: SocketAddr) -> bool {
        let mut all = self.by_host.values();
        all.any(|listed| listed.record.peer_address == address && listed.features.reads_slowdowns())
    }

    /// Returns the addresses of the other gateways that read the recent work that this one admitted,
    /// of one failure domain or of all.
    pub fn work_readers(&self, domain: Option<&FailureDomain>) -> Vec<SocketAddr> {
        let others = self.by_host.values().filter(|listed| listed.record.host != self.local);
        let readers = others.filter(|listed| {
            let is_near = domain.is_none_or(|domain| listed.record.failure_domain == *domain);
            is_near && listed.features.reads_admitted_work()
        });
        readers.map(|listed| listed.record.peer_address).collect()
    }

    /// Returns the address of a gateway that reads the recent work that this one admitted.
    pub fn work_reader(&self, host: &HostName) -> Option<SocketAddr> {
        let listed = self.by_host.get(host)?;
        let is_reader = listed.features.reads_admitted_work() && *host != self.local;
        is_reader.then_some(listed.record.peer_address)
    }

    /// Returns the failure domains of the other gateways.
    pub fn other_domains(&self, local_domain: &FailureDomain) -> BTreeSet<&FailureDomain> {
        let domains = self.by_host.values().map(|listed| &listed.record.failure_domain);
        domains.filter(|domain| *domain != local_domain).collect()
    }

    /// Returns the number of gateways of a failure domain.
    pub fn count_in(&self, domain: &FailureDomain) -> usize {
        self.by_host.values().filter(|listed| listed.record.failure_domain == *domain).count()
    }

    /// Returns the number of gateways of a failure domain that come before this one by name.
    pub fn rank_in(&self, domain: &FailureDomain) -> usize {
        let before = self.by_host.range(..&self.local);
        before.filter(|(_, listed)| listed.record.failure_domain == *domain).count()
    }

    /// Returns the address of a gateway.
    pub fn address_of(&self, host: &HostName) -> Option<SocketAddr> {
        self.by_host.get(host).map(|listed| listed.record.peer_address)
    }

    /// Returns the addresses that receive the load of a failure domain: of each other one its relay,
    /// or if that is unknown two gateways, others in each turn, which forward it.
    pub fn entry_points<'a>(
        &self,
        local_domain: &FailureDomain,
        relay_of: impl Fn(&FailureDomain) -> Option<&'a HostName>,
        turn: usize,
    ) -> Vec<SocketAddr> {
        let mut by_domain: BTreeMap<&FailureDomain, Vec<&GatewayRecord>> = BTreeMap::new();
        for listed in self.by_host.values() {
            by_domain.entry(&listed.record.failure_domain).or_default().push(&listed.record);
        }
        by_domain.remove(local_domain);
        let points = by_domain.into_iter().flat_map(|(domain, records)| {
            let relay = relay_of(domain).and_then(|relay| self.address_of(relay));
            relay.map_or_else(|| in_turn(&records, turn), |relay| SmallVec::from_slice(&[relay]))
        });
        points.collect()
    }

    /// Returns the addresses that receive the aggregated load of a failure domain: of each other
    /// domain the first gateways by name, more than one because the first may be down.
    pub fn relays(&self, local_domain: &FailureDomain) -> Vec<SocketAddr> {
        let mut taken: BTreeMap<&FailureDomain, usize> = BTreeMap::new();
        let peers = self.by_host.values().map(|listed| &listed.record);
        let relays = peers.filter(|record| record.failure_domain != *local_domain);
        let relays = relays.filter(|record| {
            let taken = taken.entry(&record.failure_domain).or_default();
            *taken += 1;
            *taken <= RELAYS_PER_DOMAIN
        });
        relays.map(|record| record.peer_address).collect()
    }

    /// Returns the index of this gateway among all gateways by name, which orders them without
    /// messages.
    pub fn rank(&self) -> usize {
        self.peers().filter(|record| record.host < self.local).count()
    }

    /// Returns all records, for peers that cannot read the store.
    pub fn records(&self) -> Vec<GatewayRecord> {
        self.by_host.values().map(|listed| listed.record.clone()).collect()
    }
}

/// Returns the addresses of some gateways, others in each turn.
fn in_turn(records: &[&GatewayRecord], turn: usize) -> SmallVec<[SocketAddr; RELAYS_PER_DOMAIN]> {
    let indices = (0..RELAYS_PER_DOMAIN.min(records.len()))
        .map(|index| turn.wrapping_mul(RELAYS_PER_DOMAIN).wrapping_add(index) % records.len());
    indices.map(|index| records[index].peer_address).collect()
}
