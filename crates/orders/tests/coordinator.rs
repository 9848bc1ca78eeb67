//! An order whose key is held by another host.

use orders::coordinator::Coordinator;
use orders::executor::{Action, Order, StatusResult, Target, WaiterId};
use orders::follower::{StreamPage, StreamRecord};
use orders::key::{OrderDigest, OrderKey};
use orders::limits::OrderLimits;
use orders::record::{Intent, OrderAnswer, Owner, Record, Release, encode};
use protocol::error::ErrorKind;
use protocol::ids::{Incarnation, LogOffset};

const NOW_MS: u64 = 1_000_000;
const WAITER: WaiterId = WaiterId::new(1);

fn key() -> OrderKey {
    let key = "0000000f-4240-7000-8000-000000000001".parse().unwrap();
    OrderKey::new("org-a".parse().unwrap(), key)
}

fn owner(host: &str) -> Owner {
    Owner { host: host.parse().unwrap(), incarnation: Incarnation::new(1) }
}

fn digest() -> OrderDigest {
    OrderDigest::new("POST", "/orders", b"{}")
}

/// Returns a coordinator that has read the intent of a host that is not live.
fn coordinator_with_intent_of_peer() -> Coordinator {
    let coordinator = Coordinator::new(OrderLimits::default(), owner("entry-1"));
    let intent = Intent {
        key: key(),
        attempt: "theirs".parse().unwrap(),
        service: "desk".parse().unwrap(),
        digest: digest(),
        owner: owner("entry-2"),
    };
    assert!(read(&coordinator, 0, Record::Intent(intent)).is_empty());
    coordinator
}

fn read(coordinator: &Coordinator, offset: u64, record: Record) -> Vec<Action> {
    let offset = LogOffset::new(offset);
    let value = encode(&[record]).unwrap();
    let records = vec![StreamRecord { offset, appended_at_ms: NOW_MS, value }];
    let page = StreamPage { first_retained: LogOffset::new(0), records };
    coordinator.apply(&page, NOW_MS).actions
}

fn submit(coordinator: &Coordinator, digest: OrderDigest) -> Vec<Action> {
    let order = Order {
        waiter: WAITER,
        key: key(),
        service: "desk".parse().unwrap(),
        digest,
        attempt: "ours".parse().unwrap(),
        deadline_ms: NOW_MS + 60_000,
    };
    coordinator.submit(order, true, NOW_MS)
}

fn target() -> Target {
    let service = "desk".parse().unwrap();
    Target { key: key(), attempt: "theirs".parse().unwrap(), service }
}

#[test]
fn a_status_answer_waits_for_its_outcome_record() {
    let coordinator = coordinator_with_intent_of_peer();
    assert_eq!(submit(&coordinator, digest()), [Action::QueryOutcome(target())]);
    // The service returns the outcome of another attempt whose records this host has not read yet.
    let answer = OrderAnswer { status: 201, content_type: None, body: "other".to_owned() };
    let actions = coordinator.status_received(&target(), StatusResult::Answered(answer), NOW_MS);
    assert!(matches!(actions.as_slice(), [Action::Append(Record::Outcome(_))]));
    assert!(coordinator.tick(NOW_MS + 30_000).is_empty());
    let release = Release { key: key(), attempt: "theirs".parse().unwrap() };
    let replies = read(&coordinator, 1, Record::Release(release));
    assert_eq!(replies, [Action::Reply(WAITER, Err(ErrorKind::OrderInProgress))]);
}

#[test]
fn an_outcome_is_unknown_only_after_two_status_queries() {
    let coordinator = coordinator_with_intent_of_peer();
    assert_eq!(submit(&coordinator, digest()), [Action::QueryOutcome(target())]);
    assert!(coordinator.status_received(&target(), StatusResult::NoSuchOrder, NOW_MS).is_empty());
    let again = coordinator.tick(NOW_MS + OrderLimits::default().status_after_ms);
    assert_eq!(again, [Action::QueryOutcome(target())]);
    let replies = coordinator.status_received(&target(), StatusResult::NoSuchOrder, NOW_MS);
    assert_eq!(replies, [Action::Reply(WAITER, Err(ErrorKind::OutcomeUnknown))]);
}

#[test]
fn a_silent_service_does_not_make_an_outcome_unknown() {
    let coordinator = coordinator_with_intent_of_peer();
    assert_eq!(submit(&coordinator, digest()), [Action::QueryOutcome(target())]);
    for query in 1..=3 {
        let received = coordinator.status_received(&target(), StatusResult::Unanswered, NOW_MS);
        assert!(received.is_empty());
        let again = coordinator.tick(NOW_MS + query * OrderLimits::default().status_after_ms);
        assert_eq!(again, [Action::QueryOutcome(target())]);
    }
    let answer = OrderAnswer { status: 201, content_type: None, body: "done".to_owned() };
    let actions = coordinator.status_received(&target(), StatusResult::Answered(answer), NOW_MS);
    assert!(matches!(actions.as_slice(), [Action::Append(Record::Outcome(_))]));
}

#[test]
fn a_different_order_under_the_same_key_is_refused() {
    let coordinator = coordinator_with_intent_of_peer();
    let other = OrderDigest::new("POST", "/orders", b"[]");
    let refusal = Action::Reply(WAITER, Err(ErrorKind::IdempotencyKeyReused));
    assert_eq!(submit(&coordinator, other), [refusal]);
}
