//! Prompts that return after their pieces left the servers' memory.

use crate::caller::{complete, prompt, right_answer};
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
const PIECES: usize = 5;
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Later than any test ends, so that what a server evicts is never told.
const NEVER_MS: u64 = 3_600_000;
const EAST: usize = 0;
const WEST: usize = 2;

/// Starts an engine and a store host in each region; an engine holds one prompt and tells no events.
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

async fn visit(daemon: &Daemon, prompt: &str) {
    let answer = complete(daemon.addresses.callers, KEY_A, MODEL, prompt, ANSWER_TOKENS).await;
    assert_eq!(answer.streamed_text(), Some(right_answer(prompt, ANSWER_TOKENS)));
}

/// Visits with a new prompt, and waits until it is kept.
async fn visit_first(daemon: &Daemon, prompt: &str) {
    let before = daemon.counter("pieces.exported").await;
    visit(daemon, prompt).await;
    wait::until("the pieces are exported", || async {
        daemon.counter("pieces.exported").await >= before + PIECES as u64
    })
    .await;
}

fn imported(site: &Site, host: &str) -> u64 {
    let engine = site.engines.iter().find(|(name, _)| name.as_str() == host);
    engine.expect("the engine exists").1.counters().imported_blocks
}

#[tokio::test(flavor = "multi_thread")]
async fn pieces_that_a_server_evicted_are_imported_again() {
    let (site, [east, _west]) = start().await;
    let (first, other) = (prompt("first", PIECES), prompt("other", PIECES));
    visit_first(&east, &first).await;
    visit_first(&east, &other).await;
    visit(&east, &first).await;
    assert_eq!(imported(&site, "m-east"), PIECES as u64);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_home_weighs_the_servers_of_its_own_region() {
    let (_site, [east, _west]) = start().await;
    let new = prompt("new", PIECES);
    let answer = complete(east.addresses.callers, KEY_A, MODEL, &new, ANSWER_TOKENS).await;
    let request = answer.headers["x-request-id"].to_str().expect("an id is text");
    let why: PlacementExplanation = HttpClient::new()
        .get_json(east.addresses.operators, &format!("/why/{request}"), CALL_TIMEOUT)
        .await
        .expect("the host remembers the request");
    let candidates = why.attempts[0].candidates.iter();
    let weighed: Vec<&str> = candidates.map(|candidate| candidate.server.as_str()).collect();
    assert_eq!(weighed, ["m-east"]);
}

#[tokio::test(flavor = "multi_thread")]
async fn the_home_beside_the_kept_work_decides_on_each_visit_from_the_other_region() {
    let (site, [east, west]) = start().await;
    let (first, other) = (prompt("first", PIECES), prompt("other", PIECES));
    visit_first(&west, &first).await;
    visit_first(&west, &other).await;
    visit(&east, &first).await;
    assert_eq!(imported(&site, "m-west"), PIECES as u64);

    let third = prompt("third", PIECES);
    visit_first(&west, &third).await;
    visit(&east, &first).await;
    assert_eq!(imported(&site, "m-west"), 2 * PIECES as u64);
}
