//! Requests that crash each server that runs them, sent again and again to any gateway.

use crate::caller::{self, new_id, request, send};
use crate::fleet::{Fleet, ORDERS, QUICK, STATUS};
use crate::process::{Gateway, until};
use serde_json::Value;
use standins::fleet::{Behaviour, CrashPlan, CrashTrigger, Server, ServerKind};
use std::time::Duration;

const POISON: &str = "poison";
/// The crashes after which a request counts as one that crashes servers.
const CRASHES: u64 = 3;
/// The time within which the platform expects all gateways to know it.
pub const STABLE_WINDOW: Duration = Duration::from_secs(4);
/// How many more servers the platform allows such a request to reach.
pub const MAX_LATER: u64 = 3;

/// Makes servers crash under the request, without ever starting again.
fn crash_on_poison(servers: &[Server], delay: Duration) {
    for server in servers {
        let trigger = CrashTrigger::Request(POISON.to_owned());
        server.set_crash_plan(CrashPlan { trigger, delay, restart_after: None });
    }
}

pub fn crashes(servers: &[Server]) -> u64 {
    servers.iter().map(Server::crashes).sum()
}

/// Sends the request; returns whether it was refused because it crashes servers.
async fn post_poison(gateway: &Gateway, path: &str) -> bool {
    let text = request(&format!("{path}{POISON}"), &new_id(), "", "body");
    let response = send(gateway.callers, &text).await;
    response.body.contains("crashes_servers")
}

/// Sends the request until it has crashed as many servers as make it one that crashes servers.
async fn crash_servers(gateway: &Gateway, path: &str, servers: &[Server]) {
    while crashes(servers) < CRASHES {
        post_poison(gateway, path).await;
    }
}

/// Sends the request to gateways until each refuses it, or more servers have crashed than may.
async fn until_refused(gateways: &[&Gateway], path: &str, servers: &[Server]) {
    for gateway in gateways {
        while !post_poison(gateway, path).await {
            assert!(
                crashes(servers) <= CRASHES + MAX_LATER,
                "the request goes on crashing servers"
            );
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
    assert!(crashes(servers) <= CRASHES + MAX_LATER);
}

/// Starts two gateways that know each other.
pub async fn two_gateways(fleet: &Fleet) -> (Gateway, Gateway) {
    let first = fleet.gateway("gateway-1").await;
    let second = fleet.gateway("gateway-2").await;
    caller::until_listed(&first, 2).await;
    caller::until_listed(&second, 2).await;
    (first, second)
}

#[tokio::test]
async fn a_safe_request_that_crashes_servers_is_refused_by_all_gateways() {
    let fleet = Fleet::start(10, 0).await;
    let (first, second) = two_gateways(&fleet).await;
    crash_on_poison(&fleet.desks, Duration::ZERO);
    crash_servers(&first, STATUS, &fleet.desks).await;
    until_refused(&[&first, &second], STATUS, &fleet.desks).await;
}

#[tokio::test]
async fn an_unsafe_request_that_crashes_servers_is_refused_by_all_gateways() {
    let fleet = Fleet::start(10, 0).await;
    let (first, second) = two_gateways(&fleet).await;
    crash_on_poison(&fleet.desks, Duration::ZERO);
    crash_servers(&first, ORDERS, &fleet.desks).await;
    until_refused(&[&first, &second], ORDERS, &fleet.desks).await;
}

#[tokio::test]
async fn a_restarted_gateway_refuses_a_request_that_crashed_servers_before() {
    let fleet = Fleet::start(10, 0).await;
    let (first, second) = two_gateways(&fleet).await;
    crash_on_poison(&fleet.desks, Duration::ZERO);
    crash_servers(&first, ORDERS, &fleet.desks).await;
    until_refused(&[&first, &second], ORDERS, &fleet.desks).await;
    tokio::time::sleep(STABLE_WINDOW).await;
    drop((first, second));
    let before = crashes(&fleet.desks);
    for host in ["gateway-1", "gateway-2", "gateway-3"] {
        let gateway = Gateway::start(&fleet.settings(host, &[])).await;
        caller::until_ready(&gateway).await;
        until_refused(&[&gateway], ORDERS, &fleet.desks).await;
    }
    assert!(crashes(&fleet.desks) <= before + MAX_LATER);
}

#[tokio::test]
async fn gateways_without_peers_refuse_a_request_that_crashed_servers_at_another() {
    let fleet = Fleet::start(12, 0).await;
    let first = fleet.gateway("gateway-1").await;
    let mut alone = Vec::new();
    for host in ["gateway-2", "gateway-3"] {
        let mut settings: Value = serde_json::from_str(&fleet.settings(host, &[])).unwrap();
        settings["listen"]["peers"] = Value::Null;
        let gateway = Gateway::start(&settings.to_string()).await;
        caller::until_ready(&gateway).await;
        alone.push(gateway);
    }
    crash_on_poison(&fleet.desks, Duration::ZERO);
    crash_servers(&first, ORDERS, &fleet.desks).await;
    tokio::time::sleep(STABLE_WINDOW).await;
    until_refused(&[&first, &alone[0], &alone[1]], ORDERS, &fleet.desks).await;
}

#[tokio::test]
async fn a_reset_connection_of_a_server_that_lives_is_no_crash() {
    let fleet = Fleet::start(0, 2).await;
    let gateway = fleet.gateway("gateway-1").await;
    fleet.engines.iter().for_each(|engine| engine.set_behaviour(Behaviour::Resets));
    for _ in 0..6 {
        assert!(!post_poison(&gateway, QUICK).await, "no server has crashed");
    }
    fleet.engines.iter().for_each(|engine| engine.set_behaviour(Behaviour::Serves));
    let text = request(&format!("{QUICK}{POISON}"), &new_id(), "", "body");
    let is_served = async || send(gateway.callers, &text).await.status == 200;
    while !is_served().await {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

#[tokio::test]
async fn the_end_of_a_server_that_left_is_no_crash() {
    let fleet = Fleet::start(1, 0).await;
    let gateway = fleet.gateway("gateway-1").await;
    let mut servers = fleet.desks;
    for number in 1..=CRASHES {
        let server = servers.pop().unwrap();
        server.set_execution_time(Duration::from_secs(30));
        let next = Server::start(&format!("next-{number}"), ServerKind::Plain).await.unwrap();
        let left = gateway.lines("server_left").len();
        let (refused, ()) = tokio::join!(post_poison(&gateway, ORDERS), async {
            until("the server runs it", || !server.executed().is_empty()).await;
            fleet.store.register(&server.id(), &server.entry("desk", "east-1", 2, "draining"));
            until("the server is left", || gateway.lines("server_left").len() > left).await;
            server.crash();
        });
        assert!(!refused);
        let joined = gateway.lines("server_joined").len();
        fleet.store.register(&next.id(), &next.entry("desk", "east-1", 1, "ready"));
        until("the next one is listed", || gateway.lines("server_joined").len() > joined).await;
        servers.push(next);
    }
    let text = request(&format!("{ORDERS}{POISON}"), &new_id(), "", "body");
    assert_eq!(send(gateway.callers, &text).await.status, 200);
}

#[tokio::test]
async fn copies_of_a_request_on_one_server_count_one_crash() {
    let fleet = Fleet::start(2, 0).await;
    let (first, second) = two_gateways(&fleet).await;
    crash_on_poison(&fleet.desks, Duration::from_millis(300));
    let copies: Vec<_> = [&first, &second, &first, &second]
        .into_iter()
        .map(|gateway| post_poison(gateway, ORDERS))
        .collect();
    let refused = futures_util::future::join_all(copies).await;
    assert!(!refused.contains(&true));
    assert!(crashes(&fleet.desks) <= 2, "there are two servers");
    until("the crashes are known", || {
        [&first, &second].iter().all(|gateway| gateway.lines("send_failed").len() >= 2)
    })
    .await;
    for gateway in [&first, &second] {
        assert!(!post_poison(gateway, ORDERS).await, "two servers have crashed, not three");
    }
}
