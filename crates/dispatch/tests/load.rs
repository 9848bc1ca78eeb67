//! Health and load of servers, from local attempts and the reports of peers.

mod common;

use common::{id, report_at, report_of, reporting, request};
use dispatch::blocks::{CacheSalt, LinkShares, SharingScope};
use dispatch::eligibility::AllowedRegions;
use dispatch::load::{
    AttemptCost, Health, InFlightId, InFlightLoad, LoadHeader, LoadReport, Loads, Outcome,
    ServerTag, SessionTag,
};
use dispatch::registry::ServerId;

const SHORT: AttemptCost = AttemptCost {
    service_ms: 100.0,
    memory_tokens: 3_000,
    response_timeout_ms: 500,
    session: None,
};
/// A long prompt: 12,000 tokens, with a prefill of 218 ms.
const LONG: AttemptCost = AttemptCost {
    service_ms: 218.0,
    memory_tokens: 12_000,
    response_timeout_ms: 1_000,
    session: None,
};

fn sent(loads: &mut Loads, server: &ServerId, now_ms: u64) -> InFlightId {
    loads.sent(server, SHORT, now_ms)
}

#[test]
fn an_unresponsive_server_is_suspected_until_it_answers() {
    let (mut loads, server) = (Loads::new(), ServerId::new("a"));
    let attempt = sent(&mut loads, &server, 0);
    assert_eq!(loads.view(&server, 400).health, Health::Good);
    assert_eq!(loads.find_unresponsive(600), vec![server.clone()]);
    assert!(loads.find_unresponsive(700).is_empty(), "a suspicion is reported once");
    assert_eq!(loads.view(&server, 700).health, Health::Suspected);
    loads.started(&server, attempt, None, 800);
    assert_eq!(loads.view(&server, 900).health, Health::Good);
}

/// Hedges of late requests cancel attempts before their response timeout; without this, a silent
/// server would get one request after the other.
#[test]
fn a_silent_server_is_suspected_although_its_attempt_was_cancelled() {
    let (mut loads, server) = (Loads::new(), ServerId::new("a"));
    for sent_ms in [0, 200] {
        let attempt = sent(&mut loads, &server, sent_ms);
        loads.superseded(&server, attempt);
        loads.finished(&server, attempt, Outcome::Cancelled, sent_ms + 100);
    }
    assert_eq!(loads.view(&server, 400).health, Health::Good);
    assert_eq!(loads.view(&server, 400).in_flight, 0);
    assert_eq!(loads.find_unresponsive(600), vec![server.clone()]);
    loads.healthy(&server, 650);
    assert!(loads.find_unresponsive(5_000).is_empty());
    let attempt = sent(&mut loads, &server, 6_000);
    loads.superseded(&server, attempt);
    loads.finished(&server, attempt, Outcome::Cancelled, 6_100);
    loads.record_activity(&server, 6_200);
    assert!(loads.find_unresponsive(9_000).is_empty());
}

#[test]
fn bytes_on_another_connection_prevent_suspicion() {
    let (mut loads, server) = (Loads::new(), ServerId::new("a"));
    sent(&mut loads, &server, 0);
    loads.record_activity(&server, 300);
    assert!(loads.find_unresponsive(2_000).is_empty());
}

#[test]
fn bytes_received_during_a_health_check_outweigh_its_failure() {
    let (mut loads, server) = (Loads::new(), ServerId::new("a"));
    sent(&mut loads, &server, 0);
    loads.find_unresponsive(600);
    loads.record_activity(&server, 700);
    assert!(!loads.unhealthy(&server, 650, 1_000));
    assert!(!loads.is_offline(&server));
    assert!(!loads.is_suspected(&server));
}

#[test]
fn a_restarted_server_is_not_judged_by_its_former_incarnation() {
    let (mut loads, server) = (Loads::new(), ServerId::new("a"));
    let attempt = sent(&mut loads, &server, 0);
    loads.find_unresponsive(600);
    loads.unhealthy(&server, 650, 700);
    loads.restarted(&server, 700);
    assert!(!loads.is_offline(&server));
    assert_eq!(loads.view(&server, 800).health, Health::Good);
    assert!(loads.find_unresponsive(2_000).is_empty(), "old attempts say nothing of it");
    assert_eq!(loads.view(&server, 2_000).in_flight, 1);
    loads.finished(&server, attempt, Outcome::Cancelled, 2_100);
    assert_eq!(loads.view(&server, 2_100).in_flight, 0);
}

#[test]
fn a_passed_health_check_ends_the_suspicion_for_good() {
    let (mut loads, server) = (Loads::new(), ServerId::new("a"));
    sent(&mut loads, &server, 0);
    loads.find_unresponsive(600);
    assert!(loads.unhealthy(&server, 650, 700));
    assert!(loads.is_offline(&server));
    loads.healthy(&server, 900);
    assert!(!loads.is_offline(&server));
    assert!(loads.find_unresponsive(5_000).is_empty(), "old attempts must not raise it again");
}

#[test]
fn a_server_that_fails_half_its_requests_is_avoided_for_a_while() {
    let (mut loads, server) = (Loads::new(), ServerId::new("grey"));
    for attempt_number in 0..6 {
        let attempt = sent(&mut loads, &server, attempt_number * 100);
        let outcome = if attempt_number % 2 == 0 { Outcome::Failed } else { Outcome::Answered };
        loads.finished(&server, attempt, outcome, attempt_number * 100 + 50);
    }
    assert_eq!(loads.view(&server, 600).health, Health::Avoided);
    assert_eq!(loads.view(&server, 5_000).health, Health::Good);
}

#[test]
fn the_platforms_usual_share_of_failures_is_tolerated() {
    let (mut loads, server) = (Loads::new(), ServerId::new("desk"));
    for attempt_number in 0..28 {
        let attempt = sent(&mut loads, &server, attempt_number * 100);
        let outcome = if attempt_number % 7 == 0 { Outcome::Failed } else { Outcome::Answered };
        loads.finished(&server, attempt, outcome, attempt_number * 100 + 50);
        if attempt_number > 3 {
            assert_eq!(
                loads.view(&server, attempt_number * 100 + 60).health,
                Health::Good,
                "attempt {attempt_number}"
            );
        }
    }
}

#[test]
fn unstarted_time_covers_only_attempts_without_an_answer() {
    let (mut loads, server) = (Loads::new(), ServerId::new("a"));
    let first = sent(&mut loads, &server, 0);
    sent(&mut loads, &server, 10);
    let header = LoadHeader { running: 3, waiting: 1, slots: 64, slowdown: None };
    loads.started(&server, first, Some(header), 50);
    let view = loads.view(&server, 60);
    assert_eq!((view.in_flight, view.memory_tokens), (2, 6_000));
    assert!((view.unstarted_ms - 100.0).abs() < f64::EPSILON);
    assert_eq!(view.header, Some(header));
    assert_eq!(loads.view(&server, 10_000).header, None, "an old header expires");
}

#[test]
fn a_server_is_avoided_while_it_loads_weights() {
    let (mut loads, server) = (Loads::new(), ServerId::new("a"));
    loads.occupy(&server, 2_500);
    assert_eq!(loads.view(&server, 100).health, Health::Avoided);
    loads.release(&server);
    assert_eq!(loads.view(&server, 100).health, Health::Good);
}

/// Load pattern: bursts of arrivals at several gateways, each of which sees the same free server.
#[test]
fn the_load_of_peers_counts_until_their_reports_expire() {
    let server = ServerId::new("a");
    let (mut local, mut peer) = (Loads::new(), Loads::new());
    let attempt = peer.sent(&server, LONG, 0);
    local.apply_report(report_of(&mut peer, "host-2", 1), 0);
    let view = local.view(&server, 10);
    assert_eq!((view.in_flight, view.memory_tokens, view.unstarted_ms), (1, 12_000, 218.0));
    assert_eq!(local.reporting_gateways(), 1);
    local.sent(&server, LONG, 20);
    assert_eq!(local.view(&server, 20).memory_tokens, 24_000, "local and reported load add up");

    peer.started(&server, attempt, None, 30);
    local.apply_report(report_of(&mut peer, "host-2", 1), 30);
    assert_eq!(local.view(&server, 30).unstarted_ms, 218.0, "only the local attempt has no answer");
    local.expire_reports(900);
    assert_eq!(local.view(&server, 900).in_flight, 2);
    local.expire_reports(1_100);
    assert_eq!((local.view(&server, 1_100).in_flight, local.reporting_gateways()), (1, 0));
}

#[test]
fn a_reordered_report_changes_nothing() {
    let server = ServerId::new("a");
    let (mut local, mut peer) = (Loads::new(), Loads::new());
    let attempt = peer.sent(&server, LONG, 0);
    let early = report_of(&mut peer, "host-2", 1);
    peer.finished(&server, attempt, Outcome::Answered, 10);
    let late = report_of(&mut peer, "host-2", 1);
    local.apply_report(late, 20);
    local.apply_report(early.clone(), 21);
    assert_eq!(local.view(&server, 21).in_flight, 0);
    let restarted = LoadReport { incarnation: 2, ..early };
    local.apply_report(restarted, 22);
    assert_eq!(
        local.view(&server, 22).in_flight,
        1,
        "a restarted gateway numbers its reports anew"
    );
}

#[test]
fn a_report_is_written_only_after_a_change_or_when_due() {
    let server = ServerId::new("a");
    let mut loads = Loads::new();
    let report = |loads: &mut Loads, is_due| {
        reporting("host-1", "east-1", 1, |reporter| {
            loads.report(reporter, &LinkShares::new(), is_due, 0)
        })
    };
    assert_eq!(report(&mut loads, false), None);
    loads.sent(&server, LONG, 0);
    assert_eq!(report(&mut loads, false).map(|report| report.servers.len()), Some(1));
    assert_eq!(report(&mut loads, false), None);
    assert_eq!(report(&mut loads, true).map(|report| report.number), Some(2));
}

/// Load pattern: the gateways of one failure domain send most of their requests to other domains,
/// where each gateway's own load is only a small part of the total.
#[test]
fn a_relay_forwards_sums_between_its_domain_and_the_others() {
    let server = ServerId::new("a");
    let domain_report = |loads: &mut Loads, host, domain| {
        reporting(host, domain, 1, |reporter| loads.domain_report(reporter, &LinkShares::new()))
    };
    let remote_report = |loads: &mut Loads, host| {
        reporting(host, "east-1", 1, |reporter| loads.remote_report(reporter))
    };
    let [mut local, mut relay, mut remote] = std::array::from_fn(|_| Loads::new());
    remote.sent(&server, LONG, 0);
    relay.sent(&server, LONG, 0);
    relay.apply_report(domain_report(&mut remote, "host-w", "west-1"), 10);
    local.apply_report(report_of(&mut relay, "host-1", 1), 10);
    local.apply_report(remote_report(&mut relay, "host-1"), 10);
    assert_eq!(local.view(&server, 20).memory_tokens, 24_000);
    assert_eq!(local.reporting_gateways(), 2);
    assert_eq!(relay.view(&server, 20).memory_tokens, 24_000);

    local.sent(&server, LONG, 20);
    relay.apply_report(report_of(&mut local, "host-2", 1), 20);
    remote.apply_report(domain_report(&mut relay, "host-1", "east-1"), 30);
    assert_eq!((remote.view(&server, 30).in_flight, remote.reporting_gateways()), (3, 2));
    // Another host takes over as the relay, and its sequence numbers start anew.
    local.apply_report(remote_report(&mut relay, "host-0"), 40);
    assert_eq!(local.reporting_gateways(), 2);
}

fn session(version: u64, session: u64) -> SessionTag {
    let salt =
        CacheSalt::new(&id("m"), version, &SharingScope::Shared(None), &AllowedRegions::default());
    SessionTag::new(&salt, &request(session, 8_600, 2_900).prompt.unwrap()).unwrap()
}

/// Load pattern: a session returns within seconds, through any gateway, while the server of its
/// last run still holds the blocks.
#[test]
fn a_session_is_expected_where_it_runs_or_ran_recently() {
    let server = ServerId::new("a");
    let (mut local, mut peer) = (Loads::new(), Loads::new());
    let attempt = peer.sent(&server, AttemptCost { session: Some(session(1, 9)), ..LONG }, 0);
    local.apply_report(report_of(&mut peer, "host-2", 1), 50);
    let tag = Some(ServerTag::new(&server));
    assert_eq!(local.session_server(session(1, 9), 900), tag);
    assert_eq!(local.session_server(session(1, 8), 900), None, "another session");
    assert_eq!(local.session_server(session(2, 9), 900), None, "other weights");
    local.apply_report(report_at(&mut peer, "host-2", 1, 900), 900);
    assert_eq!(local.session_server(session(1, 9), 1_800), tag, "the request is still running");
    peer.finished(&server, attempt, Outcome::Answered, 1_000);
    local.apply_report(report_at(&mut peer, "host-2", 1, 1_000), 1_000);
    assert_eq!(local.session_server(session(1, 9), 1_890), tag);
    assert_eq!(local.session_server(session(1, 9), 1_900), None, "the entry has expired");
    assert_eq!(peer.session_server(session(1, 9), 1_890), tag);
}

#[test]
fn excessive_reported_loads_saturate() {
    let server = ServerId::new("a");
    let mut local = Loads::new();
    local.sent(&server, LONG, 0);
    let load =
        InFlightLoad { in_flight: u32::MAX, memory_tokens: u64::MAX, unstarted_ms: u32::MAX };
    for host in ["host-2", "host-3"] {
        let report = report_of(&mut Loads::new(), host, 1);
        let links = LinkShares::from([("127.0.0.1:11".parse().unwrap(), u32::MAX)]);
        let servers = vec![(ServerTag::new(&server), load)];
        local.apply_report(LoadReport { gateways: u32::MAX, servers, links, ..report }, 0);
    }
    assert_eq!(local.view(&server, 0).memory_tokens, u64::MAX);
    assert_eq!(local.reporting_gateways(), u32::MAX as usize);
}
