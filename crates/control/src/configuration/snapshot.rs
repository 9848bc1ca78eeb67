//! When the newest configuration is written again, so that the log's retention does not lose it.

use super::ledger::ConfigLedger;
use super::record::ConfigSnapshot;
use membership::HostView;
use protocol::ids::{HostName, LogOffset};
use protocol::rendezvous;
use std::collections::BTreeSet;

/// The number of records after which a new snapshot is due early.
pub const SNAPSHOT_AFTER_RECORDS: u64 = 16;
/// The share of the log's retention after which a new snapshot is due.
const RETENTION_SHARE: u64 = 4;
/// What the rendezvous hash for the writer is keyed by.
const WRITER_KEY: &[u8] = b"configuration snapshot";

/// Decides when this node writes a snapshot.
#[derive(Clone, Debug)]
pub struct CarryForward {
    every_ms: u64,
    newest_as_of: Option<LogOffset>,
    newest_at_ms: Option<u64>,
}

impl CarryForward {
    /// Creates the decision for a log that keeps records for a time.
    pub fn new(retention_ms: u64) -> Self {
        Self { every_ms: retention_ms / RETENTION_SHARE, newest_as_of: None, newest_at_ms: None }
    }

    /// Notes a snapshot in the log, with the time at which the log took it.
    pub fn observe(&mut self, snapshot: &ConfigSnapshot, appended_at_ms: u64) {
        if self.newest_as_of.is_none_or(|as_of| snapshot.as_of >= as_of) {
            self.newest_as_of = Some(snapshot.as_of);
            self.newest_at_ms = self.newest_at_ms.max(Some(appended_at_ms));
        }
    }

    /// Returns the snapshot that this node is to append now, if any.
    ///
    /// A node of rank zero writes first; each further rank waits a little longer. Two nodes that
    /// both write do no harm. `now_ms` is by the log's clock.
    pub fn due(&self, ledger: &ConfigLedger, rank: usize, now_ms: u64) -> Option<ConfigSnapshot> {
        let snapshot = ledger.snapshot()?;
        let patience_ms = rank as u64 * self.every_ms / RETENTION_SHARE;
        let late_ms = now_ms.saturating_sub(patience_ms);
        let old = self.newest_at_ms.is_none_or(|at_ms| late_ms >= at_ms + self.every_ms);
        let allowed_records = SNAPSHOT_AFTER_RECORDS * (1 + rank as u64);
        let covered = self.newest_as_of.map_or(0, LogOffset::value);
        let long = snapshot.as_of.value().saturating_sub(covered) >= allowed_records;
        (old || long).then_some(snapshot)
    }
}

/// Returns this node's rank among the writers of snapshots, unless it reads no list.
pub fn snapshot_rank(view: &HostView, own: &HostName) -> Option<usize> {
    let domains: BTreeSet<_> = view.entry_hosts.iter().map(|host| &host.failure_domain).collect();
    let readers: Vec<_> =
        domains.into_iter().flat_map(|domain| view.list_readers(domain)).collect();
    let key = rendezvous::digest(WRITER_KEY);
    let digests = readers.iter().map(|host| (*host, rendezvous::digest(host.as_str().as_bytes())));
    rendezvous::winners(key, readers.len(), digests).iter().position(|host| *host == own)
}
