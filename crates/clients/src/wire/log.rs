//! Bodies of the calls to the platform's append-only log.
//!
//! | call | answer |
//! |---|---|
//! | `POST /streams/{stream}/records` with the record as the body | [`Appended`] |
//! | `GET /streams/{stream}/records?from=N&limit=M&wait_ms=T` | [`RecordPage`]; waits up to `wait_ms` if there is no record yet |

use protocol::ids::LogOffset;
use serde::{Deserialize, Serialize};

/// Answers an append.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Appended {
    /// The new record's offset in its stream.
    pub offset: LogOffset,
}

/// Consecutive records of a stream.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct RecordPage {
    /// The oldest offset that is still retained.
    pub first_retained: LogOffset,
    /// The offset that the next appended record will get.
    pub end: LogOffset,
    /// The records, oldest first; empty if there are none from the requested offset on.
    pub records: Vec<LogRecord>,
}

/// One record.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LogRecord {
    /// The record's offset in its stream.
    pub offset: LogOffset,
    /// When the record was appended, by the log's clock, in milliseconds since the epoch.
    pub appended_at_ms: u64,
    /// The record's text.
    pub value: String,
}
