//! Batches, the rate limit and the handling of records whose append failed.

use orders::committer::{AppendResult, CommitLimits, Committer, committer_host};
use orders::key::{OrderDigest, OrderKey};
use orders::record::{Intent, OrderAnswer, Outcome, Owner, Record, Release};
use protocol::ids::{HostName, Incarnation};

const LIMITS: CommitLimits = CommitLimits {
    appends_per_s: 10.0,
    batch_records: 3,
    batch_answer_bytes: 100,
    retry_after_ms: 250,
    mark_after_ms: 60_000,
};

fn key() -> OrderKey {
    let key = "0000000f-4240-7000-8000-000000000001".parse().unwrap();
    OrderKey::new("org-a".parse().unwrap(), key)
}

fn intent(attempt: &str) -> Record {
    Record::Intent(Intent {
        key: key(),
        attempt: attempt.parse().unwrap(),
        service: "desk".parse().unwrap(),
        digest: OrderDigest::new("POST", "/orders", b"{}"),
        owner: Owner { host: "entry-1".parse().unwrap(), incarnation: Incarnation::new(7) },
    })
}

fn release(attempt: &str) -> Record {
    Record::Release(Release { key: key(), attempt: attempt.parse().unwrap() })
}

fn filled(count: usize) -> Committer {
    let mut committer = Committer::new(LIMITS, 0);
    (0..count).for_each(|index| committer.push(intent(&format!("a{index}"))));
    committer
}

#[test]
fn a_burst_is_appended_in_few_batches_within_the_rate_limit() {
    let mut committer = filled(8);
    let mut appends = Vec::new();
    for now_ms in 0..1_000 {
        if let Some(batch) = committer.next_batch(now_ms) {
            appends.push((now_ms, batch.len()));
            committer.appended(AppendResult::Stored, now_ms);
        }
    }
    assert_eq!(appends, [(0, 3), (100, 3), (200, 2)]);
}

#[test]
fn large_answers_are_appended_one_by_one() {
    let mut committer = Committer::new(LIMITS, 0);
    for (attempt, length) in [("a1", 60), ("a2", 500), ("a3", 60), ("a4", 40)] {
        let body = "x".repeat(length);
        let answer = OrderAnswer { status: 201, content_type: None, body };
        let attempt = attempt.parse().unwrap();
        committer.push(Record::Outcome(Outcome { key: key(), attempt, answer }));
    }
    let mut lengths = Vec::new();
    for now_ms in (0..1_000).step_by(100) {
        if let Some(batch) = committer.next_batch(now_ms) {
            lengths.push(batch.len());
            committer.appended(AppendResult::Stored, now_ms);
        }
    }
    assert_eq!(lengths, [1, 1, 2]);
}

#[test]
fn only_one_append_is_in_flight() {
    let mut committer = filled(8);
    assert!(committer.next_batch(0).is_some());
    assert_eq!(committer.next_batch(10_000), None);
}

#[test]
fn a_release_withdraws_an_intent_that_was_never_sent() {
    let mut committer = filled(1);
    committer.push(release("a0"));
    assert_eq!(committer.next_batch(0), None);

    let mut committer = filled(1);
    committer.next_batch(0);
    committer.appended(AppendResult::NotSent, 0);
    committer.push(release("a0"));
    assert_eq!(committer.next_batch(1_000), None);
}

#[test]
fn a_release_follows_an_intent_that_may_be_stored() {
    let mut committer = filled(1);
    committer.next_batch(0);
    committer.push(release("a0"));
    committer.appended(AppendResult::Unconfirmed, 0);
    assert!(!committer.is_up());
    assert_eq!(committer.next_batch(249), None);
    assert_eq!(committer.next_batch(250), Some(vec![intent("a0"), release("a0")]));
}

#[test]
fn records_read_back_are_not_appended_again() {
    let mut committer = filled(2);
    committer.next_batch(0);
    committer.appended(AppendResult::Unconfirmed, 0);
    committer.confirm(&[intent("a0")], 10);
    assert_eq!(committer.next_batch(1_000), Some(vec![intent("a1")]));
}

#[test]
fn an_idle_stream_gets_a_mark() {
    let mut committer = Committer::new(LIMITS, 0);
    assert_eq!(committer.next_batch(59_999), None);
    assert_eq!(committer.next_batch(60_000), Some(vec![Record::Mark]));
}

#[test]
fn the_committer_of_a_failure_domain_does_not_depend_on_the_order_of_its_hosts() {
    let hosts: Vec<HostName> = ["e1", "e2", "e3"].map(|host| host.parse().unwrap()).into();
    let domain = "domain-a".parse().unwrap();
    let chosen = committer_host(&domain, &hosts);
    assert!(chosen.is_some());
    assert_eq!(chosen, committer_host(&domain, hosts.iter().rev()));
}
