//! Sums of other hosts, and the times at which refused callers come back.

mod common;

use admission::deadline::Timing;
use admission::fair_share::{WorkByUrgency, WorkSums};
use admission::gate::{AdmissionRequest, Gate};
use admission::peer_sums::{Covered, MAX_ROWS, PaceRow, PeerSums, SumTable, SumsReport, Writer};
use admission::return_times::ReturnTimes;
use common::organisation;
use protocol::error::ErrorKind;
use protocol::ids::HostName;
use protocol::tags::{OrganisationTag, ServiceTag};

fn service() -> ServiceTag {
    ServiceTag::new(&"desk".parse().unwrap())
}

fn tag(index: usize) -> OrganisationTag {
    OrganisationTag::new(Some(&organisation(&format!("organisation-{index}"))))
}

fn host(index: usize) -> HostName {
    format!("gateway-{index:03}").parse().unwrap()
}

fn work(offered: f64) -> WorkByUrgency {
    [WorkSums { offered, admitted: offered }, WorkSums::default(), WorkSums::default()]
}

fn table(offered: f64) -> SumTable {
    let mut sums = SumTable::default();
    sums.add(service(), tag(0), &work(offered));
    sums
}

fn report(peers: &mut PeerSums, index: usize, local: &SumTable, now_ms: u64) -> SumsReport {
    let host = host(index);
    peers.report(&Writer { host: &host, incarnation: 1 }, local, now_ms)
}

/// Returns the work of the first organisation that a host without work sees at others.
fn seen(peers: &mut PeerSums, now_ms: u64) -> f64 {
    seen_beside(peers, &SumTable::default(), now_ms)
}

/// The same at a host with work of its own.
fn seen_beside(peers: &mut PeerSums, local: &SumTable, now_ms: u64) -> f64 {
    let mut view = peers.view(local, now_ms);
    view.take(service()).get(&tag(0)).map_or(0.0, |work| work[0].offered)
}

/// Fails if a late message replaces a newer one, or the age of sums does not count.
#[test]
fn the_newest_sums_of_a_host_replace_others() {
    let (mut local, mut other) = (PeerSums::new(host(0)), PeerSums::new(host(1)));
    let first = report(&mut other, 1, &table(500.0), 0);
    let second = report(&mut other, 1, &table(800.0), 0);
    assert!(local.apply(second, 1_000) && !local.apply(first, 1_001));
    assert_eq!(seen(&mut local, 1_000), 800.0);
    assert!(seen(&mut local, 3_999) < 500.0);
}

/// Fails if the work of a host that is cut off, and goes on, counts as none at the others.
#[test]
fn the_last_sums_of_a_silent_host_count_for_a_minute() {
    let (mut local, mut other) = (PeerSums::new(host(0)), PeerSums::new(host(1)));
    local.apply(report(&mut other, 1, &table(800.0), 0), 0);
    for now_ms in [4_000, 30_000, 59_999] {
        let seen = seen(&mut local, now_ms);
        assert!((600.0..=800.0).contains(&seen), "{seen} at {now_ms}");
    }
    let view = local.view(&SumTable::default(), 59_999);
    assert!(view.is_cut_off && view.hosts == 1);
    assert_eq!(view.age_ms, Some(59_999));
    let view = local.view(&SumTable::default(), 60_000);
    assert_eq!((view.hosts, view.is_cut_off, seen(&mut local, 60_000)), (0, false, 0.0));
}

/// Fails if the callers of a host that has ended are counted twice: by its last sums, and at the host
/// to which they have moved.
#[test]
fn the_last_sums_of_a_host_whose_callers_moved_do_not_count() {
    let (mut local, mut other) = (PeerSums::new(host(0)), PeerSums::new(host(1)));
    local.apply(report(&mut other, 1, &table(800.0), 0), 0);
    let before = seen_beside(&mut local, &table(200.0), 4_000);
    assert!((600.0..=800.0).contains(&before), "{before}");
    let moving = seen_beside(&mut local, &table(600.0), 5_000);
    assert!((200.0..=400.0).contains(&moving), "{moving}");
    assert_eq!(seen_beside(&mut local, &table(1_000.0), 6_000), 0.0);
}

/// Fails if a host that is heard again, or started anew, counts by its last sums too.
#[test]
fn a_host_that_is_heard_again_counts_by_its_new_sums() {
    let (mut local, mut other) = (PeerSums::new(host(0)), PeerSums::new(host(1)));
    local.apply(report(&mut other, 1, &table(800.0), 0), 0);
    assert!(seen(&mut local, 10_000) > 0.0);
    assert!(local.apply(report(&mut other, 1, &table(50.0), 10_000), 10_000));
    assert_eq!(seen(&mut local, 10_000), 50.0);
    assert!(!local.view(&SumTable::default(), 10_000).is_cut_off);
}

/// Fails if messages under ever new names take more and more memory.
#[test]
fn the_number_of_hosts_that_are_kept_is_bounded() {
    let mut local = PeerSums::new(host(0));
    for index in 1..=2_000 {
        let sent = report(&mut PeerSums::new(host(index)), index, &table(1.0), 0);
        local.apply(sent, 0);
    }
    assert_eq!(local.view(&SumTable::default(), 0).hosts, 1_024);
}

/// Fails if a host counts its own work twice once a relay sends the sums of all.
#[test]
fn a_host_subtracts_its_own_work_from_the_sums_of_a_relay() {
    let (mut local, mut relay) = (PeerSums::new(host(0)), PeerSums::new(host(1)));
    relay.apply(report(&mut local, 0, &table(500.0), 0), 0);
    let (writer, domain) = (host(1), Covered::FailureDomain("east-1".parse().unwrap()));
    let writer = Writer { host: &writer, incarnation: 1 };
    let [about_domain, about_all] = relay.relay_reports(domain, &writer, &table(300.0), 0);
    assert_eq!((about_domain.hosts, about_all.hosts), (2, 2));
    assert!(local.apply(about_all, 0));
    assert_eq!((seen(&mut local, 0), local.view(&SumTable::default(), 0).hosts), (300.0, 1));
}

/// Fails if one host could claim so much work that all others look small, or crash the sums.
#[test]
fn absurd_rows_are_capped_at_what_one_host_could_carry() {
    const CARRIED_TOKENS: f64 = 4e7;
    let (mut local, mut other) = (PeerSums::new(host(0)), PeerSums::new(host(1)));
    let mut absurd = report(&mut other, 1, &table(4e9), 0);
    absurd.rows[0].urgency = u8::MAX;
    absurd.rows[0].admitted = u32::MAX;
    assert!(local.apply(absurd.clone(), 0));
    let all: WorkByUrgency = local.view(&SumTable::default(), 0).take(service())[&tag(0)];
    assert_eq!(all.iter().map(|work| work.offered).sum::<f64>(), CARRIED_TOKENS);
    assert!(all.iter().all(|work| work.admitted <= work.offered));
    absurd.hosts = u32::MAX;
    absurd.number += 1;
    assert!(local.apply(absurd, 0));
    assert!(local.view(&SumTable::default(), 0).silent_ratio(7).is_finite());
}

/// Fails if a message outgrows 2 KB, with all rows and with the members of a large failure domain.
#[test]
fn a_message_has_at_most_two_kilobytes() {
    for members in [0, 29, 117] {
        let mut relay = PeerSums::new(host(0));
        let mut local = SumTable::default();
        for index in 0..200 {
            local.add(service(), tag(index), &work(3e9 + index as f64));
        }
        for index in 0..8 {
            let service = ServiceTag::new(&format!("service-{index}").parse().unwrap());
            let large = u32::MAX;
            let (samples, hold_us, ns_per_token) = (large, large, large);
            local.add_pace(PaceRow { service, samples, hold_us, ns_per_token, room_ms: large });
        }
        for index in 1..=members {
            let member = report(&mut PeerSums::new(host(index)), index, &table(1.0), 0);
            relay.apply(member, 0);
        }
        let (writer, domain) = (host(0), Covered::FailureDomain("east-1".parse().unwrap()));
        let writer = Writer { host: &writer, incarnation: u64::MAX };
        for sent in relay.relay_reports(domain, &writer, &local, 0) {
            let bytes = rmp_serde::to_vec(&sent).unwrap().len();
            assert!(bytes <= 2_048, "{members} members: {bytes} bytes");
            assert!(sent.rows.len() <= MAX_ROWS && sent.rows.len() >= 30, "{}", sent.rows.len());
        }
    }
}

/// Fails if the share of an organisation does not count what it has got at other hosts.
#[test]
fn work_at_other_hosts_counts_towards_a_share() {
    let gate = Gate::<OrganisationTag>::new();
    let timing = |queue_ms| Timing { queue_ms, processing_ms: 0.0, deadline_ms: 2_000.0 };
    let request = |organisation, queue_ms| AdmissionRequest {
        organisation,
        weight: 1,
        recomputed_tokens: 500,
        max_answer_tokens: 0,
        timing: timing(queue_ms),
    };
    let (small, large) = (tag(1), tag(2));
    let admitted = |offered, admitted| {
        [WorkSums { offered, admitted }, WorkSums::default(), WorkSums::default()]
    };
    let peers = [(small, admitted(1e5, 1e5)), (large, admitted(9e6, 9e5))];
    gate.shares().set_peers(peers.into_iter().collect(), 0.0, 0);
    assert!(gate.check(&request(&small, 1_500.0), 0, 0).is_ok());
    let refused = gate.check(&request(&large, 1_500.0), 0, 0).unwrap_err();
    assert_eq!(refused.excess.kind, ErrorKind::OverFairShare);
    assert!(gate.check(&request(&large, 100.0), 0, 0).is_ok(), "little queues");
}

/// Fails if callers that were refused later are told to come back before others.
#[test]
fn callers_that_were_refused_first_come_back_first() {
    let mut returns = ReturnTimes::new();
    let mut last_ms = 0;
    for now_ms in 0..200 {
        // The backlog is expected to shrink sooner and sooner.
        let wait_ms = 400.0 - 2.0 * now_ms as f64;
        let at_ms = now_ms + returns.book(1, wait_ms, 3.0, 60_000.0, now_ms);
        assert!(at_ms >= last_ms, "{at_ms} after {last_ms}");
        assert!(at_ms <= 400 + 301, "more than a few hundred milliseconds of spread: {at_ms}");
        last_ms = at_ms;
    }
    let urgent_ms = 200 + returns.book(0, 100.0, 3.0, 60_000.0, 200);
    assert!(urgent_ms < last_ms, "a more urgent caller waits for less urgent ones");
    assert!(returns.book(1, 9_000.0, 3.0, 600.0, 200) <= 200, "beyond what a caller honours");
}
