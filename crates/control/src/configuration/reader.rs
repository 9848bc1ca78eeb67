//! Reading the configuration streams: from nothing, onwards, and after a gap.

use super::ledger::{ConfigLedger, Verdict};
use super::record::{CONFIGURATION_STREAM, ConfigSnapshot, SNAPSHOT_STREAM};
use protocol::ids::LogOffset;

/// Says what to read next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReadRequest {
    /// The stream.
    pub stream: &'static str,
    /// The first offset wanted.
    pub from: LogOffset,
}

/// Holds one record of a page.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PageRecord {
    /// The record's place in its stream.
    pub offset: LogOffset,
    /// The record's text.
    pub value: String,
}

/// Holds the log's answer to a [`ReadRequest`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StreamPage {
    /// The oldest offset that is still retained.
    pub first_retained: LogOffset,
    /// The offset that the next appended record will get.
    pub end: LogOffset,
    /// The records from the wanted offset on, oldest first.
    pub records: Vec<PageRecord>,
}

/// Pairs a record's offset with the verdict on it.
#[derive(Clone, Debug, PartialEq)]
pub struct JudgedRecord {
    /// The record's place in the configuration stream.
    pub offset: LogOffset,
    /// What became of it.
    pub verdict: Verdict,
}

/// Reads snapshots first and then every record after the best of them.
#[derive(Clone, Debug, Default)]
pub struct ConfigReader {
    phase: Phase,
    best: Option<ConfigSnapshot>,
    ledger: Option<ConfigLedger>,
    gap_from: Option<LogOffset>,
    caught_up: bool,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    Snapshots(LogOffset),
    Records(LogOffset),
}

impl Default for Phase {
    fn default() -> Self {
        Self::Snapshots(LogOffset::default())
    }
}

impl ConfigReader {
    /// Creates a reader that has read nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns what to read next.
    pub fn next_read(&self) -> ReadRequest {
        match self.phase {
            Phase::Snapshots(from) => ReadRequest { stream: SNAPSHOT_STREAM, from },
            Phase::Records(from) => ReadRequest { stream: CONFIGURATION_STREAM, from },
        }
    }

    /// Returns the ledger if no record before its place can have been missed.
    pub fn ledger(&self) -> Option<&ConfigLedger> {
        self.ledger.as_ref()
    }

    /// Returns whether all records that the log had at the last read are judged.
    pub fn is_caught_up(&self) -> bool {
        self.caught_up
    }

    /// Returns the oldest retained offset if records before it are gone and no snapshot helps.
    pub fn gap_from(&self) -> Option<LogOffset> {
        self.gap_from
    }

    /// Takes in the answer to [`ConfigReader::next_read`]; returns the verdicts on its records.
    pub fn take_page(&mut self, order: ReadRequest, page: &StreamPage) -> Vec<JudgedRecord> {
        if order != self.next_read() {
            return Vec::new();
        }
        match self.phase {
            Phase::Snapshots(from) => {
                self.take_snapshots(from, page);
                Vec::new()
            }
            Phase::Records(from) => self.take_records(from, page),
        }
    }

    fn take_snapshots(&mut self, from: LogOffset, page: &StreamPage) {
        for record in &page.records {
            self.consider(&record.value);
        }
        let next = page.records.last().map_or(from, |record| after(record.offset));
        let next = next.max(page.first_retained);
        self.phase = if next < page.end {
            Phase::Snapshots(next)
        } else {
            Phase::Records(self.best.as_ref().map_or(LogOffset::default(), |best| best.as_of))
        };
    }

    /// Keeps a snapshot if it covers more records than the best so far.
    fn consider(&mut self, value: &str) {
        let Ok(snapshot) = serde_json::from_str::<ConfigSnapshot>(value) else {
            return;
        };
        let better = self.best.as_ref().is_none_or(|best| snapshot.as_of > best.as_of);
        if better && settings::parse_services_text(&snapshot.text).is_ok() {
            self.best = Some(snapshot);
        }
    }

    fn take_records(&mut self, from: LogOffset, page: &StreamPage) -> Vec<JudgedRecord> {
        if page.first_retained > from {
            self.start_again(page.first_retained);
            return Vec::new();
        }
        let Some(mut ledger) = self.ledger.take().or_else(|| self.start_ledger()) else {
            self.start_again(page.first_retained);
            return Vec::new();
        };
        let mut judged = Vec::new();
        for record in &page.records {
            if record.offset != ledger.next() {
                self.start_again(page.first_retained);
                return judged;
            }
            let verdict = ledger.apply(record.offset, &record.value);
            judged.push(JudgedRecord { offset: record.offset, verdict });
        }
        self.phase = Phase::Records(ledger.next());
        self.caught_up = ledger.next() >= page.end;
        self.gap_from = None;
        self.ledger = Some(ledger);
        judged
    }

    fn start_ledger(&self) -> Option<ConfigLedger> {
        match &self.best {
            Some(best) => ConfigLedger::from_snapshot(best).ok(),
            None => Some(ConfigLedger::new()),
        }
    }

    /// Reads all snapshots again, since records after the last known place are gone.
    fn start_again(&mut self, first_retained: LogOffset) {
        *self = Self { gap_from: Some(first_retained), ..Self::default() };
    }
}

const fn after(offset: LogOffset) -> LogOffset {
    LogOffset::new(offset.value() + 1)
}
