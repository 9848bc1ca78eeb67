//! Rollouts of weights by the rollout leader.

use crate::caller;
use crate::fleet::{Fleet, NOTES};
use crate::process::until;

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
    for executed in fleet.engines.iter().flat_map(standins::fleet::Server::executed) {
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
