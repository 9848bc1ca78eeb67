//! The servers' entries.

use crate::cold::{self, EntryTimes};
use crate::event;
use crate::follow::software::SoftwareRecords;
use crate::node::Node;
use crate::peers::Spread;
use crate::store::{LogPosition, StoreClient, StoreError};
use crate::unreadable;
use dispatch::cold::ColdChange;
use dispatch::era::StoreEra;
use dispatch::registry::{RegistryChange, ServerRecord};
use dispatch::streams::StreamOrigin;
use platform::frames::{KeyedRecord, decode_keyed};
use platform::servers::{ListedServer, decode_listed};
use platform::store::SERVER_TOPIC;
use std::collections::BTreeSet;

/// The interval at which a listing that held servers back is repeated, in milliseconds.
const HELD_BACK_INTERVAL_MS: u64 = 250;

/// The position of the next read; `None` before the first listing.
#[derive(Debug, Default)]
pub struct ServerRecords {
    next: Option<LogPosition>,
    /// When the last read began that reached the end.
    read_ms: Option<u64>,
    /// The era of the last listing.
    listed_era: Option<StoreEra>,
    software: SoftwareRecords,
    /// Whether servers of the last listing are not used yet.
    holds_back: bool,
}

impl ServerRecords {
    /// Reads new entries, or lists the newest ones first; returns when to read again, in
    /// milliseconds, at the given interval.
    ///
    /// # Errors
    ///
    /// Returns an error if the store cannot be read or has deleted the records.
    pub async fn read(
        &mut self,
        node: &Node,
        store: &mut StoreClient,
        interval_ms: u64,
    ) -> Result<u64, StoreError> {
        let era = node.eras().current();
        let changes = match self.next.filter(|next| next.era == era) {
            None => self.list(node, store).await?,
            Some(from) => self.read_new(node, store, from).await?,
        };
        let expired = cold::expire_missing(node);
        handle_registry_changes(node, changes.into_iter().chain(expired), "store");
        let interval_ms = if self.holds_back { HELD_BACK_INTERVAL_MS } else { interval_ms };
        Ok(node.now_ms() + interval_ms)
    }

    async fn list(
        &mut self,
        node: &Node,
        store: &mut StoreClient,
    ) -> Result<Vec<RegistryChange>, StoreError> {
        let began_ms = node.now_ms();
        let newest = store.newest(SERVER_TOPIC).await?;
        let mut records: Vec<(ListedServer, u64)> =
            newest.records.iter().map(|(record, offset)| (decode(node, record), *offset)).collect();
        let was_listed_in = self.listed_era.replace(newest.end.era);
        if was_listed_in.is_some_and(|listed| listed < newest.end.era) {
            node.record_read_again(SERVER_TOPIC, newest.end.era, records.len());
        }
        let listed = origins(records.iter().map(|(listed, _)| &listed.record));
        let started = self.software.start(node, store, &listed, newest.end.era).await;
        self.next = Some(newest.end);
        self.holds_back = false;
        if let Err(error) = started {
            report_unrecorded(node, &error);
            let held_back = self.held_back(node, &listed);
            self.holds_back = !held_back.is_empty();
            records.retain(|(listed, _)| !is_of(&listed.record, &held_back));
            self.next = None;
        }
        self.read_ms = self.next.map(|_| began_ms);
        let now_ms = node.now_ms();
        let mut guard = node.state();
        let state = &mut *guard;
        let is_first = state.registry.is_blank();
        state.registry.store_read(now_ms);
        let entries = records.iter().map(|(listed, offset)| (listed.record.clone(), *offset));
        let changes = state.registry.replace_all(entries.collect(), newest.end.into(), now_ms);
        let times = EntryTimes { from_ms: None, read_ms: now_ms };
        let mut cold_changes = Vec::new();
        for (listed, _) in &records {
            let has_joined = !is_first && changes.iter().any(|change| is_joining(change, listed));
            cold_changes.extend(cold::record_entry(node, state, listed, times, has_joined));
        }
        cold_changes.extend(cold::record_registry_changes(node, state, &changes, is_first));
        drop(guard);
        cold::publish(node, cold_changes, Spread::All);
        Ok(changes)
    }

    async fn read_new(
        &mut self,
        node: &Node,
        store: &mut StoreClient,
        from: LogPosition,
    ) -> Result<Vec<RegistryChange>, StoreError> {
        let began_ms = node.now_ms();
        let forgetting = self.software.prepare_forgetting(node, store).await;
        let batch = match store.read(SERVER_TOPIC, from, 0).await {
            Err(error @ (StoreError::Deleted | StoreError::EraChanged)) => {
                self.next = None;
                return Err(error);
            }
            other => other?,
        };
        let records = batch.records.iter().zip(from.offset..).filter_map(|(bytes, offset)| {
            let record = decode_keyed(bytes);
            let record = record.inspect_err(|error| {
                unreadable::report(node, SERVER_TOPIC, "", error);
            });
            Some((decode(node, &record.ok()?), offset))
        });
        let records: Vec<(ListedServer, u64)> = records.collect();
        let mut next = LogPosition { offset: from.offset + batch.records.len() as u64, ..from };
        let is_at_end = next.offset >= batch.end;
        let seen = origins(records.iter().map(|(listed, _)| &listed.record));
        let mut held_back = BTreeSet::new();
        if let Err(error) = self.software.record(node, store, &seen, from.era).await {
            report_unrecorded(node, &error);
            held_back = self.held_back(node, &seen);
        }
        let now_ms = node.now_ms();
        let mut changes = Vec::new();
        let mut cold_changes: Vec<ColdChange> = Vec::new();
        {
            let mut guard = node.state();
            let state = &mut *guard;
            state.registry.store_read(now_ms);
            for (listed, offset) in records {
                if is_of(&listed.record, &held_back) {
                    // The records from here on are read again.
                    next.offset = next.offset.min(offset);
                    continue;
                }
                let at = LogPosition { offset, ..from };
                let change = state.registry.apply(listed.record.clone(), at.into(), now_ms);
                let has_joined = change.as_ref().is_some_and(|change| is_joining(change, &listed));
                let times = EntryTimes { from_ms: self.read_ms, read_ms: now_ms };
                cold_changes.extend(cold::record_entry(node, state, &listed, times, has_joined));
                let joined = change.as_slice();
                cold_changes.extend(cold::record_registry_changes(node, state, joined, false));
                changes.extend(change);
            }
        }
        cold::publish(node, cold_changes, Spread::All);
        if is_at_end && next.offset >= batch.end {
            self.read_ms = Some(began_ms);
        }
        self.next = Some(next);
        let end = forgetting.inspect_err(|error| report_unrecorded(node, error)).ok().flatten();
        let end = end.filter(|_| is_at_end);
        if let Err(error) = self.software.tidy(node, store, end, from.era).await {
            report_unrecorded(node, &error);
            // The history may have changed; it is read again.
            self.next = None;
        }
        Ok(changes)
    }

    /// Returns the versions whose servers cannot be listed yet, because the history does not hold
    /// them.
    fn held_back(&self, node: &Node, seen: &BTreeSet<StreamOrigin>) -> BTreeSet<StreamOrigin> {
        let listed = node.state().registry.software();
        let is_held_back = |origin: &&StreamOrigin| {
            !listed.contains(*origin) && !self.software.is_recorded(node, origin)
        };
        seen.iter().filter(is_held_back).cloned().collect()
    }
}

/// Returns whether a server joins with an entry.
fn is_joining(change: &RegistryChange, listed: &ListedServer) -> bool {
    match (change, &listed.record) {
        (RegistryChange::Joined(joined), ServerRecord::Present(entry)) => joined.id == entry.id,
        _ => false,
    }
}

/// Returns the versions of entries.
fn origins<'a>(records: impl Iterator<Item = &'a ServerRecord>) -> BTreeSet<StreamOrigin> {
    let present = records.filter_map(|record| match record {
        ServerRecord::Present(entry) => Some(entry.stream_origin()),
        ServerRecord::Absent(_) => None,
    });
    present.collect()
}

/// Returns whether a record is an entry of one of some versions.
fn is_of(record: &ServerRecord, versions: &BTreeSet<StreamOrigin>) -> bool {
    matches!(record, ServerRecord::Present(entry) if versions.contains(&entry.stream_origin()))
}

fn report_unrecorded(node: &Node, error: &StoreError) {
    node.metrics.count("store_failures", error.as_str());
    event!(warn, node.now_ms(), "software_history_unwritten", { "error": error.to_string() });
}

/// Decodes a server's record, and reports one that is malformed.
fn decode(node: &Node, record: &KeyedRecord) -> ListedServer {
    decode_listed(record, |error| unreadable::report(node, SERVER_TOPIC, &record.key, error))
}

/// Logs changes of the registry, and updates loads and connections to match.
pub fn handle_registry_changes(
    node: &Node,
    changes: impl IntoIterator<Item = RegistryChange>,
    source: &str,
) {
    for change in changes {
        let now_ms = node.now_ms();
        match change {
            RegistryChange::Joined(entry) => {
                event!(info, now_ms, "server_joined", {
                    "server": entry.id.as_str(),
                    "incarnation": entry.incarnation.value(),
                    "service": entry.service.as_str(),
                    "software": entry.software.as_str(),
                    "address": entry.address,
                    "source": source,
                });
                node.state().loads.restarted(&entry.id, now_ms);
                node.pool.forget(&entry.id);
                node.weights_changed.notify_one();
            }
            RegistryChange::Left(id) => {
                event!(info, now_ms, "server_left", { "server": id.as_str(), "source": source });
                node.pool.forget(&id);
                node.state().loads.forget(&id);
            }
            RegistryChange::Reloaded(entry) => {
                event!(info, now_ms, "server_reloaded", {
                    "server": entry.id.as_str(),
                    "weights": entry.weight_versions,
                    "source": source,
                });
                node.state().loads.release(&entry.id);
                node.weights_changed.notify_one();
            }
        }
    }
}
