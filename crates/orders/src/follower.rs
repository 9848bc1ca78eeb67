//! Reading the stream in order, and knowing which time was covered without a gap.

use crate::record::{Record, decode};
use protocol::ids::LogOffset;

/// Holds one page of the stream.
#[derive(Clone, Debug, Default)]
pub struct StreamPage {
    /// The oldest offset that is still retained.
    pub first_retained: LogOffset,
    /// The records, oldest first.
    pub records: Vec<StreamRecord>,
}

/// Holds one log record.
#[derive(Clone, Debug)]
pub struct StreamRecord {
    /// The record's place.
    pub offset: LogOffset,
    /// When the log took it, by the log's clock.
    pub appended_at_ms: u64,
    /// The record's text: an array of order records.
    pub value: String,
}

/// Holds the order records of one log record.
#[derive(Clone, Debug)]
pub struct Entry {
    /// When the log took them, or the latest such time read before.
    pub appended_at_ms: u64,
    /// Since when, by the log's clock, the reader has missed nothing.
    pub covered_from_ms: u64,
    /// The records.
    pub records: Vec<Record>,
}

/// Follows the stream.
#[derive(Clone, Copy, Debug, Default)]
pub struct Follower {
    next: LogOffset,
    covered_from_ms: Option<u64>,
    log_time_ms: u64,
}

impl Follower {
    /// Creates a follower that has read nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the offset to read from.
    pub const fn next(&self) -> LogOffset {
        self.next
    }

    /// Returns since when nothing was missed; `None` before the first record or after a gap.
    pub const fn covered_from_ms(&self) -> Option<u64> {
        self.covered_from_ms
    }

    /// Accepts a page and returns the entries in it that were not read before.
    pub fn accept(&mut self, page: &StreamPage) -> Vec<Entry> {
        self.note_start(page.first_retained);
        page.records.iter().filter_map(|record| self.accept_record(record)).collect()
    }

    fn note_start(&mut self, first_retained: LogOffset) {
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
        // A log's clock that went back must not revive a key that was forgotten.
        self.log_time_ms = self.log_time_ms.max(record.appended_at_ms);
        Some(Entry { appended_at_ms: self.log_time_ms, covered_from_ms, records })
    }
}
