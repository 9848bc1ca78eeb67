//! Servers that refuse requests and name the time for which they want none.

use crate::caller::{self, post};
use crate::fleet::{Fleet, NOTES, ORDERS, configuration};
use crate::process::{Gateway, until};
use standins::fleet::{Behaviour, Server};
use std::time::Duration;

const REQUESTS: usize = 12;
/// The number of calls that may be on their way when a server asks for a pause.
const CROSSING: usize = 2;

fn refuse(server: &Server, retry_after: &str) {
    server.set_behaviour(Behaviour::Sheds);
    server.set_extra_headers(&[("Retry-After", retry_after)]);
}

async fn post_until_refused(gateway: &Gateway, path: &str, server: &Server) {
    while server.refused() == 0 {
        post(gateway, path).await;
    }
}

#[tokio::test]
async fn a_server_that_asks_for_a_pause_receives_nothing_meanwhile() {
    let fleet = Fleet::start(2, 0).await;
    let gateway = fleet.gateway("gateway-1").await;
    let (paused, other) = (&fleet.desks[0], &fleet.desks[1]);
    refuse(paused, "50.5");
    // Outlasts the time for which a server is avoided after it shed a request.
    other.set_execution_time(Duration::from_millis(60));
    post_until_refused(&gateway, ORDERS, paused).await;
    let before = paused.received().len();
    for _ in 0..REQUESTS {
        assert_eq!(post(&gateway, ORDERS).await.status, 200);
    }
    assert_eq!(paused.received().len(), before);
    assert!(caller::metrics(&gateway).await.contains("server_pauses{kind=\"request\"} 1"));
}

#[tokio::test]
async fn a_paused_server_gets_requests_after_the_end() {
    let fleet = Fleet::start(2, 0).await;
    let gateway = fleet.gateway("gateway-1").await;
    refuse(&fleet.desks[0], "0.4");
    post_until_refused(&gateway, ORDERS, &fleet.desks[0]).await;
    fleet.desks[0].set_behaviour(Behaviour::Serves);
    while fleet.desks[0].executed().is_empty() {
        assert_eq!(post(&gateway, ORDERS).await.status, 200);
    }
}

#[tokio::test]
async fn requests_are_refused_at_once_while_all_servers_are_paused() {
    let fleet = Fleet::start(2, 0).await;
    let gateway = fleet.gateway("gateway-1").await;
    fleet.desks.iter().for_each(|desk| refuse(desk, "50"));
    while fleet.desks.iter().any(|desk| desk.refused() == 0) {
        post(&gateway, ORDERS).await;
    }
    let received = || fleet.desks.iter().map(|desk| desk.received().len()).sum::<usize>();
    let before = received();
    for _ in 0..REQUESTS {
        let response = post(&gateway, ORDERS).await;
        assert_eq!((response.status, received()), (503, before));
        let after_s: f64 = response.header("retry-after").unwrap().parse().unwrap();
        assert!(after_s > 10.0 && after_s <= 75.0, "{after_s} s");
    }
    until("the refusals are logged", || {
        let refused = gateway.lines("request_refused");
        refused.iter().filter(|line| line["reason"] == "servers_paused").count() >= REQUESTS
    })
    .await;
}

#[tokio::test]
async fn delays_that_are_unreadable_negative_or_too_long_are_ignored() {
    for (retry_after, kind) in [("soon", "malformed"), ("-1", "negative"), ("86400", "too_long")] {
        let fleet = Fleet::start(1, 0).await;
        let gateway = fleet.gateway("gateway-1").await;
        refuse(&fleet.desks[0], retry_after);
        post_until_refused(&gateway, ORDERS, &fleet.desks[0]).await;
        fleet.desks[0].set_behaviour(Behaviour::Serves);
        assert_eq!(post(&gateway, ORDERS).await.status, 200, "{retry_after}");
        let metrics = caller::metrics(&gateway).await;
        assert!(
            metrics.contains(&format!("retry_after_ignored{{kind=\"{kind}\"}} 1")),
            "{metrics}"
        );
    }
}

#[tokio::test]
async fn a_paused_engine_receives_no_polls_reports_and_commands() {
    let fleet = Fleet::start(0, 2).await;
    let mut watched = configuration(2, &["alpha-key"]);
    watched["services"][1]["engine"]["linkMbps"] = 1_000.into();
    watched["services"][1]["engine"]["maxInflight"] = 64.into();
    fleet.store.put_configuration(&watched);
    let gateway = fleet.gateway("gateway-1").await;
    let (paused, other) = (&fleet.engines[0], &fleet.engines[1]);
    let polls = |engine: &Server| {
        engine.received().iter().filter(|path| path.ends_with("kv-events")).count()
    };
    until("both are polled", || polls(paused) > 0 && polls(other) > 0).await;
    refuse(paused, "50");
    post_until_refused(&gateway, NOTES, paused).await;
    let (before, polls_before) = (paused.received().len(), polls(other));
    fleet.store.set_target_version("m", 2);
    until("the other has the weights", || other.weight_version() == 2).await;
    until("the other is polled on", || polls(other) >= polls_before + 4).await;
    let crossing = paused.received().len() - before;
    assert!(crossing <= CROSSING, "{crossing} calls");
    assert!(paused.commands().is_empty());
}
