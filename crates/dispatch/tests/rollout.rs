//! Rollouts of weights: order, concurrency, repeated commands, and the time after which older
//! weights are out of use.

use dispatch::registry::ServerId;
use dispatch::rollout::{ServerState, Step, may_command_at_ms, next_step};

fn server(index: usize, domain: &str) -> ServerState {
    ServerState {
        id: ServerId::new(format!("server-{index:02}")),
        domain: domain.parse().unwrap(),
        version: 1,
        is_busy: false,
        commands_accepted: Some(0),
        commanded_ms: None,
        in_flight: 0,
    }
}

fn nine() -> Vec<ServerState> {
    let domains = ["east-1", "east-2", "west-1"];
    (0..9).map(|index| server(index, domains[index % 3])).collect()
}

#[test]
fn the_first_commands_spread_over_failure_domains() {
    let step = next_step(&nine(), 2, 0).unwrap();
    let domains: Vec<usize> =
        step.command.iter().map(|id| id.as_str()[7..].parse::<usize>().unwrap() % 3).collect();
    assert_eq!(domains, [0, 1, 2]);
}

#[test]
fn servers_with_few_requests_in_flight_go_first() {
    let mut servers = nine();
    for server in &mut servers {
        server.in_flight = 5;
    }
    servers[7].in_flight = 1;
    let step = next_step(&servers, 2, 0).unwrap();
    assert_eq!(step.command[0], servers[7].id);
}

#[test]
fn no_server_is_commanded_while_enough_are_loading() {
    let mut servers = nine();
    for server in &mut servers[..3] {
        server.is_busy = true;
    }
    let step = next_step(&servers, 2, 0).unwrap();
    assert!(step.command.is_empty());
    assert_eq!(step.query.len(), 3);
}

#[test]
fn a_server_without_a_report_is_queried_before_it_is_commanded() {
    let mut servers = nine();
    for server in &mut servers {
        server.commands_accepted = None;
    }
    let step = next_step(&servers, 2, 0).unwrap();
    assert!(step.command.is_empty());
    assert_eq!(step.query.len(), 9);
}

#[test]
fn a_command_without_effect_is_repeated() {
    let mut servers = vec![server(0, "east-1")];
    servers[0].commanded_ms = Some(1_000);
    assert!(next_step(&servers, 2, 1_500).unwrap().command.is_empty());
    assert_eq!(next_step(&servers, 2, 2_300).unwrap().command, vec![servers[0].id.clone()]);
}

#[test]
fn a_superseded_version_is_skipped() {
    let mut servers = nine();
    servers[0].version = 2;
    servers[1].version = 3;
    let step = next_step(&servers, 3, 0).unwrap();
    assert!(!step.command.contains(&servers[1].id));
    for server in &mut servers {
        server.version = 3;
    }
    assert_eq!(next_step(&servers, 3, 0), None::<Step>);
}

/// All servers complete within the time limit when each takes two seconds, however many load at
/// once.
#[test]
fn twelve_servers_complete_within_ten_seconds() {
    const LOAD_MS: u64 = 2_000;
    let mut servers: Vec<ServerState> = (0..12).map(|index| server(index, "east-1")).collect();
    let mut now_ms = 0;
    while let Some(step) = next_step(&servers, 2, now_ms) {
        for server in &mut servers {
            if step.command.contains(&server.id) {
                server.commanded_ms = Some(now_ms);
                server.is_busy = true;
            }
            if server.commanded_ms.is_some_and(|at_ms| now_ms >= at_ms + LOAD_MS) {
                server.version = 2;
                server.is_busy = false;
            }
        }
        now_ms += 120;
    }
    assert!(now_ms < 7_200, "{now_ms} ms");
}

#[test]
fn a_new_leader_waits_only_for_servers_that_accepted_commands() {
    assert_eq!(may_command_at_ms(0, 5_000, 3_000), 5_000);
    assert_eq!(may_command_at_ms(2, 5_000, 3_000), 8_000);
}
