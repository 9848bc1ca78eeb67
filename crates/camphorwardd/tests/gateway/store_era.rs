//! The store returns from a copy some seconds old: offsets are given out again in a higher era.

use crate::caller::{self, post, until_status};
use crate::fleet::{Fleet, NOTES, ORDERS, configuration, settings};
use crate::process::{Gateway, until};
use standins::fleet::{Availability, Server, ServerKind, Store};

fn raised(gateway: &Gateway) -> bool {
    !gateway.lines("store_era_raised").is_empty()
}

fn has_version(gateway: &Gateway, version: u64) -> bool {
    gateway.lines("configuration_in_force").iter().any(|line| line["version"] == version)
}

#[tokio::test]
async fn a_configuration_at_an_offset_given_out_again_comes_into_force() {
    let fleet = Fleet::start(1, 0).await;
    let gateway = fleet.gateway("gateway-1").await;
    let mut copy = fleet.store.copy();
    fleet.store.put_configuration(&configuration(2, &["alpha-key"]));
    until("version 2 is in force", || has_version(&gateway, 2)).await;
    copy.put_configuration(&configuration(3, &["other-key"]));
    fleet.store.restore(copy);
    until("version 3 is in force", || has_version(&gateway, 3)).await;
    assert_eq!(post(&gateway, ORDERS).await.status, 401);
}

#[tokio::test]
async fn a_server_that_leaves_at_an_offset_given_out_again_gets_no_new_requests() {
    let fleet = Fleet::start(2, 0).await;
    let gateway = fleet.gateway("gateway-1").await;
    let mut copy = fleet.store.copy();
    let later = Server::start("desk-later", ServerKind::Plain).await.unwrap();
    fleet.store.register(&later.id(), &later.entry("desk", "east-1", 1, "ready"));
    until("the later server is listed", || gateway.lines("server_joined").len() == 3).await;
    let leaving = &fleet.desks[0];
    copy.register(&leaving.id(), &leaving.entry("desk", "east-1", 2, "draining"));
    fleet.store.restore(copy);
    until("the leaving server is known", || {
        gateway.lines("server_left").iter().any(|line| line["server"] == leaving.id())
    })
    .await;
    let before = leaving.executed().len();
    for _ in 0..6 {
        assert_eq!(post(&gateway, ORDERS).await.status, 200);
    }
    assert_eq!(leaving.executed().len(), before);
}

#[tokio::test]
async fn a_revoked_key_stays_revoked_over_a_step_back() {
    let fleet = Fleet::start(1, 0).await;
    let gateway = fleet.gateway("gateway-1").await;
    let copy = fleet.store.copy();
    fleet.store.put_configuration(&configuration(2, &["other-key"]));
    until_status(&gateway, ORDERS, 401).await;
    fleet.store.restore(copy);
    until("the copy has been read", || {
        gateway.lines("store_read_again").iter().any(|line| line["topic"] == "keyed.op")
    })
    .await;
    assert_eq!(post(&gateway, ORDERS).await.status, 401);
}

#[tokio::test]
async fn a_gateway_that_starts_before_the_operator_writes_again_serves_no_revoked_key() {
    let fleet = Fleet::start(1, 0).await;
    let gateway = fleet.gateway("gateway-1").await;
    let copy = fleet.store.copy();
    fleet.store.put_configuration(&configuration(2, &["other-key"]));
    until_status(&gateway, ORDERS, 401).await;
    // Until then the key was valid.
    let executed = fleet.desks[0].executed().len();
    fleet.store.restore(copy);
    until("the copy has been read", || {
        gateway.lines("store_read_again").iter().any(|line| line["topic"] == "keyed.op")
    })
    .await;
    for (host, seeds) in [("gateway-2", vec![gateway.peers.to_string()]), ("gateway-3", vec![])] {
        let late = Gateway::start(&fleet.settings(host, &seeds)).await;
        let mut refused = 0;
        while refused < 5 {
            let status = post(&late, ORDERS).await.status;
            assert!([401, 503].contains(&status), "{host} serves a revoked key: {status}");
            refused += u32::from(status == 401);
        }
    }
    assert_eq!(fleet.desks[0].executed().len(), executed);
}

#[tokio::test]
async fn a_gateway_that_starts_alone_after_a_step_back_serves_in_the_end() {
    let fleet = Fleet::start(1, 0).await;
    fleet.store.restore(fleet.store.copy());
    let gateway = fleet.gateway("gateway-1").await;
    assert_eq!(post(&gateway, ORDERS).await.status, 200);
}

#[tokio::test]
async fn a_server_missing_in_the_copy_is_used_until_its_entry_is_written_again() {
    let fleet = Fleet::start(1, 0).await;
    let gateway = fleet.gateway("gateway-1").await;
    let copy = fleet.store.copy();
    let server = Server::start("desk-new", ServerKind::Plain).await.unwrap();
    fleet.store.register(&server.id(), &server.entry("desk", "east-1", 1, "ready"));
    until("it is listed", || gateway.lines("server_joined").len() == 2).await;
    fleet.store.restore(copy);
    until("the copy has been read", || {
        gateway.lines("store_read_again").iter().any(|line| line["topic"] == "keyed.servers")
    })
    .await;
    fleet.store.register(&server.id(), &server.entry("desk", "east-1", 2, "ready"));
    let before = server.executed().len();
    while server.executed().len() == before {
        assert_eq!(post(&gateway, ORDERS).await.status, 200);
    }
    assert!(gateway.lines("server_left").is_empty());
}

#[tokio::test]
async fn fences_increase_over_a_step_back() {
    let fleet = Fleet::start(0, 2).await;
    let gateway = fleet.gateway("gateway-1").await;
    let copy = fleet.store.copy();
    for version in [2, 3] {
        if version == 3 {
            fleet.store.restore(copy.clone());
        }
        fleet.store.set_target_version("m", version);
        until("all servers have the version", || {
            fleet.engines.iter().all(|engine| engine.weight_version() == version)
        })
        .await;
    }
    for engine in &fleet.engines {
        let fences: Vec<u64> =
            engine.commands().iter().map(|command| command["fence"].as_u64().unwrap()).collect();
        assert!(fences.is_sorted() && fences.first() < fences.last(), "{fences:?}");
    }
    caller::until_status(&gateway, NOTES, 200).await;
}

#[tokio::test]
async fn a_lease_held_over_a_step_back_ends_and_is_claimed_again_with_a_higher_fence() {
    let fleet = Fleet::start(0, 2).await;
    let gateway = fleet.gateway("gateway-1").await;
    let copy = fleet.store.copy();
    fleet.engines.iter().for_each(Server::pause);
    fleet.store.set_target_version("m", 2);
    caller::until_line(&gateway, "lease_claimed").await;
    fleet.store.restore(copy);
    caller::until_line(&gateway, "lease_ended_by_era").await;
    fleet.engines.iter().for_each(Server::resume);
    fleet.store.set_target_version("m", 3);
    until("all servers have the version", || {
        fleet.engines.iter().all(|engine| engine.weight_version() == 3)
    })
    .await;
    until("the lease is claimed again", || gateway.lines("lease_claimed").len() > 1).await;
    let claimed = gateway.lines("lease_claimed");
    let fences: Vec<u64> = claimed.iter().map(|line| line["fence"].as_u64().unwrap()).collect();
    assert!(fences.is_sorted_by(|left, right| left < right), "{fences:?}");
    let ended_ms = gateway.lines("lease_ended_by_era")[0]["t_ms"].as_u64();
    let ordered = gateway.lines("server_ordered").into_iter();
    let mut later = ordered.filter(|line| line["t_ms"].as_u64() > ended_ms);
    assert!(later.all(|line| line["fence"].as_u64() > Some(fences[0])));
}

#[tokio::test]
async fn gateways_of_earlier_versions_read_a_lease_record_with_an_era() {
    const FIELDS: usize = 4;
    let fleet = Fleet::start(0, 1).await;
    let _gateway = fleet.gateway("gateway-1").await;
    fleet.store.set_target_version("m", 2);
    until("the lease is claimed", || !fleet.store.is_empty("keyed.steward")).await;
    let record = &fleet.store.values("keyed.steward")[0];
    assert_eq!(record.as_array().map(Vec::len), Some(FIELDS), "{record}");
}

#[tokio::test]
async fn gateways_register_again_when_the_copy_lacks_them() {
    let fleet = Fleet::start(1, 0).await;
    let copy = fleet.store.copy();
    let gateways = [fleet.gateway("gateway-1").await, fleet.gateway("gateway-2").await];
    for gateway in &gateways {
        caller::until_listed(gateway, 2).await;
    }
    fleet.store.restore(copy);
    for gateway in &gateways {
        caller::until_line(gateway, "gateway_registered_again").await;
    }
    let mut registered = fleet.store.keys("keyed.gateways");
    registered.sort();
    assert_eq!(registered, ["gateway-1", "gateway-2"]);
    let reduced = |line: &serde_json::Value| line["before"] == 2;
    assert!(!gateways.iter().any(|gateway| gateway.lines("gateways_listed").iter().any(reduced)));
}

#[tokio::test]
async fn peers_pass_the_era_on_to_a_gateway_that_the_store_refuses() {
    let fleet = Fleet::start(1, 0).await;
    let first = fleet.gateway("gateway-1").await;
    let refusing = Store::start().await.unwrap();
    refusing.set_era(None);
    refusing.set_availability(Availability::Refuses);
    let seeds = vec![first.peers.to_string()];
    let second =
        Gateway::start(&settings("gateway-2", &refusing.address().to_string(), &seeds)).await;
    caller::until_ready(&second).await;
    fleet.store.restore(fleet.store.copy());
    until("both know of the rise", || raised(&first) && raised(&second)).await;
    assert_eq!(second.lines("store_era_raised")[0]["source"], "peer");
}

#[tokio::test]
async fn an_era_that_falls_or_is_missing_or_malformed_changes_nothing() {
    let fleet = Fleet::start(1, 0).await;
    fleet.store.set_era(Some("7"));
    let gateway = fleet.gateway("gateway-1").await;
    for (version, era) in [(2, Some("6")), (3, None), (4, Some("7.5")), (5, Some("-8"))] {
        fleet.store.set_era(era);
        fleet.store.put_configuration(&configuration(version, &["alpha-key"]));
        until("the configuration is in force", || has_version(&gateway, version)).await;
    }
    assert_eq!(gateway.lines("store_era_ignored").len(), 3);
    assert!(!raised(&gateway));
    assert!(gateway.lines("store_read_again").is_empty());
}
