//! Complete answers, correctly reported failures, and headers.

use crate::caller::{self, new_id, post, read, request, send};
use crate::fleet::{Fleet, NOTES, ORDERS, QUICK, STATUS, configuration};
use crate::process::until;
use standins::fleet::{Behaviour, Server};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

#[tokio::test]
async fn complete_answers_are_forwarded_unchanged() {
    let fleet = Fleet::start(1, 1).await;
    let gateway = fleet.gateway("gateway-1").await;
    let id = new_id();
    let response = send(gateway.callers, &request("/orders/7?x=1", &id, "", "body")).await;
    assert_eq!(
        (response.status, response.body.as_str()),
        (200, format!("answer to {id} with 4 bytes").as_str())
    );
    assert!(response.header("x-server-seal").is_some());
    let executed = fleet.desks[0].executed();
    assert_eq!(
        (executed[0].request.method.as_str(), executed[0].request.target.as_str()),
        ("POST", "/orders/7?x=1")
    );
    let response = post(&gateway, NOTES).await;
    assert!(response.is_complete);
    assert_eq!(response.body.matches("data: token").count(), 5);
    assert!(caller::metrics(&gateway).await.contains("camphorward_answers{kind=\"success\"} 2"));
}

#[tokio::test]
async fn only_the_gateway_sets_its_headers() {
    let fleet = Fleet::start(0, 1).await;
    let gateway = fleet.gateway("gateway-1").await;
    let forged = "X-Tenant: beta\r\nX-Cache-Salt: mine\r\nX-Kv-Fetch: 10.0.0.1:1\r\nX-Hold: h\r\n\
                  X-Pin-Ms: 5\r\nKv-From: 10.0.0.1:1/a\r\nX-Kv-Backup: 10.0.0.1:1\r\n\
                  X-Request-Priority: 0\r\nX-Custom: kept\r\nConnection: x-hop\r\nX-Hop: 1\r\n";
    send(gateway.callers, &request(NOTES, &new_id(), forged, "body")).await;
    let request = fleet.engines[0].executed()[0].request.clone();
    assert_eq!(request.header("x-tenant"), "alpha");
    assert_eq!(request.header("x-custom"), "kept");
    assert_eq!(request.header("x-expect-instance"), "engine-0");
    assert_eq!(request.header("x-expect-version"), "1");
    assert_eq!(request.header("x-cache-salt"), "1/m");
    assert_ne!(request.header("x-request-priority"), "0");
    for name in
        ["authorization", "x-kv-fetch", "x-hold", "x-pin-ms", "kv-from", "x-kv-backup", "x-hop"]
    {
        assert_eq!(request.header(name), "", "{name}");
    }
    let remaining_ms: u64 = request.header("x-deadline-ms").parse().unwrap();
    assert!(remaining_ms <= 6_000);
}

#[tokio::test]
async fn a_request_that_may_have_run_is_never_reported_as_not_run() {
    for behaviour in
        [Behaviour::Resets, Behaviour::Mismatched, Behaviour::Truncates, Behaviour::UnframedReset]
    {
        let fleet = Fleet::start(1, 0).await;
        let gateway = fleet.gateway("gateway-1").await;
        fleet.desks[0].set_behaviour(behaviour);
        let response = post(&gateway, ORDERS).await;
        assert_eq!(response.status, 502, "{behaviour:?}");
        assert_eq!(response.header("x-server-seal"), None, "{behaviour:?}");
        assert_eq!(fleet.desks[0].executed().len(), 1, "{behaviour:?}");
    }
}

#[tokio::test]
async fn safe_requests_are_retried_on_a_second_server() {
    for behaviour in
        [Behaviour::Resets, Behaviour::Mismatched, Behaviour::Truncates, Behaviour::Fails]
    {
        let fleet = Fleet::start(2, 0).await;
        let gateway = fleet.gateway("gateway-1").await;
        fleet.desks[0].set_behaviour(behaviour);
        let mut statuses = Vec::new();
        while fleet.desks[0].executed().is_empty() {
            statuses.push(post(&gateway, STATUS).await.status);
        }
        assert!(statuses.iter().all(|status| *status == 200), "{behaviour:?}: {statuses:?}");
    }
}

#[tokio::test]
async fn an_order_runs_once_and_its_failure_is_forwarded() {
    let fleet = Fleet::start(2, 0).await;
    let gateway = fleet.gateway("gateway-1").await;
    fleet.desks.iter().for_each(|desk| desk.set_behaviour(Behaviour::Fails));
    let response = post(&gateway, ORDERS).await;
    assert_eq!((response.status, response.body.as_str()), (500, "failed"));
    assert!(response.header("x-server-seal").is_some());
    assert_eq!(fleet.desks.iter().map(|desk| desk.executed().len()).sum::<usize>(), 1);
}

#[tokio::test]
async fn answers_without_length_are_complete_only_on_an_orderly_close() {
    let fleet = Fleet::start(1, 0).await;
    let gateway = fleet.gateway("gateway-1").await;
    fleet.desks[0].set_behaviour(Behaviour::Unframed);
    let response = post(&gateway, ORDERS).await;
    assert!(
        response.status == 200 && response.is_complete && response.body.ends_with("bytes"),
        "{response:?}"
    );
}

#[tokio::test]
async fn an_extra_answer_reaches_no_caller() {
    let fleet = Fleet::start(1, 0).await;
    let gateway = fleet.gateway("gateway-1").await;
    fleet.desks[0].set_behaviour(Behaviour::Extra);
    for _ in 0..20 {
        let id = new_id();
        let response = send(gateway.callers, &request(ORDERS, &id, "", "body")).await;
        assert!(response.status == 502 || response.body.contains(&id), "{response:?}");
    }
}

#[tokio::test]
async fn a_resumable_stream_is_resumed_on_another_server() {
    let fleet = Fleet::start(0, 2).await;
    let gateway = fleet.gateway("gateway-1").await;
    fleet.engines[0].reset_streams_after(Some(2));
    while fleet.engines[0].executed().is_empty() {
        let response = post(&gateway, NOTES).await;
        let ids: Vec<&str> =
            response.body.lines().filter_map(|line| line.strip_prefix("id: ")).collect();
        assert!(response.is_complete, "{response:?}");
        assert_eq!(ids, ["1", "2", "3", "4", "5"]);
    }
    let resumed = fleet.engines[1].executed();
    assert!(resumed.iter().any(|executed| executed.request.header("last-event-id") == "2"));
}

#[tokio::test]
async fn a_failed_retry_does_not_end_a_stream_with_attempts_left() {
    let fleet = Fleet::start(0, 3).await;
    let gateway = fleet.gateway("gateway-1").await;
    let mut changed = configuration(2, &["alpha-key"]);
    changed["routes"][2]["maxAttempts"] = 3.into();
    fleet.store.put_configuration(&changed);
    until("the change is in force", || gateway.lines("configuration_in_force").len() == 2).await;
    fleet.engines[0].reset_streams_after(Some(2));
    fleet.engines[1].set_behaviour(Behaviour::Fails);
    let was_resumed_on = |engine: &Server| {
        let executed = engine.executed();
        executed.iter().any(|executed| executed.request.header("last-event-id") == "2")
    };
    while !was_resumed_on(&fleet.engines[1]) {
        let response = post(&gateway, NOTES).await;
        let is_whole = response.is_complete && response.body.contains("id: 5");
        assert!(response.status == 500 || is_whole, "{response:?}");
    }
}

#[tokio::test]
async fn a_broken_stream_waits_for_free_capacity_on_another_server() {
    let fleet = Fleet::start(0, 2).await;
    let gateway = fleet.gateway("gateway-1").await;
    fleet.engines.iter().for_each(|engine| engine.set_events(20, Duration::from_millis(25)));
    let mut streams = Vec::new();
    while fleet.engines.iter().any(|engine| engine.executed().is_empty()) {
        let mut stream = TcpStream::connect(gateway.callers).await.unwrap();
        let text = request(NOTES, &new_id(), "", "body").replace("900", "40000");
        stream.write_all(text.as_bytes()).await.unwrap();
        caller::until_event(&stream, 1).await;
        streams.push(stream);
    }
    fleet.engines[0].set_resets_all_streams(true);
    for mut stream in streams {
        let response = read(&mut stream).await;
        let ids = response.body.lines().filter_map(|line| line.strip_prefix("id: "));
        assert!(response.is_complete && ids.count() == 20, "{response:?}");
    }
}

#[tokio::test]
async fn a_stream_that_is_not_resumable_never_looks_complete() {
    let fleet = Fleet::start(0, 2).await;
    let gateway = fleet.gateway("gateway-1").await;
    fleet.engines.iter().for_each(|engine| engine.reset_streams_after(Some(2)));
    let response = post(&gateway, QUICK).await;
    assert!(!response.is_complete, "{response:?}");
    assert!(!response.body.contains("id: 3"), "no part of an event is forwarded");
    assert_eq!(fleet.engines.iter().map(|engine| engine.executed().len()).sum::<usize>(), 1);
    caller::until_line(&gateway, "stream_aborted").await;
}

#[tokio::test]
async fn a_callers_disconnect_reaches_the_server() {
    let fleet = Fleet::start(1, 1).await;
    let gateway = fleet.gateway("gateway-1").await;
    fleet.desks[0].set_execution_time(Duration::from_secs(30));
    fleet.engines[0].set_events(1_000, Duration::from_millis(50));
    for (path, server) in [(ORDERS, &fleet.desks[0]), (NOTES, &fleet.engines[0])] {
        let mut stream = TcpStream::connect(gateway.callers).await.unwrap();
        stream.write_all(request(path, &new_id(), "", "body").as_bytes()).await.unwrap();
        until("the server runs it", || !server.executed().is_empty()).await;
        drop(stream);
        until("the server sees the close", || server.executed()[0].caller_disconnected).await;
    }
    caller::until_line(&gateway, "caller_left").await;
}

#[tokio::test]
async fn retryable_requests_move_from_an_unresponsive_server_to_another() {
    let fleet = Fleet::start(2, 0).await;
    let gateway = fleet.gateway("gateway-1").await;
    fleet.desks[0].set_behaviour(Behaviour::Unresponsive);
    while fleet.desks[0].executed().is_empty() {
        assert_eq!(post(&gateway, STATUS).await.status, 200);
    }
    caller::until_line(&gateway, "server_checked").await;
    assert_eq!(post(&gateway, ORDERS).await.status, 200, "the server is avoided afterwards");
}
