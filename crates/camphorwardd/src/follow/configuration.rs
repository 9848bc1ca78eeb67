//! Follows the configuration streams of the platform's log.

use crate::constants::{LOG_PAGE_RECORDS, LOG_WAIT};
use crate::counters::Counter;
use crate::follow::snapshots::SnapshotWriter;
use crate::node::Node;
use clients::error::ClientError;
use clients::wire::log::RecordPage;
use control::backoff::Backoff;
use control::configuration::{
    JudgedRecord, PageRecord, ReadRequest, SNAPSHOT_STREAM, StreamPage, Verdict,
};
use rand::Rng;
use std::sync::Arc;
use std::time::Duration;

/// Reads the streams for as long as the daemon runs.
pub(crate) async fn follow(node: Arc<Node>) {
    let mut snapshots = SnapshotWriter::new(node.settings.platform.log_retention_ms);
    let mut backoff = Backoff::new();
    loop {
        let order = node.configuration.next_read();
        match read(&node, order).await {
            Ok(page) => {
                backoff.record_success();
                apply_page(&node, order, page, &mut snapshots);
            }
            Err(error) => pause_after(&node, &mut backoff, order.stream, &error).await,
        }
        snapshots.write_if_due(&node).await;
    }
}

/// Waits after a failed read of the log, longer after each further one.
pub(crate) async fn pause_after(
    node: &Node,
    backoff: &mut Backoff,
    stream: &str,
    error: &ClientError,
) {
    node.counters.count(Counter::LogReadFailures);
    let pause_ms = backoff.record_failure(rand::rng().random());
    if backoff.should_log() {
        log::warn!("cannot read the stream {stream}: {error}");
    }
    tokio::time::sleep(Duration::from_millis(pause_ms)).await;
}

async fn read(node: &Node, order: ReadRequest) -> Result<RecordPage, ClientError> {
    // Waiting for a first snapshot would hold up the records that are there.
    let wait = if order.stream == SNAPSHOT_STREAM { Duration::ZERO } else { LOG_WAIT };
    node.clients.log.read(order.stream, order.from, LOG_PAGE_RECORDS, wait).await
}

fn apply_page(node: &Node, order: ReadRequest, page: RecordPage, snapshots: &mut SnapshotWriter) {
    if order.stream == SNAPSHOT_STREAM {
        snapshots.observe(&page);
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

fn note_verdict(node: &Node, judged: &JudgedRecord) {
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
