//! The servers' entries.

use crate::event;
use crate::node::Node;
use crate::store::{LogPosition, StoreClient, StoreError};
use crate::unreadable;
use dispatch::era::StoreEra;
use dispatch::registry::{RegistryChange, ServerRecord};
use platform::frames::{KeyedRecord, decode_keyed};
use platform::servers::decode_entry;
use platform::store::SERVER_TOPIC;

/// The position of the next read; `None` before the first listing.
#[derive(Debug, Default)]
pub struct ServerRecords {
    next: Option<LogPosition>,
    /// The era of the last listing.
    listed_era: Option<StoreEra>,
}

impl ServerRecords {
    /// Reads new entries, or lists the newest ones first.
    ///
    /// # Errors
    ///
    /// Returns an error if the store cannot be read or has deleted the records.
    pub async fn read(&mut self, node: &Node, store: &mut StoreClient) -> Result<(), StoreError> {
        let era = node.eras().current();
        let changes = match self.next.filter(|next| next.era == era) {
            None => self.list(node, store).await?,
            Some(from) => self.read_new(node, store, from).await?,
        };
        let now_ms = node.now_ms();
        let expired = node.state().registry.expire_missing(now_ms);
        handle_registry_changes(node, changes.into_iter().chain(expired), "store");
        Ok(())
    }

    async fn list(
        &mut self,
        node: &Node,
        store: &mut StoreClient,
    ) -> Result<Vec<RegistryChange>, StoreError> {
        let newest = store.newest(SERVER_TOPIC).await?;
        let records: Vec<(ServerRecord, u64)> =
            newest.records.iter().map(|(record, offset)| (decode(node, record), *offset)).collect();
        self.next = Some(newest.end);
        let was_listed_in = self.listed_era.replace(newest.end.era);
        if was_listed_in.is_some_and(|listed| listed < newest.end.era) {
            node.record_read_again(SERVER_TOPIC, newest.end.era, records.len());
        }
        let now_ms = node.now_ms();
        let mut state = node.state();
        state.registry.store_read(now_ms);
        Ok(state.registry.replace_all(records, newest.end.into(), now_ms))
    }

    async fn read_new(
        &mut self,
        node: &Node,
        store: &mut StoreClient,
        from: LogPosition,
    ) -> Result<Vec<RegistryChange>, StoreError> {
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
            Some((decode(node, &record.ok()?), LogPosition { offset, ..from }))
        });
        let records: Vec<(ServerRecord, LogPosition)> = records.collect();
        let now_ms = node.now_ms();
        let mut changes = Vec::new();
        let mut state = node.state();
        state.registry.store_read(now_ms);
        for (record, at) in records {
            changes.extend(state.registry.apply(record, at.into(), now_ms));
        }
        self.next = Some(LogPosition { offset: from.offset + batch.records.len() as u64, ..from });
        Ok(changes)
    }
}

/// Decodes a server's record, and reports one that is malformed.
fn decode(node: &Node, record: &KeyedRecord) -> ServerRecord {
    decode_entry(record, |error| unreadable::report(node, SERVER_TOPIC, &record.key, error))
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
                node.state().loads.restarted(&entry.id);
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
