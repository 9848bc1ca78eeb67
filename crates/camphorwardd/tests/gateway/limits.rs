//! Servers that name the number of requests that they take from all gateways together.

use crate::caller::{self, post};
use crate::fleet::{Fleet, NOTES, ORDERS};
use crate::process::{Gateway, until};
use standins::fleet::{Behaviour, Server};
use std::time::{Duration, Instant};

/// The time that gateways have to obey a limit, and that in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// How long load lasts after a server names its limit.
const LOAD: Duration = Duration::from_secs(9);

/// The number of requests that a limit allows within [`WINDOW`].
fn allowed(limit_per_s: f64) -> usize {
    (1.5 * limit_per_s * WINDOW.as_secs_f64() + 5.0) as usize
}

/// Starts gateways that know each other.
async fn gateways(fleet: &Fleet, count: usize) -> Vec<Gateway> {
    let mut gateways = Vec::new();
    for index in 0..count {
        gateways.push(fleet.gateway(&format!("gateway-{index}")).await);
    }
    for gateway in &gateways {
        caller::until_listed(gateway, count as u64).await;
    }
    gateways
}

/// Sends requests through all gateways, for some time after the limit was named.
async fn load(gateways: &[Gateway], path: &str) {
    const CALLERS_EACH: usize = 3;
    const PAUSE: Duration = Duration::from_millis(60);
    let since = Instant::now();
    let callers = gateways.iter().flat_map(|gateway| std::iter::repeat_n(gateway, CALLERS_EACH));
    let callers = callers.map(|gateway| async move {
        while since.elapsed() < LOAD {
            post(gateway, path).await;
            tokio::time::sleep(PAUSE).await;
        }
    });
    futures_util::future::join_all(callers).await;
}

async fn until_named(gateway: &Gateway, server: &Server) {
    while !gateway.lines("server_terms").iter().any(|line| line["server"] == server.id()) {
        post(gateway, ORDERS).await;
        post(gateway, NOTES).await;
    }
}

fn assert_kept(server: &Server, limit_per_s: f64, named: Instant) {
    let most = server.most_arrivals_within(WINDOW, named + WINDOW);
    assert!(most <= allowed(limit_per_s), "{most} requests at {limit_per_s}/s");
}

#[tokio::test]
async fn a_server_that_named_a_limit_gets_no_more_from_all_gateways_together() {
    const LIMIT_PER_S: f64 = 1.2;
    let fleet = Fleet::start(0, 3).await;
    let gateways = gateways(&fleet, 3).await;
    fleet.engines[0].set_extra_headers(&[("Server-Limit", "1.2")]);
    for gateway in &gateways {
        until_named(gateway, &fleet.engines[0]).await;
    }
    let named = Instant::now();
    load(&gateways, NOTES).await;
    assert_kept(&fleet.engines[0], LIMIT_PER_S, named);
}

#[tokio::test]
async fn refusals_count_towards_a_limit_that_all_servers_have() {
    const LIMIT_PER_S: f64 = 1.5;
    let fleet = Fleet::start(2, 0).await;
    let gateways = gateways(&fleet, 2).await;
    for desk in &fleet.desks {
        desk.set_behaviour(Behaviour::Sheds);
        desk.set_extra_headers(&[("Server-Limit", "1.5")]);
    }
    for gateway in &gateways {
        for desk in &fleet.desks {
            until_named(gateway, desk).await;
        }
    }
    let named = Instant::now();
    load(&gateways, ORDERS).await;
    fleet.desks.iter().for_each(|desk| assert_kept(desk, LIMIT_PER_S, named));
    until("refusals are logged", || {
        let refused = gateways[0].lines("request_refused");
        refused.iter().any(|line| line["reason"] == "servers_limited")
    })
    .await;
}
