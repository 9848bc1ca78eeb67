//! Entries that other writers left among those of the servers: they name no server to use, and the
//! others hold.

use crate::caller::post;
use crate::fleet::{Fleet, ORDERS};
use crate::process::{Gateway, until};
use serde_json::{Value, json};
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
    let has_joined = |line: &Value| line["server"] == "joining";
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
        fleet.store.append("keyed.servers", b"\xff\xfe", &encode(&json!({})));
        fleet.store.set_availability(availability);
        let mut gateway = fleet.gateway_with(&settings(&fleet, "gateway-1")).await;
        assert_eq!(post(&gateway, ORDERS).await.status, 200);
        assert_follows(&fleet, &mut gateway).await;
    }
}

/// Returns odd values of a server's entry. Those that have an address lead to a server that must get
/// no request.
fn odd_values(trap: &Server) -> Vec<Vec<u8>> {
    let entry = trap.entry("desk", "east-1", 1, "ready");
    let nested = |depth: usize| [&[0x81, 0xa1, b'x'], &[0x91].repeat(depth)[..], &[0xc0]].concat();
    let with = |field: &str, value: Value| {
        let mut odd = entry.clone();
        odd[field] = value;
        encode(&odd)
    };
    let mut nested_field = encode(&entry);
    // One more field, in a map of up to 15.
    nested_field[0] += 1;
    nested_field.extend([0xa1, b'x']);
    nested_field.extend([0x91].repeat(1_000));
    nested_field.push(0xc0);
    let whole = encode(&entry);
    let mut odd = vec![
        nested(100),
        nested(1_000),
        nested(100_000),
        nested_field,
        whole[..whole.len() - 1].to_vec(),
        vec![0xc1],
        // Lengths of 4 GB: an array, a map, a text and bytes.
        [&[0x81, 0xa6], &b"models"[..], &[0xdd, 0xff, 0xff, 0xff, 0xff]].concat(),
        vec![0xdf, 0xff, 0xff, 0xff, 0xff],
        [&[0x81, 0xa4], &b"zone"[..], &[0xdb, 0xff, 0xff, 0xff, 0xff]].concat(),
        [&[0x81, 0xa4], &b"zone"[..], &[0xc6, 0xff, 0xff, 0xff, 0xff]].concat(),
    ];
    odd.extend([99_999, 0].map(|port| with("address", json!(format!("127.0.0.1:{port}")))));
    odd.extend([json!(1_u64 << 32), json!(-1), json!(1.5)].map(|slots| with("slots", slots)));
    odd.extend(["sequence", "born"].map(|field| with(field, json!(u64::MAX))));
    odd.extend(["resting", ""].map(|state| with("state", json!(state))));
    odd.push(with("service", json!("nowhere")));
    odd.push(with("version", json!("v".repeat(1 << 16))));
    odd
}

/// Appends odd entries under ids of their own, and sound ones under ids that no header can carry.
fn append_odd(fleet: &Fleet, trap: &Server) -> usize {
    let odd = odd_values(trap);
    for (index, value) in odd.iter().enumerate() {
        fleet.store.append("keyed.servers", format!("odd-{index}"), value);
    }
    let sound = encode(&trap.entry("desk", "east-1", 1, "ready"));
    let keys: [&[u8]; 4] = [b"\xff\xfe", b"", b"odd\r\nX-Tenant: alpha", &[0xc3; 255]];
    for key in keys {
        fleet.store.append("keyed.servers", key, &sound);
    }
    // The entry of an unknown service can be read.
    odd.len() - 1 + keys.len()
}

fn joined(gateway: &Gateway, server: &str) -> usize {
    gateway.lines("server_joined").iter().filter(|line| line["server"] == server).count()
}

#[tokio::test]
async fn odd_entries_in_the_first_listing_stop_no_gateway() {
    let fleet = Fleet::start(2, 0).await;
    let trap = Server::start("trap", ServerKind::Plain).await.unwrap();
    append_odd(&fleet, &trap);
    let mut gateway = fleet.gateway_with(&settings(&fleet, "gateway-1")).await;
    for _ in 0..6 {
        assert_eq!(post(&gateway, ORDERS).await.status, 200);
    }
    assert_follows(&fleet, &mut gateway).await;
    assert!(trap.arrivals().is_empty());
}

#[tokio::test]
async fn odd_entries_that_are_written_later_stop_no_gateway() {
    let fleet = Fleet::start(2, 0).await;
    let trap = Server::start("trap", ServerKind::Plain).await.unwrap();
    let mut gateway = fleet.gateway_with(&settings(&fleet, "gateway-1")).await;
    let odd = append_odd(&fleet, &trap);
    // Written again, they are counted and not logged.
    append_odd(&fleet, &trap);
    let metrics = || crate::caller::metrics(&gateway);
    let counted = format!("unreadable_records{{kind=\"keyed.servers\"}} {}", 2 * odd);
    while !metrics().await.contains(&counted) {
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
    }
    // Keys that are not text are logged as one.
    until("all are logged", || gateway.lines("record_unreadable").len() >= odd - 2).await;
    for _ in 0..6 {
        assert_eq!(post(&gateway, ORDERS).await.status, 200);
    }
    assert_follows(&fleet, &mut gateway).await;
    assert_eq!(gateway.lines("record_unreadable").len(), odd - 2);
    assert!(trap.arrivals().is_empty());
}

#[tokio::test]
async fn a_server_is_back_with_its_next_entry_after_an_odd_one_under_its_id() {
    let fleet = Fleet::start(1, 0).await;
    let desk = &fleet.desks[0];
    let trap = Server::start("trap", ServerKind::Plain).await.unwrap();
    let mut gateway = fleet.gateway_with(&settings(&fleet, "gateway-1")).await;
    for (index, value) in odd_values(&trap).into_iter().enumerate() {
        let is_other_service = value == encode(&trap.entry("nowhere", "east-1", 1, "ready"));
        if is_other_service {
            continue;
        }
        let before = joined(&gateway, "desk-0");
        fleet.store.append("keyed.servers", desk.id(), &value);
        let heartbeat = 2 + index as u64;
        fleet.store.register(&desk.id(), &desk.entry("desk", "east-1", heartbeat, "ready"));
        until("it is back", || joined(&gateway, "desk-0") == before + 1).await;
        assert_eq!(post(&gateway, ORDERS).await.status, 200);
    }
    assert!(trap.arrivals().is_empty());
    assert_eq!(gateway.exit_status(), None);
}

#[tokio::test]
async fn an_entry_of_a_service_without_engines_takes_no_part_in_a_rollout() {
    let fleet = Fleet::start(1, 2).await;
    let trap = Server::start("trap", ServerKind::Engine).await.unwrap();
    for service in ["nowhere", "desk"] {
        fleet.store.register(service, &trap.entry(service, "east-1", 1, "ready"));
    }
    let gateway = fleet.gateway_with(&settings(&fleet, "gateway-1")).await;
    fleet.store.set_target_version("m", 2);
    let has_newest = |engine: &Server| engine.weight_version() == 2;
    until("the engines have it", || fleet.engines.iter().all(has_newest)).await;
    for engine in &fleet.engines {
        fleet.store.register(&engine.id(), &engine.entry("notes", "east-1", 2, "ready"));
    }
    until("the rollout is over", || !gateway.lines("lease_released").is_empty()).await;
    assert!(trap.arrivals().is_empty());
}
