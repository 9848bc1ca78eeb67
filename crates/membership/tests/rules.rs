//! The rules for merging records with each other and with local evidence.

mod common;

use common::{entry, local_table, name, server};
use membership::limits::{SUSPECT_RETENTION_MS, SUSPICION_TIMEOUT_MS, UNREACHABLE_AFTER_MS};
use membership::{HostTable, Reachability, Source, exchange};
use protocol::ids::{ConfigVersion, Incarnation};
use protocol::message::hosts::HostRecord;
use std::slice;

const NOW_MS: u64 = 1_000_000;

fn reachability(table: &HostTable, host: &str, now_ms: u64) -> Option<Reachability> {
    let view = table.view(now_ms);
    let entry_host = view.entry_host(&name(host)).map(|found| found.reachability);
    let server = view.servers().find(|server| server.host == name(host));
    entry_host.or(server.map(|server| server.reachability))
}

fn usable(table: &HostTable, now_ms: u64) -> Vec<String> {
    let view = table.view(now_ms);
    let service = "shades".parse().expect("a name");
    view.usable_servers(&service).map(|server| server.host.to_string()).collect()
}

#[test]
fn a_greater_incarnation_wins_from_any_source_and_an_older_one_changes_nothing() {
    for source in [Source::List, Source::Gossip, Source::Exchange] {
        let table = local_table("a", NOW_MS);
        let leaving = HostRecord { leaving: true, ..server("s", 5, 1) };
        table.merge(slice::from_ref(&leaving), Source::List, NOW_MS);
        table.merge(&[server("s", 6, 1)], source, NOW_MS);
        table.merge(&[leaving], source, NOW_MS);
        assert_eq!(usable(&table, NOW_MS), ["s"], "{source:?}");
    }
}

#[test]
fn leaving_from_any_source_persists_for_the_incarnation() {
    let table = local_table("a", NOW_MS);
    table.merge(&[server("s", 5, 1)], Source::List, NOW_MS);
    table.observe_report(&name("s"), Incarnation::new(5), true, NOW_MS);
    table.observe_report(&name("s"), Incarnation::new(5), false, NOW_MS + 1);
    table.merge(&[server("s", 5, 1)], Source::List, NOW_MS + 2);
    assert!(usable(&table, NOW_MS + 3).is_empty());
}

#[test]
fn an_older_record_for_an_address_does_not_reappear() {
    // Covers both name orders in every shard, so that either record may be iterated first.
    for (old, new) in (0..40).map(|n| (format!("old-{n}"), format!("new-{n}"))) {
        let table = local_table("a", NOW_MS);
        table.merge(&[server(&new, 9, 1)], Source::List, NOW_MS);
        table.merge(&[server(&old, 5, 1)], Source::Gossip, NOW_MS);
        assert_eq!(usable(&table, NOW_MS), slice::from_ref(&new));
        assert_eq!(reachability(&table, &old, NOW_MS), None);
    }
}

#[test]
fn a_report_of_an_earlier_incarnation_does_not_count_as_contact() {
    let table = local_table("a", NOW_MS);
    table.merge(&[entry("b", 6, 2)], Source::List, NOW_MS);
    table.observe_failure(&name("b"), Incarnation::new(6), NOW_MS);
    table.observe_report(&name("b"), Incarnation::new(5), true, NOW_MS);
    assert_eq!(reachability(&table, "b", NOW_MS), Some(Reachability::Suspect));
    assert!(!table.record(&name("b")).expect("the row").leaving);
}

#[test]
fn a_restarted_server_under_its_old_name_shares_the_leaving_mark_of_its_new_name() {
    let table = local_table("a", NOW_MS);
    table.merge(&[server("old", 5, 1)], Source::List, NOW_MS);
    table.observe_report(&name("old"), Incarnation::new(9), false, NOW_MS);
    let replacement = HostRecord { leaving: true, ..server("renamed", 9, 1) };
    table.merge(&[replacement], Source::List, NOW_MS);
    assert!(usable(&table, NOW_MS).is_empty());
}

#[test]
fn failed_probes_make_a_host_suspect_then_unreachable_until_the_next_contact() {
    let table = local_table("a", NOW_MS);
    table.merge(&[entry("b", 5, 2)], Source::List, NOW_MS);
    let five = Incarnation::new(5);
    table.observe_failure(&name("b"), five, NOW_MS);
    assert_eq!(reachability(&table, "b", NOW_MS), Some(Reachability::Suspect));
    table.observe_failure(&name("b"), five, NOW_MS + 500);
    let later_ms = NOW_MS + UNREACHABLE_AFTER_MS;
    assert_eq!(reachability(&table, "b", later_ms), Some(Reachability::Unreachable));
    table.observe_report(&name("b"), five, false, later_ms + 1);
    assert_eq!(reachability(&table, "b", later_ms + 1), Some(Reachability::Live));
}

#[test]
fn a_failure_of_an_earlier_incarnation_does_not_count_against_a_later_one() {
    let table = local_table("a", NOW_MS);
    table.merge(&[entry("b", 6, 2)], Source::List, NOW_MS);
    table.observe_failure(&name("b"), Incarnation::new(5), NOW_MS);
    assert_eq!(reachability(&table, "b", NOW_MS), Some(Reachability::Live));
}

#[test]
fn a_suspicion_by_a_peer_is_unconfirmed_and_local_contact_overrides_it() {
    let table = local_table("a", NOW_MS);
    let suspected = HostRecord { suspected_at_ms: Some(NOW_MS), ..entry("b", 5, 2) };
    table.merge(&[entry("b", 5, 2)], Source::List, NOW_MS);
    table.merge(&[suspected], Source::Gossip, NOW_MS);
    assert_eq!(reachability(&table, "b", NOW_MS), Some(Reachability::Suspect));
    assert_eq!(table.unconfirmed(9).len(), 1);
    let late_ms = NOW_MS + SUSPICION_TIMEOUT_MS;
    assert_eq!(reachability(&table, "b", late_ms), Some(Reachability::Unreachable));
    table.observe_report(&name("b"), Incarnation::new(5), false, late_ms);
    assert_eq!(reachability(&table, "b", late_ms), Some(Reachability::Live));
    let refuted = table.record(&name("b")).expect("the row");
    assert_eq!((refuted.refutations, refuted.suspected_at_ms), (1, None));
}

#[test]
fn a_host_refutes_suspicion_of_itself() {
    let table = local_table("a", NOW_MS);
    let local = table.record(&name("a")).expect("the local row");
    table.merge(&[HostRecord { suspected_at_ms: Some(1), ..local }], Source::Gossip, NOW_MS);
    let local = table.record(&name("a")).expect("the local row");
    assert_eq!((local.refutations, local.suspected_at_ms), (1, None));
    assert_eq!(reachability(&table, "a", NOW_MS), Some(Reachability::Live));
}

#[test]
fn a_later_incarnation_of_the_local_host_supersedes_it() {
    let table = local_table("a", NOW_MS);
    let local = table.record(&name("a")).expect("the local row");
    let later = HostRecord { incarnation: Incarnation::new(99), ..local };
    table.merge(&[later], Source::Gossip, NOW_MS);
    assert!(table.is_superseded());
}

#[test]
fn suspected_hosts_are_retained_for_a_day_and_not_accepted_again_afterwards() {
    let table = local_table("a", NOW_MS);
    let suspected = HostRecord { suspected_at_ms: Some(NOW_MS), ..entry("b", 5, 2) };
    table.merge(slice::from_ref(&suspected), Source::Exchange, NOW_MS);
    let last_ms = NOW_MS + SUSPECT_RETENTION_MS - 1;
    assert_eq!(reachability(&table, "b", last_ms), Some(Reachability::Unreachable));
    assert_eq!(reachability(&table, "b", last_ms + 1), None);
    table.merge(&[suspected], Source::Exchange, last_ms + 2);
    assert_eq!(reachability(&table, "b", last_ms + 2), None);
}

#[test]
fn a_probe_answered_by_another_host_is_a_failure_of_the_probed_one() {
    let table = local_table("a", NOW_MS);
    table.merge(&[entry("b", 5, 2)], Source::List, NOW_MS);
    let other = local_table("c", NOW_MS);
    let probe = exchange::probe(&table, ConfigVersion::new(1));
    let ack = exchange::answer_probe(&other, &probe, ConfigVersion::new(1), NOW_MS);
    let probed = name("b");
    exchange::accept_ack(&table, Some((&probed, Incarnation::new(5))), &ack, NOW_MS);
    assert_eq!(reachability(&table, "b", NOW_MS), Some(Reachability::Suspect));
}

#[test]
fn two_hosts_per_domain_that_are_reachable_and_not_leaving_read_the_list() {
    let table = local_table("a", NOW_MS);
    let hosts: Vec<HostRecord> =
        ["b", "c", "d", "e"].map(|host| entry(host, 5, host.as_bytes()[0])).into();
    table.merge(&hosts, Source::List, NOW_MS);
    let domain = "north-1".parse().expect("a domain");
    let view = table.view(NOW_MS);
    let before: Vec<_> = view.list_readers(&domain).into_iter().cloned().collect();
    assert_eq!(before.len(), 2);
    let leaving_host = before.iter().find(|host| **host != name("a")).expect("another host");
    let record = table.record(leaving_host).expect("the row");
    table.merge(&[HostRecord { leaving: true, ..record }], Source::List, NOW_MS);
    let view = table.view(NOW_MS);
    let after = view.list_readers(&domain);
    assert!(after.len() == 2 && !after.contains(&leaving_host));
}
