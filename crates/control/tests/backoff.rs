//! Checks the pauses between tries.

use control::backoff::{Backoff, MAX_PAUSE_MS};

#[test]
fn pauses_double_up_to_the_longest_and_start_again_after_a_success() {
    let mut backoff = Backoff::new();
    let pauses: Vec<u64> = (0..7).map(|_| backoff.record_failure(1.0)).collect();
    assert_eq!(pauses, [200, 400, 800, 1_600, 3_200, 3_200, 3_200]);
    assert_eq!(backoff.record_success(), 7);
    assert_eq!(backoff.record_failure(0.0), 100);
}

#[test]
fn a_very_long_outage_keeps_the_longest_pause() {
    let mut backoff = Backoff::new();
    let longest = (0..200).map(|_| backoff.record_failure(1.0)).max();
    assert_eq!(longest, Some(MAX_PAUSE_MS));
}

#[test]
fn the_log_gets_fewer_and_fewer_lines() {
    let mut backoff = Backoff::new();
    let lines = (1..=100).filter(|_| {
        backoff.record_failure(0.5);
        backoff.should_log()
    });
    assert_eq!(lines.collect::<Vec<u32>>(), [1, 2, 4, 8, 16, 32, 64]);
}
