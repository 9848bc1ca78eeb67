//! Reads the configuration streams of the platform's log.

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

/// Reads the streams until the daemon stops.
pub(crate) async fn follow(node: Arc<Node>) {
    let mut snapshots = SnapshotWriter::new(node.settings.platform.log_retention_ms);
    let mut backoff = Backoff::new();
    loop {
        let request = node.configuration.next_read();
        match read(&node, request).await {
            Ok(page) => {
                backoff.record_success();
                apply_page(&node, request, page, &mut snapshots);
            }
            Err(error) => back_off(&node, &mut backoff, request.stream, &error).await,
        }
        snapshots.write_if_due(&node).await;
    }
}

/// Waits after a failed read of the log, longer after each consecutive failure.
pub(crate) async fn back_off(
    node: &Node,
    backoff: &mut Backoff,
    stream: &str,
    error: &ClientError,
) {
    node.counters.count(Counter::LogReadFailures);
    let delay_ms = backoff.record_failure(rand::rng().random());
    if backoff.should_log() {
        log::warn!("cannot read the stream {stream}: {error}");
    }
    tokio::time::sleep(Duration::from_millis(delay_ms)).await;
}

async fn read(node: &Node, request: ReadRequest) -> Result<RecordPage, ClientError> {
    // Waiting for a first snapshot would delay the configuration records already in the log.
    let wait = if request.stream == SNAPSHOT_STREAM { Duration::ZERO } else { LOG_WAIT };
    node.clients.log.read(request.stream, request.from, LOG_PAGE_RECORDS, wait).await
}

fn apply_page(node: &Node, request: ReadRequest, page: RecordPage, snapshots: &mut SnapshotWriter) {
    if request.stream == SNAPSHOT_STREAM {
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
    for judged in node.configuration.take_page(request, &page) {
        record_verdict(node, &judged);
    }
    let version = node.configuration.version();
    if version != before {
        log::info!("configuration version {version} is in force, from the log");
    }
}

fn record_verdict(node: &Node, judged: &JudgedRecord) {
    let offset = judged.offset;
    match &judged.verdict {
        Verdict::Accepted(_) => node.counters.count(Counter::ConfigsAccepted),
        Verdict::Conflict(current) => {
            node.counters.count(Counter::ConfigsConflicting);
            log::info!("the configuration record at {offset} conflicts with version {current}");
        }
        Verdict::Invalid(_) => {
            node.counters.count(Counter::ConfigsInvalid);
            log::warn!("the configuration record at {offset} is invalid");
        }
    }
}
