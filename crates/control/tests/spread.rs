//! The choice of the peer to pull a configuration from.

use control::spread::{Puller, next_pull};
use membership::{HostTable, Source};
use protocol::ids::{ConfigVersion, HostName, Incarnation};
use protocol::message::hosts::{EntryAddresses, HostRecord, HostRole};
use std::net::{Ipv4Addr, SocketAddr};

const NOW_MS: u64 = 1_000;

fn entry(index: u8, domain: &str) -> HostRecord {
    let at = |port| SocketAddr::from((Ipv4Addr::new(127, 0, 0, index), port));
    let addresses = EntryAddresses { callers: at(1), peers: at(2), operators: at(3) };
    HostRecord {
        host: name(index),
        incarnation: Incarnation::new(1),
        region: "north".parse().expect("a region"),
        failure_domain: domain.parse().expect("a domain"),
        leaving: false,
        refutations: 0,
        suspected_at_ms: None,
        role: HostRole::Entry(addresses),
    }
}

fn name(index: u8) -> HostName {
    format!("node-{index}").parse().expect("a host name")
}

#[test]
fn the_latest_version_is_preferred_to_a_local_peer_and_unreachable_peers_are_skipped() {
    let table = HostTable::new(entry(0, "a"), NOW_MS);
    let peers = [entry(1, "a"), entry(2, "b"), entry(3, "b")];
    table.merge(&peers, Source::List, NOW_MS);
    let reported = |versions: [u64; 3]| -> Vec<(HostName, ConfigVersion)> {
        let pairs = versions.into_iter().zip(1..);
        pairs.map(|(version, index)| (name(index), ConfigVersion::new(version))).collect()
    };
    let domain = "a".parse().expect("a domain");
    let puller = Puller { domain: &domain, version: ConfigVersion::new(3) };
    let pulled = |versions, random| {
        let view = table.view(NOW_MS + 60_000);
        next_pull(puller, &view, &reported(versions), random).map(|request| request.host)
    };
    for random in 0..20 {
        assert_eq!(pulled([3, 3, 2], random), None);
        assert_eq!(pulled([4, 4, 4], random), Some(name(1)));
        assert_eq!(pulled([4, 5, 4], random), Some(name(2)));
    }
    for _ in 0..2 {
        table.observe_failure(&name(2), Incarnation::new(1), NOW_MS);
    }
    assert_eq!(pulled([4, 5, 4], 0), Some(name(1)));
}
