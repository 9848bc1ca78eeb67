//! Reads the stream in order and tracks since when it was read without a gap.

use crate::record::{Record, decode};
use protocol::ids::LogOffset;

/// One page of the stream.
#[derive(Clone, Debug, Default)]
pub struct StreamPage {
    /// The oldest retained offset.
    pub first_retained: LogOffset,
    /// The records, oldest first.
    pub records: Vec<StreamRecord>,
}

/// One log record.
#[derive(Clone, Debug)]
pub struct StreamRecord {
    /// The record's offset in the stream.
    pub offset: LogOffset,
    /// When the log stored the record, by the log's clock.
    pub appended_at_ms: u64,
    /// The record's value: a JSON array of order records.
    pub value: String,
}

/// The order records of one log record.
#[derive(Clone, Debug)]
pub struct Entry {
    /// When the log stored the records, or the latest such time read earlier, if that is later.
    pub appended_at_ms: u64,
    /// The time, by the log's clock, since which the reader has missed no record.
    pub covered_from_ms: u64,
    /// The records.
    pub records: Vec<Record>,
}

/// Tracks the position in the stream and the coverage.
#[derive(Clone, Copy, Debug, Default)]
pub struct Follower {
    next: LogOffset,
    covered_from_ms: Option<u64>,
    log_time_ms: u64,
}

impl Follower {
    /// Creates a follower that starts at the beginning of the stream.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the next offset to read.
    pub const fn next(&self) -> LogOffset {
        self.next
    }

    /// Returns the time since which no record was missed; `None` before the first record or after a
    /// gap.
    pub const fn covered_from_ms(&self) -> Option<u64> {
        self.covered_from_ms
    }

    /// Accepts a page and returns those of its entries that were not read before.
    pub fn accept(&mut self, page: &StreamPage) -> Vec<Entry> {
        self.update_start(page.first_retained);
        page.records.iter().filter_map(|record| self.accept_record(record)).collect()
    }

    fn update_start(&mut self, first_retained: LogOffset) {
        if first_retained > self.next {
            self.next = first_retained;
            self.covered_from_ms = None;
        }
        if self.next.value() == 0 {
            self.covered_from_ms = Some(0);
        }
    }

    fn accept_record(&mut self, record: &StreamRecord) -> Option<Entry> {
        if record.offset < self.next {
            return None;
        }
        if record.offset > self.next {
            self.covered_from_ms = None;
        }
        self.next = LogOffset::new(record.offset.value() + 1);
        let covered_from_ms = *self.covered_from_ms.get_or_insert(record.appended_at_ms);
        let records = decode(&record.value).unwrap_or_else(|error| {
            log::warn!("skipping record {} of the orders stream: {error}", record.offset);
            Vec::new()
        });
        // If the log's clock goes back, a key that was already expired must not become valid again.
        self.log_time_ms = self.log_time_ms.max(record.appended_at_ms);
        Some(Entry { appended_at_ms: self.log_time_ms, covered_from_ms, records })
    }
}
