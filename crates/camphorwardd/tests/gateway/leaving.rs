//! Servers that announce in their answers that they leave.

use crate::caller::{self, new_id, post, read, request};
use crate::fleet::{Fleet, NOTES, ORDERS, configuration};
use crate::process::{Gateway, until};
use standins::fleet::{Availability, Behaviour, Server, ServerKind};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

const LEAVING: [(&str, &str); 1] = [("Server-Leaving", "1")];
const REQUESTS: usize = 12;

/// Sends requests until the server has executed or refused one.
async fn post_until_reached(gateway: &Gateway, path: &str, server: &Server) {
    let before = server.received().len();
    while server.received().len() == before {
        post(gateway, path).await;
    }
}

/// Sends requests that all succeed; returns the number that the server received.
async fn received_of(gateway: &Gateway, path: &str, server: &Server) -> usize {
    let reached = || server.received().iter().filter(|received| *received == path).count();
    let before = reached();
    for _ in 0..REQUESTS {
        assert_eq!(post(gateway, path).await.status, 200);
    }
    reached() - before
}

/// Registers another heartbeat of a server, and waits until a gateway has read it.
async fn read_heartbeats(fleet: &Fleet, gateway: &Gateway, server: &Server) -> Server {
    for heartbeat in 2..5 {
        let entry = server.entry("desk", "east-1", heartbeat, "ready");
        fleet.store.register(&server.id(), &entry);
    }
    let joined = gateway.lines("server_joined").len();
    let other = Server::start("desk-later", ServerKind::Plain).await.unwrap();
    fleet.store.register(&other.id(), &other.entry("desk", "east-1", 1, "ready"));
    until("the later server is listed", || gateway.lines("server_joined").len() > joined).await;
    other
}

#[tokio::test]
async fn a_server_whose_answer_announces_leaving_gets_no_new_requests() {
    let fleet = Fleet::start(2, 0).await;
    let gateway = fleet.gateway("gateway-1").await;
    let leaving = &fleet.desks[0];
    leaving.set_extra_headers(&LEAVING);
    post_until_reached(&gateway, ORDERS, leaving).await;
    assert_eq!(received_of(&gateway, ORDERS, leaving).await, 0);
    let _other = read_heartbeats(&fleet, &gateway, leaving).await;
    assert_eq!(received_of(&gateway, ORDERS, leaving).await, 0);
    assert!(caller::metrics(&gateway).await.contains("servers_leaving{kind=\"request\"} 1"));
}

#[tokio::test]
async fn a_server_that_announces_leaving_gets_no_new_requests_while_the_store_is_away() {
    let fleet = Fleet::start(2, 0).await;
    let gateway = fleet.gateway("gateway-1").await;
    fleet.store.set_availability(Availability::Refuses);
    caller::until_line(&gateway, "dependency_lost").await;
    fleet.desks[0].set_extra_headers(&LEAVING);
    post_until_reached(&gateway, ORDERS, &fleet.desks[0]).await;
    assert_eq!(received_of(&gateway, ORDERS, &fleet.desks[0]).await, 0);
}

#[tokio::test]
async fn a_server_whose_refusal_announces_leaving_gets_no_new_requests() {
    let fleet = Fleet::start(2, 0).await;
    let gateway = fleet.gateway("gateway-1").await;
    fleet.desks[0].set_behaviour(Behaviour::Sheds);
    fleet.desks[0].set_extra_headers(&LEAVING);
    post_until_reached(&gateway, ORDERS, &fleet.desks[0]).await;
    // Outlasts the time for which a server is avoided after it shed a request.
    fleet.desks[1].set_execution_time(Duration::from_millis(60));
    assert_eq!(received_of(&gateway, ORDERS, &fleet.desks[0]).await, 0);
}

#[tokio::test]
async fn a_stream_ends_as_usual_on_a_server_that_announced_leaving_at_its_head() {
    let fleet = Fleet::start(0, 2).await;
    fleet.engines.iter().for_each(|engine| engine.set_events(40, Duration::from_millis(20)));
    let gateway = fleet.gateway("gateway-1").await;
    let leaving = &fleet.engines[0];
    leaving.set_extra_headers(&LEAVING);
    let mut streams = Vec::new();
    while leaving.executed().is_empty() {
        let mut stream = TcpStream::connect(gateway.callers).await.unwrap();
        let text = request(NOTES, &new_id(), "", "body");
        stream.write_all(text.as_bytes()).await.unwrap();
        caller::until_event(&stream, 1).await;
        streams.push(stream);
    }
    for _ in 0..REQUESTS {
        let mut stream = TcpStream::connect(gateway.callers).await.unwrap();
        let text = request(NOTES, &new_id(), "", "body");
        stream.write_all(text.as_bytes()).await.unwrap();
        caller::until_event(&stream, 1).await;
        streams.push(stream);
    }
    assert_eq!(leaving.executed().len(), 1);
    for stream in &mut streams {
        let response = read(stream).await;
        assert_eq!((response.status, response.is_complete), (200, true));
    }
    let executed = leaving.executed();
    assert!(executed.iter().all(|run| run.is_answered && !run.caller_disconnected));
}

#[tokio::test]
async fn a_server_whose_report_announces_leaving_gets_no_new_requests() {
    let fleet = Fleet::start(0, 2).await;
    let gateway = fleet.gateway("gateway-1").await;
    fleet.engines[0].set_extra_headers(&LEAVING);
    fleet.store.set_target_version("m", 2);
    caller::until_line(&gateway, "server_leaving").await;
    assert!(fleet.engines[0].executed().is_empty());
    caller::until_status(&gateway, NOTES, 200).await;
    assert_eq!(received_of(&gateway, NOTES, &fleet.engines[0]).await, 0);
}

#[tokio::test]
async fn a_server_whose_health_check_announces_leaving_gets_no_new_requests() {
    let fleet = Fleet::start(2, 0).await;
    let gateway = fleet.gateway("gateway-1").await;
    let slow = &fleet.desks[0];
    slow.set_execution_time(Duration::from_secs(3));
    let mut stream = TcpStream::connect(gateway.callers).await.unwrap();
    while slow.executed().is_empty() {
        stream = TcpStream::connect(gateway.callers).await.unwrap();
        let text = request(ORDERS, &new_id(), "", "body");
        stream.write_all(text.as_bytes()).await.unwrap();
        tokio::select! {
            _ = read(&mut stream) => {}
            () = until("the slow server runs it", || !slow.executed().is_empty()) => {}
        }
    }
    slow.set_extra_headers(&LEAVING);
    caller::until_line(&gateway, "server_leaving").await;
    assert_eq!(gateway.lines("server_leaving")[0]["source"], "health_check");
    assert_eq!(read(&mut stream).await.status, 200);
    assert_eq!(received_of(&gateway, ORDERS, slow).await, 0);
}

#[tokio::test]
async fn other_gateways_learn_that_a_server_announced_leaving() {
    let fleet = Fleet::start(2, 0).await;
    let first = fleet.gateway("gateway-1").await;
    let second = fleet.gateway("gateway-2").await;
    caller::until_listed(&first, 2).await;
    caller::until_listed(&second, 2).await;
    fleet.desks[0].set_extra_headers(&LEAVING);
    post_until_reached(&first, ORDERS, &fleet.desks[0]).await;
    caller::until_line(&second, "server_leaving").await;
    assert_eq!(received_of(&second, ORDERS, &fleet.desks[0]).await, 0);
}

#[tokio::test]
async fn a_later_start_of_a_server_that_announced_leaving_gets_requests() {
    let fleet = Fleet::start(2, 0).await;
    let gateway = fleet.gateway("gateway-1").await;
    let server = &fleet.desks[0];
    server.set_extra_headers(&LEAVING);
    post_until_reached(&gateway, ORDERS, server).await;
    server.set_extra_headers(&[]);
    server.start_incarnation();
    fleet.store.register(&server.id(), &server.entry("desk", "east-1", 1, "ready"));
    until("it joins again", || gateway.lines("server_joined").len() == 3).await;
    post_until_reached(&gateway, ORDERS, server).await;
}

#[tokio::test]
async fn another_server_at_the_address_does_not_announce_that_this_one_leaves() {
    let fleet = Fleet::start(2, 0).await;
    let gateway = fleet.gateway("gateway-1").await;
    let server = &fleet.desks[0];
    server.set_id("somebody-else");
    server.set_extra_headers(&LEAVING);
    post_until_reached(&gateway, ORDERS, server).await;
    caller::until_line(&gateway, "server_replaced").await;
    server.set_id("desk-0");
    server.set_extra_headers(&[]);
    let joined = gateway.lines("server_joined").len();
    for heartbeat in 2..5 {
        let entry = server.entry("desk", "east-1", heartbeat, "ready");
        fleet.store.register(&server.id(), &entry);
    }
    until("it joins again", || gateway.lines("server_joined").len() > joined).await;
    post_until_reached(&gateway, ORDERS, server).await;
    assert!(gateway.lines("server_leaving").is_empty());
}

#[tokio::test]
async fn requests_are_refused_as_not_run_once_all_servers_announced_leaving() {
    let fleet = Fleet::start(2, 0).await;
    let gateway = fleet.gateway("gateway-1").await;
    fleet.desks.iter().for_each(|desk| desk.set_extra_headers(&LEAVING));
    while fleet.desks.iter().any(|desk| desk.executed().is_empty()) {
        post(&gateway, ORDERS).await;
    }
    let executed = || fleet.desks.iter().map(|desk| desk.executed().len()).sum::<usize>();
    let before = executed();
    let response = post(&gateway, ORDERS).await;
    assert_eq!((response.status, executed()), (503, before));
    assert!(response.header("retry-after").is_some());
}

#[tokio::test]
async fn an_engine_whose_block_changes_announce_leaving_gets_no_new_requests() {
    let fleet = Fleet::start(0, 2).await;
    let gateway = fleet.gateway("gateway-1").await;
    let mut watched = configuration(2, &["alpha-key"]);
    watched["services"][1]["engine"]["linkMbps"] = 1_000.into();
    watched["services"][1]["engine"]["maxInflight"] = 64.into();
    fleet.engines[0].set_extra_headers(&LEAVING);
    fleet.store.put_configuration(&watched);
    caller::until_line(&gateway, "server_leaving").await;
    assert_eq!(gateway.lines("server_leaving")[0]["source"], "block_changes");
    assert_eq!(received_of(&gateway, NOTES, &fleet.engines[0]).await, 0);
}

#[tokio::test]
async fn a_connection_to_an_earlier_incarnation_is_not_used_for_a_later_one() {
    let fleet = Fleet::start(1, 0).await;
    let gateway = fleet.gateway("gateway-1").await;
    let earlier = &fleet.desks[0];
    earlier.set_execution_time(Duration::from_millis(2_500));
    let mut stream = TcpStream::connect(gateway.callers).await.unwrap();
    let text = request(ORDERS, &new_id(), "", "body");
    stream.write_all(text.as_bytes()).await.unwrap();
    until("the earlier one runs it", || !earlier.executed().is_empty()).await;
    let later = Server::start(&earlier.id(), ServerKind::Plain).await.unwrap();
    later.start_incarnation();
    fleet.store.register(&later.id(), &later.entry("desk", "east-1", 1, "ready"));
    until("the later one joins", || gateway.lines("server_joined").len() == 2).await;
    assert!(!earlier.executed()[0].is_answered, "the run has ended before the later one joined");
    assert_eq!(read(&mut stream).await.status, 200);
    assert_eq!(received_of(&gateway, ORDERS, earlier).await, 0);
}
