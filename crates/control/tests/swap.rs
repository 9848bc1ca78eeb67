//! Weight swaps, step by step and as generated histories.

use control::swap::{
    DRAIN_MS, LoadOrder, MAX_LOADS, ORDER_SHOWS_MS, SETTLE_MS, SwapOrder, SwapServer, SwapView,
    default_floor, next_orders, request_version,
};
use protocol::ids::{HostName, LogOffset, WeightVersion};
use quickcheck::{Gen, QuickCheck};

const TOKEN: LogOffset = LogOffset::new(7);
const NOW_MS: u64 = 1_000_000;

fn weights(version: &str) -> WeightVersion {
    version.parse().expect("a weight version")
}

fn name(index: usize) -> HostName {
    format!("server-{index}").parse().expect("a host name")
}

fn server(index: usize, version: &str) -> SwapServer {
    SwapServer {
        host: name(index),
        version: weights(version),
        leaving: false,
        loading: false,
        running: 1,
        draining_since_ms: None,
        ordered_at_ms: None,
    }
}

fn view<'a>(wanted: &'a WeightVersion, servers: &'a [SwapServer]) -> SwapView<'a> {
    SwapView {
        wanted,
        token: TOKEN,
        steward_since_ms: 0,
        floor: default_floor(servers.len()),
        servers,
    }
}

fn orders(servers: &[SwapServer], now_ms: u64) -> Vec<SwapOrder> {
    next_orders(&view(&weights("v2"), servers), now_ms).into_vec()
}

fn load(index: usize) -> SwapOrder {
    SwapOrder::Load(LoadOrder { host: name(index), version: weights("v2"), token: TOKEN })
}

#[test]
fn floors_keep_all_but_two_and_at_least_one_of_several() {
    assert_eq!([0, 1, 2, 3, 4, 9].map(default_floor), [0, 0, 1, 1, 2, 7]);
}

#[test]
fn two_servers_drain_and_load_when_their_runs_have_ended_or_waited_long() {
    let mut servers = [0, 1, 2, 3].map(|index| server(index, "v1"));
    assert_eq!(orders(&servers, NOW_MS), [0, 1].map(|index| SwapOrder::Drain(name(index))));
    servers[0].draining_since_ms = Some(NOW_MS);
    servers[1].draining_since_ms = Some(NOW_MS);
    assert!(orders(&servers, NOW_MS + 1).is_empty());
    servers[1].running = 0;
    assert_eq!(orders(&servers, NOW_MS + 1), [load(1)]);
    assert_eq!(orders(&servers, NOW_MS + DRAIN_MS), [load(0), load(1)]);
}

#[test]
fn an_order_counts_as_a_load_until_it_shows_and_is_given_again_after() {
    let mut servers = [server(0, "v1"), server(1, "v2"), server(2, "v2")];
    servers[0] = SwapServer {
        running: 0,
        draining_since_ms: Some(NOW_MS),
        ordered_at_ms: Some(NOW_MS),
        ..servers[0].clone()
    };
    assert!(orders(&servers, NOW_MS + ORDER_SHOWS_MS - 1).is_empty());
    assert_eq!(orders(&servers, NOW_MS + ORDER_SHOWS_MS), [load(0)]);
}

#[test]
fn no_third_server_drains_or_loads_however_low_the_floor() {
    let wanted = weights("v2");
    let mut servers = [0, 1, 2, 3].map(|index| server(index, "v1"));
    let low = SwapView { floor: 0, ..view(&wanted, &servers) };
    assert_eq!(next_orders(&low, NOW_MS).len(), MAX_LOADS);
    servers[0].loading = true;
    servers[1].loading = true;
    servers[2] = SwapServer { running: 0, draining_since_ms: Some(0), ..servers[2].clone() };
    let low = SwapView { floor: 0, ..view(&wanted, &servers) };
    assert!(next_orders(&low, NOW_MS).is_empty());
}

#[test]
fn a_server_that_obeyed_a_stale_order_is_swapped_again() {
    let servers = [server(0, "v2"), server(1, "v1"), server(2, "v2")];
    assert_eq!(orders(&servers, NOW_MS), [SwapOrder::Drain(name(1))]);
}

#[test]
fn a_swapped_server_takes_work_again_and_a_leaving_one_is_left_alone() {
    let mut servers = [server(0, "v2"), server(1, "v1"), server(2, "v1")];
    servers[0].draining_since_ms = Some(NOW_MS);
    servers[1].leaving = true;
    let resume = SwapOrder::Resume(name(0));
    assert_eq!(orders(&servers, NOW_MS), [resume, SwapOrder::Drain(name(2))]);
}

#[test]
fn a_new_steward_waits_for_its_predecessor_s_orders_to_show() {
    let servers = [server(0, "v1"), server(1, "v1")];
    let wanted = weights("v2");
    let fresh = SwapView { steward_since_ms: NOW_MS, ..view(&wanted, &servers) };
    assert!(next_orders(&fresh, NOW_MS + SETTLE_MS - 1).is_empty());
    assert!(!next_orders(&fresh, NOW_MS + SETTLE_MS).is_empty());
}

#[test]
fn requests_name_the_version_that_most_working_servers_hold() {
    let wanted = weights("v2");
    let named = |versions: [&str; 3]| {
        let servers = [0, 1, 2].map(|index| server(index, versions[index]));
        request_version(&view(&wanted, &servers), NOW_MS).to_string()
    };
    assert_eq!(named(["v1", "v1", "v2"]), "v1");
    assert_eq!(named(["v1", "v2", "v2"]), "v2");
    assert_eq!(request_version(&view(&wanted, &[]), NOW_MS), &wanted);
}

/// Runs a swap in which servers leave, runs end and stale orders land at generated moments.
fn swap_ends_within_bounds(count: usize, moves: Vec<(u8, usize)>) -> bool {
    let count = 1 + count % 8;
    let floor = default_floor(count);
    let mut servers: Vec<SwapServer> = (0..count).map(|index| server(index, "v1")).collect();
    let mut now_ms = NOW_MS;
    let mut left = 0;
    let rounds = moves.len() + 400;
    for round in 0..rounds {
        now_ms += 1_000;
        if let Some((kind, pick)) = moves.get(round) {
            let server = &mut servers[pick % count];
            match kind % 8 {
                0 => {
                    left += usize::from(!server.leaving);
                    server.leaving = true;
                }
                1 if !server.loading => server.version = weights("v1"),
                _ => server.running = server.running.saturating_sub(1),
            }
        }
        if round % 16 == 0 {
            servers.iter_mut().for_each(|server| server.running = 0);
        }
        step(&mut servers, now_ms);
        let loading = servers.iter().filter(|server| server.loading).count();
        let drained = servers.iter().filter(|server| {
            !server.leaving && (server.loading || server.draining_since_ms.is_some())
        });
        let working = count - left - drained.count();
        // Servers that leave go below the floor by themselves.
        if loading > MAX_LOADS || working + left < floor {
            return false;
        }
    }
    servers
        .iter()
        .filter(|server| !server.leaving)
        .all(|server| server.version == weights("v2") && server.draining_since_ms.is_none())
        || floor + left >= count
}

/// Obeys the orders; a load shows in the reports a second later and takes two.
fn step(servers: &mut [SwapServer], now_ms: u64) {
    for server in servers.iter_mut() {
        let age_ms = server.ordered_at_ms.map(|at_ms| now_ms - at_ms);
        match age_ms {
            Some(1_000) => server.loading = true,
            Some(3_000) => {
                server.loading = false;
                server.version = weights("v2");
            }
            _ => {}
        }
    }
    for order in orders(servers, now_ms) {
        let find = |host: &HostName| servers.iter().position(|server| server.host == *host);
        match &order {
            SwapOrder::Drain(host) => {
                servers[find(host).expect("a server")].draining_since_ms = Some(now_ms);
            }
            SwapOrder::Resume(host) => {
                servers[find(host).expect("a server")].draining_since_ms = None;
            }
            SwapOrder::Load(load) => {
                servers[find(&load.host).expect("a server")].ordered_at_ms = Some(now_ms);
            }
        }
    }
}

#[test]
fn swaps_end_with_at_most_two_loads_and_above_the_floor() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 31))
        .tests(1_000)
        .quickcheck(swap_ends_within_bounds as fn(usize, Vec<(u8, usize)>) -> bool);
}
