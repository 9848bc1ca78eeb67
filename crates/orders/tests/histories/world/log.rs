//! A model of the platform's log with retention, outages and faulty appends.

use super::append_result;
use orders::committer::AppendResult;
use orders::follower::{StreamPage, StreamRecord};
use protocol::ids::LogOffset;
use std::collections::VecDeque;

/// What happens to one append.
#[derive(Clone, Copy, Debug)]
pub enum Fate {
    Stored,
    StoredUnanswered,
    Duplicated,
    Delayed(u64),
    Dropped,
    Refused,
}

impl Fate {
    pub fn from_byte(byte: u8) -> Self {
        match byte % 10 {
            0..4 => Self::Stored,
            4 => Self::StoredUnanswered,
            5 => Self::Duplicated,
            6 | 7 => Self::Delayed(u64::from(byte) * 60),
            8 => Self::Dropped,
            _ => Self::Refused,
        }
    }
}

#[derive(Default)]
pub struct ModelLog {
    pub down: bool,
    records: VecDeque<StreamRecord>,
    delayed: Vec<(u64, String)>,
    next: u64,
}

impl ModelLog {
    /// Stores the delayed appends that are due and removes records past the retention.
    pub fn advance(&mut self, now_ms: u64, retention_ms: u64) {
        let (due, delayed): (Vec<_>, Vec<_>) = std::mem::take(&mut self.delayed)
            .into_iter()
            .partition(|(due_ms, _)| *due_ms <= now_ms);
        self.delayed = delayed;
        due.into_iter().for_each(|(_, value)| self.store(value, now_ms));
        let is_expired = |record: &StreamRecord| record.appended_at_ms + retention_ms < now_ms;
        while self.records.front().is_some_and(is_expired) {
            self.records.pop_front();
        }
    }

    pub fn append(&mut self, value: String, fate: Fate, now_ms: u64) -> AppendResult {
        if self.down {
            return AppendResult::NotSent;
        }
        match fate {
            Fate::Stored | Fate::StoredUnanswered => self.store(value, now_ms),
            Fate::Duplicated => {
                self.store(value.clone(), now_ms);
                self.delayed.push((now_ms + 3_000, value));
            }
            Fate::Delayed(delay_ms) => self.delayed.push((now_ms + delay_ms, value)),
            Fate::Dropped | Fate::Refused => {}
        }
        append_result(fate)
    }

    pub fn read(&self, from: LogOffset) -> Option<StreamPage> {
        if self.down {
            return None;
        }
        let first_retained = self.records.front().map_or(self.next, |first| first.offset.value());
        let requested = self.records.iter().filter(|record| record.offset >= from);
        Some(StreamPage {
            first_retained: LogOffset::new(first_retained),
            records: requested.take(4).cloned().collect(),
        })
    }

    pub fn has_delayed(&self) -> bool {
        !self.delayed.is_empty()
    }

    pub fn end(&self) -> LogOffset {
        LogOffset::new(self.next)
    }

    fn store(&mut self, value: String, now_ms: u64) {
        let offset = LogOffset::new(self.next);
        self.next += 1;
        self.records.push_back(StreamRecord { offset, appended_at_ms: now_ms, value });
    }
}
