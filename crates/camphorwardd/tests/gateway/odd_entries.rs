//! Entries that other writers left among those of the servers: they name no server to use, and the
//! others hold.

use crate::caller::post;
use crate::fleet::{Fleet, ORDERS};
use crate::process::{Gateway, until};
use standins::fleet::{Availability, Server, ServerKind, encode};

/// Returns the settings of a gateway whose tasks run on worker threads, as in production.
fn settings(fleet: &Fleet, host: &str) -> String {
    let settings = fleet.settings(host, &[]);
    settings.replace("\"worker_threads\":1", "\"worker_threads\":2")
}

/// Checks that a gateway follows the entries: a server that joins is used, one that drains is not.
async fn assert_follows(fleet: &Fleet, gateway: &mut Gateway) {
    let joining = Server::start("joining", ServerKind::Plain).await.unwrap();
    fleet.store.register("joining", &joining.entry("desk", "east-1", 1, "ready"));
    let has_joined = |line: &serde_json::Value| line["server"] == "joining";
    until("a server joins", || gateway.lines("server_joined").iter().any(has_joined)).await;
    for desk in &fleet.desks {
        fleet.store.register(&desk.id(), &desk.entry("desk", "east-1", 9, "draining"));
    }
    let left = || gateway.lines("server_left");
    let has_left = |desk: &Server| left().iter().any(|line| line["server"] == desk.id().as_str());
    until("the others leave", || fleet.desks.iter().all(has_left)).await;
    for _ in 0..3 {
        assert_eq!(post(gateway, ORDERS).await.status, 200);
    }
    assert_eq!(joining.executed().len(), 3);
    assert_eq!(gateway.exit_status(), None);
}

#[tokio::test]
async fn a_key_that_is_not_text_hides_no_other_entry_of_a_page() {
    for availability in [Availability::Up, Availability::RepeatedPages] {
        let fleet = Fleet::start(2, 0).await;
        fleet.store.append("keyed.servers", b"\xff\xfe", &encode(&serde_json::json!({})));
        fleet.store.set_availability(availability);
        let mut gateway = fleet.gateway_with(&settings(&fleet, "gateway-1")).await;
        assert_eq!(post(&gateway, ORDERS).await.status, 200);
        assert_follows(&fleet, &mut gateway).await;
    }
}
