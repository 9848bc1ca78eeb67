//! The delays between attempts.

use control::backoff::{Backoff, MAX_DELAY_MS};

#[test]
fn delays_double_up_to_the_maximum_and_reset_after_a_success() {
    let mut backoff = Backoff::new();
    let delays: Vec<u64> = (0..7).map(|_| backoff.record_failure(1.0)).collect();
    assert_eq!(delays, [200, 400, 800, 1_600, 3_200, 3_200, 3_200]);
    assert_eq!(backoff.record_success(), 7);
    assert_eq!(backoff.record_failure(0.0), 100);
}

#[test]
fn a_very_long_outage_keeps_the_maximum_delay() {
    let mut backoff = Backoff::new();
    let maximum = (0..200).map(|_| backoff.record_failure(1.0)).max();
    assert_eq!(maximum, Some(MAX_DELAY_MS));
}

#[test]
fn failures_are_logged_ever_more_rarely() {
    let mut backoff = Backoff::new();
    let logged = (1..=100).filter(|_| {
        backoff.record_failure(0.5);
        backoff.should_log()
    });
    assert_eq!(logged.collect::<Vec<u32>>(), [1, 2, 4, 8, 16, 32, 64]);
}
