//! The records of the log's streams.

use super::LogConfig;
use clients::wire::log::{LogRecord, RecordPage};
use protocol::ids::LogOffset;
use std::collections::{HashMap, VecDeque};

/// All streams, by name.
#[derive(Default)]
pub(super) struct Streams {
    by_name: HashMap<String, Stream>,
}

#[derive(Default)]
struct Stream {
    first_retained: u64,
    records: VecDeque<LogRecord>,
}

impl Streams {
    /// Appends a record and returns its offset.
    pub(super) fn append(
        &mut self,
        config: &LogConfig,
        name: &str,
        value: String,
        now_ms: u64,
    ) -> LogOffset {
        let stream = self.by_name.entry(name.to_owned()).or_default();
        let offset = LogOffset::new(stream.end());
        stream.records.push_back(LogRecord { offset, appended_at_ms: now_ms, value });
        stream.expire(config, now_ms);
        offset
    }

    /// Returns up to `limit` retained records from offset `from` on.
    pub(super) fn read(
        &mut self,
        config: &LogConfig,
        name: &str,
        from: LogOffset,
        limit: usize,
        now_ms: u64,
    ) -> RecordPage {
        let Some(stream) = self.by_name.get_mut(name) else {
            return RecordPage::default();
        };
        stream.expire(config, now_ms);
        let skipped = usize::try_from(from.value().saturating_sub(stream.first_retained));
        let records = stream.records.iter().skip(skipped.unwrap_or(usize::MAX)).take(limit);
        RecordPage {
            first_retained: LogOffset::new(stream.first_retained),
            end: LogOffset::new(stream.end()),
            records: records.cloned().collect(),
        }
    }

    /// Returns the offset of the next record.
    pub(super) fn end(&self, name: &str) -> u64 {
        self.by_name.get(name).map_or(0, Stream::end)
    }
}

impl Stream {
    fn end(&self) -> u64 {
        self.first_retained + self.records.len() as u64
    }

    fn expire(&mut self, config: &LogConfig, now_ms: u64) {
        while self.records.front().is_some_and(|oldest| {
            self.records.len() > config.retained_records
                || oldest.appended_at_ms.saturating_add(config.retained_ms) <= now_ms
        }) {
            self.records.pop_front();
            self.first_retained += 1;
        }
    }
}
