//! Answers without end: from servers, the store and peers.

use crate::caller::{self, metrics, post, until_ready};
use crate::fleet::{Fleet, NOTES, ORDERS, QUICK, STATUS, configuration};
use crate::process::{Gateway, until};
use serde_json::Value;
use standins::fleet::{
    Availability, Behaviour, Endless, Script, ScriptEnd, ScriptTarget, Server, ServerKind,
};
use std::time::Duration;

/// What the platform gives a gateway's process on small hosts.
const MEMORY_KB: u64 = 110_000;

/// Only stops a test that would hang.
const MAX_WAIT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

const PLAIN: [Endless; 9] = [
    Endless::InterimHeads,
    Endless::Header,
    Endless::HeaderLines,
    Endless::LongBody,
    Endless::Chunks,
    Endless::ChunkSize,
    Endless::SmallChunks,
    Endless::Unframed,
    Endless::Refusal,
];

async fn until_counted(gateway: &Gateway, counter: &str, kind: &str) {
    let text = format!("camphorward_{counter}{{kind=\"{kind}\"}}");
    let counted = async {
        while !metrics(gateway).await.contains(&text) {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    let is_counted = tokio::time::timeout(MAX_WAIT, counted).await.is_ok();
    assert!(is_counted, "timed out waiting for {text}");
}

/// Waits until a server has seen the close of all its endless answers.
async fn until_closed(server: &Server) {
    until("the connections are closed", || {
        server.executed().iter().all(|run| run.caller_disconnected)
    })
    .await;
}

#[tokio::test]
async fn a_plain_answer_without_end_is_a_failure_that_may_have_run() {
    for endless in PLAIN {
        let fleet = Fleet::start(1, 0).await;
        let gateway = fleet.gateway("gateway-1").await;
        fleet.desks[0].set_behaviour(Behaviour::Endless(endless));
        let response = post(&gateway, ORDERS).await;
        caller::until_line(&gateway, "send_failed").await;
        let failed = gateway.lines("send_failed");
        assert_eq!((response.status, failed.len()), (502, 1), "{endless:?} {failed:?}");
        assert_eq!(failed[0]["reason"], "too_large", "{endless:?}");
        assert_eq!(failed[0]["may_have_run"], true, "{endless:?}");
        until_closed(&fleet.desks[0]).await;
        until_counted(&gateway, "failed_sends", "too_large").await;
    }
}

#[tokio::test]
async fn a_safe_request_moves_away_from_an_answer_without_end() {
    let fleet = Fleet::start(2, 0).await;
    let gateway = fleet.gateway("gateway-1").await;
    fleet.desks[0].set_behaviour(Behaviour::Endless(Endless::Chunks));
    while fleet.desks[0].executed().is_empty() {
        assert_eq!(post(&gateway, STATUS).await.status, 200);
    }
    caller::until_line(&gateway, "send_failed").await;
    assert_eq!(gateway.lines("send_failed")[0]["reason"], "too_large");
}

#[tokio::test]
async fn a_stream_moves_away_from_an_event_without_end() {
    for endless in [Endless::Event, Endless::Comments, Endless::Header] {
        let fleet = Fleet::start(0, 2).await;
        let gateway = fleet.gateway("gateway-1").await;
        fleet.engines[0].set_behaviour(Behaviour::Endless(endless));
        while fleet.engines[0].executed().is_empty() {
            let response = post(&gateway, NOTES).await;
            assert!(response.is_complete, "{endless:?}");
            assert_eq!(response.body.matches("data: token").count(), 5, "{endless:?}");
        }
        caller::until_line(&gateway, "send_failed").await;
        assert_eq!(gateway.lines("send_failed")[0]["reason"], "too_large", "{endless:?}");
        until_closed(&fleet.engines[0]).await;
    }
}

#[tokio::test]
async fn a_stream_that_may_not_move_is_aborted_at_comments_without_end() {
    let fleet = Fleet::start(0, 1).await;
    let gateway = fleet.gateway("gateway-1").await;
    fleet.engines[0].set_behaviour(Behaviour::Endless(Endless::Comments));
    let response = post(&gateway, QUICK).await;
    assert!(!response.is_complete);
    caller::until_line(&gateway, "stream_aborted").await;
    assert_eq!(gateway.lines("stream_aborted")[0]["reason"], "too_large");
    until_closed(&fleet.engines[0]).await;
}

#[tokio::test]
async fn answers_without_end_at_once_stay_within_the_memory_of_a_small_host() {
    let mut peaks = Vec::new();
    for endless in PLAIN {
        let fleet = Fleet::start(1, 1).await;
        let gateway = fleet.gateway("gateway-1").await;
        let idle_kb = gateway.peak_memory_kb();
        fleet.desks[0].set_behaviour(Behaviour::Endless(endless));
        let answers = (0..8).map(|_| post(&gateway, ORDERS));
        let answers = futures_util::future::join_all(answers).await;
        let peak_kb = gateway.peak_memory_kb();
        println!("{endless:?}: {idle_kb} kB idle, peak {peak_kb} kB");
        let statuses: Vec<u16> = answers.iter().map(|answer| answer.status).collect();
        let serves_others = post(&gateway, NOTES).await.is_complete;
        peaks.push((endless, peak_kb, statuses, serves_others));
    }
    // Both statuses tell the caller that the request may have run; on a busy machine the deadline
    // may pass before many small chunks have taken the memory.
    let is_failed = |status: &u16| [502, 504].contains(status);
    let is_bounded = |(_, peak_kb, statuses, serves_others): &(Endless, u64, Vec<u16>, bool)| {
        *peak_kb < MEMORY_KB && statuses.iter().all(is_failed) && *serves_others
    };
    assert!(peaks.iter().all(is_bounded), "{peaks:?}");
}

#[tokio::test]
async fn events_without_end_at_once_stay_within_the_memory_of_a_small_host() {
    for endless in [Endless::Event, Endless::Comments] {
        let fleet = Fleet::start(1, 1).await;
        let gateway = fleet.gateway("gateway-1").await;
        fleet.engines[0].set_behaviour(Behaviour::Endless(endless));
        let answers = (0..40).map(|_| post(&gateway, QUICK));
        let answers = futures_util::future::join_all(answers).await;
        let peak_kb = gateway.peak_memory_kb();
        println!("{endless:?}: peak {peak_kb} kB");
        assert!(peak_kb < MEMORY_KB, "{endless:?}: {peak_kb} kB");
        assert!(answers.iter().all(|answer| !answer.is_complete || answer.status == 502));
        assert_eq!(post(&gateway, ORDERS).await.status, 200, "{endless:?}");
    }
}

/// Returns the values of a gateway's metric over all kinds, or of one.
fn sum_of(page: &str, metric: &str) -> usize {
    let lines = page.lines().filter(|line| line.starts_with(metric));
    lines.filter_map(|line| line.rsplit_once(' ')?.1.parse::<usize>().ok()).sum()
}

/// Guards against heads of faulty servers that no account holds: a crowd of them took the memory of the
/// process, which was killed with the requests of all other callers.
#[tokio::test]
async fn heads_without_end_at_once_are_held_in_the_account() {
    const MEMORY_MB: u64 = 20;
    const CROWD: usize = 100;
    const HEAD_BYTES: usize = 60_000;
    let fleet = Fleet::start(1, 1).await;
    let mut settings: Value = serde_json::from_str(&fleet.settings("gateway-1", &[])).unwrap();
    settings["memory_mb"] = Value::from(MEMORY_MB);
    let gateway = fleet.gateway_with(&settings.to_string()).await;
    let long = "y".repeat(HEAD_BYTES);
    let head = format!("HTTP/1.1 200 OK\r\nX-Attempt-Id: {{id}}\r\nX-Long: {long}");
    let script = Script::new(ScriptTarget::Requests, head, ScriptEnd::Keeps);
    fleet.engines[0].set_script(Some(script));
    let crowd = async {
        let answers = (0..CROWD).map(|_| post(&gateway, QUICK));
        futures_util::future::join_all(answers).await
    };
    let watching = async {
        until("the crowd is at the server", || fleet.engines[0].executed().len() == CROWD).await;
        loop {
            let page = metrics(&gateway).await;
            let refused = gateway.lines("send_failed").len();
            let held = sum_of(&page, "camphorward_memory_held_bytes{kind=\"answers\"}");
            if held >= (CROWD - refused) * HEAD_BYTES {
                return (page, refused);
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    let (answers, watched) = tokio::join!(crowd, tokio::time::timeout(MAX_WAIT, watching));
    let (page, refused) = watched.expect("the heads are held in the account");
    let (held, size) =
        (sum_of(&page, "camphorward_memory_held_bytes"), sum_of(&page, "camphorward_memory_size"));
    assert!(refused > 0 && held <= size, "{refused} refused, {held} of {size} bytes held");
    let failed = gateway.lines("send_failed");
    let too_large = failed.iter().filter(|line| line["reason"] == "too_large").count();
    assert!(too_large >= refused, "{failed:?}");
    assert!(answers.iter().all(|answer| [502, 504].contains(&answer.status)));
    assert_eq!(post(&gateway, ORDERS).await.status, 200);
}

#[tokio::test]
async fn an_answer_of_the_store_without_end_is_a_failed_call() {
    for endless in PLAIN {
        let fleet = Fleet::start(1, 0).await;
        let gateway = fleet.gateway("gateway-1").await;
        fleet.store.set_availability(Availability::Endless(endless));
        until_counted(&gateway, "store_failures", "too_large").await;
        caller::until_line(&gateway, "dependency_lost").await;
        let lost = gateway.lines("dependency_lost");
        // On a busy machine the first call may end by its timeout instead.
        let error = lost[0]["error"].as_str().unwrap();
        assert!(error.contains("too large") || error.contains("no answer within"), "{lost:?}");
        assert_eq!(post(&gateway, ORDERS).await.status, 200);
        fleet.store.set_availability(Availability::Up);
        fleet.store.put_configuration(&configuration(2, &["alpha-key"]));
        until("the configuration is in force", || {
            gateway.lines("configuration_in_force").iter().any(|line| line["version"] == 2)
        })
        .await;
        assert!(gateway.peak_memory_kb() < MEMORY_KB, "{endless:?}");
    }
}

#[tokio::test]
async fn a_list_of_the_store_without_a_last_page_is_a_failed_call() {
    let fleet = Fleet::start(1, 0).await;
    fleet.store.set_availability(Availability::EndlessPages);
    let gateway = Gateway::start(&fleet.settings("gateway-1", &[])).await;
    until_counted(&gateway, "store_failures", "too_large").await;
    fleet.store.set_availability(Availability::Up);
    until_ready(&gateway).await;
    assert!(gateway.peak_memory_kb() < MEMORY_KB);
}

#[tokio::test]
async fn an_answer_of_a_peer_without_end_is_a_failed_call() {
    // A peer's answer in small chunks may time out before it is too large.
    for endless in PLAIN.into_iter().filter(|endless| *endless != Endless::SmallChunks) {
        let fleet = Fleet::start(1, 0).await;
        fleet.store.set_availability(Availability::Refuses);
        let peer = Server::start("peer", ServerKind::Plain).await.unwrap();
        peer.set_behaviour(Behaviour::Endless(endless));
        let seeds = [peer.address().to_string()];
        let gateway = Gateway::start(&fleet.settings("gateway-1", &seeds)).await;
        caller::until_line(&gateway, "peer_answer_too_large").await;
        until_counted(&gateway, "peer_failures", "too_large").await;
        fleet.store.set_availability(Availability::Up);
        until_ready(&gateway).await;
        until_closed(&peer).await;
        assert!(gateway.peak_memory_kb() < MEMORY_KB, "{endless:?}");
    }
}
