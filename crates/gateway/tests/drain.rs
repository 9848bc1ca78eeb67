//! Which requests a draining gateway accepts.

use gateway::drain::Drain;

const STARTED_MS: u64 = 100_000;
/// The part of a shutdown time of 8 s in which requests may complete.
const BOUND_MS: u64 = 7_520;
/// How long after SIGTERM a request may be sent that is cut off at the end.
const MAX_CUT_AFTER_MS: u64 = 3_000;

fn accepts(drain: Drain, after_ms: u64, time_limit_ms: u64) -> bool {
    let now_ms = STARTED_MS + after_ms;
    drain.accepts(now_ms + time_limit_ms, now_ms)
}

/// Guards against requests that are taken late in a planned stop and cut off at its end, whatever time
/// the stop may take.
#[test]
fn late_requests_are_accepted_only_if_their_deadline_ends_them_before_the_drain() {
    for bound_ms in [BOUND_MS, 2 * BOUND_MS, 10 * BOUND_MS] {
        let drain = Drain::new(STARTED_MS, bound_ms);
        for after_ms in (MAX_CUT_AFTER_MS..=bound_ms).step_by(10) {
            for time_limit_ms in [15, 300, 2_000, 3_000, 15_000, 200_000] {
                let ends_in_time = STARTED_MS + after_ms + time_limit_ms <= drain.last_answers_ms();
                assert_eq!(accepts(drain, after_ms, time_limit_ms), ends_in_time, "{after_ms}");
            }
        }
    }
}

#[test]
fn callers_that_the_balancer_still_sends_are_served() {
    let drain = Drain::new(STARTED_MS, BOUND_MS);
    assert!((0..2_000).all(|after_ms| accepts(drain, after_ms, 15_000)));
}

/// Without the time that nearly all requests take, none is accepted that could be cut off.
#[test]
fn a_short_drain_accepts_only_requests_that_it_outlasts() {
    let drain = Drain::new(STARTED_MS, 2_000);
    assert!(!accepts(drain, 0, 15_000));
    assert!(accepts(drain, 0, 1_800));
    assert!(!accepts(drain, 1, 1_800));
}
