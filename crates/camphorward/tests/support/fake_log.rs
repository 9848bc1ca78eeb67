//! A fake log with fault injection.

use super::server::{Handler, serve};
use clients::wire::log::{Appended, LogRecord, RecordPage};
use control::configuration::{CONFIGURATION_STREAM, ConfigRecord, ConfigSnapshot, SNAPSHOT_STREAM};
use protocol::ids::{ConfigVersion, LogOffset};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

/// The time of the first append, in milliseconds since the epoch.
const FIRST_APPEND_MS: u64 = 1_700_000_000_000;

/// A fault to inject into one append.
#[derive(Clone, Debug)]
pub enum Fault {
    /// The record is stored, but the answer is lost.
    LoseAnswer,
    /// The request is lost.
    LoseRequest,
    /// The request is refused with a status code.
    Refuse(u16),
    /// Another record is stored before this one.
    Precede(String),
    /// Another record is stored before this one, and the answer is lost.
    PrecedeAndLoseAnswer(String),
}

/// A log that holds its records in memory.
#[derive(Debug, Default)]
pub struct FakeLog {
    records: Mutex<Vec<LogRecord>>,
    faults: Mutex<VecDeque<Fault>>,
    first_retained: Mutex<u64>,
    snapshots: Mutex<Vec<LogRecord>>,
}

impl FakeLog {
    /// Starts a log and returns it with its address.
    pub async fn start() -> (Arc<Self>, SocketAddr) {
        let log = Arc::new(Self::default());
        let address = serve(Arc::clone(&log)).await;
        (log, address)
    }

    /// Injects one fault into each of the next appends.
    pub fn fail_next(&self, faults: impl IntoIterator<Item = Fault>) {
        self.faults.lock().expect("no panic").extend(faults);
    }

    /// Appends a record.
    pub fn push(&self, value: String) -> LogOffset {
        let mut records = self.records.lock().expect("no panic");
        let number = records.len() as u64;
        let offset = LogOffset::new(number);
        records.push(LogRecord { offset, appended_at_ms: FIRST_APPEND_MS + 1_000 * number, value });
        offset
    }

    /// Appends a record to the snapshot stream.
    pub fn push_snapshot(&self, value: String) {
        let mut snapshots = self.snapshots.lock().expect("no panic");
        let offset = LogOffset::new(snapshots.len() as u64);
        snapshots.push(LogRecord { offset, appended_at_ms: FIRST_APPEND_MS, value });
    }

    /// Expires all records before an offset.
    pub fn expire_before(&self, offset: u64) {
        *self.first_retained.lock().expect("no panic") = offset;
    }

    /// Returns all records, including expired ones.
    pub fn records(&self) -> Vec<LogRecord> {
        self.records.lock().expect("no panic").clone()
    }

    /// Returns the publication ids of all records.
    pub fn publication_ids(&self) -> Vec<String> {
        let values = self.records().into_iter().map(|record| record.value);
        let records = values.filter_map(|value| serde_json::from_str::<ConfigRecord>(&value).ok());
        records.map(|record| record.publication_id).collect()
    }

    fn append(&self, value: String) -> Option<(u16, String)> {
        let fault = self.faults.lock().expect("no panic").pop_front();
        match &fault {
            Some(Fault::LoseRequest) => return None,
            Some(Fault::Refuse(status)) => return Some((*status, "not now".to_owned())),
            Some(Fault::Precede(other) | Fault::PrecedeAndLoseAnswer(other)) => {
                self.push(other.clone());
            }
            Some(Fault::LoseAnswer) | None => {}
        }
        let offset = self.push(value);
        let answer = serde_json::to_string(&Appended { offset }).expect("JSON");
        let is_lost = matches!(fault, Some(Fault::LoseAnswer | Fault::PrecedeAndLoseAnswer(_)));
        (!is_lost).then_some((200, answer))
    }

    fn read(&self, stream: &str, query: &str) -> (u16, String) {
        let (records, first) = match stream {
            SNAPSHOT_STREAM => (self.snapshots.lock().expect("no panic").clone(), 0),
            _ => (self.records(), *self.first_retained.lock().expect("no panic")),
        };
        let number = |name: &str| {
            let value = query.split('&').find_map(|part| part.strip_prefix(name));
            value.and_then(|value| value.strip_prefix('=')).and_then(|value| value.parse().ok())
        };
        let from: usize = number("from").expect("a read has the parameter `from`");
        let limit: usize = number("limit").expect("a read has the parameter `limit`");
        let start = from.max(usize::try_from(first).expect("an index"));
        let page = RecordPage {
            first_retained: LogOffset::new(first),
            end: LogOffset::new(records.len() as u64),
            records: records.into_iter().skip(start).take(limit).collect(),
        };
        (200, serde_json::to_string(&page).expect("JSON"))
    }
}

impl Handler for FakeLog {
    fn answer(&self, method: &str, path: &str, body: String) -> Option<(u16, String)> {
        let (path, query) = path.split_once('?').unwrap_or((path, ""));
        let stream = path.strip_prefix("/streams/").and_then(|path| path.strip_suffix("/records"));
        match (method, stream) {
            ("POST", Some(CONFIGURATION_STREAM)) => self.append(body),
            ("GET", Some(stream @ (CONFIGURATION_STREAM | SNAPSHOT_STREAM))) => {
                Some(self.read(stream, query))
            }
            _ => Some((404, String::new())),
        }
    }
}

/// Renders a record of the configuration stream.
pub fn record(base: u64, publication_id: &str, text: &str) -> String {
    let base = ConfigVersion::new(base);
    let record =
        ConfigRecord { base, publication_id: publication_id.to_owned(), text: text.to_owned() };
    serde_json::to_string(&record).expect("JSON")
}

/// Renders a record of the snapshot stream.
pub fn snapshot(version: u64, as_of: u64, text: &str) -> String {
    let (version, as_of) = (ConfigVersion::new(version), LogOffset::new(as_of));
    let snapshot = ConfigSnapshot { version, as_of, text: text.to_owned() };
    serde_json::to_string(&snapshot).expect("JSON")
}
