//! Recovery through probes: of unreachable hosts, of servers that a node does not watch, and of the
//! tables of new nodes.

mod common;

use common::{entry, local_table, name, server};
use membership::limits::{TICK_MS, UNREACHABLE_AFTER_MS};
use membership::{HostTable, ProbeRequest, Prober, Reachability, Source, exchange};
use protocol::ids::{ConfigVersion, Incarnation};
use protocol::message::hosts::HostRecord;
use protocol::rendezvous::mix;

const NOW_MS: u64 = 1_000_000;
const CONFIG: ConfigVersion = ConfigVersion::new(1);
const ONE: Incarnation = Incarnation::new(1);

fn fail_probes(table: &HostTable, host: &str, now_ms: u64) {
    for _ in 0..3 {
        table.observe_failure(&name(host), ONE, now_ms);
    }
}

/// Ticks until a host is probed and returns that time; panics after 100 ticks without a probe.
fn tick_until_probed(table: &HostTable, host: &str, mut now_ms: u64) -> u64 {
    let mut prober = Prober::new();
    for _ in 0..100 {
        now_ms += TICK_MS;
        let requests = prober.tick(table, now_ms, mix(now_ms));
        if requests.iter().any(|request| request.target().host == name(host)) {
            return now_ms;
        }
    }
    panic!("{host} was never probed");
}

#[test]
fn two_nodes_that_marked_each_other_unreachable_recover() {
    let (a, b) = (local_table("a", NOW_MS), local_table("b", NOW_MS));
    a.merge(&[entry("b", 1, b'b')], Source::List, NOW_MS);
    b.merge(&[entry("a", 1, b'a')], Source::List, NOW_MS);
    fail_probes(&a, "b", NOW_MS);
    fail_probes(&b, "a", NOW_MS);
    let now_ms = tick_until_probed(&a, "b", NOW_MS + UNREACHABLE_AFTER_MS);
    let probe = exchange::probe(&a, CONFIG);
    let ack = exchange::answer_probe(&b, &probe, CONFIG, now_ms);
    exchange::accept_ack(&a, Some((&name("b"), ONE)), &ack, now_ms);
    for (table, peer) in [(&a, "b"), (&b, "a")] {
        let view = table.view(now_ms);
        let found = view.entry_host(&name(peer)).expect("the peer");
        assert_eq!(found.reachability, Reachability::Live);
    }
}

#[test]
fn an_unreachable_server_is_probed_by_nodes_that_do_not_watch_it() {
    let table = local_table("a", NOW_MS);
    let peers: Vec<HostRecord> = (0..40).map(|n| entry(&format!("peer-{n}"), 1, 100 + n)).collect();
    table.merge(&peers, Source::List, NOW_MS);
    let servers = ["s1", "s2", "s3"].map(|host| server(host, 1, host.as_bytes()[1]));
    table.merge(&servers, Source::List, NOW_MS);
    let view = table.view(NOW_MS);
    let watched = view.watched_by(&name("a"));
    let unwatched =
        view.servers().find(|server| !watched.contains(server)).expect("one not watched");
    fail_probes(&table, unwatched.host.as_str(), NOW_MS);
    tick_until_probed(&table, unwatched.host.as_str(), NOW_MS + UNREACHABLE_AFTER_MS);
}

#[test]
fn a_refuted_suspicion_leaves_an_unreachable_host_unconfirmed_and_probed() {
    let table = local_table("a", NOW_MS);
    table.merge(&[entry("b", 1, 2)], Source::List, NOW_MS);
    fail_probes(&table, "b", NOW_MS);
    let now_ms = NOW_MS + UNREACHABLE_AFTER_MS;
    assert!(Prober::new().tick(&table, now_ms, 0).is_empty());
    table.merge(&[HostRecord { refutations: 1, ..entry("b", 1, 2) }], Source::Gossip, now_ms);
    let requests = Prober::new().tick(&table, now_ms, 0);
    assert!(matches!(&requests[..], [ProbeRequest::Peer(target)] if target.host == name("b")));
}

#[test]
fn contact_with_one_host_of_a_domain_marks_its_other_hosts_unconfirmed() {
    let table = local_table("a", NOW_MS);
    table.merge(&[server("s", 1, 1), server("t", 1, 2)], Source::List, NOW_MS);
    fail_probes(&table, "s", NOW_MS);
    fail_probes(&table, "t", NOW_MS);
    let now_ms = NOW_MS + UNREACHABLE_AFTER_MS;
    assert!(table.unconfirmed(9).is_empty());
    table.observe_report(&name("t"), ONE, false, now_ms);
    let unconfirmed: Vec<_> = table.unconfirmed(9).into_iter().map(|record| record.host).collect();
    assert_eq!(unconfirmed, [name("s")]);
}

#[test]
fn a_refuted_suspicion_is_not_raised_again_by_local_failures() {
    let table = local_table("a", NOW_MS);
    table.merge(&[server("s", 1, 1)], Source::List, NOW_MS);
    table.merge(&[HostRecord { refutations: 1, ..server("s", 1, 1) }], Source::Gossip, NOW_MS);
    fail_probes(&table, "s", NOW_MS);
    assert_eq!(table.record(&name("s")).expect("the row").suspected_at_ms, None);
    let now_ms = NOW_MS + UNREACHABLE_AFTER_MS;
    assert_eq!(table.view(now_ms).servers().filter(|server| server.is_usable()).count(), 0);
}

#[test]
fn a_new_node_fetches_the_complete_table_from_one_peer() {
    let (old, new) = (local_table("a", NOW_MS), local_table("b", NOW_MS));
    let hosts: Vec<HostRecord> = (0..250).map(|n| server(&format!("server-{n}"), 1, n)).collect();
    old.merge(&hosts, Source::Exchange, NOW_MS);
    let mut now_ms = NOW_MS;
    while new.digest() != old.digest() {
        now_ms += 1_000;
        assert!(now_ms < NOW_MS + 30_000, "the tables still differ");
        let probe = exchange::probe(&new, CONFIG);
        let ack = exchange::answer_probe(&old, &probe, CONFIG, now_ms);
        if let Some(request) = exchange::accept_ack(&new, None, &ack, now_ms) {
            let answer = exchange::answer_exchange(&old, &request, now_ms);
            exchange::accept_answer(&new, &answer, now_ms);
        }
    }
    assert_eq!(new.view(now_ms).servers().count(), hosts.len());
}
