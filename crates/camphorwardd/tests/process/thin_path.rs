//! End to end: publish, serve, evict, return, serve from imported blocks.

use crate::caller::{complete, expected_answer_to, prompt};
use crate::daemon::Daemon;
use crate::site::{self, KEY_A, MODEL};
use crate::wait;
use protocol::size::TokenCount;
use standins::engine::EngineConfig;
use standins::site::Site;

const ANSWER_TOKENS: u64 = 12;
const SEGMENTS: usize = 3;

async fn start_daemons(site: &Site) -> Vec<Daemon> {
    let mut daemons = Vec::new();
    for (index, host) in ["e1", "e2", "e3"].iter().enumerate() {
        daemons.push(Daemon::start(site, host, index, "").await);
    }
    site::publish(site).await;
    for daemon in &daemons {
        daemon.wait_ready(daemons.len()).await;
    }
    daemons
}

fn imported_blocks(site: &Site) -> u64 {
    site.engines.values().map(|engine| engine.counters().imported_blocks).sum()
}

async fn exported(daemons: &[Daemon]) -> u64 {
    let mut blocks = 0;
    for daemon in daemons {
        blocks += daemon.counter("pieces.exported").await;
    }
    blocks
}

#[tokio::test(flavor = "multi_thread")]
async fn a_prompt_that_returns_after_eviction_is_answered_from_imported_blocks() {
    // Each engine holds one prompt, so any two others evict the first.
    let cache_size = TokenCount::new(7_000);
    let site = site::start(EngineConfig { cache_size, ..EngineConfig::default() }).await;
    let daemons = start_daemons(&site).await;
    let callers = daemons[0].addresses.callers;
    let first = prompt("first", SEGMENTS);

    let answer = complete(callers, KEY_A, MODEL, &first, ANSWER_TOKENS).await;
    assert_eq!(answer.status, 200, "{}", answer.body);
    assert_eq!(answer.streamed_text(), Some(expected_answer_to(&first, ANSWER_TOKENS)));
    wait::until("the blocks are exported", || async {
        exported(&daemons).await >= SEGMENTS as u64
    })
    .await;

    for number in 0..6 {
        let other = prompt(&format!("other {number}"), SEGMENTS);
        let answer = complete(callers, KEY_A, MODEL, &other, 1).await;
        assert_eq!(answer.status, 200, "{}", answer.body);
    }
    assert_eq!(imported_blocks(&site), 0);

    let again = complete(daemons[1].addresses.callers, KEY_A, MODEL, &first, ANSWER_TOKENS).await;
    assert_eq!(again.streamed_text(), Some(expected_answer_to(&first, ANSWER_TOKENS)));
    assert_eq!(imported_blocks(&site), SEGMENTS as u64);
}
