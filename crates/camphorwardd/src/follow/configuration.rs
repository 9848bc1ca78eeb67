//! Follows the configuration streams of the platform's log and carries the newest forward.

use crate::constants::{LOG_APPEND_TIMEOUT, LOG_PAGE_RECORDS, LOG_RETRY_PAUSE, LOG_WAIT};
use crate::counters::Counter;
use crate::node::Node;
use clients::error::ClientError;
use clients::wire::log::RecordPage;
use control::configuration::{
    CarryForward, ConfigSnapshot, Judged, PageRecord, ReadOrder, SNAPSHOT_STREAM, StreamPage,
    Verdict, snapshot_rank,
};
use std::sync::Arc;
use std::time::Duration;

/// Reads the streams for as long as the daemon runs.
pub(crate) async fn follow(node: Arc<Node>) {
    let mut carry_forward = CarryForward::new(node.settings.platform.log_retention_ms);
    loop {
        let order = node.configuration.next_read();
        match read(&node, order).await {
            Ok(page) => apply_page(&node, order, page, &mut carry_forward),
            Err(error) => {
                node.counters.count(Counter::LogReadFailures);
                log::warn!("cannot read the stream {}: {error}", order.stream);
                tokio::time::sleep(LOG_RETRY_PAUSE).await;
            }
        }
        write_snapshot(&node, &mut carry_forward).await;
    }
}

async fn read(node: &Node, order: ReadOrder) -> Result<RecordPage, ClientError> {
    // Waiting for a first snapshot would hold up the records that are there.
    let wait = if order.stream == SNAPSHOT_STREAM { Duration::ZERO } else { LOG_WAIT };
    node.clients.log.read(order.stream, order.from, LOG_PAGE_RECORDS, wait).await
}

fn apply_page(node: &Node, order: ReadOrder, page: RecordPage, carry_forward: &mut CarryForward) {
    if order.stream == SNAPSHOT_STREAM {
        observe_snapshots(&page, carry_forward);
    }
    let before = node.configuration.version();
    let to_record = |record: clients::wire::log::LogRecord| PageRecord {
        offset: record.offset,
        value: record.value,
    };
    let page = StreamPage {
        first_retained: page.first_retained,
        end: page.end,
        records: page.records.into_iter().map(to_record).collect(),
    };
    for judged in node.configuration.take_page(order, &page) {
        note_verdict(node, &judged);
    }
    let version = node.configuration.version();
    if version != before {
        log::info!("configuration version {version} is in force, from the log");
    }
}

fn observe_snapshots(page: &RecordPage, carry_forward: &mut CarryForward) {
    for record in &page.records {
        if let Ok(snapshot) = serde_json::from_str::<ConfigSnapshot>(&record.value) {
            carry_forward.observe(&snapshot, record.appended_at_ms);
        }
    }
}

fn note_verdict(node: &Node, judged: &Judged) {
    let offset = judged.offset;
    match &judged.verdict {
        Verdict::Accepted(_) => node.counters.count(Counter::ConfigsAccepted),
        Verdict::Conflict(current) => {
            node.counters.count(Counter::ConfigsConflicting);
            log::info!("the configuration record at {offset} lost against version {current}");
        }
        Verdict::Invalid(_) => {
            node.counters.count(Counter::ConfigsInvalid);
            log::warn!("the configuration record at {offset} does not pass the check");
        }
    }
}

/// Appends the configuration in force again before the log forgets its record.
async fn write_snapshot(node: &Node, carry_forward: &mut CarryForward) {
    let now_ms = node.now_ms();
    let Some(rank) = snapshot_rank(&node.hosts.view(now_ms), &node.settings.host) else {
        return;
    };
    let due = node.configuration.due_snapshot(|ledger| carry_forward.due(ledger, rank, now_ms));
    let Some(snapshot) = due else {
        return;
    };
    let Ok(text) = serde_json::to_string(&snapshot) else {
        return;
    };
    match node.clients.log.append(SNAPSHOT_STREAM, text, LOG_APPEND_TIMEOUT).await {
        Ok(_) => {
            carry_forward.observe(&snapshot, now_ms);
            node.counters.count(Counter::SnapshotsWritten);
        }
        Err(error) => log::warn!("the configuration was not carried forward: {error}"),
    }
}
