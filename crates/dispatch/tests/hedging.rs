//! Hedges of late requests, replayed without a network: servers that pause now and then, servers
//! that are all busy, and the bounds on extra attempts.

use dispatch::hedging::{Hedging, Kind, ServiceLoad, UsualTimes, Withheld};
use dispatch::load::{Health, LoadHeader, LoadView};
use dispatch::retry_share::{BudgetBounds, RetryShare};
use protocol::ids::ServiceName;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const REQUESTS: u64 = 20_000;
const GAP_MS: u64 = 10;
const DEADLINE_MS: u64 = 8_000;
const CALM: ServiceLoad = ServiceLoad { servers: 8, busy: 1 };

fn service() -> ServiceName {
    "desk".parse().unwrap()
}

/// What a replay needs of a load: how long a request takes at a server, and how many are busy.
struct Load {
    tail_share: f64,
    tail_ms: u64,
    service_load: ServiceLoad,
}

/// One in fifty answers takes some 600 ms more.
const SLOW_TAIL: Load = Load { tail_share: 0.02, tail_ms: 600, service_load: CALM };

impl Load {
    fn draw_ms(&self, random: &mut SmallRng) -> u64 {
        let usual_ms = random.random_range(40..80);
        let is_slow = random.random_bool(self.tail_share);
        usual_ms + if is_slow { random.random_range(0..2 * self.tail_ms) } else { 0 }
    }
}

#[derive(Debug, Default)]
struct Outcome {
    took_ms: Vec<u64>,
    extra: u64,
    queue: u64,
    over_budget: u64,
}

impl Outcome {
    fn quantile_ms(&self, share: f64) -> u64 {
        let mut sorted = self.took_ms.clone();
        sorted.sort_unstable();
        sorted[(share * (sorted.len() - 1) as f64) as usize]
    }

    fn extra_share(&self) -> f64 {
        self.extra as f64 / self.took_ms.len() as f64
    }
}

/// Plays requests one after the other; a late one is considered again after twice the time, as the
/// gateway does.
fn replay(extra_share: f64, load: &Load, retries: &mut RetryShare) -> Outcome {
    let mut random = SmallRng::seed_from_u64(7);
    let mut hedging = Hedging::new(extra_share);
    let mut outcome = Outcome::default();
    let (service, kind) = (service(), Kind::new("status", None));
    for index in 0..REQUESTS {
        let now_ms = index * GAP_MS;
        retries.count_request(&service, now_ms);
        let first_ms = load.draw_ms(&mut random);
        let mut check_ms = hedging.start(&service, &kind);
        let mut took_ms = first_ms;
        while let Some(waited_ms) = check_ms.filter(|waited_ms| *waited_ms < first_ms) {
            check_ms = Some(2 * waited_ms);
            let left_ms = DEADLINE_MS - waited_ms.min(DEADLINE_MS);
            match hedging.check(&service, &kind, load.service_load, waited_ms, left_ms) {
                Err(reason) => outcome.queue += u64::from(reason == Withheld::Queue),
                Ok(_) if !retries.try_hedge(&service, 7, now_ms) => outcome.over_budget += 1,
                Ok(_) => {
                    hedging.take(&service);
                    outcome.extra += 1;
                    took_ms = first_ms.min(waited_ms + load.draw_ms(&mut random));
                    break;
                }
            }
        }
        match took_ms < first_ms {
            true => hedging.record_cancelled(&kind, took_ms, now_ms + took_ms),
            false => hedging.record(&kind, took_ms, now_ms + took_ms),
        }
        outcome.took_ms.push(took_ms);
    }
    outcome
}

fn budget() -> RetryShare {
    RetryShare::new(BudgetBounds { ratio: 0.2, slack: 54.0, window_ms: 10_000 })
}

#[test]
fn hedges_shorten_a_slow_tail_within_the_share() {
    let without = replay(0.0, &SLOW_TAIL, &mut budget());
    for share in [0.02, 0.05, 0.2] {
        let with = replay(share, &SLOW_TAIL, &mut budget());
        assert!(with.extra_share() <= share, "{}", with.extra_share());
        let (before_ms, after_ms) = (without.quantile_ms(0.99), with.quantile_ms(0.99));
        println!(
            "share {share}: p50 {} to {}, p99 {before_ms} to {after_ms}, extra {}",
            without.quantile_ms(0.5),
            with.quantile_ms(0.5),
            with.extra_share()
        );
        assert!(2 * after_ms < before_ms, "p99 falls from {before_ms} to {after_ms} ms only");
    }
}

#[test]
fn a_share_of_zero_changes_nothing() {
    let mut hedging = Hedging::new(0.0);
    let (service, kind) = (service(), Kind::new("status", None));
    for index in 0..1_000 {
        assert_eq!(hedging.start(&service, &kind), None);
        hedging.record(&kind, 50, index);
    }
    let denied = hedging.check(&service, &kind, CALM, 10_000, DEADLINE_MS);
    assert_eq!(denied, Err(Withheld::OverShare));
    assert_eq!(replay(f64::NAN, &SLOW_TAIL, &mut budget()).extra, 0);
}

#[test]
fn extra_attempts_stay_within_the_share_in_every_window() {
    let (service, kind) = (service(), Kind::new("status", None));
    let mut hedging = Hedging::new(0.1);
    let mut extra = 0;
    for index in 1..=10_000_u64 {
        hedging.start(&service, &kind);
        // The first requests are not late, so that as much as possible is saved up.
        while index > 1_000 && hedging.has_saved(&service) {
            hedging.take(&service);
            extra += 1;
        }
        let since = index.saturating_sub(1_000);
        assert!(extra as f64 <= 0.1 * since as f64 + 6.0, "{extra} after {since} requests");
    }
    assert!(extra >= 900, "{extra}");
}

#[test]
fn requests_are_not_hedged_while_most_servers_are_busy() {
    let busy = ServiceLoad { servers: 8, busy: 5 };
    let overload = Load { tail_share: 0.3, tail_ms: 2_000, service_load: busy };
    let outcome = replay(0.2, &overload, &mut budget());
    assert_eq!(outcome.extra, 0);
    assert!(outcome.queue > 100, "{outcome:?}");
}

#[test]
fn requests_that_are_all_slow_together_are_not_hedged() {
    // A light tail: whoever is late is nearly done.
    let steady = Load { tail_share: 0.0, tail_ms: 1, service_load: CALM };
    assert_eq!(replay(0.2, &steady, &mut budget()).extra, 0);
}

#[test]
fn half_of_the_retry_budget_is_left() {
    let bounds = BudgetBounds { ratio: 0.02, slack: 0.0, window_ms: 10_000 };
    let mut retries = RetryShare::new(bounds);
    let outcome = replay(0.2, &SLOW_TAIL, &mut retries);
    assert!(outcome.over_budget > 0 && outcome.extra > 0, "{outcome:?}");
    let now_ms = (REQUESTS - 1) * GAP_MS;
    let service = service();
    let left = (0..100).filter(|_| retries.try_retry(&service, 7, now_ms)).count();
    // The window holds 1,000 requests: 20 retries, of which 0.8 are used.
    assert!(left >= 8, "{left}");
    assert!(!retries.try_hedge(&service, 7, now_ms));
}

/// Fails if a request is late before enough of its kind are known for the share to mean something.
#[test]
fn too_few_samples_are_no_ground_for_a_hedge() {
    for (extra_share, needed) in [(0.2, 10), (0.05, 20), (0.02, 50), (0.01, 50)] {
        let (service, kind) = (service(), Kind::new("notes", Some(900)));
        let mut hedging = Hedging::new(extra_share);
        for index in 0..needed - 1 {
            assert_eq!(hedging.start(&service, &kind), None);
            hedging.record(&kind, 50, index);
        }
        // A whole extra attempt is saved up.
        (0..100).for_each(|_| assert_eq!(hedging.start(&service, &kind), None));
        assert_eq!(
            hedging.check(&service, &kind, CALM, 10_000, DEADLINE_MS),
            Err(Withheld::NoBetterServer)
        );
        hedging.record(&kind, 50, needed);
        assert!(hedging.start(&service, &kind).is_some());
        assert!(hedging.start(&service, &Kind::new("notes", Some(9_000))).is_none());
        assert!(hedging.start(&service, &Kind::new("notes", Some(901))).is_some());
    }
}

#[test]
fn no_hedge_is_made_that_cannot_deliver_before_the_caller_gives_up() {
    let (service, kind) = (service(), Kind::new("status", None));
    let mut hedging = Hedging::new(0.2);
    for index in 0..100 {
        hedging.start(&service, &kind);
        hedging.record(&kind, 50, index);
    }
    assert!(hedging.check(&service, &kind, CALM, 500, 400).is_ok());
    assert_eq!(hedging.check(&service, &kind, CALM, 500, 40), Err(Withheld::NoBetterServer));
}

#[test]
fn the_oldest_kinds_are_forgotten() {
    let (service, oldest) = (service(), Kind::new("route-0", None));
    let mut hedging = Hedging::new(0.2);
    for route in 0..300_u64 {
        let kind = Kind::new(&format!("route-{route}"), None);
        (0..60).for_each(|_| hedging.record(&kind, 50, route));
    }
    assert_eq!(hedging.start(&service, &oldest), None);
    assert!(hedging.start(&service, &Kind::new("route-299", None)).is_some());
}

#[test]
fn cancelled_requests_do_not_shorten_the_known_tail() {
    let mut usual = UsualTimes::new(0);
    (0..90).for_each(|_| usual.record(50, 0));
    (0..10).for_each(|_| usual.record(1_000, 0));
    let tail_ms = usual.median_beyond_ms(100).unwrap();
    (0..20).for_each(|_| usual.record_at_least(100, 0));
    assert_eq!(usual.median_beyond_ms(100), Some(tail_ms));
    assert!((usual.weight() - 120.0).abs() < 0.01, "{}", usual.weight());
}

#[test]
fn samples_lose_weight_with_age() {
    let mut usual = UsualTimes::new(0);
    (0..100).for_each(|_| usual.record(1_000, 0));
    (0..60).for_each(|_| usual.record(50, 120_000));
    assert!(usual.quantile_ms(0.5).unwrap() < 60.0);
    // A clock that stands still or is read late changes no weight.
    let weight = usual.weight();
    usual.record(50, 0);
    assert!((usual.weight() - weight - 1.0).abs() < 0.01);
}

#[test]
fn servers_that_queue_or_take_no_more_are_busy() {
    let free = LoadView {
        health: Health::Good,
        unstarted_ms: 0.0,
        in_flight: 4,
        memory_tokens: 0,
        header: None,
        slowdown: None,
    };
    let waiting = LoadHeader { running: 10, waiting: 1, slots: 10, slowdown: None };
    let views = [
        (free, 0),
        (LoadView { health: Health::Suspected, ..free }, 1),
        (LoadView { header: Some(waiting), ..free }, 1),
        (LoadView { in_flight: 8, ..free }, 1),
    ];
    for (view, busy) in views {
        let mut load = ServiceLoad::default();
        load.add(&view, 10, 1.0);
        assert_eq!(load, ServiceLoad { servers: 1, busy }, "{view:?}");
    }
    let mut load = ServiceLoad::default();
    load.add(&free, 10, 2.0);
    assert_eq!(load.busy, 1, "gateways that do not report count like the others");
}
