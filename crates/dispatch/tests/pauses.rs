//! Pauses that servers ask for, and the limit of sends afterwards.

use dispatch::pauses::{Pauses, retry_after_ms};
use dispatch::registry::ServerId;
use protocol::ids::Incarnation;

const FIRST: Incarnation = Incarnation::new(1);
const SECOND: Incarnation = Incarnation::new(2);

fn paused(for_ms: u64, now_ms: u64) -> (Pauses, ServerId) {
    let (mut pauses, server) = (Pauses::new(), ServerId::new("a"));
    pauses.pause(&server, FIRST, for_ms, now_ms);
    (pauses, server)
}

#[test]
fn a_paused_server_takes_nothing_until_the_end() {
    let (pauses, server) = paused(3_000, 1_000);
    assert_eq!(pauses.check(&server, FIRST, |_| 0, 3_999), Err(4_000));
    assert_eq!(pauses.until_ms(&server, FIRST, 3_999), Some(4_000));
    assert_eq!(pauses.check(&server, FIRST, |_| 0, 4_000), Ok(()));
    assert_eq!(pauses.until_ms(&server, FIRST, 4_000), None);
    assert_eq!(pauses.check(&ServerId::new("b"), FIRST, |_| 0, 2_000), Ok(()));
}

#[test]
fn a_shorter_pause_does_not_end_a_longer_one() {
    let (mut pauses, server) = paused(3_000, 1_000);
    pauses.pause(&server, FIRST, 500, 1_500);
    assert_eq!(pauses.until_ms(&server, FIRST, 2_500), Some(4_000));
    pauses.pause(&server, FIRST, 3_000, 2_000);
    assert_eq!(pauses.until_ms(&server, FIRST, 4_500), Some(5_000));
}

#[test]
fn a_pause_belongs_to_an_incarnation() {
    let (mut pauses, server) = paused(3_000, 1_000);
    assert_eq!(pauses.check(&server, SECOND, |_| 0, 1_500), Ok(()));
    pauses.pause(&server, SECOND, 500, 1_500);
    pauses.pause(&server, FIRST, 9_000, 1_500);
    assert_eq!(pauses.until_ms(&server, SECOND, 1_600), Some(2_000));
}

#[test]
fn the_limit_after_a_pause_doubles_until_there_is_none() {
    let (pauses, server) = paused(1_000, 0);
    let limit =
        |now_ms| (0..200).find(|count| pauses.check(&server, FIRST, |_| *count, now_ms).is_err());
    let limits = [1_000, 1_200, 1_400, 1_600, 1_800, 2_000, 2_200].map(limit);
    assert_eq!(limits, [Some(2), Some(4), Some(8), Some(16), Some(32), Some(64), None]);
    assert_eq!(pauses.check(&server, FIRST, |_| 4, 1_350), Err(1_400));
}

#[test]
fn only_attempts_sent_after_the_pause_count_towards_the_limit() {
    let (pauses, server) = paused(1_000, 0);
    let in_flight_since = |since_ms: u64| if since_ms >= 1_000 { 0 } else { 50 };
    assert_eq!(pauses.check(&server, FIRST, in_flight_since, 1_000), Ok(()));
}

#[test]
fn callers_retry_after_the_end_and_not_all_at_once() {
    assert_eq!([0.0, 0.5, 1.0].map(|spread| retry_after_ms(2_000, spread)), [2_000, 2_500, 3_000]);
    assert_eq!([0.0, 1.0].map(|spread| retry_after_ms(50, spread)), [50, 250]);
}
