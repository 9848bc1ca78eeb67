//! The history of software versions in the store, as records and for streams that callers take up
//! again.

use crate::node::Node;
use crate::peers::{decode, encode};
use crate::store::{LogPosition, NewestRecords, StoreClient, StoreError};
use dispatch::era::StoreEra;
use dispatch::software_history::SoftwareHistory;
use dispatch::streams::StreamOrigin;
use platform::store::SOFTWARE_TOPIC;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::{Notify, oneshot};

/// The key of the record that names the era in which the history is complete.
const COMPLETE_KEY: &str = "complete";
/// The minimum delay between two readings for streams, which are calls to the store.
const READ_INTERVAL: Duration = Duration::from_millis(150);
/// How long a caller waits for the history.
const MAX_WAIT: Duration = Duration::from_millis(700);

/// Returns a version's key: names may be longer than keys may be.
fn key(origin: &StreamOrigin) -> String {
    blake3::hash(&encode(origin)).to_hex().to_string()
}

/// Returns the record of a version.
pub fn version_record(origin: &StreamOrigin) -> (String, Vec<u8>) {
    (key(origin), encode(origin))
}

/// Returns the record that deletes a version.
pub fn deletion_record(origin: &StreamOrigin) -> (String, Vec<u8>) {
    (key(origin), Vec::new())
}

/// Returns the record that declares the history complete in an era.
pub fn complete_record(era: StoreEra) -> (String, Vec<u8>) {
    (COMPLETE_KEY.to_owned(), encode(&era))
}

/// Reads the history; returns it with its end.
///
/// # Errors
///
/// Returns an error if the call fails.
pub async fn read(store: &mut StoreClient) -> Result<(SoftwareHistory, LogPosition), StoreError> {
    let NewestRecords { records, end, .. } = store.newest(SOFTWARE_TOPIC).await?;
    let mut history = SoftwareHistory::default();
    for (record, _) in records {
        let value = record.value.unwrap_or_default();
        if record.key == COMPLETE_KEY {
            history.complete_in = decode(&value);
        } else {
            history.versions.extend(decode::<StreamOrigin>(&value));
        }
    }
    Ok((history, end))
}

/// A reading of the history with the era of the store.
pub type HistoryReading = (SoftwareHistory, StoreEra);

/// The requests that wait for a reading of the history.
#[derive(Debug, Default)]
pub struct HistoryQueries {
    waiting: Mutex<Vec<oneshot::Sender<Arc<HistoryReading>>>>,
    added: Notify,
}

impl HistoryQueries {
    /// Returns a reading that began after this call, so that it names the versions of all streams
    /// that began before; `None` if the store cannot be read in time.
    pub async fn read(&self) -> Option<Arc<HistoryReading>> {
        let (sender, reading) = oneshot::channel();
        self.lock_waiting().push(sender);
        self.added.notify_one();
        tokio::time::timeout(MAX_WAIT, reading).await.ok()?.ok()
    }

    fn lock_waiting(&self) -> std::sync::MutexGuard<'_, Vec<oneshot::Sender<Arc<HistoryReading>>>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Reads the history for the requests that wait for it, until the process exits.
pub async fn answer_queries(node: Arc<Node>) {
    let mut store = StoreClient::new(&node);
    loop {
        node.history_queries.added.notified().await;
        let waiting = std::mem::take(&mut *node.history_queries.lock_waiting());
        match read(&mut store).await {
            Ok((history, end)) => {
                let reading = Arc::new((history, end.era));
                for sender in waiting {
                    // The request may have stopped waiting.
                    drop(sender.send(Arc::clone(&reading)));
                }
            }
            Err(error) => node.metrics.count("store_failures", error.as_str()),
        }
        tokio::time::sleep(READ_INTERVAL).await;
    }
}
