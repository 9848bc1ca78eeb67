//! Deadline, reserve and fair shares of the admission gate.

mod common;

use admission::deadline::{Timing, check};
use admission::fair_share::{RecentWork, fair_level};
use admission::gate::{AdmissionRequest, Gate};
use admission::refusal::MAX_RETRY_AFTER_S;
use admission::reserve::WorkClass;
use common::{checker, organisation};
use protocol::error::ErrorKind;
use protocol::ids::OrganisationId;
use quickcheck::{Arbitrary, Gen};

const SEED: u64 = 21;
const DEADLINE_MS: f64 = 2_000.0;

fn timing(queue_ms: f64, processing_ms: f64) -> Timing {
    Timing { queue_ms, processing_ms, deadline_ms: DEADLINE_MS }
}

#[test]
fn a_first_token_past_the_deadline_is_refused_with_the_time_that_the_backlog_needs() {
    assert_eq!(check(&timing(1_500.0, 400.0), 0.0), Ok(()));
    let refusal = check(&timing(5_600.0, 400.0), 0.0).unwrap_err();
    assert_eq!((refusal.kind, refusal.not_run), (ErrorKind::Overloaded, true));
    assert_eq!(refusal.retry_after_s, Some(4));
    assert_eq!(check(&timing(5_600.0, 400.0), 1.0).unwrap_err().retry_after_s, Some(6));
    let long = check(&timing(1e9, 0.0), 1.0).unwrap_err();
    assert_eq!(long.retry_after_s, Some(MAX_RETRY_AFTER_S));
}

#[test]
fn a_prompt_that_misses_its_deadline_on_an_idle_server_is_admitted() {
    assert_eq!(check(&timing(0.0, 60_000.0), 0.0), Ok(()));
    assert!(check(&timing(600.0, 60_000.0), 0.0).is_err());
}

fn request_for(organisation: &OrganisationId, tokens: u64, queue_ms: f64) -> AdmissionRequest<'_> {
    AdmissionRequest {
        organisation,
        weight: 1,
        recomputed_tokens: tokens,
        max_answer_tokens: 0,
        timing: timing(queue_ms, 0.0),
    }
}

#[test]
fn quick_requests_are_admitted_where_long_ones_are_refused() {
    let (gate, member) = (Gate::new(), organisation("member"));
    let quick = gate.admit(&request_for(&member, 500, 1_800.0), 0.0, 0);
    assert_eq!(quick, Ok(WorkClass::Quick));
    let long = gate.admit(&request_for(&member, 20_000, 1_800.0), 0.0, 0).unwrap_err();
    assert_eq!(long.kind, ErrorKind::ReservedForQuick);
    assert_eq!(gate.admit(&request_for(&member, 20_000, 1_400.0), 0.0, 0), Ok(WorkClass::Long));
    assert!(WorkClass::Quick.priority() > WorkClass::Long.priority());
}

/// Describes one organisation's load, as a share of the service's capacity.
#[derive(Clone, Copy, Debug)]
struct Organisation {
    weight: u32,
    demand: f64,
}

impl Arbitrary for Organisation {
    fn arbitrary(gen_: &mut Gen) -> Self {
        let weight = u32::from(u8::arbitrary(gen_) % 4 + 1);
        let large = u8::arbitrary(gen_) % 4 == 0;
        let tenths = f64::from(u8::arbitrary(gen_) % 10 + 1);
        Self { weight, demand: if large { tenths / 5.0 } else { tenths / 20.0 } }
    }
}

const CAPACITY_TOKENS_PER_MS: f64 = 100.0;
const WARM_UP_MS: u64 = 15_000;
const END_MS: u64 = 75_000;
const REQUEST_TOKENS: u64 = 3_000;

/// Offers each organisation's load to a gate in front of a fluid queue; returns the admitted work
/// of each organisation after the warm-up, as a share of the capacity.
fn admitted_shares(organisations: &[Organisation]) -> Vec<f64> {
    let gate = Gate::new();
    let names: Vec<OrganisationId> =
        (0..organisations.len()).map(|number| organisation(&format!("org-{number}"))).collect();
    let mut pending_tokens = vec![0.0; organisations.len()];
    let mut admitted_tokens = vec![0.0; organisations.len()];
    let mut backlog_tokens = 0.0_f64;
    for now_ms in 0..END_MS {
        backlog_tokens = (backlog_tokens - CAPACITY_TOKENS_PER_MS).max(0.0);
        for position in 0..organisations.len() {
            let index = (position + now_ms as usize) % organisations.len();
            pending_tokens[index] += organisations[index].demand * CAPACITY_TOKENS_PER_MS;
            if pending_tokens[index] < REQUEST_TOKENS as f64 {
                continue;
            }
            pending_tokens[index] -= REQUEST_TOKENS as f64;
            let queue_ms = backlog_tokens / CAPACITY_TOKENS_PER_MS;
            let mut request = request_for(&names[index], REQUEST_TOKENS, queue_ms);
            request.weight = organisations[index].weight;
            if gate.admit(&request, 0.5, now_ms).is_ok() {
                backlog_tokens += REQUEST_TOKENS as f64;
                if now_ms >= WARM_UP_MS {
                    admitted_tokens[index] += REQUEST_TOKENS as f64;
                }
            }
        }
    }
    let capacity_tokens = CAPACITY_TOKENS_PER_MS * (END_MS - WARM_UP_MS) as f64;
    admitted_tokens.into_iter().map(|tokens| tokens / capacity_tokens).collect()
}

/// Computes the fair shares by raising a common level in small steps.
fn fair_shares(organisations: &[Organisation]) -> Vec<f64> {
    let shares = |level: f64| -> Vec<f64> {
        let share = |o: &Organisation| o.demand.min(level * f64::from(o.weight));
        organisations.iter().map(share).collect()
    };
    let mut level = 0.0;
    while level < 10.0 && shares(level).iter().sum::<f64>() < 1.0 {
        level += 0.001;
    }
    shares(level)
}

#[test]
fn nobody_is_below_its_fair_share_while_others_exceed_theirs() {
    checker(SEED, 25).quickcheck(is_fair as fn(Vec<Organisation>) -> bool);

    fn is_fair(mut organisations: Vec<Organisation>) -> bool {
        organisations.truncate(12);
        if organisations.is_empty() {
            return true;
        }
        let admitted = admitted_shares(&organisations);
        let fair = fair_shares(&organisations);
        let exceeded = admitted.iter().zip(&fair).any(|(share, fair)| *share > 1.02 * fair);
        !exceeded || admitted.iter().zip(&fair).all(|(share, fair)| *share >= 0.8 * fair)
    }
}

#[test]
fn a_large_organisation_at_five_times_its_share_leaves_the_small_ones_theirs() {
    let mut organisations = vec![Organisation { weight: 1, demand: 0.08 }; 9];
    organisations.push(Organisation { weight: 1, demand: 1.5 });
    let admitted = admitted_shares(&organisations);
    let total: f64 = admitted.iter().sum();
    assert!(admitted[..9].iter().all(|share| *share >= 0.95 * 0.08), "{admitted:?}");
    assert!(total > 0.97, "{total}");
}

#[test]
fn an_idle_share_is_lent() {
    let admitted = admitted_shares(&[Organisation { weight: 1, demand: 1.5 }]);
    assert!(admitted[0] > 0.97, "{admitted:?}");
}

#[test]
fn the_fair_level_divides_the_admitted_work() {
    let work = |weight, offered, admitted| RecentWork { weight, offered, admitted };
    let mut contended = [work(1.0, 10.0, 10.0), work(1.0, 90.0, 60.0), work(2.0, 100.0, 30.0)];
    assert_eq!(fair_level(&mut contended), 30.0);
    let mut uncontended = [work(1.0, 10.0, 10.0), work(1.0, 90.0, 90.0)];
    assert_eq!(fair_level(&mut uncontended), f64::INFINITY);
    assert_eq!(fair_level(&mut []), f64::INFINITY);
}

#[test]
fn an_organisation_that_requests_half_its_share_gets_all_of_it() {
    let mut organisations = vec![Organisation { weight: 2, demand: 0.5 }; 6];
    organisations.push(Organisation { weight: 4, demand: 1.2 });
    organisations.push(Organisation { weight: 3, demand: 0.05 });
    let admitted = admitted_shares(&organisations);
    assert!(admitted[7] >= 0.97 * 0.05, "{admitted:?}");
}

#[test]
fn a_service_that_refused_every_request_admits_again_after_its_queue_shrinks() {
    let (gate, member) = (Gate::new(), organisation("member"));
    for now_ms in (0..2_000).step_by(100) {
        assert!(gate.admit(&request_for(&member, 500, 9_000.0), 0.0, now_ms).is_err());
    }
    assert!(gate.admit(&request_for(&member, 500, 1_900.0), 0.0, 2_000).is_ok());
}
