//! Keeps what this gateway noticed in the platform's store, and reads what others keep there.
//!
//! Calls are paid for, so the store is read only when evidence may have passed this gateway by:
//! after its start, after a pause of the process, in a new era of the store, and while a peer does
//! not report.

use crate::backoff::Backoff;
use crate::clock::unix_ms;
use crate::crashes::{forward, learn};
use crate::node::Node;
use crate::peers;
use crate::store::{LogPosition, StoreClient, StoreError};
use crate::unreadable;
use dispatch::crashes::{Evidence, EvidenceReport};
use platform::codec::FormatError;
use platform::frames::{KeyedRecord, decode_keyed};
use platform::store::CRASH_TOPIC;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::Instant;

/// The minimum delay between two writes, and what each gateway adds to it.
const WRITE_INTERVAL: Duration = Duration::from_millis(50);
const WRITE_INTERVAL_PER_GATEWAY: Duration = Duration::from_millis(5);
/// The interval at which expired evidence is removed.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(60);
/// The delay after a failed call, and the maximum to which it grows.
const RETRY_DELAY: Duration = Duration::from_millis(300);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);
/// How long a read waits for the first record, in milliseconds.
const READ_WAIT_MS: u64 = 5_000;
/// The interval between checks of whether the store must be read.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// A check that comes this much late shows that the process was paused.
const PAUSE: Duration = Duration::from_secs(1);

/// The record of one gateway.
#[derive(Debug, Serialize, Deserialize)]
struct StoredEvidence {
    /// When it was written, in Unix milliseconds.
    written_unix_ms: u64,
    report: EvidenceReport,
}

/// Writes this gateway's record whenever it changes, until the process exits.
pub async fn write(node: Arc<Node>) {
    let mut store = StoreClient::new(&node);
    let mut eras = node.watch_eras();
    let mut has_record = false;
    // The record of the process before is read first; it would be lost otherwise.
    node.crash_exchange.listed.notified().await;
    loop {
        tokio::select! {
            () = node.crash_exchange.noticed.notified() => {}
            // The store may have lost the record.
            Ok(()) = eras.changed() => {}
            () = tokio::time::sleep(EXPIRY_INTERVAL) => node.state().crashes.expire(node.now_ms()),
        }
        let writing = node.crash_exchange.writing.lock().await;
        let (local, gateways) = {
            let state = node.state();
            (state.crashes.local().clone(), state.gateways.count())
        };
        if local.is_empty() && !has_record {
            continue;
        }
        let result = append(&node, &mut store, &local, None).await;
        drop(writing);
        let mut delay = WRITE_INTERVAL + WRITE_INTERVAL_PER_GATEWAY * gateways as u32;
        match result {
            Ok(()) => has_record = !local.is_empty(),
            Err(error) => {
                node.metrics.count("store_failures", error.as_str());
                node.crash_exchange.noticed.notify_one();
                delay = delay.max(RETRY_DELAY);
            }
        }
        tokio::time::sleep(delay).await;
    }
}

/// Appends this gateway's record; with `at`, only if the topic ends at that position.
pub async fn append(
    node: &Node,
    store: &mut StoreClient,
    local: &Evidence,
    at: Option<LogPosition>,
) -> Result<(), StoreError> {
    // An empty value deletes the record.
    let value = if local.is_empty() {
        Vec::new()
    } else {
        let report = local.to_report(node.now_ms());
        peers::encode(&StoredEvidence { written_unix_ms: unix_ms(), report })
    };
    store.append(CRASH_TOPIC, node.settings.host.as_str(), &value, at).await?;
    Ok(())
}

/// Reads the records of all gateways when that may hold something new, until the process exits.
pub async fn read(node: Arc<Node>) {
    let mut store = StoreClient::new(&node);
    let mut next: Option<LogPosition> = None;
    let mut must_read = true;
    let mut is_listed = false;
    let mut backoff = Backoff::new(RETRY_DELAY, MAX_RETRY_DELAY);
    loop {
        let before = Instant::now();
        tokio::time::sleep(if must_read { Duration::ZERO } else { CHECK_INTERVAL }).await;
        must_read |= before.elapsed() > CHECK_INTERVAL + PAUSE
            || next.is_none_or(|next| next.era != node.eras().current())
            || misses_peers(&node);
        if !must_read {
            continue;
        }
        match read_once(&node, &mut store, &mut next).await {
            Ok(()) => {
                backoff.record_success();
                must_read = false;
                if !std::mem::replace(&mut is_listed, true) {
                    node.crash_exchange.listed.notify_one();
                }
            }
            Err(StoreError::Deleted | StoreError::EraChanged) => next = None,
            Err(error) => {
                node.metrics.count("store_failures", error.as_str());
                tokio::time::sleep(backoff.record_failure()).await;
            }
        }
    }
}

/// Returns whether some gateways do not report and this one reads the store, not another gateway.
fn misses_peers(node: &Node) -> bool {
    let state = node.state();
    let reporting = state.loads.reporting_gateways().saturating_add(1);
    reporting < state.gateways.count() && node.reads_store.load(Ordering::Relaxed)
}

/// Reads new records, or lists the newest ones first.
async fn read_once(
    node: &Node,
    store: &mut StoreClient,
    next: &mut Option<LogPosition>,
) -> Result<(), StoreError> {
    let era = node.eras().current();
    let Some(from) = next.filter(|next| next.era == era) else {
        *next = Some(read_all(node, store).await?);
        return Ok(());
    };
    let wait_ms = if misses_peers(node) { READ_WAIT_MS } else { 0 };
    let batch = store.read(CRASH_TOPIC, from, wait_ms).await?;
    for record in batch.records.iter().filter_map(|record| decode_keyed(record).ok()) {
        apply(node, &record);
    }
    *next = Some(LogPosition { offset: from.offset + batch.records.len() as u64, ..from });
    Ok(())
}

/// Reads the newest record of each gateway; returns the position after them.
///
/// # Errors
///
/// Returns an error if a call fails.
pub async fn read_all(node: &Node, store: &mut StoreClient) -> Result<LogPosition, StoreError> {
    let newest = store.newest(CRASH_TOPIC).await?;
    for (record, _) in &newest.records {
        apply(node, record);
    }
    Ok(newest.end)
}

fn apply(node: &Node, record: &KeyedRecord) {
    let Some(value) = &record.value else { return };
    let Some(stored) = peers::decode::<StoredEvidence>(value) else {
        let error = FormatError::new("crash record", "it has another form");
        return unreadable::report(node, CRASH_TOPIC, &record.key, &error);
    };
    let transit_ms = unix_ms().saturating_sub(stored.written_unix_ms);
    let evidence = Evidence::from_report(stored.report, transit_ms, node.now_ms());
    if record.key == node.settings.host.as_str() {
        node.state().crashes.record(&evidence, node.now_ms());
        return;
    }
    let is_new = learn(node, &evidence, "store");
    if is_new && !node.state().gateways.is_small() {
        forward(node, &evidence);
    }
}
