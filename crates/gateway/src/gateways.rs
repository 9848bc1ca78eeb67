//! The gateways that made themselves known in the store.

use protocol::ids::HostName;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// What a gateway writes about itself.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct GatewayRecord {
    /// Its host.
    pub host: HostName,
    /// Where other gateways reach it.
    pub peers: SocketAddr,
    /// The start of its process, as Unix milliseconds.
    pub life: u64,
}

/// Holds the known gateways.
#[derive(Debug)]
pub struct Gateways {
    own: HostName,
    by_host: BTreeMap<HostName, GatewayRecord>,
}

impl Gateways {
    /// Creates a table of nobody else.
    pub const fn new(own: HostName) -> Self {
        Self { own, by_host: BTreeMap::new() }
    }

    /// Notes a gateway's record; an older life does not replace a newer one.
    pub fn note(&mut self, record: GatewayRecord) {
        let held = self.by_host.get(&record.host);
        if held.is_none_or(|held| held.life <= record.life) {
            self.by_host.insert(record.host.clone(), record);
        }
    }

    /// Returns the number of gateways, this one included.
    pub fn count(&self) -> usize {
        self.others().count() + 1
    }

    /// Returns the other gateways.
    pub fn others(&self) -> impl Iterator<Item = &GatewayRecord> {
        self.by_host.values().filter(|record| record.host != self.own)
    }

    /// Returns the place of this gateway among all by name, for turns that need no talk.
    pub fn own_rank(&self) -> usize {
        self.others().filter(|record| record.host < self.own).count()
    }

    /// Returns all records, for a peer that cannot read the store.
    pub fn records(&self) -> Vec<GatewayRecord> {
        self.by_host.values().cloned().collect()
    }
}
