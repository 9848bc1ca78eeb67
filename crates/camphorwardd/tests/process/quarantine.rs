//! A request that crashes each server running it, resent by its caller through other hosts.

use crate::caller::{Answer, complete, expected_answer_to, prompt, send};
use crate::daemon::Daemon;
use crate::site::{self, KEY_A, KEY_B, MODEL};
use crate::wait;
use http::Method;
use standins::engine::{Engine, EngineConfig, EngineFaults};
use standins::site::Site;
use tokio::task::JoinHandle;

const MARKER: &str = "crashes the engine";
const TOKENS: u64 = 60;
/// Long enough for an answer to outlast two crashes.
const LONG_TOKENS: u64 = 200;
const RESENDS: usize = 6;
const MAX_CRASHES: u64 = 2;

async fn start() -> (Site, Vec<Daemon>) {
    let site = site::start(EngineConfig { token_gap_ms: 20, ..EngineConfig::default() }).await;
    for engine in site.engines.values() {
        engine.set_faults(EngineFaults {
            crash_marker: Some(MARKER.to_owned()),
            restart_after_ms: Some(300),
            ..EngineFaults::default()
        });
    }
    let mut daemons = Vec::new();
    for (index, host) in ["e1", "e2", "e3"].iter().enumerate() {
        daemons.push(Daemon::start(&site, host, index, "").await);
    }
    site::publish(&site).await;
    for daemon in &daemons {
        daemon.wait_ready(daemons.len()).await;
    }
    (site, daemons)
}

/// Crashes an engine, which restarts after 300 ms.
async fn crash(engine: &Engine) {
    let body = r#"{ "restart_after_ms": 300 }"#.to_owned();
    let answer = send(engine.address(), Method::POST, "/kill", &[], body).await;
    assert_eq!(answer.status, 204, "{}", answer.body);
}

fn crashes(site: &Site) -> u64 {
    site.engines.values().map(|engine| engine.counters().crashes).sum()
}

async fn total(daemons: &[Daemon], counter: &str) -> u64 {
    let mut total = 0;
    for daemon in daemons {
        total += daemon.counter(counter).await;
    }
    total
}

fn spawn_request(daemon: &Daemon, key: &'static str, text: &str) -> JoinHandle<Answer> {
    spawn_request_of(daemon, key, text, TOKENS)
}

/// Spawns a request with the given length of the answer.
fn spawn_request_of(
    daemon: &Daemon,
    key: &'static str,
    text: &str,
    tokens: u64,
) -> JoinHandle<Answer> {
    let (address, text) = (daemon.addresses.callers, text.to_owned());
    tokio::spawn(async move { complete(address, key, MODEL, &text, tokens).await })
}

/// Waits until a daemon answers another request of the organisation, since crashed servers take a
/// while to restart.
async fn wait_answered(daemon: &Daemon, name: &str) {
    let other = prompt(name, 1);
    wait::until("another request of the organisation is answered", || async {
        let answer = spawn_request(daemon, KEY_A, &other).await.expect("the caller ran");
        answer.streamed_text() == Some(expected_answer_to(&other, TOKENS))
    })
    .await;
}

/// Sends the crashing prompt through each entry host in turn, each time to live servers.
async fn resend(daemons: &[Daemon], text: &str) -> Vec<Answer> {
    let mut answers = Vec::new();
    for (number, daemon) in daemons.iter().cycle().take(RESENDS).enumerate() {
        if number > 0 {
            wait_answered(daemon, &format!("between {number}")).await;
        }
        answers.push(spawn_request(daemon, KEY_A, text).await.expect("the caller ran"));
    }
    answers
}

fn assert_quarantined(answer: &Answer) {
    assert_eq!(answer.status, 422, "{}", answer.body);
    assert_eq!(answer.json()["error"]["kind"], "quarantined");
    assert!(answer.headers.contains_key("retry-after"), "{:?}", answer.headers);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_crashing_request_takes_down_at_most_two_servers() {
    let (site, daemons) = start().await;
    let answers = resend(&daemons, &format!("{} {MARKER}", prompt("bad", 1))).await;
    assert_eq!(crashes(&site), MAX_CRASHES);
    answers.iter().for_each(assert_quarantined);

    for (number, daemon) in daemons.iter().enumerate() {
        wait_answered(daemon, &format!("after {number}")).await;
    }
    assert_eq!(crashes(&site), MAX_CRASHES);
}

#[tokio::test(flavor = "multi_thread")]
async fn innocent_requests_beside_a_crashing_one_complete() {
    let (site, daemons) = start().await;
    let innocent: Vec<String> =
        (0..6).map(|number| prompt(&format!("innocent {number}"), 1)).collect();
    let senders = daemons.iter().cycle().zip([KEY_A, KEY_B].into_iter().cycle());
    let pending: Vec<_> = innocent
        .iter()
        .zip(senders)
        .map(|(text, (daemon, key))| spawn_request(daemon, key, text))
        .collect();
    wait::until("both servers run innocent requests", || async {
        site.engines.values().all(|engine| engine.active_attempts() > 0)
            && total(&daemons, "tokens").await >= 6
    })
    .await;

    let answers = resend(&daemons, &format!("{} {MARKER}", prompt("bad", 1))).await;
    for (text, pending) in innocent.iter().zip(pending) {
        let answer = pending.await.expect("the caller ran");
        assert_eq!(
            answer.streamed_text(),
            Some(expected_answer_to(text, TOKENS)),
            "{}",
            answer.body
        );
    }
    assert_eq!(crashes(&site), MAX_CRASHES);
    answers.iter().for_each(assert_quarantined);
    assert_eq!(total(&daemons, "refusals.quarantined").await, RESENDS as u64);
}

#[tokio::test(flavor = "multi_thread")]
async fn suspects_of_one_crash_do_not_share_a_server_in_the_next_crash() {
    let (site, daemons) = start().await;
    let texts: Vec<String> = (0..4).map(|number| prompt(&format!("caught {number}"), 1)).collect();
    let spawn_long_request =
        |text: &String| spawn_request_of(&daemons[0], KEY_A, text, LONG_TOKENS);
    let pending: Vec<_> = texts.iter().map(spawn_long_request).collect();
    let attempts = || site.engines.values().map(|engine| engine.active_attempts());
    wait::until("all requests run", || async { attempts().sum::<usize>() == texts.len() }).await;

    let mut engines: Vec<&Engine> = site.engines.values().collect();
    engines.sort_by_key(|engine| engine.active_attempts());
    let (second, first) = (engines[0], engines[1]);
    let attempts_before = second.active_attempts();
    crash(first).await;
    wait::until("a suspect runs on the other server", || async {
        second.active_attempts() > attempts_before && total(&daemons, "suspects.found").await > 0
    })
    .await;
    crash(second).await;

    let mut refused = 0;
    for (text, pending) in texts.iter().zip(pending) {
        let answer = pending.await.expect("the caller ran");
        if answer.streamed_text() != Some(expected_answer_to(text, LONG_TOKENS)) {
            refused += 1;
        }
    }
    assert!(refused <= 1, "{refused} of the requests were running in both crashes");
}
