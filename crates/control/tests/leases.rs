//! The verdicts on lease records and the behaviour of lease clients.

use control::leases::{
    HOLD_MS, LEASE_MS, LeaseClient, LeaseLedger, LeaseRecord, LeaseVerdict, RENEW_AFTER_MS,
    takeover_rank,
};
use membership::{HostTable, Source};
use protocol::ids::{HostName, Incarnation, LogOffset, ServiceName};
use protocol::message::hosts::{EntryAddresses, HostRecord, HostRole};
use std::net::{Ipv4Addr, SocketAddr};

fn service() -> ServiceName {
    "shades".parse().expect("a service")
}

fn host(index: usize) -> HostName {
    format!("node-{index}").parse().expect("a host name")
}

fn client(index: usize) -> LeaseClient {
    LeaseClient::new(service(), host(index), Incarnation::new(1))
}

fn complete_ledger() -> LeaseLedger {
    LeaseLedger::new(LogOffset::default(), 0)
}

fn append(ledger: &mut LeaseLedger, record: &LeaseRecord, at_ms: u64) -> LeaseVerdict {
    let value = serde_json::to_string(record).expect("a record");
    ledger.apply(ledger.next(), at_ms, &value, at_ms)
}

/// Appends a client's next record, sent at one time and stored by the log at another.
fn append_next(ledger: &mut LeaseLedger, client: &mut LeaseClient, sent_ms: u64, at_ms: u64) {
    let record = client.next_record(ledger, 0, format!("record-{sent_ms}"), sent_ms);
    assert_eq!(append(ledger, &record.expect("due"), at_ms), LeaseVerdict::Granted);
}

#[test]
fn a_holder_counts_from_before_the_append_and_stops_before_the_lease_expires() {
    let (mut ledger, mut one) = (complete_ledger(), client(1));
    append_next(&mut ledger, &mut one, 1_000, 4_000);
    assert_eq!(one.token(&ledger, 1_000 + HOLD_MS - 1), Some(LogOffset::new(0)));
    assert_eq!(one.token(&ledger, 1_000 + HOLD_MS), None);
    const { assert!(HOLD_MS * 3 == LEASE_MS * 2) };
}

#[test]
fn no_host_takes_over_before_the_lease_expires_and_the_token_increases() {
    let (mut ledger, mut one, mut two) = (complete_ledger(), client(1), client(2));
    append_next(&mut ledger, &mut one, 0, 0);
    let id = || "early".to_owned();
    assert_eq!(two.next_record(&ledger, 0, id(), LEASE_MS - 1), None);
    assert_eq!(two.next_record(&ledger, 1, id(), LEASE_MS), None);
    append_next(&mut ledger, &mut two, LEASE_MS, LEASE_MS);
    assert_eq!(two.token(&ledger, LEASE_MS), Some(LogOffset::new(1)));
    assert_eq!(one.token(&ledger, LEASE_MS), None);
}

#[test]
fn an_acquisition_stored_while_another_host_holds_the_lease_is_refused() {
    let (mut ledger, mut one, mut two) = (complete_ledger(), client(1), client(2));
    let late = two.next_record(&ledger, 0, "late".to_owned(), 0).expect("due");
    append_next(&mut ledger, &mut one, 0, 0);
    assert_eq!(append(&mut ledger, &late, LEASE_MS - 1), LeaseVerdict::Refused);
    assert_eq!(two.token(&ledger, 1), None);
}

#[test]
fn a_restarted_holder_does_not_hold_its_former_lease() {
    let (mut ledger, mut one) = (complete_ledger(), client(1));
    append_next(&mut ledger, &mut one, 0, 0);
    let mut restarted = LeaseClient::new(service(), host(1), Incarnation::new(2));
    assert_eq!(restarted.token(&ledger, 1), None);
    assert_eq!(restarted.next_record(&ledger, 0, "soon".to_owned(), 1), None);
    assert_eq!(restarted.release(&ledger, "end".to_owned()), None);
    let renewal = one.next_record(&ledger, 0, "renewal".to_owned(), RENEW_AFTER_MS).expect("due");
    let other_incarnation = LeaseRecord { incarnation: Incarnation::new(2), ..renewal };
    assert_eq!(append(&mut ledger, &other_incarnation, RENEW_AFTER_MS), LeaseVerdict::Refused);
}

#[test]
fn a_released_lease_is_free_immediately() {
    let (mut ledger, mut one, mut two) = (complete_ledger(), client(1), client(2));
    append_next(&mut ledger, &mut one, 0, 0);
    let release = one.release(&ledger, "end".to_owned()).expect("held");
    assert_eq!(one.token(&ledger, 1), None);
    assert_eq!(append(&mut ledger, &release, 1), LeaseVerdict::Released);
    append_next(&mut ledger, &mut two, 2, 2);
}

#[test]
fn a_renewal_extends_and_a_late_one_is_refused() {
    let (mut ledger, mut one) = (complete_ledger(), client(1));
    append_next(&mut ledger, &mut one, 0, 0);
    append_next(&mut ledger, &mut one, RENEW_AFTER_MS, RENEW_AFTER_MS);
    assert_eq!(one.token(&ledger, HOLD_MS), Some(LogOffset::new(1)));
    let renewal = one.next_record(&ledger, 0, "late".to_owned(), 2 * RENEW_AFTER_MS).expect("due");
    let late_ms = RENEW_AFTER_MS + LEASE_MS;
    assert_eq!(append(&mut ledger, &renewal, late_ms), LeaseVerdict::Refused);
}

#[test]
fn a_reader_that_missed_records_determines_a_lease_from_its_renewals() {
    let (mut full, mut one, mut two) = (complete_ledger(), client(1), client(2));
    let mut partial = LeaseLedger::new(LogOffset::new(1), 0);
    append_next(&mut full, &mut one, 0, 0);
    let late = two.next_record(&complete_ledger(), 0, "late".to_owned(), 1).expect("due");
    for ledger in [&mut full, &mut partial] {
        append(ledger, &late, 1);
    }
    assert!(!partial.is_determined(&service()));
    assert_eq!(two.token(&partial, 2), None);
    let renewals = [RENEW_AFTER_MS, 2 * RENEW_AFTER_MS];
    for at_ms in renewals {
        let record = one.next_record(&full, 0, format!("renewal-{at_ms}"), at_ms).expect("due");
        append(&mut full, &record, at_ms);
        append(&mut partial, &record, at_ms);
    }
    assert_eq!(
        partial.lease(&service()).map(|lease| &lease.record_id),
        full.lease(&service()).map(|lease| &lease.record_id)
    );
    assert!(partial.is_determined(&service()));
}

#[test]
fn a_lease_whose_records_have_expired_is_acquired_again() {
    let mut one = client(1);
    let mut partial = LeaseLedger::new(LogOffset::new(9), 0);
    assert_eq!(one.next_record(&partial, 0, "early".to_owned(), LEASE_MS - 1), None);
    let first = one.next_record(&partial, 0, "first".to_owned(), LEASE_MS).expect("due");
    assert_eq!(append(&mut partial, &first, LEASE_MS), LeaseVerdict::Undecided);
    append_next(&mut partial, &mut one, 2 * LEASE_MS, 2 * LEASE_MS);
    assert!(one.token(&partial, 2 * LEASE_MS).is_some());
}

#[test]
fn a_gap_in_the_records_resets_a_reader_and_a_repeated_record_has_no_effect() {
    let (mut ledger, mut one) = (complete_ledger(), client(1));
    append_next(&mut ledger, &mut one, 0, 0);
    let release = one.clone().release(&ledger, "end".to_owned()).expect("held");
    let value = serde_json::to_string(&release).expect("a record");
    assert_eq!(ledger.apply(LogOffset::new(0), 1, &value, 1), LeaseVerdict::Undecided);
    assert!(one.token(&ledger, 1).is_some());
    assert_eq!(ledger.apply(LogOffset::new(2), 1, &value, 1), LeaseVerdict::Undecided);
    assert!(one.token(&ledger, 1).is_none() && !ledger.is_determined(&service()));
}

#[test]
fn staying_hosts_have_distinct_ranks() {
    let entry = |index: usize| {
        let at = |port| SocketAddr::from((Ipv4Addr::new(127, 0, 0, index as u8), port));
        let addresses = EntryAddresses { callers: at(1), peers: at(2), operators: at(3) };
        HostRecord {
            host: host(index),
            incarnation: Incarnation::new(1),
            region: "north".parse().expect("a region"),
            failure_domain: "north-1".parse().expect("a domain"),
            leaving: index == 3,
            refutations: 0,
            suspected_at_ms: None,
            role: HostRole::Entry(addresses),
        }
    };
    let table = HostTable::new(entry(0), 0);
    table.merge(&[entry(1), entry(2), entry(3)], Source::List, 0);
    let rank = |index| takeover_rank(&table.view(0), &service(), &host(index));
    let mut ranks = [0, 1, 2].map(rank);
    ranks.sort();
    assert_eq!(ranks, [Some(0), Some(1), Some(2)]);
    assert_eq!(rank(3), None);
}
