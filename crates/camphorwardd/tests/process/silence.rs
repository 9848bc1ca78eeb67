//! Sound servers that send nothing for a while and then go on.

use crate::caller::{Answer, complete, expected_answer_to, prompt};
use crate::daemon::Daemon;
use crate::site::{self, KEY_A, MODEL, entry};
use crate::wait;
use protocol::size::TokensPerSecond;
use standins::engine::{Engine, EngineConfig, EngineFaults};
use standins::site::{Site, SiteConfig};
use tokio::task::JoinHandle;

const TOKENS: u64 = 100;
/// Each read of the load fails after a second, the idle timeout of a stream.
const FAILED_LOAD_READS: u64 = 3;
/// A prompt of one segment takes a server a second.
const SLOW_PREFILL: TokensPerSecond = TokensPerSecond::new(2_000);
/// A prompt of one segment takes a server twenty seconds.
const SLOWER_PREFILL: TokensPerSecond = TokensPerSecond::new(100);

async fn start(engines: Vec<EngineConfig>) -> (Site, Daemon) {
    let named = ["m1", "m2"].into_iter().zip(engines);
    let engines = named.map(|(host, config)| entry(host, 0, "shade", config)).collect();
    let config = SiteConfig { engines, ..SiteConfig::default() };
    let site = Site::start(config).await.expect("the stand-ins start");
    let daemon = Daemon::start(&site, "e1", 0, "").await;
    site::publish(&site).await;
    daemon.wait_ready(1).await;
    wait::until("the load of all servers was read", || async {
        let status = daemon.status().await.expect("the operators' listener answers");
        let known = status.servers.iter().filter(|server| server.weight_version.is_some());
        known.count() == site.engines.len()
    })
    .await;
    (site, daemon)
}

fn request(daemon: &Daemon, text: &str) -> JoinHandle<Answer> {
    let (callers, text) = (daemon.addresses.callers, text.to_owned());
    tokio::spawn(async move { complete(callers, KEY_A, MODEL, &text, TOKENS).await })
}

async fn wait_tokens(daemon: &Daemon) {
    let before = daemon.counter("tokens").await;
    wait::until("some tokens are forwarded", || async {
        daemon.counter("tokens").await >= before + 3
    })
    .await;
}

fn busy(site: &Site) -> &Engine {
    let busy = site.engines.values().find(|engine| engine.active_attempts() > 0);
    busy.expect("one engine runs the request")
}

/// Pauses an engine for longer than the idle timeout.
async fn pause_for_a_while(daemon: &Daemon, engine: &Engine) {
    let before = daemon.counter("load.read_failures").await;
    engine.pause();
    wait::until("reads of the load have failed", || async {
        daemon.counter("load.read_failures").await >= before + FAILED_LOAD_READS
    })
    .await;
    engine.unpause();
}

async fn assert_whole(request: JoinHandle<Answer>, text: &str) {
    let answer = request.await.expect("the caller ran");
    let expected = Some(expected_answer_to(text, TOKENS));
    assert_eq!(answer.streamed_text(), expected, "{} {}", answer.status, answer.body);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_survives_the_silence_of_the_only_server() {
    let (site, daemon) = start(vec![EngineConfig::default()]).await;
    let text = prompt("only", 1);
    let request = request(&daemon, &text);
    wait_tokens(&daemon).await;
    pause_for_a_while(&daemon, busy(&site)).await;
    assert_whole(request, &text).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_survives_the_silence_of_the_only_server_before_the_first_token() {
    let config = EngineConfig { prefill_rate: SLOW_PREFILL, ..EngineConfig::default() };
    let (site, daemon) = start(vec![config]).await;
    let text = prompt("first token", 1);
    let request = request(&daemon, &text);
    let attempts = || site.engines.values().map(Engine::active_attempts).sum::<usize>();
    wait::until("the server has the request", || async { attempts() > 0 }).await;
    pause_for_a_while(&daemon, busy(&site)).await;
    assert_whole(request, &text).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_survives_the_silence_of_the_only_server_before_the_head() {
    let (site, daemon) = start(vec![EngineConfig::default()]).await;
    let engine = site.engines.values().next().expect("there is an engine");
    engine.set_faults(EngineFaults { delay_ms: 500, ..EngineFaults::default() });
    let text = prompt("head", 1);
    let request = request(&daemon, &text);
    wait::until("the daemon has the request", || async { daemon.counter("requests").await > 0 })
        .await;
    pause_for_a_while(&daemon, engine).await;
    assert_whole(request, &text).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_survives_silence_while_the_other_server_refuses() {
    let full = EngineConfig { max_running: 0, max_queued: 0, ..EngineConfig::default() };
    let (site, daemon) = start(vec![EngineConfig::default(), full]).await;
    let text = prompt("refused", 1);
    let request = request(&daemon, &text);
    wait_tokens(&daemon).await;
    pause_for_a_while(&daemon, busy(&site)).await;
    assert_whole(request, &text).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_survives_silence_while_the_retry_budget_is_spent() {
    let (site, daemon) = start(vec![EngineConfig::default(); 2]).await;
    let crossed = EngineFaults { crossed_after_tokens: Some(0), ..EngineFaults::default() };
    site.engines.values().for_each(|engine| engine.set_faults(crossed.clone()));
    let mut number = 0;
    while daemon.counter("refusals.retry_budget_spent").await == 0 {
        number += 1;
        assert!(number < 10, "the retry budget is not spent");
        let text = prompt(&format!("crossed {number}"), 0);
        complete(daemon.addresses.callers, KEY_A, MODEL, &text, TOKENS).await;
    }
    site.engines.values().for_each(|engine| engine.set_faults(EngineFaults::default()));
    let text = prompt("no budget", 1);
    let request = request(&daemon, &text);
    wait_tokens(&daemon).await;
    pause_for_a_while(&daemon, busy(&site)).await;
    assert_whole(request, &text).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_moves_from_a_server_that_stays_silent() {
    let (site, daemon) = start(vec![EngineConfig::default(); 2]).await;
    let text = prompt("moved", 1);
    let request = request(&daemon, &text);
    wait_tokens(&daemon).await;
    let silent = busy(&site);
    silent.pause();
    assert_whole(request, &text).await;
    let others = site.engines.values().filter(|engine| engine.address() != silent.address());
    assert_eq!(others.map(|engine| engine.counters().completed).sum::<u64>(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_continues_on_its_server_if_that_is_sooner_than_on_another() {
    let slower = EngineConfig { prefill_rate: SLOWER_PREFILL, ..EngineConfig::default() };
    let (site, daemon) = start(vec![EngineConfig::default(), slower]).await;
    let text = prompt("sooner", 1);
    let request = request(&daemon, &text);
    wait_tokens(&daemon).await;
    let first = busy(&site);
    pause_for_a_while(&daemon, first).await;
    assert_whole(request, &text).await;
    let others = site.engines.values().filter(|engine| engine.address() != first.address());
    assert_eq!(others.map(|engine| engine.counters().sent_tokens).sum::<u64>(), 0);
    let active = || site.engines.values().map(Engine::active_attempts).sum::<usize>();
    wait::until("the other attempt is cancelled", || async { active() == 0 }).await;
}
