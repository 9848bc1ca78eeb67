//! Carries the newest configuration forward in snapshots, so that it outlives the log's retention.

use super::ledger::ConfigLedger;
use super::record::ConfigSnapshot;
use membership::HostView;
use protocol::ids::{HostName, LogOffset};
use protocol::rendezvous;
use std::collections::BTreeSet;

/// The number of records after which a new snapshot is due before the interval has passed.
pub const SNAPSHOT_AFTER_RECORDS: u64 = 16;
/// Divides the log's retention into the interval between snapshots, and that interval into the wait
/// of each rank.
const RETENTION_DIVISOR: u64 = 4;
/// The key of the rendezvous hash that ranks the writers.
const WRITER_KEY: &[u8] = b"configuration snapshot";

/// Determines when this node writes a snapshot.
#[derive(Clone, Debug)]
pub struct CarryForward {
    every_ms: u64,
    newest_as_of: Option<LogOffset>,
    newest_at_ms: Option<u64>,
}

impl CarryForward {
    /// Creates the state for a log with the given retention.
    pub fn new(retention_ms: u64) -> Self {
        Self { every_ms: retention_ms / RETENTION_DIVISOR, newest_as_of: None, newest_at_ms: None }
    }

    /// Records a snapshot in the log and the time at which the log stored it.
    pub fn observe(&mut self, snapshot: &ConfigSnapshot, appended_at_ms: u64) {
        if self.newest_as_of.is_none_or(|as_of| snapshot.as_of >= as_of) {
            self.newest_as_of = Some(snapshot.as_of);
            self.newest_at_ms = self.newest_at_ms.max(Some(appended_at_ms));
        }
    }

    /// Returns the snapshot that this node should append now, if any.
    ///
    /// The node of rank zero writes first, and each further rank waits a little longer. It is
    /// harmless if two nodes write. `now_ms` is by the log's clock.
    pub fn due(&self, ledger: &ConfigLedger, rank: usize, now_ms: u64) -> Option<ConfigSnapshot> {
        let snapshot = ledger.snapshot()?;
        let rank_wait_ms = rank as u64 * self.every_ms / RETENTION_DIVISOR;
        let adjusted_now_ms = now_ms.saturating_sub(rank_wait_ms);
        let interval_passed =
            self.newest_at_ms.is_none_or(|at_ms| adjusted_now_ms >= at_ms + self.every_ms);
        let max_uncovered_records = SNAPSHOT_AFTER_RECORDS * (1 + rank as u64);
        let covered = self.newest_as_of.map_or(0, LogOffset::value);
        let many_records = snapshot.as_of.value().saturating_sub(covered) >= max_uncovered_records;
        (interval_passed || many_records).then_some(snapshot)
    }
}

/// Returns this node's rank among the snapshot writers; `None` if it is no list reader.
pub fn snapshot_rank(view: &HostView, local_host: &HostName) -> Option<usize> {
    let domains: BTreeSet<_> = view.entry_hosts.iter().map(|host| &host.failure_domain).collect();
    let readers: Vec<_> =
        domains.into_iter().flat_map(|domain| view.list_readers(domain)).collect();
    let key = rendezvous::digest(WRITER_KEY);
    let digests = readers.iter().map(|host| (*host, rendezvous::digest(host.as_str().as_bytes())));
    rendezvous::winners(key, readers.len(), digests).iter().position(|host| *host == local_host)
}
