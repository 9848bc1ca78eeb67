//! A request that crashes each server running it, sent again by its caller through other hosts.

use crate::caller::{Answer, complete, prompt, right_answer};
use crate::daemon::Daemon;
use crate::site::{self, KEY_A, KEY_B, MODEL};
use crate::wait;
use standins::engine::{EngineConfig, EngineFaults};
use standins::site::Site;
use tokio::task::JoinHandle;

const MARKER: &str = "crashes the engine";
const TOKENS: u64 = 60;
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

fn ask(daemon: &Daemon, key: &'static str, text: &str) -> JoinHandle<Answer> {
    let (address, text) = (daemon.addresses.callers, text.to_owned());
    tokio::spawn(async move { complete(address, key, MODEL, &text, TOKENS).await })
}

/// Sends the crashing prompt through one entry host after another.
async fn resend(daemons: &[Daemon], text: &str) -> Vec<Answer> {
    let mut answers = Vec::new();
    for daemon in daemons.iter().cycle().take(RESENDS) {
        answers.push(ask(daemon, KEY_A, text).await.expect("the caller ran"));
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
        let other = prompt(&format!("other {number}"), 1);
        // The servers that died start again on their own time.
        wait::until("another request of the organisation is answered", || async {
            let answer = ask(daemon, KEY_A, &other).await.expect("the caller ran");
            answer.streamed_text() == Some(right_answer(&other, TOKENS))
        })
        .await;
    }
    assert_eq!(crashes(&site), MAX_CRASHES);
}

#[tokio::test(flavor = "multi_thread")]
async fn innocent_requests_beside_a_crashing_one_finish() {
    let (site, daemons) = start().await;
    let innocent: Vec<String> =
        (0..6).map(|number| prompt(&format!("innocent {number}"), 1)).collect();
    let senders = daemons.iter().cycle().zip([KEY_A, KEY_B].into_iter().cycle());
    let asked: Vec<_> =
        innocent.iter().zip(senders).map(|(text, (daemon, key))| ask(daemon, key, text)).collect();
    wait::until("both servers run innocent requests", || async {
        site.engines.values().all(|engine| engine.open_runs() > 0)
            && total(&daemons, "tokens").await >= 6
    })
    .await;

    let answers = resend(&daemons, &format!("{} {MARKER}", prompt("bad", 1))).await;
    for (text, asked) in innocent.iter().zip(asked) {
        let answer = asked.await.expect("the caller ran");
        assert_eq!(answer.streamed_text(), Some(right_answer(text, TOKENS)), "{}", answer.body);
    }
    assert_eq!(crashes(&site), MAX_CRASHES);
    answers.iter().for_each(assert_quarantined);
    assert_eq!(total(&daemons, "refusals.quarantined").await, RESENDS as u64);
}
