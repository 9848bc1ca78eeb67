//! The table of gateways, as listings of the store change it.

use dispatch::era::StoreEra;
use gateway::gateways::{Features, GatewayRecord, Gateways, LogPosition};

const EXPIRE_AFTER: u32 = 10;

fn record(host: &str) -> GatewayRecord {
    GatewayRecord {
        host: host.parse().unwrap(),
        failure_domain: "east-1".parse().unwrap(),
        peer_address: "127.0.0.1:1".parse().unwrap(),
        incarnation: 1,
    }
}

fn at(offset: u64) -> LogPosition {
    LogPosition { era: StoreEra::new(1), offset }
}

fn table() -> Gateways {
    Gateways::new("local".parse().unwrap())
}

#[test]
fn a_gateway_whose_record_stays_the_same_expires_for_good() {
    let mut gateways = table();
    for listing in 0..50 {
        gateways.replace_listed(vec![(record("gone"), Features::LOCAL, at(3))], EXPIRE_AFTER);
        let count = if listing < EXPIRE_AFTER { 2 } else { 1 };
        assert_eq!(gateways.count(), count, "after listing {listing}");
        gateways.add_listed(vec![(record("gone"), Features::LOCAL, at(3))]);
        assert_eq!(gateways.count(), count, "after another listing {listing}");
        gateways.add(record("gone"));
        assert_eq!(gateways.count(), count, "after a peer's snapshot {listing}");
    }
    for position in [at(9), LogPosition { era: StoreEra::new(2), offset: 9 }] {
        gateways.replace_listed(vec![(record("gone"), Features::LOCAL, position)], EXPIRE_AFTER);
        assert_eq!(gateways.count(), 2, "it has written its record again");
        (0..EXPIRE_AFTER).for_each(|_| gateways.replace_listed(Vec::new(), EXPIRE_AFTER));
        assert_eq!(gateways.count(), 1);
    }
}

#[test]
fn a_listing_between_others_adds_gateways_and_ages_none() {
    let mut gateways = table();
    gateways.replace_listed(vec![(record("first"), Features::LOCAL, at(3))], EXPIRE_AFTER);
    for _ in 0..50 {
        let listed = [("first", 3), ("second", 4)];
        let records = listed.map(|(host, offset)| (record(host), Features::LOCAL, at(offset)));
        gateways.add_listed(records.into());
        assert_eq!(gateways.count(), 3);
    }
}

#[test]
fn builds_that_do_not_list_what_is_retired_are_known_by_their_records() {
    let mut gateways = table();
    gateways.add(record("from-peer"));
    assert_eq!(gateways.earlier_builds().count(), 1, "a peer's snapshot names no features");
    let records = [("from-peer", Features::LOCAL), ("earlier", Features::default())];
    gateways.add_listed(records.map(|(host, features)| (record(host), features, at(0))).into());
    let earlier: Vec<&str> = gateways.earlier_builds().map(|host| host.as_str()).collect();
    assert_eq!(earlier, ["earlier"]);
}
