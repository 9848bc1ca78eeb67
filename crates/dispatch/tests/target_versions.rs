//! Since when target weight versions count.

use dispatch::target_versions::{TargetHistory, TargetTable, TargetVersions};
use protocol::ids::ModelName;

/// The time allowed for new weights, in milliseconds.
const ALLOWED_MS: u64 = 10_000;

fn model() -> ModelName {
    "m".parse().unwrap()
}

fn versions(table: &TargetTable) -> TargetVersions {
    table.get(&model()).cloned().unwrap_or_default()
}

/// Returns what a gateway knows that reads each version as it is named.
fn reader(named: &[(u64, u64)]) -> TargetTable {
    let mut table = TargetTable::default();
    table.record_complete(0);
    for (version, at_ms) in named {
        table.record_read(&model(), *version, Some(*at_ms), *at_ms);
        table.record_complete(*at_ms);
    }
    table
}

/// Returns what a gateway knows that starts and lists the newest version.
fn started(version: u64, at_ms: u64) -> TargetTable {
    let mut table = TargetTable::default();
    table.record_read(&model(), version, None, at_ms);
    table.record_complete(at_ms);
    table
}

/// Returns what a gateway learns of another whose answer takes some time; their clocks agree.
fn reported(table: &TargetTable, took_ms: i64) -> TargetHistory {
    table.history().shifted(-took_ms, took_ms)
}

#[test]
fn a_later_version_does_not_hide_that_an_older_one_is_overdue() {
    let mut table = reader(&[(2, 10_000), (3, 18_500)]);
    table.record_read(&model(), 2, None, 19_000);
    let versions = versions(&table);
    assert_eq!(versions.oldest_usable(ALLOWED_MS, 16_700), 0);
    assert_eq!(versions.oldest_usable(ALLOWED_MS, 17_300), 2, "version 1 may no longer be used");
    assert_eq!(versions.oldest_usable(ALLOWED_MS, 25_800), 3);
}

/// A server may be silent for a second before it notices.
#[test]
fn a_request_that_waits_at_older_weights_is_aborted_before_the_limit() {
    let versions = versions(&reader(&[(2, 10_000), (3, 18_500)]));
    assert_eq!(versions.abort_at_ms(1, ALLOWED_MS), Some(18_600));
    assert_eq!(versions.abort_at_ms(2, ALLOWED_MS), Some(27_100));
    assert_eq!(versions.abort_at_ms(3, ALLOWED_MS), None);
}

#[test]
fn a_gateway_that_starts_after_the_second_of_two_versions_learns_when_the_first_was_named() {
    let peer = reader(&[(2, 65_000), (3, 69_000)]);
    let mut table = started(3, 69_100);
    table.merge(&reported(&peer, 20));
    let versions = versions(&table);
    assert_eq!(versions.oldest_usable(ALLOWED_MS, 71_700), 0);
    assert_eq!(versions.oldest_usable(ALLOWED_MS, 71_800), 2);
    assert_eq!(versions.oldest_usable(ALLOWED_MS, 75_800), 3);
}

/// The time of version 3 says nothing of a version 2 that a listing leaves out.
#[test]
fn a_version_that_a_listing_leaves_out_counts_although_the_newest_is_dated() {
    let mut table = started(3, 69_100);
    let before = versions(&table).oldest_usable(ALLOWED_MS, 71_000);
    // It listed version 3 too, a little earlier.
    table.merge(&reported(&started(3, 69_050), 20));
    table.record_newest(&model(), 3, 69_060);
    let versions = versions(&table);
    assert_eq!((before, versions.oldest_usable(ALLOWED_MS, 71_000)), (3, 3));
    assert!(table.is_uncertain(ALLOWED_MS, 71_000));
}

#[test]
fn versions_that_a_gateway_lists_late_count_from_when_it_last_read() {
    let mut table = TargetTable::default();
    table.record_complete(60_000);
    // The store refuses this gateway for six seconds; versions 2 and 3 are named meanwhile.
    table.record_read(&model(), 3, None, 66_000);
    table.record_complete(66_000);
    let versions = versions(&table);
    assert_eq!(versions.oldest_usable(ALLOWED_MS, 66_700), 0);
    assert_eq!(versions.oldest_usable(ALLOWED_MS, 66_800), 3);
    assert!(!table.is_uncertain(ALLOWED_MS, 66_100));
}

#[test]
fn what_a_peer_reports_never_loosens() {
    let mut table = reader(&[(2, 65_000)]);
    table.merge(&reported(&started(2, 68_000), 20));
    let mut late = TargetTable::default();
    late.record_complete(64_000);
    late.record_read(&model(), 2, None, 69_000);
    table.merge(&reported(&late, 20));
    assert_eq!(versions(&table), versions(&reader(&[(2, 65_000)])));
}

/// The copy had lost version 2, and the operator names it again.
#[test]
fn a_version_that_is_named_again_after_a_step_back_of_the_store_counts_from_the_first_time() {
    let again = reader(&[(2, 69_000)]);
    let mut table = reader(&[(2, 65_000)]);
    table.record_read(&model(), 2, Some(69_000), 69_000);
    table.merge(&reported(&again, 20));
    assert_eq!(versions(&table).newest_since_ms(ALLOWED_MS), Some(65_000));
    let mut table = again;
    table.merge(&reported(&reader(&[(2, 65_000)]), 20));
    assert_eq!(versions(&table).newest_since_ms(ALLOWED_MS), Some(64_980));
}

#[test]
fn an_older_version_that_a_peer_of_an_earlier_build_names_counts_as_unknown() {
    let mut table = started(3, 69_100);
    table.record_newest(&model(), 2, 69_300);
    let known: Vec<u64> = versions(&table).versions().iter().map(|known| known.version).collect();
    assert_eq!(known, [2, 3]);
    assert_eq!(versions(&table).oldest_usable(ALLOWED_MS, 71_000), 3);
}

#[test]
fn the_spans_of_neighbouring_versions_bound_each_other() {
    let mut table = TargetTable::default();
    table.record_complete(60_000);
    table.record_read(&model(), 3, None, 66_000);
    table.record_newest(&model(), 2, 66_500);
    let spans = |table: &TargetTable| -> Vec<(u64, Option<u64>, u64)> {
        let versions = versions(table);
        let spans = versions.versions().iter();
        spans.map(|known| (known.version, known.earliest_ms, known.latest_ms)).collect()
    };
    assert_eq!(spans(&table), [(2, Some(60_000), 66_000), (3, Some(60_000), 66_000)]);
    table.record_newest(&model(), 3, 62_000);
    assert_eq!(spans(&table), [(2, Some(60_000), 62_000), (3, Some(60_000), 62_000)]);
    // What was read of versions after 2 says nothing of those before.
    table.merge(&reported(&started(2, 61_000), 0));
    assert_eq!(spans(&table), [(2, Some(60_000), 61_000), (3, Some(61_000), 62_000)]);
    table.forget_outdated(ALLOWED_MS, 72_000);
    assert_eq!(spans(&table), [(3, None, 62_000)]);
}

#[test]
fn what_a_peer_has_read_bounds_what_is_listed_later() {
    let mut table = TargetTable::default();
    table.merge(&reported(&reader(&[(2, 65_000)]), 20));
    table.record_read(&model(), 3, None, 69_000);
    assert_eq!(versions(&table).newest_since_ms(ALLOWED_MS), Some(64_980));
}

#[test]
fn what_a_peer_has_read_bounds_what_was_listed_before() {
    let mut peer = reader(&[(2, 65_000)]);
    peer.record_complete(68_000);
    let mut table = started(3, 69_100);
    table.merge(&reported(&peer, 20));
    assert_eq!(versions(&table).newest_since_ms(ALLOWED_MS), Some(67_980));
}

#[test]
fn versions_that_do_not_fit_do_not_make_older_ones_seem_later() {
    let mut table = TargetTable::default();
    for version in 10..18 {
        table.record_read(&model(), version, None, 70_000);
    }
    table.merge(&reported(&reader(&[(5, 60_000), (6, 69_000)]), 0));
    assert_eq!(versions(&table).abort_at_ms(4, ALLOWED_MS), Some(68_600));
}

#[test]
fn versions_are_forgotten_once_newer_ones_make_them_irrelevant() {
    let mut table = reader(&[(2, 65_000), (3, 69_000)]);
    table.forget_outdated(ALLOWED_MS, 78_900);
    assert_eq!(versions(&table).versions().len(), 2);
    table.forget_outdated(ALLOWED_MS, 79_000);
    assert_eq!(versions(&table).versions().len(), 1);
    assert_eq!(versions(&table).oldest_usable(ALLOWED_MS, 79_000), 3);
    assert!(!table.is_uncertain(ALLOWED_MS, 79_000));
    let many: Vec<(u64, u64)> = (2..30).map(|version| (version, 60_000 + version * 100)).collect();
    let table = reader(&many);
    assert_eq!(versions(&table).versions().len(), 8);
    assert_eq!(versions(&table).oldest_usable(ALLOWED_MS, 60_200 + 6_800), 22);
}

/// A gateway that stood still for eight seconds, or that the store refused, knows a version only to
/// within that time; others know it to within a moment. It must ask them, as one that starts does:
/// until it knows better, it uses no server that has not loaded the version.
#[test]
fn a_gateway_that_knows_a_version_only_to_a_wide_span_asks_others() {
    let mut table = reader(&[(1, 50_000)]);
    table.record_complete(60_000);
    table.record_read(&model(), 2, None, 68_000);
    table.record_complete(68_000);
    assert_eq!(versions(&table).oldest_usable(ALLOWED_MS, 68_000), 2);
    assert!(table.is_uncertain(ALLOWED_MS, 68_000), "nothing makes it ask");
}

/// A report's time that lies ahead of the clock says nothing about versions to come, and must not
/// displace what reading shows.
#[test]
fn a_report_from_the_future_does_not_displace_what_was_read() {
    let mut table = reader(&[(1, 50_000)]);
    let history = TargetHistory { complete_until_ms: Some(u64::MAX), models: Vec::new() };
    table.merge(&history);
    table.record_read(&model(), 2, Some(70_000), 70_100);
    assert_eq!(versions(&table).newest_since_ms(ALLOWED_MS), Some(70_000));
}

/// As in the record of a lease that another writer wrote. The version counts from the last read.
#[test]
fn a_confirmation_at_the_end_of_time_does_not_overflow() {
    let mut table = reader(&[(1, 50_000)]);
    table.record_newest(&model(), 2, u64::MAX);
    table.forget_outdated(ALLOWED_MS, 60_000);
    assert_eq!(versions(&table).oldest_usable(ALLOWED_MS, 60_000), 2);
}
