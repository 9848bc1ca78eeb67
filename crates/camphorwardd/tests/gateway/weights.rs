//! Rollouts of weights by the rollout leader.

use crate::caller;
use crate::cut_off::CutGateway;
use crate::fleet::{self, Fleet, NOTES, QUICK};
use crate::process::{Gateway, until};
use serde_json::json;
use standins::fleet::{Availability, Queueing, Server};
use standins::relay::Partition;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;

/// The time after which no request may begin at older weights, as in the gateways' settings.
const WEIGHTS_TIME: Duration = Duration::from_secs(10);

#[tokio::test]
async fn one_rollout_leader_brings_all_servers_to_the_target_weights() {
    let fleet = Fleet::start(0, 3).await;
    let gateways = [fleet.gateway("gateway-1").await, fleet.gateway("gateway-2").await];
    for gateway in &gateways {
        caller::until_listed(gateway, 2).await;
    }
    fleet.store.set_target_version("m", 2);
    until("all have them", || fleet.engines.iter().all(|engine| engine.weight_version() == 2))
        .await;
    let acquisitions: usize =
        gateways.iter().map(|gateway| gateway.lines("lease_claimed").len()).sum();
    assert_eq!(acquisitions, 1);
    for engine in &fleet.engines {
        let commands = engine.commands();
        assert_eq!(commands.len(), 1);
        assert_eq!(
            (commands[0]["op"].as_str(), commands[0]["switchMode"].as_str()),
            (Some("version"), Some("queue"))
        );
        assert_eq!(commands[0]["expect"].as_u64(), Some(0));
        assert_eq!(commands[0]["fence"], fleet.engines[0].commands()[0]["fence"]);
    }
    let conditions =
        fleet.store.appends().into_iter().filter(|(topic, _)| topic == "keyed.steward");
    assert!(
        conditions.into_iter().all(|(_, at)| at.is_some()),
        "a lease is never appended unconditionally"
    );
    for gateway in &gateways {
        caller::until_status(gateway, NOTES, 200).await;
    }
    for executed in fleet.engines.iter().flat_map(Server::executed) {
        assert_eq!(executed.request.header("x-expect-version"), "2");
        assert_eq!(executed.request.header("x-cache-salt"), "2/m");
    }
}

#[tokio::test]
async fn a_second_rollout_leader_follows_a_killed_one_with_a_higher_fence() {
    let fleet = Fleet::start(0, 2).await;
    let mut first = fleet.gateway("gateway-1").await;
    let second = fleet.gateway("gateway-2").await;
    fleet.store.set_target_version("m", 2);
    until("the first round is done", || {
        fleet.engines.iter().all(|engine| engine.weight_version() == 2)
    })
    .await;
    first.kill();
    fleet.store.set_target_version("m", 3);
    until("the second round is done", || {
        fleet.engines.iter().all(|engine| engine.weight_version() == 3)
    })
    .await;
    caller::until_line(&second, "lease_claimed").await;
    for engine in &fleet.engines {
        let fences: Vec<u64> =
            engine.commands().iter().map(|command| command["fence"].as_u64().unwrap()).collect();
        assert!(fences.is_sorted() && fences.first() < fences.last(), "{fences:?}");
    }
}

/// Has gateways follow a block store, which tells them the servers' clock.
fn add_block_store(fleet: &Fleet) {
    let mut configuration = fleet::configuration(2, &[fleet::KEY]);
    let store = json!({
        "name": "blocks", "kvStoreAddr": fleet.desks[0].address(), "zone": "east-1",
        "kvCapacity": 80_000, "tokenKvBytes": 18_432, "linkMbps": 10_000.0, "maxInflight": 12,
        "healthPath": "/health", "maxConns": 100
    });
    configuration["services"].as_array_mut().unwrap().push(store);
    fleet.store.put_configuration(&configuration);
}

/// Sends requests until a moment, and returns when the last one reached any engine.
async fn send_until(fleet: &Fleet, gateway: &Gateway, until: Instant) -> Option<Instant> {
    const INTERVAL: Duration = Duration::from_millis(40);
    while Instant::now() < until {
        caller::post(gateway, NOTES).await;
        sleep(INTERVAL).await;
    }
    fleet.engines.iter().flat_map(Server::arrivals).max()
}

/// It used servers with version 1 until the time of version 3, because it knew nothing of version 2.
#[tokio::test]
async fn a_gateway_that_starts_after_the_second_of_two_versions_keeps_to_the_time_of_the_first() {
    const BETWEEN: Duration = Duration::from_secs(4);
    let fleet = Fleet::start(1, 3).await;
    add_block_store(&fleet);
    for engine in &fleet.engines {
        engine.set_ignores_commands(true);
    }
    let first = fleet.gateway("gateway-1").await;
    let second = fleet.gateway("gateway-2").await;
    for gateway in [&first, &second] {
        caller::until_listed(gateway, 2).await;
    }
    drop(second);
    let named = Instant::now();
    fleet.store.set_target_version("m", 2);
    sleep(BETWEEN).await;
    fleet.store.set_target_version("m", 3);
    let second = fleet.gateway("gateway-2").await;
    let last = send_until(&fleet, &second, named + WEIGHTS_TIME + Duration::from_millis(500)).await;
    let last = last.expect("requests are sent while they may be") - named;
    assert!(last < WEIGHTS_TIME, "sent to version 1 {last:?} after version 2 was named");
    // The other gateway knows when version 2 was named, so nothing ends sooner either.
    assert!(last > WEIGHTS_TIME * 6 / 10, "sent to version 1 until {last:?} only");
}

/// Sends a request that waits at its server before its first event, has a version named at some time
/// after it was sent, and checks that the gateway gives it up before the time allowed is over.
async fn check_given_up(sends_head: bool, named_after: Duration) {
    const ALLOWED_MS: u64 = 4_000;
    let fleet = Fleet::start(0, 1).await;
    let engine = &fleet.engines[0];
    engine.set_ignores_commands(true);
    engine.set_queueing(Queueing { wait: WEIGHTS_TIME, sends_head });
    let settings = fleet.settings("gateway-1", &[]);
    let settings = settings.replace("\"weights_ms\":10000", "\"weights_ms\":4000");
    let gateway = fleet.gateway_with(&settings).await;
    let mut caller = TcpStream::connect(gateway.callers).await.unwrap();
    let request = caller::request(QUICK, &caller::new_id(), "", "body");
    caller.write_all(request.as_bytes()).await.unwrap();
    until("a server has it", || !engine.executed().is_empty()).await;
    sleep(named_after).await;
    let named = Instant::now();
    fleet.store.set_target_version("m", 2);
    until("it is given up", || engine.executed()[0].caller_disconnected).await;
    let given_up = named.elapsed();
    assert!(given_up < Duration::from_millis(ALLOWED_MS), "given up after {given_up:?}");
    assert!(given_up > Duration::from_millis(ALLOWED_MS / 2), "given up after {given_up:?}");
}

/// The time to give it up was computed when it was sent.
#[tokio::test]
async fn a_request_that_was_sent_before_a_version_was_named_is_given_up_in_time() {
    check_given_up(false, Duration::from_millis(300)).await;
}

/// The head of the answer ended the wait.
#[tokio::test]
async fn a_stream_whose_head_comes_before_its_first_event_is_given_up_in_time() {
    check_given_up(true, Duration::from_millis(300)).await;
}

/// It kept the lease, and no server got the weights before older ones were not used any more.
#[tokio::test]
async fn a_leader_that_reaches_no_server_leaves_the_rollout_to_another() {
    let fleet = Fleet::start(0, 3).await;
    let cut = CutGateway::start(&fleet, "gateway-1").await;
    let sound = fleet.gateway("gateway-2").await;
    for gateway in [&cut.gateway, &sound] {
        caller::until_listed(gateway, 2).await;
    }
    cut.link.set_partition(Partition::Blackhole);
    let named = Instant::now();
    fleet.store.set_target_version("m", 2);
    until("all have them", || fleet.engines.iter().all(|engine| engine.weight_version() == 2))
        .await;
    let took = named.elapsed();
    assert!(took < WEIGHTS_TIME, "the servers have the weights after {took:?}");
}

/// It counted from when the gateway noticed it.
#[tokio::test]
async fn a_version_that_is_named_while_the_store_refuses_counts_from_the_last_read() {
    const ALLOWED: Duration = Duration::from_secs(4);
    let fleet = Fleet::start(0, 2).await;
    for engine in &fleet.engines {
        engine.set_ignores_commands(true);
    }
    let settings = fleet.settings("gateway-1", &[]);
    let settings = settings.replace("\"weights_ms\":10000", "\"weights_ms\":4000");
    let gateway = fleet.gateway_with(&settings).await;
    fleet.store.set_availability(Availability::Refuses);
    // A read that is under way would still get the record.
    sleep(Duration::from_millis(1_300)).await;
    let named = Instant::now();
    fleet.store.set_target_version("m", 2);
    sleep(ALLOWED * 5 / 8).await;
    fleet.store.set_availability(Availability::Up);
    caller::until_line(&gateway, "weights_named").await;
    let last = send_until(&fleet, &gateway, named + ALLOWED * 2).await;
    let last = last.map_or(Duration::ZERO, |last| last - named);
    assert!(last < ALLOWED, "sent to version 1 {last:?} after version 2 was named");
}
