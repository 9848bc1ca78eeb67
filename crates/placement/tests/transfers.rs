//! Tests of the link budget, single flight, export plans, return rates and block lookups.

mod common;

use common::{checker, copy, host, key, view};
use placement::export::{ExportPlan, FinishedAttempt, ReturnRates, StorePressure, plan};
use placement::index::ChainView;
use placement::link::{Grant, LinkBudget, Urgency};
use placement::rebuild::lookups;
use placement::single_flight::{Role, SingleFlight, Transfer};
use protocol::ids::{AttemptId, ChainKey, HostName};

const SEED: u64 = 14;
const LINK_BITS_PER_S: u64 = 30_000_000;
const TIMEOUT_MS: u64 = 5_000;

#[test]
fn all_nodes_together_stay_within_the_link_rate() {
    checker(SEED, 300).quickcheck(stays_within as fn(u8, Vec<(u16, bool, u8)>) -> bool);

    /// Requests the same bytes on every node and adds up the bytes granted to all of them.
    fn stays_within(nodes: u8, offers: Vec<(u16, bool, u8)>) -> bool {
        let nodes = u64::from(nodes % 50 + 1);
        let mut budgets: Vec<LinkBudget> =
            (0..nodes).map(|_| LinkBudget::new(LINK_BITS_PER_S, nodes, 0)).collect();
        let (mut now_ms, mut sent_bytes) = (0, 0);
        for (bytes, foreground, gap_ms) in offers {
            now_ms += u64::from(gap_ms);
            let urgency = if foreground { Urgency::Foreground } else { Urgency::Background };
            for budget in &mut budgets {
                if budget.take(u64::from(bytes), urgency, now_ms) == Grant::Now {
                    sent_bytes += u64::from(bytes);
                }
            }
        }
        // One second of accumulated burst and one second of overdraft may be sent in addition.
        sent_bytes <= LINK_BITS_PER_S / 8 * (now_ms + 2_000) / 1_000
    }
}

#[test]
fn background_bytes_leave_capacity_for_foreground_bytes() {
    let mut budget = LinkBudget::new(LINK_BITS_PER_S, 1, 0);
    while budget.take(50_000, Urgency::Background, 0) == Grant::Now {}
    assert_eq!(budget.take(1_500_000, Urgency::Foreground, 0), Grant::Now);
    assert!(matches!(budget.take(50_000, Urgency::Background, 100), Grant::Later { .. }));
}

#[test]
fn bytes_are_granted_after_the_reported_wait() {
    let mut budget = LinkBudget::new(LINK_BITS_PER_S, 7, 0);
    let mut now_ms = 0;
    for _ in 0..50 {
        let expected_ms = budget.wait_ms(400_000, now_ms);
        if let Grant::Later { wait_ms } = budget.take(400_000, Urgency::Foreground, now_ms) {
            assert_eq!(wait_ms, expected_ms);
            now_ms += wait_ms;
            assert_eq!(budget.take(400_000, Urgency::Foreground, now_ms), Grant::Now);
        }
    }
    assert!(now_ms > 0);
}

#[test]
fn a_transfer_larger_than_the_burst_is_granted_eventually() {
    let mut budget = LinkBudget::new(LINK_BITS_PER_S, 350, 0);
    assert_eq!(budget.take(80_000, Urgency::Foreground, 0), Grant::Now);
    let Grant::Later { wait_ms } = budget.take(80_000, Urgency::Background, 0) else {
        panic!("the budget allowed a transfer after its burst was used");
    };
    assert_eq!(budget.take(80_000, Urgency::Background, wait_ms), Grant::Now);
}

#[test]
fn the_share_follows_the_number_of_live_nodes() {
    let mut budget = LinkBudget::new(LINK_BITS_PER_S, 3, 0);
    assert_eq!(budget.share_bits_per_s(), 9_000_000);
    budget.set_live_nodes(6, 10);
    assert_eq!(budget.share_bits_per_s(), 4_500_000);
}

fn attempt(number: u8) -> AttemptId {
    format!("attempt-{number}").parse().unwrap()
}

fn import() -> Transfer {
    Transfer::Import { server: host("server-a"), key: key(1) }
}

#[test]
fn a_transfer_has_one_leader_and_returns_its_waiters() {
    let mut transfers = SingleFlight::new();
    assert_eq!(transfers.join(import(), &attempt(1), TIMEOUT_MS, 0), Role::Leader);
    let waiter = Role::Waiter { retry_at_ms: TIMEOUT_MS };
    assert_eq!(transfers.join(import(), &attempt(2), TIMEOUT_MS, 10), waiter);
    assert_eq!(transfers.join(import(), &attempt(2), TIMEOUT_MS, 20), waiter);
    assert_eq!(transfers.join(Transfer::Export { key: key(1) }, &attempt(3), 9, 20), Role::Leader);
    assert_eq!(transfers.finish(&import(), &attempt(1)).as_slice(), [attempt(2)]);
    assert_eq!(transfers.len(), 1);
}

#[test]
fn a_leader_that_timed_out_is_replaced_and_its_late_end_is_ignored() {
    let mut transfers = SingleFlight::new();
    transfers.join(import(), &attempt(1), TIMEOUT_MS, 0);
    transfers.join(import(), &attempt(2), TIMEOUT_MS, 0);
    assert_eq!(transfers.join(import(), &attempt(2), TIMEOUT_MS, TIMEOUT_MS), Role::Leader);
    assert!(transfers.finish(&import(), &attempt(1)).is_empty());
    let role = transfers.join(import(), &attempt(3), TIMEOUT_MS, TIMEOUT_MS + 1);
    assert_eq!(role, Role::Waiter { retry_at_ms: 2 * TIMEOUT_MS });
    transfers.expire(2 * TIMEOUT_MS);
    assert!(transfers.is_empty());
}

fn finished_attempt<'a>(
    chain: &'a [ChainKey],
    view: &'a ChainView,
    stores: &'a [HostName],
) -> FinishedAttempt<'a> {
    FinishedAttempt {
        chain,
        view,
        live_stores: stores,
        kv_bytes_per_token: 1_000,
        prefill_tokens_per_s: 10_000,
        store_bytes_per_s: 1_000_000_000,
        expiry_ms: 3_600_000,
        return_probability: 0.5,
        now_ms: 0,
    }
}

fn exported(plan: &ExportPlan) -> Vec<ChainKey> {
    plan.exports.iter().map(|export| export.key).collect()
}

#[test]
fn blocks_missing_on_all_stores_are_exported_and_old_ones_renewed() {
    let chain: Vec<ChainKey> = (0..4).map(key).collect();
    let (mut fresh, old) = (copy("store-a", 1), copy("store-b", 1));
    fresh.expires_at_ms = 3_000_000;
    let view = view(&[], &[Some(fresh), Some(old), None, None]);
    let stores = [host("store-a"), host("store-b")];
    let plan = plan(&finished_attempt(&chain, &view, &stores), &StorePressure::new());
    assert_eq!(exported(&plan), [key(2), key(3)]);
    let renewed: Vec<ChainKey> = plan.renewals.iter().map(|renewal| renewal.key).collect();
    assert_eq!(renewed, [key(1)]);
}

#[test]
fn blocks_that_are_faster_to_recompute_than_to_import_are_not_exported() {
    let chain = [key(0)];
    let (view, stores) = (view(&[], &[]), [host("store-a")]);
    let slow = FinishedAttempt {
        store_bytes_per_s: 1_000_000,
        ..finished_attempt(&chain, &view, &stores)
    };
    assert_eq!(plan(&slow, &StorePressure::new()), ExportPlan::default());
}

#[test]
fn a_full_store_accepts_only_more_valuable_blocks_until_it_recovers() {
    let chain = [key(0)];
    let (view, stores) = (view(&[], &[]), [host("store-a")]);
    let finished = finished_attempt(&chain, &view, &stores);
    let valuable = FinishedAttempt { kv_bytes_per_token: 100, ..finished.clone() };
    let mut pressure = StorePressure::new();
    pressure.record_refusal(&stores[0], finished.tokens_saved_per_megabyte(), 0);
    assert!(exported(&plan(&finished, &pressure)).is_empty());
    assert_eq!(exported(&plan(&valuable, &pressure)), [key(0)]);
    let later = FinishedAttempt { now_ms: 60_000, ..finished };
    assert_eq!(exported(&plan(&later, &pressure)), [key(0)]);
}

#[test]
fn a_block_goes_to_another_store_while_its_preferred_store_is_full() {
    let chain = [key(0)];
    let (view, stores) = (view(&[], &[]), [host("store-a"), host("store-b")]);
    let finished = finished_attempt(&chain, &view, &stores);
    let mut pressure = StorePressure::new();
    let first = plan(&finished, &pressure).exports[0].store.clone();
    pressure.record_refusal(&first, finished.tokens_saved_per_megabyte(), 0);
    assert_ne!(plan(&finished, &pressure).exports[0].store, first);
}

#[test]
fn return_rates_are_tracked_per_organisation() {
    let rates = ReturnRates::new();
    let (often, never) = ("often".parse().unwrap(), "never".parse().unwrap());
    for _ in 0..5_000 {
        rates.add(&often, true);
        rates.add(&never, false);
    }
    assert!(rates.rate(&often) > 0.99);
    assert!(rates.rate(&never) < 0.01);
    assert_eq!(rates.rate(&"unknown".parse().unwrap()), 0.5);
}

#[test]
fn a_new_home_queries_the_stores_that_blocks_were_exported_to() {
    let chain: Vec<ChainKey> = (0..3).map(key).collect();
    let view_of_first = view(&[], &[Some(copy("store-a", 1)), None, None]);
    let stores: Vec<HostName> = (0..5).map(|number| host(&format!("store-{number}"))).collect();
    let empty_view = view(&[], &[]);
    let exports =
        plan(&finished_attempt(&chain, &empty_view, &stores), &StorePressure::new()).exports;
    let queried = lookups(&chain, &view_of_first, &stores);
    for export in &exports[1..] {
        assert!(queried[&export.store].iter().any(|block| block.name == export.name));
    }
    assert!(queried.values().flatten().all(|block| block.key != key(0)));
}
