//! A model of the platform's log with retention, outages and appends of every fate.

use super::seen_by_caller;
use orders::committer::AppendResult;
use orders::follower::{StreamPage, StreamRecord};
use protocol::ids::LogOffset;
use std::collections::VecDeque;

/// Says what becomes of one append.
#[derive(Clone, Copy, Debug)]
pub enum Fate {
    Stored,
    StoredUnanswered,
    Doubled,
    Late(u64),
    Vanished,
    Refused,
}

impl Fate {
    pub fn from_byte(byte: u8) -> Self {
        match byte % 10 {
            0..4 => Self::Stored,
            4 => Self::StoredUnanswered,
            5 => Self::Doubled,
            6 | 7 => Self::Late(u64::from(byte) * 60),
            8 => Self::Vanished,
            _ => Self::Refused,
        }
    }
}

#[derive(Default)]
pub struct ModelLog {
    pub down: bool,
    records: VecDeque<StreamRecord>,
    late: Vec<(u64, String)>,
    next: u64,
}

impl ModelLog {
    /// Takes late appends that are due and drops what is past the retention.
    pub fn advance(&mut self, now_ms: u64, retention_ms: u64) {
        let (due, late): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.late).into_iter().partition(|(due_ms, _)| *due_ms <= now_ms);
        self.late = late;
        due.into_iter().for_each(|(_, value)| self.store(value, now_ms));
        let is_old = |record: &StreamRecord| record.appended_at_ms + retention_ms < now_ms;
        while self.records.front().is_some_and(is_old) {
            self.records.pop_front();
        }
    }

    pub fn append(&mut self, value: String, fate: Fate, now_ms: u64) -> AppendResult {
        if self.down {
            return AppendResult::NotSent;
        }
        match fate {
            Fate::Stored | Fate::StoredUnanswered => self.store(value, now_ms),
            Fate::Doubled => {
                self.store(value.clone(), now_ms);
                self.late.push((now_ms + 3_000, value));
            }
            Fate::Late(delay_ms) => self.late.push((now_ms + delay_ms, value)),
            Fate::Vanished | Fate::Refused => {}
        }
        seen_by_caller(fate)
    }

    pub fn read(&self, from: LogOffset) -> Option<StreamPage> {
        if self.down {
            return None;
        }
        let first_retained = self.records.front().map_or(self.next, |first| first.offset.value());
        let wanted = self.records.iter().filter(|record| record.offset >= from);
        Some(StreamPage {
            first_retained: LogOffset::new(first_retained),
            records: wanted.take(4).cloned().collect(),
        })
    }

    pub fn has_late(&self) -> bool {
        !self.late.is_empty()
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
