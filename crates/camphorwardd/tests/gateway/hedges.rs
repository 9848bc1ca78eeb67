//! Another server is tried beside a silent one: no event is lost or repeated, and no attempt too
//! many is made.

use crate::caller::{Response, new_id, read, request, until_event};
use crate::fleet::{Fleet, NOTES, STATUS};
use crate::process::{Gateway, until};
use standins::fleet::{Behaviour, Script, Server, ServerKind};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

const EVENTS: u64 = 100;
const EVENT_GAP: Duration = Duration::from_millis(10);

/// A gateway with one server of each kind; more register later.
pub struct Site {
    pub fleet: Fleet,
    pub gateway: Gateway,
}

impl Site {
    pub async fn start() -> Self {
        let fleet = Fleet::start(1, 1).await;
        fleet.engines[0].set_events(EVENTS, EVENT_GAP);
        let gateway = fleet.gateway("gateway-1").await;
        Self { fleet, gateway }
    }

    pub fn engine(&self) -> &Server {
        &self.fleet.engines[0]
    }

    /// Starts a server and waits until the gateway lists it.
    pub async fn add(&self, id: &str, kind: ServerKind, prepare: impl FnOnce(&Server)) -> Server {
        let server = Server::start(id, kind).await.unwrap();
        server.set_events(EVENTS, EVENT_GAP);
        prepare(&server);
        let service = if kind == ServerKind::Engine { "notes" } else { "desk" };
        let joined = self.gateway.lines("server_joined").len();
        self.fleet.store.register(id, &server.entry(service, "east-1", 1, "ready"));
        until("the server is listed", || self.gateway.lines("server_joined").len() > joined).await;
        server
    }

    pub async fn send(&self, path: &str) -> TcpStream {
        let mut stream = TcpStream::connect(self.gateway.callers).await.unwrap();
        stream.write_all(request(path, &new_id(), "", "body").as_bytes()).await.unwrap();
        stream
    }

    /// Starts a stream on the engine and pauses the engine after some events. A second stream
    /// makes it suspected; its caller leaves when the returned connection is dropped.
    pub async fn pause_in_stream(&self) -> [TcpStream; 2] {
        let started = self.send(NOTES).await;
        until_event(&started, 3).await;
        self.engine().pause();
        let unanswered = self.send(NOTES).await;
        until("both streams run", || self.engine().executed().len() == 2).await;
        [started, unanswered]
    }

    /// Lets a stream break while the only other engine answers resumptions by a script; returns what
    /// the caller gets, and the other engine.
    pub async fn break_onto(&self, script: &Script) -> (Response, Server) {
        // On a busy machine the stream must not end before the other engine is listed.
        const ENDLESS: u64 = 1_000_000;
        self.engine().set_events(ENDLESS, EVENT_GAP);
        let mut started = self.send(NOTES).await;
        until_event(&started, 2).await;
        let scripted = |server: &Server| server.set_script(Some(script.clone()));
        let other = self.add("engine-1", ServerKind::Engine, scripted).await;
        self.engine().set_resets_all_streams(true);
        (read(&mut started).await, other)
    }

    /// Lets a script answer the hedge of a stream whose engine is silent, until the hedge fails;
    /// returns what the caller gets.
    pub async fn hedge_with(&self, script: &Script) -> Response {
        let [mut started, _unanswered] = self.pause_in_stream().await;
        let scripted = |server: &Server| server.set_script(Some(script.clone()));
        let _other = self.add("engine-1", ServerKind::Engine, scripted).await;
        self.until_attempts_fail().await;
        self.engine().resume();
        read(&mut started).await
    }

    pub async fn until_attempts_fail(&self) {
        until("an attempt fails", || !self.gateway.lines("send_failed").is_empty()).await;
    }
}

/// Waits until a server runs a stream that resumes after an event.
async fn until_resumed_at(server: &Server) {
    until("the hedge resumes the stream", || {
        server.executed().iter().any(|run| !run.request.header("last-event-id").is_empty())
    })
    .await;
}

pub fn event_ids(response: &Response) -> Vec<u64> {
    let ids = response.body.lines().filter_map(|line| line.strip_prefix("id: "));
    ids.map(|id| id.parse().unwrap()).collect()
}

pub fn assert_whole(response: &Response) {
    let ids = event_ids(response);
    let is_whole = response.is_complete && ids.iter().copied().eq(1..=EVENTS);
    assert!(is_whole, "{} {:?} {:?}", response.status, response.is_complete, ids);
}

#[tokio::test]
async fn a_hedge_repeats_no_event_of_a_server_that_went_on() {
    let site = Site::start().await;
    let [mut started, _unanswered] = site.pause_in_stream().await;
    let other = site.add("engine-1", ServerKind::Engine, Server::pause).await;
    until_resumed_at(&other).await;
    site.engine().resume();
    until_event(&started, 20).await;
    other.resume();
    assert_whole(&read(&mut started).await);
}

#[tokio::test]
async fn an_unused_hedge_counts_as_an_attempt() {
    let site = Site::start().await;
    site.engine().reset_streams_after(Some(50));
    let [mut started, _unanswered] = site.pause_in_stream().await;
    let other = site.add("engine-1", ServerKind::Engine, Server::pause).await;
    until_resumed_at(&other).await;
    let third = site.add("engine-2", ServerKind::Engine, |_| ()).await;
    site.engine().resume();
    let response = read(&mut started).await;
    assert!(!response.is_complete, "{response:?}");
    assert_eq!(event_ids(&response).last(), Some(&50));
    let resumed = third.executed();
    let resumed = resumed.iter().filter(|run| !run.request.header("last-event-id").is_empty());
    assert_eq!(resumed.count(), 0);
}

#[tokio::test]
async fn a_hedge_takes_over_a_stream_whose_server_breaks() {
    let site = Site::start().await;
    site.engine().reset_streams_after(Some(3));
    let [mut started, _unanswered] = site.pause_in_stream().await;
    let other = site.add("engine-1", ServerKind::Engine, Server::pause).await;
    until_resumed_at(&other).await;
    site.engine().resume();
    site.until_attempts_fail().await;
    other.resume();
    assert_whole(&read(&mut started).await);
    let resumed = other.executed();
    let resumed = resumed.iter().filter(|run| run.request.header("last-event-id") == "3");
    assert_eq!(resumed.count(), 1);
}

#[tokio::test]
async fn a_hedge_that_breaks_does_not_end_a_stream() {
    let site = Site::start().await;
    let [mut started, _unanswered] = site.pause_in_stream().await;
    let breaks = |server: &Server| server.set_behaviour(Behaviour::Resets);
    let _other = site.add("engine-1", ServerKind::Engine, breaks).await;
    site.until_attempts_fail().await;
    site.engine().resume();
    assert_whole(&read(&mut started).await);
}

#[tokio::test]
async fn a_hedge_that_fails_does_not_end_a_stream() {
    let site = Site::start().await;
    let [mut started, _unanswered] = site.pause_in_stream().await;
    let fails = |server: &Server| server.set_behaviour(Behaviour::Fails);
    let _other = site.add("engine-1", ServerKind::Engine, fails).await;
    site.until_attempts_fail().await;
    site.engine().resume();
    assert_whole(&read(&mut started).await);
}

#[tokio::test]
async fn a_hedge_that_fails_does_not_fail_a_stream_without_events() {
    let site = Site::start().await;
    site.engine().pause();
    let mut stream = site.send(NOTES).await;
    until("the stream runs", || site.engine().executed().len() == 1).await;
    let fails = |server: &Server| server.set_behaviour(Behaviour::Fails);
    let other = site.add("engine-1", ServerKind::Engine, fails).await;
    until("the hedge is answered", || other.executed().iter().any(|run| run.is_answered)).await;
    site.engine().resume();
    assert_whole(&read(&mut stream).await);
}

#[tokio::test]
async fn a_hedge_that_fails_does_not_fail_a_safe_request() {
    let site = Site::start().await;
    let desk = &site.fleet.desks[0];
    desk.pause();
    let mut stream = site.send(STATUS).await;
    until("the request runs", || desk.executed().len() == 1).await;
    let fails = |server: &Server| server.set_behaviour(Behaviour::Fails);
    let other = site.add("desk-1", ServerKind::Plain, fails).await;
    until("the hedge is answered", || other.executed().iter().any(|run| run.is_answered)).await;
    desk.resume();
    let response = read(&mut stream).await;
    assert!(response.status == 200 && response.is_complete, "{response:?}");
}

#[tokio::test]
async fn a_hedge_serves_a_safe_request_whose_server_breaks() {
    let site = Site::start().await;
    let desk = &site.fleet.desks[0];
    desk.set_behaviour(Behaviour::Resets);
    desk.pause();
    let mut stream = site.send(STATUS).await;
    until("the request runs", || desk.executed().len() == 1).await;
    let other = site.add("desk-1", ServerKind::Plain, Server::pause).await;
    until("the hedge runs", || other.executed().len() == 1).await;
    desk.resume();
    site.until_attempts_fail().await;
    other.resume();
    assert_eq!(read(&mut stream).await.status, 200);
    assert_eq!(other.executed().len(), 1);
}

#[tokio::test]
async fn a_refused_hedge_does_not_keep_a_stream_on_a_silent_server() {
    let site = Site::start().await;
    let [mut started, _unanswered] = site.pause_in_stream().await;
    let sheds = |server: &Server| server.set_behaviour(Behaviour::Sheds);
    let _other = site.add("engine-1", ServerKind::Engine, sheds).await;
    site.until_attempts_fail().await;
    let _third = site.add("engine-2", ServerKind::Engine, |_| ()).await;
    assert_whole(&read(&mut started).await);
}

#[tokio::test]
async fn a_stream_leaves_a_silent_server_that_is_draining() {
    let site = Site::start().await;
    let [mut started, _unanswered] = site.pause_in_stream().await;
    let entry = site.engine().entry("notes", "east-1", 2, "draining");
    site.fleet.store.register(&site.engine().id(), &entry);
    until("the server is checked", || !site.gateway.lines("server_checked").is_empty()).await;
    let _other = site.add("engine-1", ServerKind::Engine, |_| ()).await;
    assert_whole(&read(&mut started).await);
}
