//! Batches records into appends to the log, under a rate limit.

use crate::record::Record;
use protocol::ids::{AttemptId, FailureDomain, HostName};
use std::collections::{HashSet, VecDeque};

/// Limits the appends of one committer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CommitLimits {
    /// The maximum rate of appends, per second.
    pub appends_per_s: f64,
    /// The maximum number of records in one append.
    pub batch_records: usize,
    /// The maximum size of the answers in one append, in bytes; a larger answer is appended alone.
    pub batch_answer_bytes: usize,
    /// The delay before the next append after a failed one, in milliseconds.
    pub retry_after_ms: u64,
    /// The time without new records in the stream after which a mark is appended, in milliseconds.
    pub mark_after_ms: u64,
}

impl Default for CommitLimits {
    fn default() -> Self {
        Self {
            appends_per_s: 40.0,
            batch_records: 256,
            batch_answer_bytes: 256 << 10,
            retry_after_ms: 250,
            mark_after_ms: 5 * 60_000,
        }
    }
}

/// The result of an append.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AppendResult {
    /// The log stored the records and returned an offset.
    Stored,
    /// Nothing was sent, because the connection was refused.
    NotSent,
    /// The append was sent but got no answer. It may still take effect at any later time.
    Unconfirmed,
}

/// Batches records into appends under a rate limit, with at most one append in flight.
#[derive(Debug)]
pub struct Committer {
    limits: CommitLimits,
    queue: VecDeque<Queued>,
    in_flight: Vec<Queued>,
    next_append_at_ms: f64,
    last_activity_at_ms: u64,
    up: bool,
}

#[derive(Debug)]
struct Queued {
    record: Record,
    /// Whether an earlier append may have stored the record.
    maybe_stored: bool,
}

impl Committer {
    /// Creates a committer without records.
    pub fn new(limits: CommitLimits, now_ms: u64) -> Self {
        Self {
            limits,
            queue: VecDeque::new(),
            in_flight: Vec::new(),
            next_append_at_ms: 0.0,
            last_activity_at_ms: now_ms,
            up: true,
        }
    }

    /// Sets the rate limit, for example when the number of committers changes.
    pub fn set_appends_per_s(&mut self, appends_per_s: f64) {
        self.limits.appends_per_s = appends_per_s;
    }

    /// Returns whether the last append or read succeeded.
    pub const fn is_up(&self) -> bool {
        self.up
    }

    /// Records whether a read of the stream succeeded.
    pub fn record_read_result(&mut self, succeeded: bool) {
        self.up = succeeded;
    }

    /// Returns the number of records that are not confirmed to be in the log.
    pub fn pending(&self) -> usize {
        self.queue.len() + self.in_flight.len()
    }

    /// Queues a record.
    ///
    /// A release removes its intent from the queue. If that intent was queued and cannot have
    /// reached the log, the release is dropped too.
    pub fn push(&mut self, record: Record) {
        if let Record::Release(release) = &record
            && self.withdraw(&release.attempt)
        {
            return;
        }
        self.queue.push_back(Queued { record, maybe_stored: false });
    }

    /// Queues a mark, unless one is already queued or in flight.
    pub fn push_mark(&mut self) {
        let unconfirmed = self.queue.iter().chain(&self.in_flight);
        if !unconfirmed.into_iter().any(|queued| queued.record == Record::Mark) {
            self.push(Record::Mark);
        }
    }

    /// Returns the records of the next append, if one is due.
    pub fn next_batch(&mut self, now_ms: u64) -> Option<Vec<Record>> {
        if !self.in_flight.is_empty() || (now_ms as f64) < self.next_append_at_ms {
            return None;
        }
        self.mark_if_idle(now_ms);
        let count = self.batch_length();
        if count == 0 {
            return None;
        }
        self.in_flight = self.queue.drain(..count).collect();
        let interval_ms = 1_000.0 / self.limits.appends_per_s;
        self.next_append_at_ms =
            self.next_append_at_ms.max(now_ms as f64 - interval_ms) + interval_ms;
        Some(self.in_flight.iter().map(|queued| queued.record.clone()).collect())
    }

    /// Returns the time until the next append may be due; `None` if the queue is empty.
    pub fn due_in_ms(&self, now_ms: u64) -> Option<u64> {
        let delay_ms = (self.next_append_at_ms - now_ms as f64).max(0.0).ceil();
        (!self.queue.is_empty()).then_some(delay_ms as u64)
    }

    /// Handles the result of the append in flight.
    ///
    /// Unless the log stored them, the records return to the queue. Records are idempotent, so
    /// appending one twice is harmless.
    pub fn appended(&mut self, result: AppendResult, now_ms: u64) {
        self.up = result == AppendResult::Stored;
        let batch = std::mem::take(&mut self.in_flight);
        if self.up {
            return;
        }
        for mut queued in batch.into_iter().rev() {
            queued.maybe_stored |= result == AppendResult::Unconfirmed;
            self.queue.push_front(queued);
        }
        let retry_at_ms = now_ms.saturating_add(self.limits.retry_after_ms) as f64;
        self.next_append_at_ms = self.next_append_at_ms.max(retry_at_ms);
    }

    /// Removes queued records that were read back from the stream.
    pub fn confirm(&mut self, read_back: &[Record], now_ms: u64) {
        if read_back.is_empty() {
            return;
        }
        self.last_activity_at_ms = now_ms;
        let confirmed: HashSet<(RecordKind, &AttemptId)> =
            read_back.iter().filter_map(record_id).collect();
        self.queue.retain(|queued| {
            !queued.maybe_stored
                || record_id(&queued.record).is_none_or(|id| !confirmed.contains(&id))
        });
    }

    /// Returns the number of queued records that fit into one append.
    fn batch_length(&self) -> usize {
        let mut answer_bytes = 0;
        let fits = |queued: &&Queued| {
            answer_bytes += queued.record.answer_bytes();
            answer_bytes <= self.limits.batch_answer_bytes
        };
        let fitting_count =
            self.queue.iter().take(self.limits.batch_records).take_while(fits).count();
        fitting_count.max(1).min(self.queue.len())
    }

    /// Removes an attempt's intent from the queue; returns whether it was queued and never sent.
    fn withdraw(&mut self, attempt: &AttemptId) -> bool {
        let is_intent = |queued: &Queued| match &queued.record {
            Record::Intent(intent) => intent.attempt == *attempt,
            _ => false,
        };
        let index = self.queue.iter().position(is_intent);
        let intent = index.and_then(|index| self.queue.remove(index));
        intent.is_some_and(|intent| !intent.maybe_stored)
    }

    fn mark_if_idle(&mut self, now_ms: u64) {
        let idle_ms = now_ms.saturating_sub(self.last_activity_at_ms);
        if self.queue.is_empty() && idle_ms >= self.limits.mark_after_ms {
            self.last_activity_at_ms = now_ms;
            self.push_mark();
        }
    }
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum RecordKind {
    Intent,
    Outcome,
    Release,
}

fn record_id(record: &Record) -> Option<(RecordKind, &AttemptId)> {
    let kind = match record {
        Record::Intent(_) => RecordKind::Intent,
        Record::Outcome(_) => RecordKind::Outcome,
        Record::Release(_) => RecordKind::Release,
        Record::Mark => return None,
    };
    record.attempt().map(|attempt| (kind, attempt))
}

/// Returns the committer of a failure domain: the rendezvous winner among its live hosts.
///
/// While hosts disagree on the winner, the only cost is additional appends.
pub fn committer_host<'a>(
    domain: &FailureDomain,
    live: impl IntoIterator<Item = &'a HostName>,
) -> Option<&'a HostName> {
    live.into_iter().max_by_key(|host| {
        let text = format!("{domain}\n{host}");
        *blake3::hash(text.as_bytes()).as_bytes()
    })
}
