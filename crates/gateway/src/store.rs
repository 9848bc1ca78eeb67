//! The client of the platform's store. Each task has its own client with one persistent connection.

use crate::link::{Call, CallError, Link, is_ok};
use crate::node::Node;
use dispatch::era::{NamedEra, StoreEra};
use dispatch::registry::EntryPosition;
use http::StatusCode;
use platform::codec::FormatError;
use platform::frames::{self, KeyedRecord, RecordBatch};
use platform::headers::STORE_ERA;
use platform::store::{self as wire, Appended};
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;

/// How long an answer may take in addition to the requested wait. The store answers within some
/// milliseconds; when it is slow, an answer that takes sixty times as long must still be accepted.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(900);

/// The maximum size of all pages of the newest records, in bytes.
const MAX_NEWEST_BYTES: usize = 8 * 1024 * 1024;

/// Why a call failed.
#[derive(Debug, Error)]
pub enum StoreError {
    /// No answer arrived; the call may have been executed.
    #[error(transparent)]
    Unanswered(#[from] CallError),
    /// The store refused the call and did nothing.
    #[error("the store refused the call with status {0}")]
    Refused(StatusCode),
    /// The requested records are deleted.
    #[error("the requested records have been deleted")]
    Deleted,
    /// The partition does not end at the offset that the condition requires.
    #[error("the partition does not end at the required offset")]
    Conflict,
    /// The store has returned from a copy since the position was read, or the answer is from before
    /// that. A record may have been appended.
    #[error("the era of the store has changed")]
    EraChanged,
    /// The answer cannot be decoded.
    #[error(transparent)]
    Format(#[from] FormatError),
}

impl StoreError {
    /// Returns the error's name in counters.
    pub const fn as_str(&self) -> &'static str {
        match self {
            StoreError::Unanswered(CallError::TooLarge) => "too_large",
            StoreError::Unanswered(_) => "unanswered",
            StoreError::Refused(_) => "refused",
            StoreError::Deleted => "deleted",
            StoreError::Conflict => "conflict",
            StoreError::EraChanged => "era_changed",
            StoreError::Format(_) => "format",
        }
    }
}

/// A position in a topic; its offset means nothing in another era.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LogPosition {
    /// The era of the store.
    pub era: StoreEra,
    /// The offset.
    pub offset: u64,
}

impl From<LogPosition> for EntryPosition {
    fn from(position: LogPosition) -> Self {
        Self { era: position.era, offset: position.offset }
    }
}

/// The newest records of a topic.
#[derive(Debug)]
pub struct NewestRecords {
    /// The records with their offsets.
    pub records: Vec<(KeyedRecord, u64)>,
    /// The position from which to continue reading: the pages cover all records before it.
    pub end: LogPosition,
    /// Whether no record was left out because it cannot be read.
    pub is_complete: bool,
}

/// Returns the memory that a record takes.
fn size_bytes(record: &KeyedRecord) -> usize {
    size_of::<KeyedRecord>() + record.key.len() + record.value.as_ref().map_or(0, Vec::len)
}

/// A client of the platform's store.
#[derive(Debug)]
pub struct StoreClient {
    link: Link,
    node: Arc<Node>,
}

impl StoreClient {
    /// Creates a client that connects with its first call.
    pub fn new(node: &Arc<Node>) -> Self {
        Self { link: Link::new(node.settings.store.address), node: Arc::clone(node) }
    }

    /// Reads records from a position; waits up to `wait_ms` for the first.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails, the records have been deleted, or the store is in another
    /// era than the position.
    pub async fn read(
        &mut self,
        topic: &str,
        from: LogPosition,
        wait_ms: u64,
    ) -> Result<RecordBatch, StoreError> {
        let within = ANSWER_TIMEOUT + Duration::from_millis(wait_ms);
        let call = Call::get(wire::read_path(topic, from.offset, wait_ms), within);
        let (answer, era) = self.call("read", call).await?;
        if era != from.era {
            return Err(StoreError::EraChanged);
        }
        match answer.status() {
            StatusCode::OK => Ok(frames::decode_batch(answer.body())?),
            StatusCode::GONE => Err(StoreError::Deleted),
            status => Err(StoreError::Refused(status)),
        }
    }

    /// Lists the newest record of each key.
    ///
    /// # Errors
    ///
    /// Returns an error if the list is incomplete, because the call for one of its pages failed.
    pub async fn newest(&mut self, topic: &str) -> Result<NewestRecords, StoreError> {
        let mut records: Vec<(KeyedRecord, u64)> = Vec::new();
        let mut first_end: Option<LogPosition> = None;
        let mut bytes = 0;
        let mut is_complete = true;
        let mut after: Option<Vec<u8>> = None;
        loop {
            let call = Call::get(wire::newest_path(topic, after.as_deref()), ANSWER_TIMEOUT);
            let (answer, era) = self.call("newest", call).await?;
            if first_end.is_some_and(|end| end.era != era) {
                return Err(StoreError::EraChanged);
            }
            if !is_ok(&answer) {
                return Err(StoreError::Refused(answer.status()));
            }
            let page = wire::decode_newest(answer.body())?;
            // The pages are not a consistent snapshot. Reading from the first page's end misses no
            // record.
            let end = *first_end.get_or_insert(LogPosition { era, offset: page.end });
            is_complete &= page.unreadable == 0;
            for _ in 0..page.unreadable {
                self.node.metrics.count("unreadable_records", topic);
            }
            bytes += page.records.iter().map(|(record, _)| size_bytes(record)).sum::<usize>();
            if bytes > MAX_NEWEST_BYTES {
                return Err(CallError::TooLarge.into());
            }
            records.extend(page.records);
            // A store may render a key in a way that does not lead to the next page.
            let is_stuck = page.last_key.is_none() || page.last_key == after;
            if !page.has_more || is_stuck {
                return Ok(NewestRecords {
                    records,
                    end,
                    is_complete: is_complete && !page.has_more,
                });
            }
            after = page.last_key;
        }
    }

    /// Appends a record to a keyed topic; with `at`, only if the partition ends at that
    /// position. Returns the era of the record beside its offsets.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails, or if `at` is of another era than the record. After
    /// [`StoreError::Unanswered`], [`StoreError::EraChanged`] or [`StoreError::Format`] the record
    /// may have been appended.
    pub async fn append(
        &mut self,
        topic: &str,
        key: &str,
        value: &[u8],
        at: Option<LogPosition>,
    ) -> Result<(Appended, StoreEra), StoreError> {
        self.append_all(topic, &[(key.to_owned(), value.to_vec())], at).await
    }

    /// Appends records as [`StoreClient::append`] does, all or none.
    ///
    /// # Errors
    ///
    /// Returns an error as [`StoreClient::append`] does.
    pub async fn append_all(
        &mut self,
        topic: &str,
        records: &[(String, Vec<u8>)],
        at: Option<LogPosition>,
    ) -> Result<(Appended, StoreEra), StoreError> {
        let mut body = Vec::new();
        for (key, value) in records {
            body.extend(frames::encode_keyed(key, value)?);
        }
        let call =
            Call::post(wire::append_path(topic, at.map(|at| at.offset)), body, ANSWER_TIMEOUT);
        let (answer, era) = self.call("append", call).await?;
        if at.is_some_and(|at| at.era != era) {
            return Err(StoreError::EraChanged);
        }
        match answer.status() {
            StatusCode::OK => Ok((wire::decode_appended(answer.body())?, era)),
            StatusCode::PRECONDITION_FAILED => Err(StoreError::Conflict),
            status => Err(StoreError::Refused(status)),
        }
    }

    /// Makes a call; returns the answer with the era in which it was given.
    async fn call(
        &mut self,
        kind: &str,
        call: Call,
    ) -> Result<(http::Response<bytes::Bytes>, StoreEra), StoreError> {
        self.node.metrics.count("store_calls", kind);
        let asked = self.node.eras().current();
        let answer = self.link.call(call).await?;
        let named = match answer.headers().get(STORE_ERA) {
            None => NamedEra::Missing,
            Some(value) => {
                let era = value.to_str().ok().and_then(|text| text.trim().parse().ok());
                era.map_or(NamedEra::Malformed, NamedEra::Era)
            }
        };
        let era = self.node.observe_answer_era(asked, named).ok_or(StoreError::EraChanged)?;
        Ok((answer, era))
    }
}
