//! The part of the host table that stands under one lock.

use crate::limits::SHARDS;
use crate::row::Row;
use protocol::ids::HostName;
use protocol::message::hosts::HostRecord;
use protocol::message::probe::BUCKETS;
use protocol::rendezvous;
use std::collections::BTreeMap;

/// The buckets whose rows stand in one shard.
pub(crate) const BUCKETS_PER_SHARD: usize = BUCKETS / SHARDS;

/// Holds the rows of some hosts by name, and the sum of their digests by bucket.
#[derive(Debug, Default)]
pub(crate) struct Shard {
    rows: BTreeMap<HostName, Row>,
    sums: [u64; BUCKETS_PER_SHARD],
}

impl Shard {
    /// Returns all rows.
    pub fn rows(&self) -> impl Iterator<Item = &Row> {
        self.rows.values()
    }

    /// Returns the sums of the row digests, one a bucket.
    pub fn sums(&self) -> &[u64; BUCKETS_PER_SHARD] {
        &self.sums
    }

    /// Returns a host's row.
    pub fn row(&self, host: &HostName) -> Option<&Row> {
        self.rows.get(host)
    }

    /// Adds a host that is not there yet.
    pub fn insert(&mut self, row: Row) {
        let sum = &mut self.sums[sum_of(row.name_digest)];
        *sum = sum.wrapping_add(row_digest(&row));
        self.rows.insert(row.record.host.clone(), row);
    }

    /// Changes a host's row, if there is one.
    pub fn update<R>(&mut self, host: &HostName, apply: impl FnOnce(&mut Row) -> R) -> Option<R> {
        let row = self.rows.get_mut(host)?;
        let before = row_digest(row);
        let result = apply(row);
        let sum = &mut self.sums[sum_of(row.name_digest)];
        *sum = sum.wrapping_sub(before).wrapping_add(row_digest(row));
        Some(result)
    }

    /// Marks rows for a probe out of turn.
    pub fn doubt(&mut self, is_meant: impl Fn(&Row) -> bool) {
        for row in self.rows.values_mut() {
            row.doubtful |= is_meant(row);
        }
    }

    /// Removes rows that have been unreachable for too long.
    pub fn remove_expired(&mut self, now_ms: u64) {
        for (_, row) in self.rows.extract_if(.., |_, row| row.is_expired(now_ms)) {
            let sum = &mut self.sums[sum_of(row.name_digest)];
            *sum = sum.wrapping_sub(row_digest(&row));
        }
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
    name_digest as usize % BUCKETS
}

/// Returns the shard of a host, from the digest of its name.
pub(crate) const fn shard_of(name_digest: u64) -> usize {
    bucket_of(name_digest) / BUCKETS_PER_SHARD
}

const fn sum_of(name_digest: u64) -> usize {
    bucket_of(name_digest) % BUCKETS_PER_SHARD
}

fn row_digest(row: &Row) -> u64 {
    let record = &row.record;
    let flags = u64::from(record.leaving) << 32 | u64::from(record.refutations);
    let suspected = record.suspected_at_ms.map_or(0, |at_ms| at_ms + 1);
    [record.incarnation.value(), flags, suspected]
        .into_iter()
        .fold(row.name_digest, |digest, part| rendezvous::mix(digest ^ rendezvous::mix(part)))
}
