//! Snapshots of the encoded records and of the verdict on each record.

use orders::key::{IdempotencyKey, KeyError, OrderDigest, OrderKey};
use orders::ledger::{Ledger, Verdict};
use orders::limits::OrderLimits;
use orders::record::{Intent, OrderAnswer, Outcome, Owner, Record, Release, decode, encode};
use protocol::ids::Incarnation;

const KEY: &str = "0000000f-4240-7000-8000-000000000001";
const CREATED_AT_MS: u64 = 1_000_000;
const LIMITS: OrderLimits = OrderLimits::new(600_000);

fn key(organisation: &str) -> OrderKey {
    OrderKey::new(organisation.parse().unwrap(), KEY.parse().unwrap())
}

fn intent(organisation: &str, attempt: &str) -> Record {
    Record::Intent(Intent {
        key: key(organisation),
        attempt: attempt.parse().unwrap(),
        service: "desk".parse().unwrap(),
        digest: OrderDigest::new("POST", "/orders", b"{}"),
        owner: Owner { host: "entry-1".parse().unwrap(), incarnation: Incarnation::new(7) },
    })
}

fn outcome(attempt: &str) -> Record {
    let content_type = Some("application/json".to_owned());
    let answer = OrderAnswer { status: 201, content_type, body: "{\"order\":1}".to_owned() };
    Record::Outcome(Outcome { key: key("org-a"), attempt: attempt.parse().unwrap(), answer })
}

fn release(attempt: &str) -> Record {
    Record::Release(Release { key: key("org-a"), attempt: attempt.parse().unwrap() })
}

fn apply_all(records: Vec<(Record, u64)>) -> Vec<Verdict> {
    let mut ledger = Ledger::new(LIMITS);
    records.into_iter().map(|(record, at_ms)| ledger.apply(record, CREATED_AT_MS + at_ms)).collect()
}

#[test]
fn records_are_written_as_documented() {
    let records = [intent("org-a", "a1"), outcome("a1"), release("a2"), Record::Mark];
    let text = encode(&records).unwrap();
    insta::assert_json_snapshot!(serde_json::from_str::<serde_json::Value>(&text).unwrap());
    assert_eq!(decode(&text).unwrap(), records);
}

#[test]
fn the_first_unreleased_intent_holds_the_key() {
    let verdicts = apply_all(vec![
        (intent("org-a", "a1"), 0),
        (intent("org-a", "a2"), 1),
        (release("a1"), 2),
        (intent("org-a", "a2"), 3),
        (intent("org-a", "a3"), 4),
        (outcome("a1"), 5),
        (outcome("a3"), 6),
        (outcome("a3"), 7),
    ]);
    insta::assert_debug_snapshot!(verdicts);
}

#[test]
fn a_release_before_its_intent_takes_effect() {
    let verdicts =
        apply_all(vec![(release("a1"), 0), (intent("org-a", "a1"), 1), (intent("org-a", "a2"), 2)]);
    assert_eq!(verdicts, [Verdict::Unchanged, Verdict::Invalidated, Verdict::Holds]);
}

#[test]
fn keys_are_scoped_to_an_organisation() {
    let verdicts = apply_all(vec![(intent("org-a", "a1"), 0), (intent("org-b", "b1"), 1)]);
    assert_eq!(verdicts, [Verdict::Holds, Verdict::Holds]);
}

#[test]
fn a_key_s_age_is_determined_by_the_log_clock() {
    let verdicts = apply_all(vec![
        (intent("org-a", "late"), LIMITS.window_ms + 1),
        (intent("org-a", "in-time"), LIMITS.window_ms),
    ]);
    assert_eq!(verdicts, [Verdict::Expired, Verdict::Holds]);
    let early_ms = CREATED_AT_MS - LIMITS.clock_bound_ms - 1;
    assert_eq!(Ledger::new(LIMITS).apply(intent("org-a", "a1"), early_ms), Verdict::Future);
}

#[test]
fn expired_keys_are_removed() {
    let mut ledger = Ledger::new(LIMITS);
    ledger.apply(intent("org-a", "a1"), CREATED_AT_MS);
    ledger.expire(CREATED_AT_MS + LIMITS.window_ms);
    assert_eq!(ledger.len(), 1);
    ledger.expire(CREATED_AT_MS + LIMITS.window_ms + 1);
    assert!(ledger.is_empty());
}

#[test]
fn keys_are_uuids_of_version_7() {
    let read = |text: &str| text.parse::<IdempotencyKey>();
    assert_eq!(read(KEY).map(IdempotencyKey::created_at_ms), Ok(CREATED_AT_MS));
    assert_eq!(read("0000000f-4240-4000-8000-000000000001"), Err(KeyError::WrongVersion(4)));
    assert_eq!(read("first order"), Err(KeyError::NotUuid));
}
