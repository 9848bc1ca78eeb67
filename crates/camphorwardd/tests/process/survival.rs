//! Store hosts and entry hosts that crash or are full, and a swap of weights during a request.

use crate::caller::{complete, expected_answer_of, expected_answer_to, prompt};
use crate::daemon::Daemon;
use crate::site::{self, KEY_A, MODEL};
use crate::wait;
use clients::engine::EngineClient;
use clients::http::HttpClient;
use clients::wire::engine::LoadCommand;
use protocol::ids::LogOffset;
use protocol::size::TokenCount;
use standins::engine::EngineConfig;
use standins::site::Site;
use standins::store::StoreFaults;
use std::sync::Arc;

const TOKENS: u64 = 8;
const SEGMENTS: usize = 3;
const LONG_ANSWER_TOKENS: u64 = 200;

/// Each engine holds one prompt, so any two others evict the first.
fn small_memory() -> EngineConfig {
    EngineConfig { cache_size: TokenCount::new(7_000), ..EngineConfig::default() }
}

async fn answer_to(daemon: &Daemon, text: &str) -> Option<String> {
    complete(daemon.addresses.callers, KEY_A, MODEL, text, TOKENS).await.streamed_text()
}

async fn wait_exported(daemon: &Daemon, blocks: u64) {
    wait::until("the blocks are exported", || async {
        daemon.counter("pieces.exported").await >= blocks
    })
    .await;
}

async fn evict(daemon: &Daemon) {
    for number in 0..6 {
        let other = prompt(&format!("other {number}"), SEGMENTS);
        assert_eq!(answer_to(daemon, &other).await, Some(expected_answer_to(&other, TOKENS)));
    }
}

async fn start_one(config: EngineConfig) -> (Site, Daemon) {
    let site = site::start(config).await;
    let daemon = Daemon::start(&site, "e1", 0, "").await;
    site::publish(&site).await;
    daemon.wait_ready(1).await;
    (site, daemon)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_returning_prompt_is_answered_although_the_store_host_of_its_blocks_is_down() {
    let (site, daemon) = start_one(small_memory()).await;
    let text = prompt("kept", SEGMENTS);
    assert_eq!(answer_to(&daemon, &text).await, Some(expected_answer_to(&text, TOKENS)));
    wait_exported(&daemon, SEGMENTS as u64).await;
    evict(&daemon).await;
    site.stores.values().for_each(|store| store.kill());
    assert_eq!(answer_to(&daemon, &text).await, Some(expected_answer_to(&text, TOKENS)));
    assert!(daemon.counter("pieces.not_imported").await > 0, "no import was tried");
}

#[tokio::test(flavor = "multi_thread")]
async fn prompts_are_answered_while_every_store_host_is_full() {
    let (site, daemon) = start_one(small_memory()).await;
    let full = StoreFaults { full: true, ..StoreFaults::default() };
    site.stores.values().for_each(|store| store.set_faults(full.clone()));
    let text = prompt("not kept", SEGMENTS);
    assert_eq!(answer_to(&daemon, &text).await, Some(expected_answer_to(&text, TOKENS)));
    wait::until("an export was refused", || async {
        daemon.counter("pieces.not_exported").await > 0
    })
    .await;
    evict(&daemon).await;
    assert_eq!(answer_to(&daemon, &text).await, Some(expected_answer_to(&text, TOKENS)));
    assert_eq!(daemon.counter("pieces.exported").await, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn every_prompt_is_answered_after_the_homes_of_some_crashed() {
    let site = site::start(small_memory()).await;
    let first = Daemon::start(&site, "e1", 0, "").await;
    let second = Daemon::start(&site, "e2", 1, "").await;
    site::publish(&site).await;
    first.wait_ready(2).await;
    second.wait_ready(2).await;
    let texts: Vec<String> = (0..6).map(|n| prompt(&format!("home {n}"), SEGMENTS)).collect();
    for text in &texts {
        assert_eq!(answer_to(&first, text).await, Some(expected_answer_to(text, TOKENS)));
    }
    assert!(second.counter("home.answered").await > 0, "the second host was no home");
    wait::until("the blocks are exported", || async {
        let blocks =
            first.counter("pieces.exported").await + second.counter("pieces.exported").await;
        blocks >= (SEGMENTS * texts.len()) as u64
    })
    .await;

    drop(second);
    for text in &texts {
        assert_eq!(answer_to(&first, text).await, Some(expected_answer_to(text, TOKENS)));
    }
    assert!(first.counter("store.lookups").await > 0, "no block was looked up by its name");
    assert!(first.counter("pieces.imported").await > 0, "no block that was looked up was imported");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_keeps_its_weights_across_a_swap_and_the_next_one_gets_the_new_weights() {
    let (site, daemon) = start_one(EngineConfig { load_ms: 0, ..EngineConfig::default() }).await;
    let text = prompt("swap", 1);
    let callers = daemon.addresses.callers;
    let request = tokio::spawn({
        let text = text.clone();
        async move { complete(callers, KEY_A, MODEL, &text, LONG_ANSWER_TOKENS).await }
    });
    wait::until("some tokens are forwarded", || async { daemon.counter("tokens").await >= 3 })
        .await;
    site::publish_text(&site, 1, &site::services_text().replace("\"v1\"", "\"v2\"")).await;
    let client = EngineClient::new(Arc::new(HttpClient::new()));
    for engine in site.engines.values() {
        let command = LoadCommand {
            weight_version: "v2".parse().expect("a valid name"),
            fencing: LogOffset::new(1),
        };
        client
            .load_weights(engine.address(), &command)
            .await
            .expect("the engine accepts the command");
    }
    let answer = request.await.expect("the caller ran");
    assert_eq!(answer.streamed_text(), Some(expected_answer_to(&text, LONG_ANSWER_TOKENS)));
    wait::until("the servers report the new weights", || async {
        let status = daemon.status().await.expect("the operators' listener answers");
        let reported = |version: &str| {
            let versions =
                status.servers.iter().filter_map(|server| server.weight_version.as_ref());
            versions.filter(|reported| reported.as_str() == version).count()
        };
        reported("v2") == site.engines.len()
    })
    .await;
    assert_eq!(answer_to(&daemon, &text).await, Some(expected_answer_of("v2", &text, TOKENS)));
}
