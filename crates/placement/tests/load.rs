//! Tests of load estimates between reports.

mod common;

use common::host;
use placement::load::{
    DEFAULT_PREFILL_TOKENS_PER_S, LoadTable, REPORT_MAX_AGE_MS, ReportedLoad, SentAttempt,
};
use protocol::ids::{AttemptId, Incarnation};

const AS_OF_MS: u64 = 50_000;
const RATE_TOKENS_PER_S: u64 = 10_000;

fn report(queued_prompt_tokens: u64) -> ReportedLoad {
    ReportedLoad {
        incarnation: Incarnation::new(1),
        running: 2,
        queued: 1,
        queued_prompt_tokens,
        prefill_tokens_per_s: RATE_TOKENS_PER_S,
        as_of_ms: AS_OF_MS,
    }
}

fn attempt(number: u32) -> AttemptId {
    format!("attempt-{number}").parse().unwrap()
}

fn sent(number: u32, tokens: u64, sent_at_ms: u64) -> SentAttempt {
    SentAttempt {
        attempt_id: attempt(number),
        recomputed_tokens: tokens,
        expected_first_token_ms: 100,
        sent_at_ms,
    }
}

fn queue_ms(table: &LoadTable, now_ms: u64) -> f64 {
    table.estimate(&host("server"), now_ms).queue_ms
}

#[test]
fn an_unknown_server_counts_as_idle() {
    let estimate = LoadTable::new().estimate(&host("server"), AS_OF_MS);
    assert_eq!(estimate.queue_ms, 0.0);
    assert_eq!(estimate.prefill_tokens_per_s, DEFAULT_PREFILL_TOKENS_PER_S);
    assert!(!estimate.reported);
}

#[test]
fn a_reported_backlog_drains_with_time() {
    let table = LoadTable::new();
    table.report(&host("server"), report(5_000));
    assert_eq!(queue_ms(&table, AS_OF_MS), 500.0);
    assert_eq!(queue_ms(&table, AS_OF_MS + 200), 300.0);
    assert_eq!(queue_ms(&table, AS_OF_MS + 2_000), 0.0);
}

#[test]
fn attempts_since_the_report_count_and_idle_time_does_not_accumulate() {
    let table = LoadTable::new();
    table.report(&host("server"), report(1_000));
    table.sent(&host("server"), sent(1, 4_000, AS_OF_MS + 500));
    assert_eq!(queue_ms(&table, AS_OF_MS + 600), 300.0);
    assert_eq!(table.estimate(&host("server"), AS_OF_MS + 600).attempts, 4);
}

#[test]
fn attempts_before_the_report_are_not_counted_twice() {
    let table = LoadTable::new();
    table.sent(&host("server"), sent(1, 4_000, AS_OF_MS - 10));
    table.report(&host("server"), report(4_000));
    assert_eq!(queue_ms(&table, AS_OF_MS), 400.0);
    assert_eq!(table.estimate(&host("server"), AS_OF_MS).attempts, 3);
}

#[test]
fn attempts_that_finished_or_got_a_first_token_leave_the_queue() {
    let table = LoadTable::new();
    table.report(&host("server"), report(0));
    table.sent(&host("server"), sent(1, 4_000, AS_OF_MS + 1));
    table.sent(&host("server"), sent(2, 4_000, AS_OF_MS + 1));
    table.finished(&host("server"), &attempt(1));
    assert_eq!(queue_ms(&table, AS_OF_MS + 1), 400.0);
    table.first_token(&host("server"), &attempt(2), AS_OF_MS + 101);
    assert_eq!(queue_ms(&table, AS_OF_MS + 101), 0.0);
}

#[test]
fn late_first_tokens_raise_the_queue_estimate_for_a_while() {
    let table = LoadTable::new();
    table.report(&host("server"), report(0));
    table.sent(&host("server"), sent(1, 0, AS_OF_MS));
    table.first_token(&host("server"), &attempt(1), AS_OF_MS + 1_100);
    assert_eq!(queue_ms(&table, AS_OF_MS + 1_100), 200.0);
    assert_eq!(queue_ms(&table, AS_OF_MS + 6_100), 100.0);
}

#[test]
fn reports_of_an_older_time_or_incarnation_are_ignored() {
    let table = LoadTable::new();
    table.report(&host("server"), report(5_000));
    table.report(&host("server"), ReportedLoad { as_of_ms: AS_OF_MS - 1, ..report(0) });
    let earlier = Incarnation::new(0);
    table.report(&host("server"), ReportedLoad { incarnation: earlier, ..report(0) });
    assert_eq!(queue_ms(&table, AS_OF_MS), 500.0);
}

#[test]
fn a_new_incarnation_starts_without_the_previous_load() {
    let table = LoadTable::new();
    table.report(&host("server"), report(5_000));
    table.sent(&host("server"), sent(1, 9_000, AS_OF_MS + 1));
    let next = ReportedLoad {
        incarnation: Incarnation::new(2),
        running: 0,
        queued: 0,
        as_of_ms: AS_OF_MS + 500,
        ..report(0)
    };
    table.report(&host("server"), next);
    let estimate = table.estimate(&host("server"), AS_OF_MS + 500);
    assert_eq!((estimate.queue_ms, estimate.attempts), (0.0, 0));
}

#[test]
fn an_expired_report_is_ignored_except_for_its_rate() {
    let table = LoadTable::new();
    table.report(&host("server"), ReportedLoad { prefill_tokens_per_s: 500, ..report(1_000_000) });
    let estimate = table.estimate(&host("server"), AS_OF_MS + REPORT_MAX_AGE_MS + 1);
    assert_eq!((estimate.queue_ms, estimate.reported), (0.0, false));
    assert_eq!(estimate.prefill_tokens_per_s, 500);
}

#[test]
fn a_removed_server_counts_as_unknown() {
    let table = LoadTable::new();
    table.report(&host("server"), report(5_000));
    table.remove(&host("server"));
    assert_eq!(queue_ms(&table, AS_OF_MS), 0.0);
}
