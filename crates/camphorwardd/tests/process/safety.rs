//! Damaged blocks, wrong weight versions and other organisations' kept work.

use crate::caller::{complete, prompt, right_answer};
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
const PIECES: usize = 3;
/// Far longer than any test, so that reports stay what they were first.
const STALE_LOAD_MS: u64 = 600_000;
const DAMAGES: [ReadFault; 5] = [
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

async fn ask(daemon: &Daemon, key: &str, text: &str) -> Option<String> {
    complete(daemon.addresses.callers, key, MODEL, text, ANSWER_TOKENS).await.streamed_text()
}

async fn ask_others(daemon: &Daemon, name: &str) {
    for number in 0..6 {
        let other = prompt(&format!("{name} {number}"), PIECES);
        assert_eq!(ask(daemon, KEY_A, &other).await, Some(right_answer(&other, ANSWER_TOKENS)));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn no_answer_is_built_from_a_damaged_block() {
    // Each engine holds one prompt, so any two others evict the first.
    let cache_size = TokenCount::new(7_000);
    let (site, daemon) = start(EngineConfig { cache_size, ..EngineConfig::default() }).await;
    for (number, damage) in DAMAGES.into_iter().enumerate() {
        let text = prompt(&format!("kept {number}"), PIECES);
        let exported_before = daemon.counter("pieces.exported").await;
        assert_eq!(ask(&daemon, KEY_A, &text).await, Some(right_answer(&text, ANSWER_TOKENS)));
        wait::until("the pieces are exported", || async {
            daemon.counter("pieces.exported").await >= exported_before + PIECES as u64
        })
        .await;
        ask_others(&daemon, &format!("other {number}")).await;
        let missed_before = daemon.counter("pieces.not_imported").await;
        set_reads(&site, damage);
        let again = ask(&daemon, KEY_A, &text).await;
        set_reads(&site, ReadFault::None);
        assert_eq!(again, Some(right_answer(&text, ANSWER_TOKENS)), "{damage:?}");
        let missed = daemon.counter("pieces.not_imported").await - missed_before;
        assert!(missed > 0, "{damage:?}: no import was tried");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_runs_another_version_unasked_is_caught_by_its_head() {
    let config = EngineConfig {
        checks_version: false,
        load_lag_ms: STALE_LOAD_MS,
        load_ms: 0,
        ..EngineConfig::default()
    };
    let (site, daemon) = start(config).await;
    let swapped = site.engines.values().next().expect("there are engines");
    let order = LoadCommand {
        weight_version: "v2".parse().expect("a valid name"),
        fencing: LogOffset::new(1),
    };
    let client = EngineClient::new(Arc::new(HttpClient::new()));
    client.load_weights(swapped.address(), &order).await.expect("the engine takes the order");
    wait::until("the weights are loaded", || async {
        swapped.weight_version() == order.weight_version
    })
    .await;
    for number in 0..8 {
        let text = prompt(&format!("version {number}"), 1);
        let answer = ask(&daemon, KEY_A, &text).await;
        assert_eq!(answer, Some(right_answer(&text, ANSWER_TOKENS)));
    }
    assert!(daemon.counter("retries.stale_version").await > 0, "no server was caught");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_organisation_gets_nothing_of_another_one_s_kept_work() {
    let (site, daemon) = start(EngineConfig::default()).await;
    let cached =
        || site.engines.values().map(|engine| engine.counters().cached_tokens).sum::<u64>();
    let text = prompt("the same text", PIECES);
    let right = Some(right_answer(&text, ANSWER_TOKENS));
    assert_eq!(ask(&daemon, KEY_A, &text).await, right);
    wait::until("the pieces are exported", || async {
        daemon.counter("pieces.exported").await >= PIECES as u64
    })
    .await;
    assert_eq!(ask(&daemon, KEY_B, &text).await, right);
    assert_eq!(cached(), 0, "the second organisation used the first one's work");
    assert_eq!(daemon.counter("pieces.imported").await, 0);

    assert_eq!(ask(&daemon, KEY_A, &text).await, right);
    assert!(cached() > 0, "the first organisation's own work is used again");
}
