//! Appends order records to the stream.

use crate::constants::{ORDER_APPEND_TIMEOUT, ORDER_COMMIT_INTERVAL};
use crate::counters::Counter;
use crate::node::Node;
use clients::error::ClientError;
use orders::ORDERS_STREAM;
use orders::committer::AppendResult;
use orders::record::{Record, encode};
use std::sync::Arc;
use std::time::Duration;

/// Appends the batches that are due until the daemon stops.
pub(crate) async fn commit(node: Arc<Node>) {
    loop {
        let now_ms = node.now_ms();
        let batch = node.orders.committer().next_batch(now_ms);
        match batch {
            Some(batch) => append(&node, &batch).await,
            None => wait(&node, now_ms).await,
        }
    }
}

async fn append(node: &Node, batch: &[Record]) {
    let result = match encode(batch) {
        Ok(text) => node.clients.log.append(ORDERS_STREAM, text, ORDER_APPEND_TIMEOUT).await,
        Err(error) => Err(ClientError::Malformed(error.to_string())),
    };
    let appended = match &result {
        Ok(_) => AppendResult::Stored,
        Err(error) if error.is_unsent() => AppendResult::NotSent,
        Err(_) => AppendResult::Unconfirmed,
    };
    match result {
        Ok(_) => {
            node.counters.count(Counter::OrderAppends);
            node.counters.add(Counter::OrderRecords, batch.len() as u64);
        }
        Err(error) => {
            node.counters.count(Counter::OrderAppendFailures);
            log::warn!("cannot append {} order records: {error}", batch.len());
        }
    }
    node.orders.committer().appended(appended, node.now_ms());
}

async fn wait(node: &Node, now_ms: u64) {
    let due_in_ms = node.orders.committer().due_in_ms(now_ms);
    let delay = due_in_ms.map_or(ORDER_COMMIT_INTERVAL, Duration::from_millis);
    // A timeout is not a failure: the caller checks for due records after either result.
    let _ = tokio::time::timeout(delay, node.orders.committer_wake.notified()).await;
}
