//! Weight swaps, in single steps and in generated histories.

use control::swap::{
    COMMAND_REPORT_DELAY_MS, DRAIN_TIMEOUT_MS, LoadCommand, MAX_LOADS, SETTLE_MS, SwapCommand,
    SwapServer, SwapView, default_min_serving, next_commands, request_version,
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
        in_flight: 1,
        draining_since_ms: None,
        load_sent_at_ms: None,
    }
}

fn view<'a>(target: &'a WeightVersion, servers: &'a [SwapServer]) -> SwapView<'a> {
    SwapView {
        target,
        token: TOKEN,
        leader_since_ms: 0,
        min_serving: default_min_serving(servers.len()),
        servers,
    }
}

fn commands(servers: &[SwapServer], now_ms: u64) -> Vec<SwapCommand> {
    next_commands(&view(&weights("v2"), servers), now_ms).into_vec()
}

fn load(index: usize) -> SwapCommand {
    SwapCommand::Load(LoadCommand { host: name(index), version: weights("v2"), token: TOKEN })
}

#[test]
fn all_but_two_servers_and_at_least_one_of_several_keep_serving() {
    assert_eq!([0, 1, 2, 3, 4, 9].map(default_min_serving), [0, 0, 1, 1, 2, 7]);
}

#[test]
fn two_servers_drain_and_load_after_their_requests_or_the_drain_timeout() {
    let mut servers = [0, 1, 2, 3].map(|index| server(index, "v1"));
    assert_eq!(commands(&servers, NOW_MS), [0, 1].map(|index| SwapCommand::Drain(name(index))));
    servers[0].draining_since_ms = Some(NOW_MS);
    servers[1].draining_since_ms = Some(NOW_MS);
    assert!(commands(&servers, NOW_MS + 1).is_empty());
    servers[1].in_flight = 0;
    assert_eq!(commands(&servers, NOW_MS + 1), [load(1)]);
    assert_eq!(commands(&servers, NOW_MS + DRAIN_TIMEOUT_MS), [load(0), load(1)]);
}

#[test]
fn a_command_counts_as_a_load_until_the_report_delay_and_is_then_sent_again() {
    let mut servers = [server(0, "v1"), server(1, "v2"), server(2, "v2")];
    servers[0] = SwapServer {
        in_flight: 0,
        draining_since_ms: Some(NOW_MS),
        load_sent_at_ms: Some(NOW_MS),
        ..servers[0].clone()
    };
    assert!(commands(&servers, NOW_MS + COMMAND_REPORT_DELAY_MS - 1).is_empty());
    assert_eq!(commands(&servers, NOW_MS + COMMAND_REPORT_DELAY_MS), [load(0)]);
}

#[test]
fn no_third_server_drains_or_loads_even_without_a_minimum() {
    let target = weights("v2");
    let mut servers = [0, 1, 2, 3].map(|index| server(index, "v1"));
    let no_minimum = SwapView { min_serving: 0, ..view(&target, &servers) };
    assert_eq!(next_commands(&no_minimum, NOW_MS).len(), MAX_LOADS);
    servers[0].loading = true;
    servers[1].loading = true;
    servers[2] = SwapServer { in_flight: 0, draining_since_ms: Some(0), ..servers[2].clone() };
    let no_minimum = SwapView { min_serving: 0, ..view(&target, &servers) };
    assert!(next_commands(&no_minimum, NOW_MS).is_empty());
}

#[test]
fn a_server_that_executed_a_stale_command_is_swapped_again() {
    let servers = [server(0, "v2"), server(1, "v1"), server(2, "v2")];
    assert_eq!(commands(&servers, NOW_MS), [SwapCommand::Drain(name(1))]);
}

#[test]
fn a_swapped_server_resumes_and_a_leaving_one_gets_no_command() {
    let mut servers = [server(0, "v2"), server(1, "v1"), server(2, "v1")];
    servers[0].draining_since_ms = Some(NOW_MS);
    servers[1].leaving = true;
    let resume = SwapCommand::Resume(name(0));
    assert_eq!(commands(&servers, NOW_MS), [resume, SwapCommand::Drain(name(2))]);
}

#[test]
fn a_new_rollout_leader_waits_for_its_predecessor_s_commands_to_show() {
    let servers = [server(0, "v1"), server(1, "v1")];
    let target = weights("v2");
    let new_leader = SwapView { leader_since_ms: NOW_MS, ..view(&target, &servers) };
    assert!(next_commands(&new_leader, NOW_MS + SETTLE_MS - 1).is_empty());
    assert!(!next_commands(&new_leader, NOW_MS + SETTLE_MS).is_empty());
}

#[test]
fn requests_use_the_version_that_most_serving_servers_hold() {
    let target = weights("v2");
    let requested = |versions: [&str; 3]| {
        let servers = [0, 1, 2].map(|index| server(index, versions[index]));
        request_version(&view(&target, &servers), NOW_MS).to_string()
    };
    assert_eq!(requested(["v1", "v1", "v2"]), "v1");
    assert_eq!(requested(["v1", "v2", "v2"]), "v2");
    assert_eq!(request_version(&view(&target, &[]), NOW_MS), &target);
}

/// Runs a swap in which servers leave, requests end and stale commands arrive at generated times.
fn swap_ends_within_bounds(count: usize, moves: Vec<(u8, usize)>) -> bool {
    let count = 1 + count % 8;
    let min_serving = default_min_serving(count);
    let mut servers: Vec<SwapServer> = (0..count).map(|index| server(index, "v1")).collect();
    let mut now_ms = NOW_MS;
    let mut leaving = 0;
    let rounds = moves.len() + 400;
    for round in 0..rounds {
        now_ms += 1_000;
        if let Some((kind, pick)) = moves.get(round) {
            let server = &mut servers[pick % count];
            match kind % 8 {
                0 => {
                    leaving += usize::from(!server.leaving);
                    server.leaving = true;
                }
                1 if !server.loading => server.version = weights("v1"),
                _ => server.in_flight = server.in_flight.saturating_sub(1),
            }
        }
        if round % 16 == 0 {
            servers.iter_mut().for_each(|server| server.in_flight = 0);
        }
        step(&mut servers, now_ms);
        let loading = servers.iter().filter(|server| server.loading).count();
        let drained = servers.iter().filter(|server| {
            !server.leaving && (server.loading || server.draining_since_ms.is_some())
        });
        let serving = count - leaving - drained.count();
        // Leaving servers reduce the number of serving ones below the minimum without any command.
        if loading > MAX_LOADS || serving + leaving < min_serving {
            return false;
        }
    }
    servers
        .iter()
        .filter(|server| !server.leaving)
        .all(|server| server.version == weights("v2") && server.draining_since_ms.is_none())
        || min_serving + leaving >= count
}

/// Executes the commands; a load shows in the reports after one second and takes two more.
fn step(servers: &mut [SwapServer], now_ms: u64) {
    for server in servers.iter_mut() {
        let age_ms = server.load_sent_at_ms.map(|at_ms| now_ms - at_ms);
        match age_ms {
            Some(1_000) => server.loading = true,
            Some(3_000) => {
                server.loading = false;
                server.version = weights("v2");
            }
            _ => {}
        }
    }
    for command in commands(servers, now_ms) {
        let find = |host: &HostName| servers.iter().position(|server| server.host == *host);
        match &command {
            SwapCommand::Drain(host) => {
                servers[find(host).expect("a server")].draining_since_ms = Some(now_ms);
            }
            SwapCommand::Resume(host) => {
                servers[find(host).expect("a server")].draining_since_ms = None;
            }
            SwapCommand::Load(load) => {
                servers[find(&load.host).expect("a server")].load_sent_at_ms = Some(now_ms);
            }
        }
    }
}

#[test]
fn swaps_end_with_at_most_two_loads_and_the_minimum_serving() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 31))
        .tests(1_000)
        .quickcheck(swap_ends_within_bounds as fn(usize, Vec<(u8, usize)>) -> bool);
}
