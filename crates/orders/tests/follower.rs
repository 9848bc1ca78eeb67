//! Gaps, repeated pages and a log clock that goes back.

use orders::follower::{Follower, StreamPage, StreamRecord};
use orders::record::{Record, encode};
use protocol::ids::LogOffset;

fn page(first_retained: u64, records: &[(u64, u64)]) -> StreamPage {
    let records = records.iter().map(|(offset, appended_at_ms)| StreamRecord {
        offset: LogOffset::new(*offset),
        appended_at_ms: *appended_at_ms,
        value: encode(&[Record::Mark]).unwrap(),
    });
    StreamPage { first_retained: LogOffset::new(first_retained), records: records.collect() }
}

#[test]
fn a_stream_read_from_its_start_is_covered_from_the_start() {
    let mut follower = Follower::new();
    assert_eq!(follower.covered_from_ms(), None);
    follower.accept(&page(0, &[(0, 70), (1, 80)]));
    assert_eq!((follower.covered_from_ms(), follower.next()), (Some(0), LogOffset::new(2)));
}

#[test]
fn a_gap_ends_the_coverage() {
    let mut follower = Follower::new();
    follower.accept(&page(0, &[(0, 70)]));
    follower.accept(&page(5, &[]));
    assert_eq!(follower.covered_from_ms(), None);
    follower.accept(&page(5, &[(5, 90), (6, 95)]));
    assert_eq!(follower.covered_from_ms(), Some(90));
    follower.accept(&page(5, &[(9, 99)]));
    assert_eq!(follower.covered_from_ms(), Some(99));
}

#[test]
fn a_page_read_twice_returns_its_records_once() {
    let mut follower = Follower::new();
    assert_eq!(follower.accept(&page(0, &[(0, 70), (1, 80)])).len(), 2);
    assert_eq!(follower.accept(&page(0, &[(0, 70), (1, 80), (2, 90)])).len(), 1);
}

#[test]
fn entry_times_do_not_go_back_with_the_log_clock() {
    let mut follower = Follower::new();
    let entries = follower.accept(&page(0, &[(0, 70), (1, 60), (2, 75)]));
    let times: Vec<u64> = entries.iter().map(|entry| entry.appended_at_ms).collect();
    assert_eq!(times, [70, 70, 75]);
}

#[test]
fn a_record_that_cannot_be_decoded_is_skipped() {
    let mut follower = Follower::new();
    let mut malformed = page(0, &[(0, 70), (1, 80)]);
    malformed.records[0].value = "not an array".to_owned();
    let entries = follower.accept(&malformed);
    assert!(entries[0].records.is_empty());
    assert_eq!(entries[1].records, [Record::Mark]);
}
