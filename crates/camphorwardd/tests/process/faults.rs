//! Crashes and faults of servers, entry hosts and the log while requests run.

use crate::caller::{complete, expected_answer_to, prompt};
use crate::daemon::Daemon;
use crate::site::{self, KEY_A, MODEL};
use crate::wait;
use standins::engine::{EngineConfig, EngineFaults};

const TOKENS: u64 = 20;

fn slow_engine() -> EngineConfig {
    EngineConfig { token_gap_ms: 20, ..EngineConfig::default() }
}

async fn answer_under(faults: EngineFaults) -> (String, Option<String>) {
    let site = site::start(slow_engine()).await;
    let daemon = Daemon::start(&site, "e1", 0, "").await;
    site::publish(&site).await;
    daemon.wait_ready(1).await;
    // The fault applies to one attempt only, so the next one completes.
    for engine in site.engines.values() {
        let stream_fault_attempts = Some(1);
        engine.set_faults(EngineFaults { stream_fault_attempts, ..faults.clone() });
    }
    let text = prompt("faulty", 1);
    let answer = complete(daemon.addresses.callers, KEY_A, MODEL, &text, TOKENS).await;
    println!("peak {} kB", daemon.peak_memory_kb());
    (expected_answer_to(&text, TOKENS), answer.streamed_text())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_truncated_answer_is_resumed() {
    let faults = EngineFaults { truncated_after_tokens: Some(5), ..EngineFaults::default() };
    let (expected, received) = answer_under(faults).await;
    assert_eq!(received, Some(expected));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_duplicated_token_is_forwarded_once() {
    let faults = EngineFaults { duplicate_after_tokens: Some(5), ..EngineFaults::default() };
    let (expected, received) = answer_under(faults).await;
    assert_eq!(received, Some(expected));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_crossed_answer_is_dropped_and_resumed() {
    let faults = EngineFaults { crossed_after_tokens: Some(5), ..EngineFaults::default() };
    let (expected, received) = answer_under(faults).await;
    assert_eq!(received, Some(expected));
}

#[tokio::test(flavor = "multi_thread")]
async fn an_idle_stream_is_resumed() {
    let faults = EngineFaults { silent_after_tokens: Some(5), ..EngineFaults::default() };
    let (expected, received) = answer_under(faults).await;
    assert_eq!(received, Some(expected));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_moves_away_from_an_event_without_end() {
    let faults = EngineFaults { endless_after_tokens: Some(5), ..EngineFaults::default() };
    let (expected, received) = answer_under(faults).await;
    assert_eq!(received, Some(expected));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_killed_server_is_replaced_in_mid_answer() {
    let site = site::start(slow_engine()).await;
    let daemon = Daemon::start(&site, "e1", 0, "").await;
    site::publish(&site).await;
    daemon.wait_ready(1).await;
    let text = prompt("killed", 1);
    let callers = daemon.addresses.callers;
    let request = tokio::spawn({
        let text = text.clone();
        async move { complete(callers, KEY_A, MODEL, &text, TOKENS).await }
    });
    wait::until("some tokens are forwarded", || async { daemon.counter("tokens").await >= 3 })
        .await;
    let busy = site.engines.values().find(|engine| engine.active_attempts() > 0);
    busy.expect("one engine runs the request").kill();
    let answer = request.await.expect("the caller ran");
    assert_eq!(answer.streamed_text(), Some(expected_answer_to(&text, TOKENS)));
    assert_eq!(daemon.counter("retries.server_died").await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_drain_aborts_no_request() {
    let site = site::start(slow_engine()).await;
    let mut daemon = Daemon::start(&site, "e1", 0, "").await;
    site::publish(&site).await;
    daemon.wait_ready(1).await;
    let text = prompt("drained", 1);
    let callers = daemon.addresses.callers;
    let request = tokio::spawn({
        let text = text.clone();
        async move { complete(callers, KEY_A, MODEL, &text, 60).await }
    });
    wait::until("some tokens are forwarded", || async { daemon.counter("tokens").await >= 3 })
        .await;
    daemon.signal("TERM");
    let answer = request.await.expect("the caller ran");
    assert_eq!(answer.streamed_text(), Some(expected_answer_to(&text, 60)));
    assert_eq!(daemon.wait_exit().await, Some(0));
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_are_served_while_the_log_is_down() {
    let site = site::start(EngineConfig::default()).await;
    let daemon = Daemon::start(&site, "e1", 0, "").await;
    site::publish(&site).await;
    daemon.wait_ready(1).await;
    site.log.kill();
    site.host_list.kill();
    let text = prompt("log down", 1);
    let answer = complete(daemon.addresses.callers, KEY_A, MODEL, &text, 4).await;
    assert_eq!(answer.streamed_text(), Some(expected_answer_to(&text, 4)));
}
