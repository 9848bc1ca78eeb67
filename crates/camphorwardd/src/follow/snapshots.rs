//! Carries the configuration in force forward past the log's retention.

use crate::constants::{LOG_APPEND_TIMEOUT, LOG_PAGE_RECORDS, SNAPSHOT_RANK_DELAY_MS};
use crate::counters::Counter;
use crate::node::Node;
use clients::wire::log::RecordPage;
use control::configuration::{CarryForward, ConfigSnapshot, SNAPSHOT_STREAM, snapshot_rank};
use protocol::ids::LogOffset;
use std::time::Duration;

/// Writes a snapshot when one is due and no other host has written one.
#[derive(Debug)]
pub(super) struct SnapshotWriter {
    carry_forward: CarryForward,
    next: LogOffset,
    due_since_ms: Option<u64>,
}

impl SnapshotWriter {
    /// Creates a writer for a log with the given retention.
    pub(super) fn new(retention_ms: u64) -> Self {
        Self {
            carry_forward: CarryForward::new(retention_ms),
            next: LogOffset::default(),
            due_since_ms: None,
        }
    }

    /// Records the snapshots of a page.
    pub(super) fn observe(&mut self, page: &RecordPage) {
        self.next = self.next.max(page.first_retained);
        for record in &page.records {
            self.next = self.next.max(LogOffset::new(record.offset.value() + 1));
            if let Ok(snapshot) = serde_json::from_str::<ConfigSnapshot>(&record.value) {
                self.carry_forward.observe(&snapshot, record.appended_at_ms);
            }
        }
    }

    /// Writes a snapshot if one is due; hosts of higher rank wait, to leave those before them time
    /// to write it.
    pub(super) async fn write_if_due(&mut self, node: &Node) {
        let now_ms = node.now_ms();
        let Some(rank) = snapshot_rank(&node.hosts.view(now_ms), &node.settings.host) else {
            return;
        };
        if self.due(node, rank).is_none() {
            self.due_since_ms = None;
            return;
        }
        let due_since_ms = *self.due_since_ms.get_or_insert(now_ms);
        if now_ms < due_since_ms + rank as u64 * SNAPSHOT_RANK_DELAY_MS {
            return;
        }
        self.read_new_snapshots(node).await;
        match self.due(node, rank) {
            Some(snapshot) => self.write(node, &snapshot).await,
            None => node.counters.count(Counter::SnapshotsSkipped),
        }
    }

    fn due(&self, node: &Node, rank: usize) -> Option<ConfigSnapshot> {
        let now_ms = node.now_ms();
        node.configuration.due_snapshot(|ledger| self.carry_forward.due(ledger, rank, now_ms))
    }

    /// Reads the snapshots that other hosts have written since the last read.
    async fn read_new_snapshots(&mut self, node: &Node) {
        let log = &node.clients.log;
        let read = log.read(SNAPSHOT_STREAM, self.next, LOG_PAGE_RECORDS, Duration::ZERO).await;
        match read {
            Ok(page) => self.observe(&page),
            Err(error) => log::debug!("cannot read the snapshots of other hosts: {error}"),
        }
    }

    async fn write(&mut self, node: &Node, snapshot: &ConfigSnapshot) {
        let Ok(text) = serde_json::to_string(snapshot) else {
            return;
        };
        match node.clients.log.append(SNAPSHOT_STREAM, text, LOG_APPEND_TIMEOUT).await {
            Ok(_) => {
                self.carry_forward.observe(snapshot, node.now_ms());
                node.counters.count(Counter::SnapshotsWritten);
            }
            Err(error) => log::warn!("cannot carry the configuration forward: {error}"),
        }
    }
}
