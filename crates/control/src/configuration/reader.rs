//! Reads the configuration streams: on start, continuously and after a gap.

use super::ledger::{ConfigLedger, Verdict};
use super::record::{CONFIGURATION_STREAM, ConfigSnapshot, SNAPSHOT_STREAM};
use protocol::ids::LogOffset;

/// A request to read from a stream of the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReadRequest {
    /// The stream.
    pub stream: &'static str,
    /// The first offset to read.
    pub from: LogOffset,
}

/// One record of a page.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PageRecord {
    /// The record's offset in its stream.
    pub offset: LogOffset,
    /// The record's value.
    pub value: String,
}

/// The log's answer to a [`ReadRequest`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StreamPage {
    /// The oldest retained offset.
    pub first_retained: LogOffset,
    /// The offset that the next appended record will get.
    pub end: LogOffset,
    /// The records from the requested offset on, oldest first.
    pub records: Vec<PageRecord>,
}

/// A record's offset and the verdict on it.
#[derive(Clone, Debug, PartialEq)]
pub struct JudgedRecord {
    /// The record's offset in the configuration stream.
    pub offset: LogOffset,
    /// The verdict.
    pub verdict: Verdict,
}

/// Reads all snapshots, then every record after the snapshot that covers most records.
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
    /// Creates a reader that starts with the snapshots.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the next read request.
    pub fn next_read(&self) -> ReadRequest {
        match self.phase {
            Phase::Snapshots(from) => ReadRequest { stream: SNAPSHOT_STREAM, from },
            Phase::Records(from) => ReadRequest { stream: CONFIGURATION_STREAM, from },
        }
    }

    /// Returns the ledger, provided that no record before its offset was missed.
    pub fn ledger(&self) -> Option<&ConfigLedger> {
        self.ledger.as_ref()
    }

    /// Returns whether the ledger has applied all records that the log held at the last read.
    pub fn is_caught_up(&self) -> bool {
        self.caught_up
    }

    /// Returns the oldest retained offset if records before it have expired and no snapshot covers
    /// them.
    pub fn gap_from(&self) -> Option<LogOffset> {
        self.gap_from
    }

    /// Applies the answer to [`ConfigReader::next_read`]; returns the verdicts on its records.
    pub fn take_page(&mut self, request: ReadRequest, page: &StreamPage) -> Vec<JudgedRecord> {
        if request != self.next_read() {
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
            self.offer_snapshot(&record.value);
        }
        let next = page.records.last().map_or(from, |record| offset_after(record.offset));
        let next = next.max(page.first_retained);
        self.phase = if next < page.end {
            Phase::Snapshots(next)
        } else {
            Phase::Records(self.best.as_ref().map_or(LogOffset::default(), |best| best.as_of))
        };
    }

    /// Retains a valid snapshot if it covers more records than the best one so far.
    fn offer_snapshot(&mut self, value: &str) {
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
            self.restart(page.first_retained);
            return Vec::new();
        }
        let Some(mut ledger) = self.ledger.take().or_else(|| self.start_ledger()) else {
            self.restart(page.first_retained);
            return Vec::new();
        };
        let mut judged = Vec::new();
        for record in &page.records {
            if record.offset != ledger.next() {
                self.restart(page.first_retained);
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

    /// Restarts with the snapshots, because records after the last applied one are missing.
    fn restart(&mut self, first_retained: LogOffset) {
        *self = Self { gap_from: Some(first_retained), ..Self::default() };
    }
}

const fn offset_after(offset: LogOffset) -> LogOffset {
    LogOffset::new(offset.value() + 1)
}
