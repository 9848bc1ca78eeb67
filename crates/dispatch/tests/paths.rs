//! What counts as a broken path to a server, and which peers carry connections.

mod common;

use common::id;
use dispatch::paths::{DetourPeer, PathChange, PathChoice, Paths};
use dispatch::registry::ServerId;
use protocol::ids::{FailureDomain, HostName};

fn server(name: &str) -> ServerId {
    ServerId::new(name)
}

/// Returns paths of which two were found broken in a row, at 1,000 and 2,000 ms.
fn cut_off() -> Paths {
    let mut paths = Paths::new();
    assert_eq!(paths.record_broken(&server("a"), 1_000), PathChange::Broken);
    assert_eq!(paths.record_broken(&server("b"), 2_000), PathChange::CutOff);
    paths
}

#[test]
fn one_broken_path_leaves_the_others_direct() {
    let mut paths = Paths::new();
    paths.record_broken(&server("a"), 1_000);
    assert_eq!(paths.record_broken(&server("a"), 3_000), PathChange::Unchanged);
    assert_eq!(paths.choose(&server("a")), PathChoice::Detour { broken_since_ms: 1_000 });
    assert_eq!(paths.choose(&server("b")), PathChoice::Direct);
}

#[test]
fn two_broken_paths_in_a_row_are_a_cut() {
    let paths = cut_off();
    assert!(paths.is_cut_off());
    assert_eq!(paths.choose(&server("a")), PathChoice::Detour { broken_since_ms: 1_000 });
    assert_eq!(paths.choose(&server("c")), PathChoice::Detour { broken_since_ms: 2_000 });
}

#[test]
fn an_answer_over_a_new_connection_between_them_shows_that_links_work() {
    let mut paths = Paths::new();
    paths.record_broken(&server("a"), 1_000);
    paths.record_direct(1_500);
    assert_eq!(paths.record_broken(&server("b"), 2_000), PathChange::Broken);
    assert!(!paths.is_cut_off() && paths.has_direct(2_000) && !paths.has_direct(3_000));
}

#[test]
fn a_cut_ends_once_two_servers_in_a_row_are_reached() {
    let mut paths = cut_off();
    assert_eq!(paths.record_restored(&server("c")), PathChange::Unchanged);
    paths.record_unreached();
    assert_eq!(paths.record_restored(&server("c")), PathChange::Unchanged);
    assert_eq!(paths.record_restored(&server("a")), PathChange::AllRestored);
    assert_eq!(paths.choose(&server("a")), PathChoice::Direct);
    assert_eq!(paths.choose(&server("b")), PathChoice::Detour { broken_since_ms: 2_000 });
    assert_eq!(paths.record_restored(&server("b")), PathChange::Restored);
    assert!(!paths.has_broken());
}

#[test]
fn servers_that_are_gone_are_forgotten() {
    let mut paths = Paths::new();
    paths.record_broken(&server("a"), 1_000);
    paths.retain(|_| false);
    assert!(!paths.has_broken());
}

#[test]
fn peers_are_tried_one_a_failure_domain_the_own_first() {
    let hosts: Vec<HostName> = (0..9).map(|index| id(&format!("g{index}"))).collect();
    let domains: [FailureDomain; 3] = [id("east-1"), id("east-2"), id("west-1")];
    let peers: Vec<DetourPeer<'_>> = (0..9)
        .map(|index| DetourPeer {
            host: &hosts[index],
            domain: &domains[index / 3],
            address: id("127.0.0.1:1"),
        })
        .collect();
    let mut paths = Paths::new();
    let mut tried = |spread| {
        let found = paths.detour_peers(&peers, &domains[1], spread, 1_000);
        let tried: Vec<(HostName, FailureDomain)> =
            found.iter().map(|peer| (peer.host.clone(), peer.domain.clone())).collect();
        paths.record_unavailable(&tried[0].0, 500, 1_000);
        tried
    };
    for spread in 0..3 {
        let domains_tried: Vec<FailureDomain> =
            tried(spread).into_iter().map(|(_, domain)| domain).collect();
        assert_eq!(domains_tried.len(), 3);
        assert_eq!(domains_tried[0], domains[1]);
        assert_ne!(domains_tried[1], domains_tried[2]);
    }
    assert!(tried(0).iter().all(|(_, domain)| *domain != domains[1]), "all of it are unavailable");
    let later = paths.detour_peers(&peers, &domains[1], 0, 1_500);
    assert_eq!(*later[0].domain, domains[1]);
}
