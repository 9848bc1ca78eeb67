//! Follows the configuration stream of the platform's log.

use crate::constants::{LOG_PAGE_RECORDS, LOG_RETRY_PAUSE, LOG_WAIT};
use crate::counters::Counter;
use crate::directory::Directory;
use crate::node::Node;
use clients::wire::log::RecordPage;
use control::configuration::{CONFIGURATION_STREAM, ConfigLedger, Verdict};
use std::sync::Arc;

/// Reads the stream for as long as the daemon runs.
pub(crate) async fn follow(node: Arc<Node>) {
    let mut ledger = ConfigLedger::new();
    loop {
        let log = &node.clients.log;
        let page = log.read(CONFIGURATION_STREAM, ledger.next(), LOG_PAGE_RECORDS, LOG_WAIT).await;
        match page {
            Ok(page) => apply_page(&node, &mut ledger, &page),
            Err(error) => {
                node.counters.count(Counter::LogReadFailures);
                log::warn!("cannot read the configuration stream: {error}");
                tokio::time::sleep(LOG_RETRY_PAUSE).await;
            }
        }
    }
}

fn apply_page(node: &Node, ledger: &mut ConfigLedger, page: &RecordPage) {
    let before = ledger.in_force().version;
    for record in &page.records {
        note_verdict(node, &ledger.apply(record.offset, &record.value));
    }
    if ledger.in_force().version != before {
        node.set_directory(Directory::new(ledger.in_force()));
    }
}

fn note_verdict(node: &Node, verdict: &Verdict) {
    match verdict {
        Verdict::Accepted(version) => {
            node.counters.count(Counter::ConfigsAccepted);
            log::info!("configuration version {version} is in force");
        }
        Verdict::Conflict(current) => {
            node.counters.count(Counter::ConfigsConflicting);
            log::info!("a configuration record lost against version {current}");
        }
        Verdict::Invalid(_) => {
            node.counters.count(Counter::ConfigsInvalid);
            log::warn!("a configuration record does not pass the check");
        }
    }
}
