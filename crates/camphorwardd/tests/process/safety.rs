//! Corrupt blocks, wrong weight versions and other organisations' cached blocks.

use crate::caller::{complete, expected_answer_to, prompt};
use crate::daemon::Daemon;
use crate::site::{self, KEY_A, KEY_B, MODEL};
use crate::wait;
use clients::engine::EngineClient;
use clients::http::HttpClient;
use clients::wire::engine::LoadCommand;
use protocol::ids::LogOffset;
use protocol::size::TokenCount;
use standins::engine::EngineConfig;
use standins::site::Site;
use standins::store::{ReadFault, StoreFaults};
use std::sync::Arc;

const ANSWER_TOKENS: u64 = 8;
const SEGMENTS: usize = 3;
/// Longer than any test, so that the first load reports stay in effect.
const STALE_LOAD_MS: u64 = 600_000;
const READ_FAULTS: [ReadFault; 5] = [
    ReadFault::Truncated,
    ReadFault::Swapped,
    ReadFault::HalfWritten,
    ReadFault::Zeroed,
    ReadFault::Freed,
];

async fn start(config: EngineConfig) -> (Site, Daemon) {
    let site = site::start(config).await;
    let daemon = Daemon::start(&site, "e1", 0, "").await;
    site::publish(&site).await;
    daemon.wait_ready(1).await;
    (site, daemon)
}

fn set_reads(site: &Site, reads: ReadFault) {
    for store in site.stores.values() {
        store.set_faults(StoreFaults { reads, ..StoreFaults::default() });
    }
}

async fn answer_to(daemon: &Daemon, key: &str, text: &str) -> Option<String> {
    complete(daemon.addresses.callers, key, MODEL, text, ANSWER_TOKENS).await.streamed_text()
}

async fn send_other_prompts(daemon: &Daemon, name: &str) {
    for number in 0..6 {
        let other = prompt(&format!("{name} {number}"), SEGMENTS);
        assert_eq!(
            answer_to(daemon, KEY_A, &other).await,
            Some(expected_answer_to(&other, ANSWER_TOKENS))
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn no_answer_is_built_from_a_corrupt_block() {
    // Each engine holds one prompt, so any two others evict the first.
    let cache_size = TokenCount::new(7_000);
    let (site, daemon) = start(EngineConfig { cache_size, ..EngineConfig::default() }).await;
    for (number, fault) in READ_FAULTS.into_iter().enumerate() {
        let text = prompt(&format!("kept {number}"), SEGMENTS);
        let exported_before = daemon.counter("pieces.exported").await;
        assert_eq!(
            answer_to(&daemon, KEY_A, &text).await,
            Some(expected_answer_to(&text, ANSWER_TOKENS))
        );
        wait::until("the blocks are exported", || async {
            daemon.counter("pieces.exported").await >= exported_before + SEGMENTS as u64
        })
        .await;
        send_other_prompts(&daemon, &format!("other {number}")).await;
        let not_imported_before = daemon.counter("pieces.not_imported").await;
        set_reads(&site, fault);
        let again = answer_to(&daemon, KEY_A, &text).await;
        set_reads(&site, ReadFault::None);
        assert_eq!(again, Some(expected_answer_to(&text, ANSWER_TOKENS)), "{fault:?}");
        let not_imported = daemon.counter("pieces.not_imported").await - not_imported_before;
        assert!(not_imported > 0, "{fault:?}: no import was tried");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_server_with_an_unexpected_version_is_detected_by_its_answer_head() {
    let config = EngineConfig {
        checks_version: false,
        load_lag_ms: STALE_LOAD_MS,
        load_ms: 0,
        ..EngineConfig::default()
    };
    let (site, daemon) = start(config).await;
    let swapped = site.engines.values().next().expect("there are engines");
    let command = LoadCommand {
        weight_version: "v2".parse().expect("a valid name"),
        fencing: LogOffset::new(1),
    };
    let client = EngineClient::new(Arc::new(HttpClient::new()));
    client.load_weights(swapped.address(), &command).await.expect("the engine accepts the command");
    wait::until("the weights are loaded", || async {
        swapped.weight_version() == command.weight_version
    })
    .await;
    for number in 0..8 {
        let text = prompt(&format!("version {number}"), 1);
        let answer = answer_to(&daemon, KEY_A, &text).await;
        assert_eq!(answer, Some(expected_answer_to(&text, ANSWER_TOKENS)));
    }
    assert!(
        daemon.counter("retries.stale_version").await > 0,
        "no unexpected version was detected"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn organisations_do_not_share_cached_blocks() {
    let (site, daemon) = start(EngineConfig::default()).await;
    let cached =
        || site.engines.values().map(|engine| engine.counters().cached_tokens).sum::<u64>();
    let text = prompt("the same text", SEGMENTS);
    let expected = Some(expected_answer_to(&text, ANSWER_TOKENS));
    assert_eq!(answer_to(&daemon, KEY_A, &text).await, expected);
    wait::until("the blocks are exported", || async {
        daemon.counter("pieces.exported").await >= SEGMENTS as u64
    })
    .await;
    assert_eq!(answer_to(&daemon, KEY_B, &text).await, expected);
    assert_eq!(cached(), 0, "the second organisation used the first one's blocks");
    assert_eq!(daemon.counter("pieces.imported").await, 0);

    assert_eq!(answer_to(&daemon, KEY_A, &text).await, expected);
    assert!(cached() > 0, "the first organisation's own blocks are reused");
}
