//! The retry budget over all gateways, in any window.

use dispatch::retry_share::{BudgetBounds, RetryShare};
use protocol::ids::ServiceName;
use quickcheck::{Arbitrary, Gen, QuickCheck};

const BOUNDS: BudgetBounds = BudgetBounds { ratio: 0.2, slack: 54.0, window_ms: 10_000 };
const GATEWAYS: usize = 7;

/// One request at one gateway, and the number of retries that it asks for.
#[derive(Clone, Debug)]
struct Arrival {
    gateway: usize,
    after_ms: u64,
    retries: u8,
}

impl Arbitrary for Arrival {
    fn arbitrary(g: &mut Gen) -> Self {
        Self {
            gateway: usize::arbitrary(g) % GATEWAYS,
            after_ms: u64::from(u8::arbitrary(g)),
            retries: u8::arbitrary(g) % 4,
        }
    }
}

fn keeps_budget(arrivals: Vec<Arrival>) -> bool {
    let service: ServiceName = "desk".parse().unwrap();
    let mut shares: Vec<RetryShare> = (0..GATEWAYS).map(|_| RetryShare::new(BOUNDS)).collect();
    let (mut requests, mut retries) = (Vec::new(), Vec::new());
    let mut now_ms = 0;
    for arrival in arrivals {
        now_ms += arrival.after_ms;
        let share = &mut shares[arrival.gateway];
        share.count_request(&service, now_ms);
        requests.push(now_ms);
        for _ in 0..arrival.retries {
            if share.try_retry(&service, GATEWAYS, now_ms) {
                retries.push(now_ms);
            }
        }
    }
    let in_window = |times: &[u64], from: u64| {
        times.iter().filter(|at| (from..from + BOUNDS.window_ms).contains(*at)).count() as f64
    };
    // The platform counts the requests of the window itself, of the one before, or of the one half
    // a window earlier.
    let counted_requests = |from: u64| {
        let earlier = [from, from.saturating_sub(5_000), from.saturating_sub(10_000)];
        earlier.into_iter().map(|from| in_window(&requests, from)).fold(0.0, f64::max)
    };
    retries.iter().all(|from| {
        in_window(&retries, *from) <= BOUNDS.ratio * counted_requests(*from) + BOUNDS.slack
    })
}

#[test]
fn retries_stay_within_the_budget_in_every_window() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(900, 7))
        .tests(150)
        .quickcheck(keeps_budget as fn(Vec<Arrival>) -> bool);
}

#[test]
fn a_service_that_sheds_everything_gets_no_retry_storm() {
    let service: ServiceName = "desk".parse().unwrap();
    let mut share = RetryShare::new(BOUNDS);
    let mut granted = 0;
    for index in 0..400 {
        share.count_request(&service, index * 20);
        granted += u32::from(share.try_retry(&service, GATEWAYS, index * 20));
    }
    assert!(granted <= 400 / 5 + 54 / 7, "{granted} retries for 400 requests");
}

#[test]
fn an_idle_gateway_may_spend_its_share_of_the_slack() {
    let service: ServiceName = "desk".parse().unwrap();
    let mut share = RetryShare::new(BOUNDS);
    assert!(share.try_retry(&service, GATEWAYS, 0));
    let mut alone = RetryShare::new(BudgetBounds { slack: 0.0, ..BOUNDS });
    assert!(!alone.try_retry(&service, GATEWAYS, 0));
}
