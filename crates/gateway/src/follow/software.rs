//! Keeps the history of software versions in the store while the servers' entries are followed.

use crate::event;
use crate::node::Node;
use crate::software_history::{self, complete_record, deletion_record, version_record};
use crate::store::{LogPosition, StoreClient, StoreError};
use dispatch::era::StoreEra;
use dispatch::registry::ServerRecord;
use dispatch::software_history::SoftwareTracker;
use dispatch::streams::StreamOrigin;
use platform::frames::decode_keyed;
use platform::servers::decode_entry;
use platform::store::{SERVER_TOPIC, SOFTWARE_TOPIC};
use std::collections::BTreeSet;

/// The maximum number of reads of the log from its first record.
const MAX_FIRST_READS: usize = 20;

/// The part of the history that this gateway keeps.
#[derive(Debug, Default)]
pub struct SoftwareRecords {
    tracker: SoftwareTracker,
    /// The era in which all known versions were recorded.
    recorded_era: Option<StoreEra>,
}

impl SoftwareRecords {
    /// Starts to follow the entries with a listing; records the versions that the history lacks.
    ///
    /// # Errors
    ///
    /// Returns an error if the history cannot be read or written.
    pub async fn start(
        &mut self,
        node: &Node,
        store: &mut StoreClient,
        listed: &BTreeSet<StreamOrigin>,
        era: StoreEra,
    ) -> Result<(), StoreError> {
        self.tracker.start(node.now_ms());
        let (history, end) = software_history::read(store).await?;
        if end.era != era {
            return Err(StoreError::EraChanged);
        }
        self.tracker.load(&history, era, listed, node.now_ms());
        let mut lacking: BTreeSet<StreamOrigin> = listed - &history.versions;
        if self.recorded_era.is_some_and(|recorded| recorded < era) {
            // The store has returned from a copy.
            lacking.extend(self.tracker.versions().cloned());
            lacking = &lacking - &history.versions;
        }
        let mut records = Vec::new();
        let mut is_complete = false;
        if history.versions.is_empty() && history.complete_in.is_none() {
            // The log may still hold every entry there ever was.
            let all = read_all_entries(store, era).await?;
            is_complete = all.is_some();
            lacking.extend(all.unwrap_or_default());
        }
        records.extend(lacking.iter().map(version_record));
        if is_complete {
            records.push(complete_record(era));
        }
        append(node, store, &records, None, era).await?;
        lacking.into_iter().for_each(|origin| self.tracker.see(origin, node.now_ms()));
        if is_complete {
            self.tracker.record_complete();
        }
        self.recorded_era = Some(era);
        Ok(())
    }

    /// Records the versions of new entries, unless the history holds them.
    ///
    /// # Errors
    ///
    /// Returns an error if the history cannot be written.
    pub async fn record(
        &mut self,
        node: &Node,
        store: &mut StoreClient,
        seen: &BTreeSet<StreamOrigin>,
        era: StoreEra,
    ) -> Result<(), StoreError> {
        let lacking = self.tracker.unrecorded(seen, node.now_ms());
        for origin in seen - &lacking {
            self.tracker.see(origin, node.now_ms());
        }
        let records: Vec<_> = lacking.iter().map(version_record).collect();
        append(node, store, &records, None, era).await?;
        lacking.into_iter().for_each(|origin| self.tracker.see(origin, node.now_ms()));
        Ok(())
    }

    /// Returns whether a version's servers may be used.
    pub fn is_recorded(&self, node: &Node, origin: &StreamOrigin) -> bool {
        self.tracker.unrecorded(&BTreeSet::from([origin.clone()]), node.now_ms()).is_empty()
    }

    /// Returns the end of the history if there are versions to forget. The entries have to be read
    /// after that, so that none is forgotten that serves again.
    ///
    /// # Errors
    ///
    /// Returns an error if the history cannot be read.
    pub async fn prepare_forgetting(
        &self,
        node: &Node,
        store: &mut StoreClient,
    ) -> Result<Option<LogPosition>, StoreError> {
        if self.tracker.expired(node.now_ms()).is_empty() {
            return Ok(None);
        }
        let (_, end) = software_history::read(store).await?;
        Ok(Some(end))
    }

    /// Deletes the versions whose last streams have ended, if the history has not changed since
    /// `end`, and declares it complete once the entries have been followed for long enough.
    ///
    /// # Errors
    ///
    /// Returns an error if the history cannot be written.
    pub async fn tidy(
        &mut self,
        node: &Node,
        store: &mut StoreClient,
        end: Option<LogPosition>,
        era: StoreEra,
    ) -> Result<(), StoreError> {
        let expired = self.tracker.expired(node.now_ms());
        if let Some(end) = end.filter(|_| !expired.is_empty()) {
            self.tracker.forget(&expired);
            let records: Vec<_> = expired.iter().map(deletion_record).collect();
            match append(node, store, &records, Some(end), era).await {
                Err(StoreError::Conflict) => self.load_again(node, store, era).await?,
                result => result?,
            }
        }
        if self.tracker.completes(node.now_ms()) {
            append(node, store, &[complete_record(era)], None, era).await?;
            self.tracker.record_complete();
            event!(info, node.now_ms(), "software_history_complete", { "era": era.value() });
        }
        Ok(())
    }

    /// Applies the history after another gateway changed it, which may have deleted the same versions.
    async fn load_again(
        &mut self,
        node: &Node,
        store: &mut StoreClient,
        era: StoreEra,
    ) -> Result<(), StoreError> {
        let (history, end) = software_history::read(store).await?;
        if end.era != era {
            return Err(StoreError::EraChanged);
        }
        self.tracker.load(&history, era, &BTreeSet::new(), node.now_ms());
        Ok(())
    }
}

/// Appends records; none need no call.
async fn append(
    node: &Node,
    store: &mut StoreClient,
    records: &[(String, Vec<u8>)],
    at: Option<LogPosition>,
    era: StoreEra,
) -> Result<(), StoreError> {
    if records.is_empty() {
        return Ok(());
    }
    let (_, appended_in) = store.append_all(SOFTWARE_TOPIC, records, at).await?;
    event!(info, node.now_ms(), "software_history_written", {
        "records": records.len(),
        "era": appended_in.value(),
    });
    if appended_in == era { Ok(()) } else { Err(StoreError::EraChanged) }
}

/// Returns the versions of all entries that were ever written; `None` if some have been deleted.
async fn read_all_entries(
    store: &mut StoreClient,
    era: StoreEra,
) -> Result<Option<BTreeSet<StreamOrigin>>, StoreError> {
    let mut versions = BTreeSet::new();
    let mut from = LogPosition { era, offset: 0 };
    for _ in 0..MAX_FIRST_READS {
        let batch = match store.read(SERVER_TOPIC, from, 0).await {
            Err(StoreError::Deleted) => return Ok(None),
            other => other?,
        };
        if batch.first_retained > 0 {
            return Ok(None);
        }
        versions.extend(batch.records.iter().filter_map(|bytes| decode_origin(bytes)));
        from.offset += batch.records.len() as u64;
        if from.offset >= batch.end {
            return Ok(Some(versions));
        }
    }
    Ok(None)
}

fn decode_origin(bytes: &[u8]) -> Option<StreamOrigin> {
    // The reader of the entries reports malformed ones.
    match decode_entry(&decode_keyed(bytes).ok()?, |_| {}) {
        ServerRecord::Present(entry) => Some(entry.stream_origin()),
        ServerRecord::Absent(_) => None,
    }
}
