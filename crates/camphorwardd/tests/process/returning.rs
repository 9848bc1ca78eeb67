//! Prompts that return after their blocks were evicted from the servers' memory.

use crate::caller::{complete, expected_answer_to, prompt};
use crate::daemon::Daemon;
use crate::site::{self, KEY_A, MODEL};
use crate::wait;
use clients::http::HttpClient;
use protocol::message::operator::PlacementExplanation;
use protocol::size::TokenCount;
use standins::engine::EngineConfig;
use standins::site::{Site, SiteConfig};
use standins::store::StoreConfig;
use std::time::Duration;

const ANSWER_TOKENS: u64 = 8;
const SEGMENTS: usize = 5;
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Longer than any test, so that a server's evictions are never reported.
const NEVER_MS: u64 = 3_600_000;
const EAST: usize = 0;
const WEST: usize = 2;

/// Starts an engine and a store host in each region. An engine's cache holds one prompt, and the
/// engine reports no cache events.
async fn start() -> (Site, [Daemon; 2]) {
    let engine = EngineConfig {
        cache_size: TokenCount::new(11_000),
        event_lag_ms: NEVER_MS,
        ..EngineConfig::default()
    };
    let engines = [(EAST, "m-east"), (WEST, "m-west")]
        .map(|(domain, host)| site::entry(host, domain, "shade", engine.clone()));
    let stores = [(EAST, "s-east"), (WEST, "s-west")]
        .map(|(domain, host)| site::entry(host, domain, "shade-kv", StoreConfig::default()));
    let config =
        SiteConfig { engines: engines.into(), stores: stores.into(), ..SiteConfig::default() };
    let site = Site::start(config).await.expect("the stand-ins start");
    let east = Daemon::start(&site, "e-east", EAST, "").await;
    let west = Daemon::start(&site, "e-west", WEST, "").await;
    site::publish(&site).await;
    for daemon in [&east, &west] {
        daemon.wait_ready(2).await;
    }
    (site, [east, west])
}

async fn send_prompt(daemon: &Daemon, prompt: &str) {
    let answer = complete(daemon.addresses.callers, KEY_A, MODEL, prompt, ANSWER_TOKENS).await;
    assert_eq!(answer.streamed_text(), Some(expected_answer_to(prompt, ANSWER_TOKENS)));
}

/// Sends a new prompt, and waits until its blocks are cached on a store host.
async fn send_new_prompt(daemon: &Daemon, prompt: &str) {
    let before = daemon.counter("pieces.exported").await;
    send_prompt(daemon, prompt).await;
    wait::until("the blocks are exported", || async {
        daemon.counter("pieces.exported").await >= before + SEGMENTS as u64
    })
    .await;
}

fn imported(site: &Site, host: &str) -> u64 {
    let engine = site.engines.iter().find(|(name, _)| name.as_str() == host);
    engine.expect("the engine exists").1.counters().imported_blocks
}

#[tokio::test(flavor = "multi_thread")]
async fn blocks_that_a_server_evicted_are_imported_again() {
    let (site, [east, _west]) = start().await;
    let (first, other) = (prompt("first", SEGMENTS), prompt("other", SEGMENTS));
    send_new_prompt(&east, &first).await;
    send_new_prompt(&east, &other).await;
    send_prompt(&east, &first).await;
    assert_eq!(imported(&site, "m-east"), SEGMENTS as u64);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_home_considers_only_the_servers_of_its_own_region() {
    let (_site, [east, _west]) = start().await;
    let new = prompt("new", SEGMENTS);
    let answer = complete(east.addresses.callers, KEY_A, MODEL, &new, ANSWER_TOKENS).await;
    let request = answer.headers["x-request-id"].to_str().expect("an id is text");
    let why: PlacementExplanation = HttpClient::new()
        .get_json(east.addresses.operators, &format!("/why/{request}"), CALL_TIMEOUT)
        .await
        .expect("the host has the request's explanation");
    let candidates = why.attempts[0].candidates.iter();
    let considered: Vec<&str> = candidates.map(|candidate| candidate.server.as_str()).collect();
    assert_eq!(considered, ["m-east"]);
}

#[tokio::test(flavor = "multi_thread")]
async fn the_home_in_the_region_of_the_cached_blocks_decides_for_the_remote_region() {
    let (site, [east, west]) = start().await;
    let (first, other) = (prompt("first", SEGMENTS), prompt("other", SEGMENTS));
    send_new_prompt(&west, &first).await;
    send_new_prompt(&west, &other).await;
    send_prompt(&east, &first).await;
    assert_eq!(imported(&site, "m-west"), SEGMENTS as u64);

    let third = prompt("third", SEGMENTS);
    send_new_prompt(&west, &third).await;
    send_prompt(&east, &first).await;
    assert_eq!(imported(&site, "m-west"), 2 * SEGMENTS as u64);
}
