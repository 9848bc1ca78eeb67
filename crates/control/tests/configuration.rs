//! The rules of the configuration streams.

use control::configuration::{
    CarryForward, ConfigLedger, ConfigRecord, ConfigSnapshot, Configuration, NotReady, PageRecord,
    SNAPSHOT_AFTER_RECORDS, SNAPSHOT_STREAM, StreamPage, Verdict,
};
use protocol::ids::{ConfigVersion, LogOffset};
use protocol::message::configuration::{ConfigRelay, ConfigRequest};

fn text(mark: usize) -> String {
    format!("// {mark}\n{{\"regions\":[],\"organisations\":[],\"services\":[]}}")
}

fn publication(base: u64, mark: usize) -> String {
    let publication_id = mark.to_string();
    let record = ConfigRecord { base: ConfigVersion::new(base), publication_id, text: text(mark) };
    serde_json::to_string(&record).expect("a record")
}

fn snapshot(version: u64, mark: usize, as_of: u64) -> String {
    let snapshot = ConfigSnapshot {
        version: ConfigVersion::new(version),
        text: text(mark),
        as_of: LogOffset::new(as_of),
    };
    serde_json::to_string(&snapshot).expect("a snapshot")
}

fn page(first_retained: u64, from: u64, values: &[String]) -> StreamPage {
    let skipped = first_retained.max(from) as usize;
    let records = values.iter().enumerate().skip(skipped).map(|(offset, value)| PageRecord {
        offset: LogOffset::new(offset as u64),
        value: value.clone(),
    });
    StreamPage {
        first_retained: LogOffset::new(first_retained),
        end: LogOffset::new(values.len() as u64),
        records: records.collect(),
    }
}

/// Reads both streams once, like a node that starts.
fn read(node: &mut Configuration, snapshots: &[String], first_retained: u64, records: &[String]) {
    for _ in 0..2 {
        let request = node.next_read();
        let from = request.from.value();
        let answer = match request.stream {
            SNAPSHOT_STREAM => page(0, from, snapshots),
            _ => page(first_retained, from, records),
        };
        node.take_page(request, &answer);
    }
}

fn version(node: &Configuration) -> u64 {
    node.version().value()
}

#[test]
fn of_concurrent_publishers_one_wins_and_the_other_gets_the_winning_version() {
    let mut ledger = ConfigLedger::new();
    let verdicts = [publication(0, 1), publication(0, 2), publication(1, 3), "{}".to_owned()]
        .iter()
        .enumerate()
        .map(|(offset, value)| ledger.apply(LogOffset::new(offset as u64), value))
        .map(|verdict| format!("{verdict:?}"))
        .collect::<Vec<_>>();
    insta::assert_debug_snapshot!(verdicts);
    assert_eq!(ledger.text(), text(3));
}

#[test]
fn a_new_reader_starts_from_the_snapshot_that_covers_most_records() {
    let records = [publication(0, 0), publication(1, 1), publication(1, 2), publication(2, 3)];
    let snapshots = [snapshot(2, 1, 2), snapshot(1, 0, 1)];
    let mut node = Configuration::new();
    read(&mut node, &snapshots, 2, &records);
    assert_eq!(version(&node), 3);
    assert_eq!(node.in_force().expect("ready").text, text(3));
}

#[test]
fn a_snapshot_is_unusable_if_records_after_it_have_expired() {
    let records = [publication(0, 0), publication(1, 1), publication(2, 2), publication(2, 3)];
    let mut node = Configuration::new();
    read(&mut node, &[snapshot(1, 0, 1)], 2, &records);
    assert_eq!(node.in_force(), Err(NotReady::LogIncomplete(LogOffset::new(2))));
    let relay = ConfigRelay { version: ConfigVersion::new(3), text: text(2) };
    assert_eq!(node.take_relay(&relay), Ok(true));
    assert_eq!(version(&node), 3);
}

#[test]
fn a_node_without_configuration_reports_the_reason() {
    let mut node = Configuration::new();
    assert_eq!(node.in_force(), Err(NotReady::NothingReached));
    let request = node.next_read();
    node.take_page(request, &page(0, 0, &[]));
    assert_eq!(node.in_force(), Err(NotReady::Reading));
    read(&mut node, &[], 0, &[]);
    assert_eq!(node.in_force(), Err(NotReady::NothingPublished));
    let reasons = [NotReady::LogIncomplete(LogOffset::new(7)), NotReady::NothingReached];
    insta::assert_debug_snapshot!(reasons.map(|reason| reason.to_string()));
}

#[test]
fn neither_a_relay_nor_a_restart_in_the_log_lowers_the_version() {
    let records = [publication(0, 0), publication(1, 1)];
    let mut node = Configuration::new();
    read(&mut node, &[], 0, &records[..1]);
    let later = ConfigRelay { version: ConfigVersion::new(5), text: text(5) };
    assert_eq!(node.take_relay(&later), Ok(true));
    let earlier = ConfigRelay { version: ConfigVersion::new(4), text: text(4) };
    assert_eq!(node.take_relay(&earlier), Ok(false));
    read(&mut node, &[], 0, &records);
    assert_eq!(version(&node), 5);
    assert_eq!(node.in_force().expect("ready").text, text(5));
}

#[test]
fn an_invalid_relayed_text_is_rejected() {
    let mut node = Configuration::new();
    let bad = ConfigRelay { version: ConfigVersion::new(1), text: "{".to_owned() };
    assert!(node.take_relay(&bad).is_err());
    assert_eq!(version(&node), 0);
}

#[test]
fn a_peer_gets_the_text_only_if_it_lacks_the_version() {
    let mut node = Configuration::new();
    read(&mut node, &[], 0, &[publication(0, 0)]);
    let lengths = [0, 1]
        .map(|known| node.answer(ConfigRequest { known: ConfigVersion::new(known) }).text.len());
    assert_eq!(lengths, [text(0).len(), 0]);
}

#[test]
fn a_reader_that_falls_behind_retention_applies_no_record_after_the_gap() {
    let records: Vec<String> = (0..6).map(|base| publication(base, base as usize)).collect();
    let mut node = Configuration::new();
    read(&mut node, &[], 0, &records[..1]);
    let request = node.next_read();
    assert!(node.take_page(request, &page(3, request.from.value(), &records)).is_empty());
    assert!(node.ledger().is_none());
    read(&mut node, &[snapshot(4, 3, 4)], 3, &records);
    assert_eq!(version(&node), 6);
}

#[test]
fn a_snapshot_is_due_by_age_or_record_count_and_later_ranks_wait_longer() {
    const RETENTION_MS: u64 = 80_000;
    let mut ledger = ConfigLedger::new();
    let mut carry = CarryForward::new(RETENTION_MS);
    assert_eq!(carry.due(&ledger, 0, 1), None);
    ledger.apply(LogOffset::new(0), &publication(0, 0));
    let written = carry.due(&ledger, 0, 1_000).expect("due: there is none");
    carry.observe(&written, 1_000);
    let due = |ledger: &ConfigLedger, rank, now_ms| carry.due(ledger, rank, now_ms).is_some();
    assert!(!due(&ledger, 0, 20_999) && due(&ledger, 0, 21_000));
    assert!(!due(&ledger, 1, 25_999) && due(&ledger, 1, 26_000));
    for offset in 1..=SNAPSHOT_AFTER_RECORDS {
        assert!(!due(&ledger, 0, 2_000), "at {offset}");
        ledger.apply(LogOffset::new(offset), "");
    }
    assert!(due(&ledger, 0, 2_000) && !due(&ledger, 1, 2_000));
}

#[test]
fn a_delayed_snapshot_of_an_older_version_is_not_the_newest() {
    let mut ledger = ConfigLedger::new();
    ledger.apply(LogOffset::new(0), &publication(0, 0));
    let old = ledger.snapshot().expect("accepted");
    ledger.apply(LogOffset::new(1), &publication(1, 1));
    let new = ledger.snapshot().expect("accepted");
    let mut carry = CarryForward::new(80_000);
    carry.observe(&new, 1_000);
    carry.observe(&old, 20_000);
    assert!(carry.due(&ledger, 0, 21_000).is_some());
    assert_eq!(ledger.in_force().version, ConfigVersion::new(2));
    let last = ledger.apply(LogOffset::new(2), &publication(1, 2));
    assert_eq!(last, Verdict::Conflict(ConfigVersion::new(2)));
}

#[test]
fn no_record_after_a_gap_in_a_page_is_applied() {
    let records = [publication(0, 0), publication(0, 1), publication(1, 2)];
    let mut node = Configuration::new();
    read(&mut node, &[], 0, &records[..1]);
    let request = node.next_read();
    let mut incomplete = page(0, 1, &records);
    incomplete.records.remove(0);
    assert!(node.take_page(request, &incomplete).is_empty());
    assert!(node.ledger().is_none());
}

#[test]
fn a_delayed_page_does_not_restart_the_reader() {
    let records = [publication(0, 0)];
    let mut node = Configuration::new();
    read(&mut node, &[], 0, &[]);
    let request = node.next_read();
    let delayed = page(0, 0, &records);
    assert_eq!(node.take_page(request, &delayed).len(), 1);
    assert!(node.take_page(request, &delayed).is_empty());
    assert!(node.ledger().is_some());
}
