//! Load of one backend server: its last report, and the attempts and first tokens since.

use super::{LoadEstimate, ReportedLoad, SentAttempt};
use protocol::ids::AttemptId;
use std::collections::VecDeque;

/// The prefill rate assumed for a server without a report, in tokens per second.
pub const DEFAULT_PREFILL_TOKENS_PER_S: u64 = 10_000;
/// The maximum age of a report that an estimate uses, in milliseconds.
pub const REPORT_MAX_AGE_MS: u64 = 10_000;

/// The maximum age of an attempt whose end is not reported, in milliseconds.
const ATTEMPT_MAX_AGE_MS: u64 = 600_000;
/// The weight of one observation in the moving average of the correction.
const CORRECTION_WEIGHT: f64 = 0.2;
/// The half-life of the correction without new observations, in milliseconds.
const CORRECTION_HALF_LIFE_MS: f64 = 5_000.0;
const MS_PER_S: f64 = 1_000.0;

/// Holds the load state of one server.
#[derive(Debug, Default)]
pub(super) struct ServerLoad {
    report: Option<ReportedLoad>,
    attempts: VecDeque<Attempt>,
    correction: Correction,
}

#[derive(Debug)]
struct Attempt {
    sent: SentAttempt,
    got_first_token: bool,
}

impl ServerLoad {
    pub(super) fn report(&mut self, report: ReportedLoad) {
        let Some(last) = self.report else {
            self.report = Some(report);
            return;
        };
        if report.incarnation < last.incarnation {
            return;
        }
        if report.incarnation > last.incarnation {
            self.attempts.retain(|attempt| attempt.sent.sent_at_ms > report.as_of_ms);
            self.correction = Correction::default();
        } else if report.as_of_ms < last.as_of_ms {
            return;
        }
        self.report = Some(report);
    }

    pub(super) fn sent(&mut self, sent: SentAttempt) {
        let oldest_ms = sent.sent_at_ms.saturating_sub(ATTEMPT_MAX_AGE_MS);
        while self.attempts.front().is_some_and(|first| first.sent.sent_at_ms < oldest_ms) {
            self.attempts.pop_front();
        }
        self.attempts.push_back(Attempt { sent, got_first_token: false });
    }

    pub(super) fn first_token(&mut self, attempt_id: &AttemptId, now_ms: u64) {
        let Some(attempt) = self.attempts.iter_mut().find(|a| a.sent.attempt_id == *attempt_id)
        else {
            return;
        };
        if attempt.got_first_token {
            return;
        }
        attempt.got_first_token = true;
        let took_ms = now_ms.saturating_sub(attempt.sent.sent_at_ms) as f64;
        let late_ms = took_ms - attempt.sent.expected_first_token_ms as f64;
        self.correction.observe(late_ms, now_ms);
    }

    pub(super) fn finished(&mut self, attempt_id: &AttemptId) {
        self.attempts.retain(|attempt| attempt.sent.attempt_id != *attempt_id);
    }

    pub(super) fn estimate(&self, now_ms: u64) -> LoadEstimate {
        let report = self
            .report
            .filter(|report| now_ms.saturating_sub(report.as_of_ms) <= REPORT_MAX_AGE_MS);
        let rate = self.report.map_or(DEFAULT_PREFILL_TOKENS_PER_S, |r| r.prefill_tokens_per_s);
        let rate = rate.max(1);
        let backlog_ms = self.backlog_tokens(report, rate, now_ms) * MS_PER_S / rate as f64;
        LoadEstimate {
            queue_ms: (backlog_ms + self.correction.value_ms(now_ms)).max(0.0),
            prefill_tokens_per_s: rate,
            attempts: self.attempts(report),
            reported: report.is_some(),
        }
    }

    /// Computes the backlog from the report on: it drains at the server's prefill rate and grows by
    /// each later attempt without a first token.
    fn backlog_tokens(&self, report: Option<ReportedLoad>, rate: u64, now_ms: u64) -> f64 {
        let mut at_ms = report.map_or(0, |report| report.as_of_ms);
        let mut level = report.map_or(0.0, |report| report.queued_prompt_tokens as f64);
        let drained = |from_ms: u64, to_ms: u64| {
            to_ms.saturating_sub(from_ms) as f64 * rate as f64 / MS_PER_S
        };
        for sent in self.prefilling_since(at_ms) {
            level = (level - drained(at_ms, sent.sent_at_ms)).max(0.0);
            level += sent.recomputed_tokens as f64;
            at_ms = at_ms.max(sent.sent_at_ms);
        }
        (level - drained(at_ms, now_ms)).max(0.0)
    }

    fn prefilling_since(&self, at_ms: u64) -> impl Iterator<Item = &SentAttempt> {
        let attempts = self.attempts.iter().filter(|attempt| !attempt.got_first_token);
        attempts.map(|attempt| &attempt.sent).filter(move |sent| sent.sent_at_ms > at_ms)
    }

    fn attempts(&self, report: Option<ReportedLoad>) -> u32 {
        let Some(report) = report else {
            return self.attempts.len() as u32;
        };
        let since = self.attempts.iter().filter(|a| a.sent.sent_at_ms > report.as_of_ms).count();
        let reported = report.running + report.queued;
        (reported + since as u32).max(self.attempts.len() as u32)
    }
}

/// Tracks by how much one server's first tokens are later than expected, as a decaying average.
#[derive(Debug, Default)]
struct Correction {
    late_ms: f64,
    at_ms: u64,
}

impl Correction {
    fn observe(&mut self, late_ms: f64, now_ms: u64) {
        let before_ms = self.value_ms(now_ms);
        self.late_ms = before_ms + CORRECTION_WEIGHT * (late_ms - before_ms);
        self.at_ms = now_ms;
    }

    fn value_ms(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.at_ms) as f64;
        self.late_ms * (-age_ms / CORRECTION_HALF_LIFE_MS).exp2()
    }
}
