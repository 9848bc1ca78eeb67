//! Records the evacuations of failure domains from the store and from peers, and logs the changes.

use crate::cold;
use crate::event;
use crate::node::Node;
use crate::peers::Spread;
use crate::store::{LogPosition, NewestRecords, StoreClient};
use crate::unreadable;
use dispatch::evacuations::{
    EvacuationChange, EvacuationChangeKind, EvacuationRecord, EvacuationReport, Evacuations,
};
use platform::codec::FormatError;
use platform::frames::KeyedRecord;
use platform::store::{EVACUATION_KEY_PREFIX, OPERATOR_TOPIC};

/// Records a record of the operators' topic if it evacuates a domain or ends that.
pub fn record(node: &Node, record: &KeyedRecord, position: LogPosition) {
    let Some(record) = decode(node, record, position) else { return };
    change(node, "store", |evacuations, now_ms| {
        evacuations.record(&record, now_ms).into_iter().collect()
    });
}

/// Records that the operators' topic has been read up to a position.
pub fn record_read(node: &Node, until: LogPosition) {
    let now_ms = node.now_ms();
    node.state().evacuations.read_to(until.into(), now_ms);
}

/// Records a listing of the operators' topic. One from which unreadable records are left out ends no
/// evacuation.
pub fn list(node: &Node, newest: &NewestRecords) {
    let position = |offset| LogPosition { offset, ..newest.end };
    let records = newest.records.iter();
    let records: Vec<EvacuationRecord> =
        records.filter_map(|(record, offset)| decode(node, record, position(*offset))).collect();
    change(node, "store", |evacuations, now_ms| {
        if newest.is_complete {
            evacuations.list(&records, newest.end.into(), now_ms)
        } else {
            evacuations.list_incomplete(&records, now_ms)
        }
    });
}

/// Lists the evacuations at the store, for a gateway that follows another one which reports none.
pub async fn read(node: &Node, store: &mut StoreClient) {
    match store.newest(OPERATOR_TOPIC).await {
        Ok(newest) => list(node, &newest),
        Err(error) => {
            node.metrics.count("store_failures", error.as_str());
            node.state().evacuations.record_store_failure();
        }
    }
}

/// Merges what a peer knows; `None` if its build knows no evacuations.
pub fn merge(node: &Node, report: Option<&EvacuationReport>, source: &str) {
    change(node, source, |evacuations, now_ms| match report {
        Some(report) => evacuations.merge(report, now_ms),
        None => {
            evacuations.record_earlier_build();
            Vec::new()
        }
    });
}

/// Ends the evacuations that the store has lost and nobody wrote again.
pub fn expire(node: &Node) {
    change(node, "time", Evacuations::expire);
}

/// Decodes a record; `None` if it is about something else, or names no failure domain.
fn decode(node: &Node, record: &KeyedRecord, position: LogPosition) -> Option<EvacuationRecord> {
    let domain = record.key.strip_prefix(EVACUATION_KEY_PREFIX)?;
    match domain.parse() {
        Ok(domain) => Some(EvacuationRecord {
            domain,
            position: position.into(),
            is_evacuated: record.value.is_some(),
        }),
        Err(error) => {
            let error = FormatError::new("evacuation", error);
            unreadable::report(node, EVACUATION_KEY_PREFIX, &record.key, &error);
            None
        }
    }
}

/// Applies a change, and logs what it changes. The servers of a domain whose evacuation ends count as
/// cold before any request can be sent to them: they got nothing meanwhile.
fn change(
    node: &Node,
    source: &str,
    apply: impl FnOnce(&mut Evacuations, u64) -> Vec<EvacuationChange>,
) {
    let now_ms = node.now_ms();
    let mut guard = node.state();
    let state = &mut *guard;
    let changes = apply(&mut state.evacuations, now_ms);
    let mut cold_changes = Vec::new();
    for change in changes.iter().filter(|change| change.kind == EvacuationChangeKind::Ended) {
        if let Some(ended_ms) = state.evacuations.ended_ms(&change.domain) {
            let domain = &change.domain;
            cold_changes.extend(cold::assume_after_evacuation(node, state, domain, ended_ms));
        }
    }
    drop(guard);
    // Other gateways find that out for themselves.
    cold::publish(node, cold_changes, Spread::None);
    log_changes(node, changes, source);
}

fn log_changes(node: &Node, changes: Vec<EvacuationChange>, source: &str) {
    if changes.is_empty() {
        return;
    }
    for change in &changes {
        let kind = match change.kind {
            EvacuationChangeKind::Begun if !change.is_known => "unknown_domain",
            kind => kind.as_str(),
        };
        node.metrics.count("evacuations", kind);
        event!(warn, node.now_ms(), "evacuation_changed", {
            "domain": change.domain.as_str(),
            "change": change.kind.as_str(),
            "is_known": change.is_known,
            "era": change.position.era.value(),
            "offset": change.position.offset,
            "source": source,
            "store_age_ms": node.store_age_ms(),
        });
    }
    node.target_changes.send_modify(|changes| *changes += 1);
    node.state_changed.notify_waiters();
    // Requests that wait for free capacity are placed anew.
    node.capacity_freed.notify_waiters();
}
