//! The gateways that made themselves known in the store.

use protocol::ids::{FailureDomain, HostName};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The gateways assumed before the first listing, so that a start does not spend the budgets of
/// all others.
const ASSUMED_BEFORE_LISTING: usize = 64;

/// What a gateway writes about itself.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct GatewayRecord {
    /// Its host.
    pub host: HostName,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// Where other gateways reach it.
    pub peers: SocketAddr,
    /// The start of its process, as Unix milliseconds.
    pub life: u64,
}

/// The gateways of a small installation. These may all read the stores by themselves: a store of
/// kept blocks holds a dozen questions open.
pub const MOST_READERS: usize = 12;

/// The gateways of another failure domain that are sent a domain's sums.
const RELAYS_PER_DOMAIN: usize = 2;

/// Where a gateway learns what the stores say.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Source {
    /// It asks them itself.
    Stores,
    /// It follows the gateway at this address.
    Gateway(SocketAddr),
}

#[derive(Debug)]
struct Listed {
    record: GatewayRecord,
    offset: u64,
    /// The listings since its record was last written anew.
    unchanged: u32,
}

/// Holds the known gateways.
#[derive(Debug)]
pub struct Gateways {
    own: HostName,
    by_host: BTreeMap<HostName, Listed>,
    is_listed: bool,
}

impl Gateways {
    /// Creates a table of nobody else.
    pub const fn new(own: HostName) -> Self {
        Self { own, by_host: BTreeMap::new(), is_listed: false }
    }

    /// Notes a gateway that a peer knows.
    pub fn note(&mut self, record: GatewayRecord) {
        self.is_listed = true;
        let held = self.by_host.get(&record.host);
        if held.is_none_or(|held| held.record.life < record.life) {
            let listed = Listed { record: record.clone(), offset: 0, unchanged: 0 };
            self.by_host.insert(record.host, listed);
        }
    }

    /// Takes a listing of the store; gateways that stopped writing are forgotten after a while.
    pub fn replace_listed(&mut self, records: Vec<(GatewayRecord, u64)>, forgotten_after: u32) {
        self.is_listed = true;
        let mut next = BTreeMap::new();
        for (record, offset) in records {
            let held = self.by_host.get(&record.host).filter(|held| held.offset == offset);
            let unchanged = held.map_or(0, |held| held.unchanged + 1);
            next.insert(record.host.clone(), Listed { record, offset, unchanged });
        }
        next.retain(|_, listed| listed.unchanged < forgotten_after);
        self.by_host = next;
    }

    /// Returns the number of gateways that may be live, this one included.
    pub fn count(&self) -> usize {
        if self.is_listed { self.others().count() + 1 } else { ASSUMED_BEFORE_LISTING }
    }

    /// Returns the other gateways.
    pub fn others(&self) -> impl Iterator<Item = &GatewayRecord> {
        let all = self.by_host.values().map(|listed| &listed.record);
        all.filter(|record| record.host != self.own)
    }

    /// Says how this gateway learns what the platform's store and the stores of kept blocks say.
    ///
    /// Load pattern: with many gateways, the calls of each to every store cost more than all else,
    /// and a store of kept blocks serves only a dozen. One gateway a failure domain reads; the
    /// others follow it, and read by themselves when it falls behind.
    pub fn source(&self, own_domain: &FailureDomain) -> Source {
        if !self.is_listed || self.is_small() {
            return Source::Stores;
        }
        let in_domain = |record: &&GatewayRecord| record.failure_domain == *own_domain;
        let first =
            self.others().filter(in_domain).min_by(|left, right| left.host.cmp(&right.host));
        match first {
            Some(first) if first.host < self.own => Source::Gateway(first.peers),
            _ => Source::Stores,
        }
    }

    /// Says whether all gateways tell each other their sends. In a large installation those of a
    /// failure domain do, and one of them gathers the sums for the other domains.
    pub fn is_small(&self) -> bool {
        self.count() <= MOST_READERS
    }

    /// Returns the other gateways that are told this one's sends.
    pub fn near<'a>(
        &'a self,
        own_domain: &'a FailureDomain,
    ) -> impl Iterator<Item = &'a GatewayRecord> {
        let is_small = self.is_small();
        self.others().filter(move |record| is_small || record.failure_domain == *own_domain)
    }

    /// Returns the gateways that take the sums of a failure domain to the others: the first of each
    /// other domain by name, and the next ones, as the first may be gone.
    pub fn relays(&self, own_domain: &FailureDomain) -> Vec<SocketAddr> {
        let mut taken: BTreeMap<&FailureDomain, usize> = BTreeMap::new();
        let others = self.by_host.values().map(|listed| &listed.record);
        let relays = others.filter(|record| record.failure_domain != *own_domain);
        let relays = relays.filter(|record| {
            let taken = taken.entry(&record.failure_domain).or_default();
            *taken += 1;
            *taken <= RELAYS_PER_DOMAIN
        });
        relays.map(|record| record.peers).collect()
    }

    /// Returns the place of this gateway among all by name, for turns that need no talk.
    pub fn own_rank(&self) -> usize {
        self.others().filter(|record| record.host < self.own).count()
    }

    /// Returns all records, for a peer that cannot read the store.
    pub fn records(&self) -> Vec<GatewayRecord> {
        self.by_host.values().map(|listed| listed.record.clone()).collect()
    }
}
