//! The part of the host table that stands under one lock.

use crate::row::Row;
use protocol::ids::HostName;
use protocol::message::hosts::HostRecord;
use protocol::message::probe::BUCKETS;
use protocol::rendezvous;
use std::collections::BTreeMap;

/// Holds the rows of some hosts by name.
#[derive(Debug, Default)]
pub(crate) struct Shard {
    /// The rows.
    pub rows: BTreeMap<HostName, Row>,
}

impl Shard {
    /// Adds each row's digest to its bucket.
    pub fn add_digests(&self, now_ms: u64, digests: &mut [u64; BUCKETS]) {
        for row in self.rows.values().filter(|row| !row.is_expired(now_ms)) {
            let bucket = &mut digests[bucket_of(row.name_digest)];
            *bucket = bucket.wrapping_add(row_digest(row));
        }
    }

    /// Removes rows that have been unreachable for too long; returns whether there were any.
    pub fn remove_expired(&mut self, now_ms: u64) -> bool {
        let before = self.rows.len();
        self.rows.retain(|_, row| !row.is_expired(now_ms));
        self.rows.len() < before
    }

    /// Returns the records in some buckets.
    pub fn records_in(&self, buckets: &[u8], now_ms: u64) -> Vec<HostRecord> {
        let wanted = |row: &&Row| {
            !row.is_expired(now_ms) && buckets.contains(&(bucket_of(row.name_digest) as u8))
        };
        self.rows.values().filter(wanted).map(|row| row.record.clone()).collect()
    }
}

/// Returns the bucket of a host, from the digest of its name.
pub(crate) const fn bucket_of(name_digest: u64) -> usize {
    (name_digest >> 32) as usize % BUCKETS
}

fn row_digest(row: &Row) -> u64 {
    let record = &row.record;
    let flags = u64::from(record.leaving) << 32 | u64::from(record.refutations);
    let suspected = record.suspected_at_ms.map_or(0, |at_ms| at_ms + 1);
    [record.incarnation.value(), flags, suspected]
        .into_iter()
        .fold(row.name_digest, |digest, part| rendezvous::mix(digest ^ rendezvous::mix(part)))
}
