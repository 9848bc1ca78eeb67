//! A server that sends nothing for a while and then goes on: no answer that would have come ends.

use crate::caller::{self, Response, new_id, read, request, until_event};
use crate::fleet::{Fleet, NOTES, ORDERS, QUICK, STATUS, configuration};
use crate::process::{Gateway, until};
use serde_json::{Value, json};
use standins::fleet::{Behaviour, Server, ServerKind};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

const EVENTS: u64 = 100;
const EVENT_GAP: Duration = Duration::from_millis(10);

/// What could serve a request of the paused server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Alternative {
    /// No other server exists.
    Missing,
    /// The other server refuses requests.
    Sheds,
    /// The other server fails requests.
    Fails,
    /// The other server is healthy, but the gateway may not retry.
    RetryShareSpent,
    /// The other server is healthy, and the gateway may retry.
    Healthy,
}

/// A gateway, and two servers of each kind or one; the first ones fall silent.
struct Site {
    fleet: Fleet,
    gateway: Gateway,
    alternative: Alternative,
}

impl Site {
    async fn start(alternative: Alternative) -> Self {
        let count = if alternative == Alternative::Missing { 1 } else { 2 };
        let fleet = Fleet::start(count, count).await;
        let mut settings: Value = serde_json::from_str(&fleet.settings("gateway-1", &[])).unwrap();
        if alternative == Alternative::RetryShareSpent {
            settings["bounds"]["retry_ratio"] = Value::from(0.0);
            settings["bounds"]["retry_slack"] = Value::from(0.0);
        }
        let gateway = Gateway::start(&settings.to_string()).await;
        caller::until_ready(&gateway).await;
        until("all servers are listed", || gateway.lines("server_joined").len() >= 2 * count).await;
        fleet.engines.iter().for_each(|engine| engine.set_events(EVENTS, EVENT_GAP));
        let site = Self { fleet, gateway, alternative };
        site.set_others(Behaviour::Sheds);
        site
    }

    fn servers(&self) -> impl Iterator<Item = &Server> {
        self.fleet.desks.iter().chain(&self.fleet.engines)
    }

    fn set_others(&self, behaviour: Behaviour) {
        let others = self.servers().filter(|server| !server.id().ends_with("-0"));
        others.for_each(|server| server.set_behaviour(behaviour));
    }

    /// Lets the other servers serve, unless they are to refuse.
    fn open_alternative(&self) {
        match self.alternative {
            Alternative::Sheds => {}
            Alternative::Fails => self.set_others(Behaviour::Fails),
            _ => self.set_others(Behaviour::Serves),
        }
    }

    /// Sends requests until one runs on the server and was not refused by another one before.
    async fn start_on(&self, server: &Server, path: &str) -> TcpStream {
        let refused = || self.servers().map(Server::refused).sum::<u64>();
        loop {
            let before = (server.executed().len(), refused());
            let runs = || server.executed().len() > before.0;
            let mut stream = TcpStream::connect(self.gateway.callers).await.unwrap();
            stream.write_all(request(path, &new_id(), "", "body").as_bytes()).await.unwrap();
            let mut first = [0; 1];
            tokio::select! {
                () = until("the server runs it", runs) => {}
                _ = stream.peek(&mut first) => {}
            }
            if runs() && refused() == before.1 {
                return stream;
            }
        }
    }

    /// Starts a stream on the first engine, pauses the engine after some events, and sends it a
    /// second stream, which gets no answer. Returns both streams.
    async fn pause_in_stream(&self, path: &str) -> [TcpStream; 2] {
        let engine = &self.fleet.engines[0];
        let started = self.start_on(engine, path).await;
        until_event(&started, 3).await;
        engine.pause();
        let unanswered = self.start_on(engine, QUICK).await;
        self.open_alternative();
        [started, unanswered]
    }

    /// Pauses a server and sends it a request.
    async fn pause_before_answer(&self, server: &Server, path: &str) -> TcpStream {
        server.pause();
        let stream = self.start_on(server, path).await;
        self.open_alternative();
        stream
    }

    async fn until_suspected(&self) {
        caller::until_line(&self.gateway, "server_suspected").await;
    }

    async fn until_checks_failed(&self, count: usize) {
        until("health checks fail", || {
            let checked = self.gateway.lines("server_checked");
            checked.iter().filter(|line| line["passed"] == false).count() >= count
        })
        .await;
    }
}

/// Waits until a server has seen the close of all requests that may move.
async fn until_left(server: &Server) {
    until("the server sees the close", || {
        let runs = server.executed();
        runs.iter().all(|run| run.caller_disconnected || run.request.path() == QUICK)
    })
    .await;
}

fn assert_whole(response: &Response, site: &Site) {
    let ids: Vec<u64> = response
        .body
        .lines()
        .filter_map(|line| line.strip_prefix("id: "))
        .map(|id| id.parse().unwrap())
        .collect();
    let seen = (response.status, response.is_complete, ids.len(), ids.last());
    let lines = [site.gateway.lines("stream_aborted"), site.gateway.lines("request_refused")];
    let is_whole = response.is_complete && ids.iter().copied().eq(1..=EVENTS);
    assert!(response.status == 200 && is_whole, "{:?}: {seen:?} {lines:?}", site.alternative);
}

async fn assert_started_stream_goes_on(alternative: Alternative, path: &str) {
    let site = Site::start(alternative).await;
    let streams = site.pause_in_stream(path).await;
    site.until_checks_failed(2).await;
    site.fleet.engines[0].resume();
    for mut stream in streams {
        assert_whole(&read(&mut stream).await, &site);
    }
}

async fn assert_unstarted_stream_goes_on(alternative: Alternative, path: &str) {
    let site = Site::start(alternative).await;
    let mut stream = site.pause_before_answer(&site.fleet.engines[0], path).await;
    site.until_checks_failed(2).await;
    site.fleet.engines[0].resume();
    assert_whole(&read(&mut stream).await, &site);
}

async fn assert_plain_request_is_answered(alternative: Alternative, path: &str) {
    let site = Site::start(alternative).await;
    let mut stream = site.pause_before_answer(&site.fleet.desks[0], path).await;
    site.until_checks_failed(2).await;
    site.fleet.desks[0].resume();
    let response = read(&mut stream).await;
    let lines = site.gateway.lines("request_refused");
    let is_whole = response.status == 200 && response.is_complete;
    assert!(is_whole, "{alternative:?}: {response:?} {lines:?}");
    let runs = site.fleet.desks.iter().flat_map(Server::executed);
    let same = runs.filter(|run| response.body.contains(run.request.header("x-attempt-id")));
    let expected = if alternative == Alternative::Fails { 2 } else { 1 };
    assert_eq!(same.count(), expected);
}

#[tokio::test]
async fn a_silent_server_without_an_alternative_does_not_end_a_stream() {
    assert_started_stream_goes_on(Alternative::Missing, NOTES).await;
}

#[tokio::test]
async fn a_silent_server_does_not_end_a_stream_that_another_refuses() {
    assert_started_stream_goes_on(Alternative::Sheds, NOTES).await;
}

#[tokio::test]
async fn a_silent_server_does_not_end_a_stream_without_retry_share() {
    assert_started_stream_goes_on(Alternative::RetryShareSpent, NOTES).await;
}

#[tokio::test]
async fn a_silent_server_does_not_end_a_stream_that_another_fails() {
    assert_started_stream_goes_on(Alternative::Fails, NOTES).await;
}

#[tokio::test]
async fn a_silent_server_does_not_fail_a_stream_without_events_that_another_fails() {
    assert_unstarted_stream_goes_on(Alternative::Fails, NOTES).await;
}

#[tokio::test]
async fn a_silent_server_does_not_fail_a_safe_request_that_another_fails() {
    assert_plain_request_is_answered(Alternative::Fails, STATUS).await;
}

#[tokio::test]
async fn a_silent_server_does_not_end_a_stream_that_is_not_resumable() {
    assert_started_stream_goes_on(Alternative::Healthy, QUICK).await;
}

#[tokio::test]
async fn a_silent_server_does_not_end_a_stream_whose_route_moves() {
    let site = Site::start(Alternative::Missing).await;
    let engine = &site.fleet.engines[0];
    let [mut started, mut unanswered] = site.pause_in_stream(NOTES).await;
    site.until_suspected().await;
    let successor = Server::start("successor-0", ServerKind::Engine).await.unwrap();
    let store = &site.fleet.store;
    store.register("successor-0", &successor.entry("successors", "east-1", 1, "ready"));
    let mut changed = configuration(2, &["alpha-key"]);
    let mut service = changed["services"][1].clone();
    service["name"] = json!("successors");
    changed["services"].as_array_mut().unwrap().push(service);
    changed["routes"][2]["service"] = json!("successors");
    changed["routes"][3]["service"] = json!("successors");
    store.put_configuration(&changed);
    store.register(&engine.id(), &engine.entry("notes", "east-1", 2, "draining"));
    until("the change is in force", || {
        site.gateway.lines("configuration_in_force").len() == 2
            && site.gateway.lines("server_joined").len() == 3
    })
    .await;
    let moved = caller::post(&site.gateway, NOTES).await;
    assert!(moved.status == 200 && moved.is_complete, "{moved:?}");
    assert_eq!(successor.executed().len(), 1);
    site.until_checks_failed(1).await;
    engine.resume();
    for stream in [&mut started, &mut unanswered] {
        assert_whole(&read(stream).await, &site);
    }
}

#[tokio::test]
async fn a_silent_server_does_not_end_a_stream_at_a_reload() {
    let site = Site::start(Alternative::Missing).await;
    let streams = site.pause_in_stream(NOTES).await;
    site.until_suspected().await;
    site.gateway.signal("HUP");
    caller::until_line(&site.gateway, "reloaded").await;
    site.until_checks_failed(2).await;
    site.fleet.engines[0].resume();
    for mut stream in streams {
        assert_whole(&read(&mut stream).await, &site);
    }
}

#[tokio::test]
async fn a_silent_server_does_not_end_a_stream_at_a_shutdown() {
    let mut site = Site::start(Alternative::Missing).await;
    let streams = site.pause_in_stream(NOTES).await;
    site.until_suspected().await;
    site.gateway.terminate();
    until("the process drains", || !site.gateway.lines("draining").is_empty()).await;
    site.until_checks_failed(1).await;
    site.fleet.engines[0].resume();
    for mut stream in streams {
        assert_whole(&read(&mut stream).await, &site);
    }
    until("the process exits", || site.gateway.exit_status().is_some()).await;
    assert_eq!(site.gateway.lines("stopped")[0]["requests_cut"], 0);
}

#[tokio::test]
async fn a_silent_server_without_an_alternative_does_not_fail_a_stream_without_events() {
    assert_unstarted_stream_goes_on(Alternative::Missing, NOTES).await;
}

#[tokio::test]
async fn a_silent_server_does_not_fail_a_stream_without_events_that_another_refuses() {
    assert_unstarted_stream_goes_on(Alternative::Sheds, NOTES).await;
}

#[tokio::test]
async fn a_silent_server_does_not_fail_a_stream_without_events_or_retry_share() {
    assert_unstarted_stream_goes_on(Alternative::RetryShareSpent, NOTES).await;
}

#[tokio::test]
async fn a_silent_server_without_an_alternative_does_not_fail_a_safe_request() {
    assert_plain_request_is_answered(Alternative::Missing, STATUS).await;
}

#[tokio::test]
async fn a_silent_server_does_not_fail_a_safe_request_that_another_refuses() {
    assert_plain_request_is_answered(Alternative::Sheds, STATUS).await;
}

#[tokio::test]
async fn a_silent_server_does_not_fail_a_safe_request_without_retry_share() {
    assert_plain_request_is_answered(Alternative::RetryShareSpent, STATUS).await;
}

#[tokio::test]
async fn a_silent_server_does_not_fail_an_unsafe_request_or_run_it_twice() {
    assert_plain_request_is_answered(Alternative::Healthy, ORDERS).await;
}

#[tokio::test]
async fn a_stream_leaves_a_silent_server_for_a_healthy_one() {
    let site = Site::start(Alternative::Healthy).await;
    let [mut started, _unanswered] = site.pause_in_stream(NOTES).await;
    assert_whole(&read(&mut started).await, &site);
    let [silent, other] = site.fleet.engines.as_slice() else { panic!("two engines") };
    until_left(silent).await;
    let resumed = other.executed();
    assert!(resumed.iter().any(|run| !run.request.header("last-event-id").is_empty()));
}

#[tokio::test]
async fn a_stream_without_events_leaves_a_silent_server_for_a_healthy_one() {
    let site = Site::start(Alternative::Healthy).await;
    let [silent, other] = site.fleet.engines.as_slice() else { panic!("two engines") };
    let mut stream = site.pause_before_answer(silent, NOTES).await;
    assert_whole(&read(&mut stream).await, &site);
    until_left(silent).await;
    assert_eq!(other.executed().len(), 1);
}

#[tokio::test]
async fn a_safe_request_leaves_a_silent_server_for_a_healthy_one() {
    let site = Site::start(Alternative::Healthy).await;
    let [silent, other] = site.fleet.desks.as_slice() else { panic!("two desks") };
    let mut stream = site.pause_before_answer(silent, STATUS).await;
    assert_eq!(read(&mut stream).await.status, 200);
    until_left(silent).await;
    assert_eq!(other.executed().len(), 1);
}
