//! Which service and software version began each resumable stream.
//!
//! A stream may go on only at the software version that began it, at any gateway that its caller
//! returns to. The gateway that begins a stream therefore sends a record of it to a few others,
//! its holders, before the caller gets the first event.

use crate::registry::SoftwareVersion;
use placement::rendezvous;
use protocol::ids::{FailureDomain, HostName, ServiceName};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use std::collections::{BTreeMap, HashMap, VecDeque};

/// How long a record is held, in milliseconds: longer than any caller tries.
pub const RECORD_TTL_MS: u64 = 60_000;
/// The maximum number of records held; each takes some 150 bytes.
const MAX_RECORDS: usize = 50_000;
/// The number of peers that hold a record.
const HOLDERS: usize = 3;
/// How many of them are in other failure domains.
const REMOTE_HOLDERS: usize = 2;
/// The number of gateways of each failure domain that are queried in a large installation: beside
/// the first of its ranking those that hold records if it began the stream or was down.
const QUERIED_PER_DOMAIN: usize = 5;

/// Identifies a stream by the attempt that brought its first event.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub struct StreamKey([u8; 16]);

impl StreamKey {
    /// Hashes the id of an attempt.
    pub fn new(attempt_id: &[u8]) -> Self {
        let mut bytes = [0; 16];
        bytes.copy_from_slice(&blake3::hash(attempt_id).as_bytes()[..16]);
        Self(bytes)
    }
}

/// What began a stream.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// The service.
    pub service: ServiceName,
    /// The software version of its server.
    pub software: SoftwareVersion,
}

/// A record of a stream, as gateways send it to each other.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct StreamRecord {
    /// The stream.
    pub key: StreamKey,
    /// What began it.
    pub origin: StreamOrigin,
    /// How long ago it began, in milliseconds.
    pub age_ms: u64,
}

/// The records that a gateway holds: of streams that it began, and of those it holds for others.
#[derive(Debug, Default)]
pub struct StreamTable {
    by_key: HashMap<StreamKey, (StreamOrigin, u64)>,
    /// The records in the order in which they were added.
    added: VecDeque<(StreamKey, u64)>,
}

impl StreamTable {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a record unless the stream is known.
    pub fn add(&mut self, record: StreamRecord, now_ms: u64) {
        self.expire(now_ms);
        let began_ms = now_ms.saturating_sub(record.age_ms);
        if self.by_key.contains_key(&record.key) || began_ms + RECORD_TTL_MS <= now_ms {
            return;
        }
        self.by_key.insert(record.key, (record.origin, began_ms));
        self.added.push_back((record.key, now_ms));
    }

    /// Returns what began a stream.
    pub fn origin(&self, key: &StreamKey, now_ms: u64) -> Option<&StreamOrigin> {
        let (origin, began_ms) = self.by_key.get(key)?;
        (began_ms + RECORD_TTL_MS > now_ms).then_some(origin)
    }

    /// Returns a stream's record.
    pub fn record(&self, key: &StreamKey, now_ms: u64) -> Option<StreamRecord> {
        let (origin, began_ms) = self.by_key.get(key)?;
        let age_ms = now_ms.saturating_sub(*began_ms);
        let record = StreamRecord { key: *key, origin: origin.clone(), age_ms };
        (age_ms < RECORD_TTL_MS).then_some(record)
    }

    /// Returns all records, for a gateway that leaves.
    pub fn records(&self, now_ms: u64) -> Vec<StreamRecord> {
        self.added.iter().filter_map(|(key, _)| self.record(key, now_ms)).collect()
    }

    fn expire(&mut self, now_ms: u64) {
        while let Some((key, added_ms)) = self.added.front() {
            if added_ms + RECORD_TTL_MS > now_ms && self.added.len() < MAX_RECORDS {
                return;
            }
            self.by_key.remove(key);
            self.added.pop_front();
        }
    }
}

/// A gateway that may hold records.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Holder<'a> {
    /// Its host.
    pub host: &'a HostName,
    /// Its failure domain.
    pub domain: &'a FailureDomain,
    /// Whether it is known to run; of other failure domains that may be unknown.
    pub is_live: bool,
}

/// Returns the indices of the peers that hold a stream's record for a gateway of `local_domain`: one
/// of each of a few other failure domains and the rest of its own, so that neither the loss of some
/// gateways nor that of a failure domain loses the record.
pub fn holders(
    key: &StreamKey,
    local_domain: &FailureDomain,
    peers: &[Holder<'_>],
) -> SmallVec<[usize; HOLDERS]> {
    let mut holders = SmallVec::new();
    let mut local = Vec::new();
    for (domain, ranked) in rank_by_domain(key, peers) {
        let (live, down): (Vec<usize>, Vec<usize>) =
            ranked.into_iter().partition(|index| peers[*index].is_live);
        // A peer that is not known to run may just not have reported yet.
        let mut ranked = live.into_iter().chain(down);
        if domain == local_domain {
            local = ranked.collect();
        } else if holders.len() < REMOTE_HOLDERS {
            holders.extend(ranked.next());
        }
    }
    holders.extend(local.into_iter().take(HOLDERS - holders.len()));
    holders
}

/// Returns the indices of the peers to query for a stream's record; all peers of a small
/// installation.
pub fn queried(key: &StreamKey, is_small: bool, peers: &[Holder<'_>]) -> SmallVec<[usize; 12]> {
    if is_small {
        return (0..peers.len()).collect();
    }
    let ranked = rank_by_domain(key, peers);
    ranked.into_iter().flat_map(|(_, ranked)| ranked.into_iter().take(QUERIED_PER_DOMAIN)).collect()
}

/// Ranks the peers of each failure domain by rendezvous hashing, and the failure domains by their
/// own.
fn rank_by_domain<'a>(
    key: &StreamKey,
    peers: &[Holder<'a>],
) -> Vec<(&'a FailureDomain, Vec<usize>)> {
    let mut by_domain: BTreeMap<&FailureDomain, Vec<(usize, &HostName)>> = BTreeMap::new();
    for (index, peer) in peers.iter().enumerate() {
        by_domain.entry(peer.domain).or_default().push((index, peer.host));
    }
    let ranked = rendezvous::ranking(&key.0, by_domain, |(domain, _)| domain.as_str().as_bytes());
    let rank_hosts = |hosts: Vec<(usize, &HostName)>| {
        let hosts = rendezvous::ranking(&key.0, hosts, |(_, host)| host.as_str().as_bytes());
        hosts.into_iter().map(|(index, _)| index).collect()
    };
    ranked.into_iter().map(|(domain, hosts)| (domain, rank_hosts(hosts))).collect()
}
