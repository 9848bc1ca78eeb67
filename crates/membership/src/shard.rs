//! One shard of the host table, guarded by its own lock.

use crate::limits::SHARDS;
use crate::row::Row;
use protocol::ids::HostName;
use protocol::message::hosts::HostRecord;
use protocol::message::probe::BUCKETS;
use protocol::rendezvous;
use std::collections::BTreeMap;

/// The number of digest buckets whose rows belong to one shard.
pub(crate) const BUCKETS_PER_SHARD: usize = BUCKETS / SHARDS;

/// The rows of a shard by host name, with the sum of the row digests of each bucket.
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

    /// Returns the sum of the row digests of each bucket.
    pub fn sums(&self) -> &[u64; BUCKETS_PER_SHARD] {
        &self.sums
    }

    /// Returns a host's row.
    pub fn row(&self, host: &HostName) -> Option<&Row> {
        self.rows.get(host)
    }

    /// Inserts the row of a host that the shard does not hold yet.
    pub fn insert(&mut self, row: Row) {
        let sum = &mut self.sums[sum_index(row.name_digest)];
        *sum = sum.wrapping_add(row_digest(&row));
        self.rows.insert(row.record.host.clone(), row);
    }

    /// Applies a change to a host's row, if there is one, and updates the digest sum.
    pub fn update<R>(&mut self, host: &HostName, apply: impl FnOnce(&mut Row) -> R) -> Option<R> {
        let row = self.rows.get_mut(host)?;
        let before = row_digest(row);
        let result = apply(row);
        let sum = &mut self.sums[sum_index(row.name_digest)];
        *sum = sum.wrapping_sub(before).wrapping_add(row_digest(row));
        Some(result)
    }

    /// Marks the selected rows as unconfirmed.
    pub fn mark_unconfirmed(&mut self, selects: impl Fn(&Row) -> bool) {
        for row in self.rows.values_mut() {
            row.unconfirmed |= selects(row);
        }
    }

    /// Removes the rows of hosts that have been suspected for the retention time.
    pub fn remove_expired(&mut self, now_ms: u64) {
        for (_, row) in self.rows.extract_if(.., |_, row| row.is_expired(now_ms)) {
            let sum = &mut self.sums[sum_index(row.name_digest)];
            *sum = sum.wrapping_sub(row_digest(&row));
        }
    }

    /// Returns the unexpired records of the given buckets.
    pub fn records_in(&self, buckets: &[u8], now_ms: u64) -> Vec<HostRecord> {
        let selected = |row: &&Row| {
            !row.is_expired(now_ms) && buckets.contains(&(bucket_of(row.name_digest) as u8))
        };
        self.rows.values().filter(selected).map(|row| row.record.clone()).collect()
    }
}

/// Returns the bucket of the host with this name digest.
pub(crate) const fn bucket_of(name_digest: u64) -> usize {
    name_digest as usize % BUCKETS
}

/// Returns the shard of the host with this name digest.
pub(crate) const fn shard_of(name_digest: u64) -> usize {
    bucket_of(name_digest) / BUCKETS_PER_SHARD
}

const fn sum_index(name_digest: u64) -> usize {
    bucket_of(name_digest) % BUCKETS_PER_SHARD
}

fn row_digest(row: &Row) -> u64 {
    let record = &row.record;
    let flags = u64::from(record.leaving) << 32 | u64::from(record.refutations);
    let suspected = record.suspected_at_ms.map_or(0, |at_ms| at_ms + 1);
    [record.incarnation.value(), flags, suspected]
        .into_iter()
        .fold(row.name_digest, |digest, field| rendezvous::mix(digest ^ rendezvous::mix(field)))
}
