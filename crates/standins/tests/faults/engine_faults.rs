//! Tests of the engine's faults, refusals and load commands.

use super::support::{Caller, Stream, engine, fast_config, prompt, request, version, wait_until};
use clients::wire::engine::{Cancel, LoadCommand, LoadReport, Refusal, StreamBody};
use http::StatusCode;
use protocol::ids::LogOffset;
use standins::engine::{Engine, EngineConfig, EngineFaults};
use standins::expected_answer;
use std::time::Duration;

const ANSWER_TOKENS: u64 = 8;

async fn stream_with(faults: EngineFaults) -> (Engine, Stream) {
    let (caller, engine) = (Caller::new(), engine(fast_config()).await);
    engine.set_faults(faults);
    let request = request("a1", &prompt(1, 1), ANSWER_TOKENS);
    let stream = caller.complete(engine.address(), &request, usize::MAX).await;
    (engine, stream)
}

#[tokio::test]
async fn a_truncated_answer_has_no_end_mark() {
    let faults = EngineFaults { truncated_after_tokens: Some(3), ..EngineFaults::default() };
    let (_, stream) = stream_with(faults).await;
    assert_eq!(stream.tokens(), expected_answer(&prompt(1, 1), &version(), 3));
    assert!(stream.end().is_none() && !stream.done);
}

#[tokio::test]
async fn a_duplicated_token_keeps_its_offset() {
    let faults = EngineFaults { duplicate_after_tokens: Some(3), ..EngineFaults::default() };
    let (_, stream) = stream_with(faults).await;
    let offsets = stream.events.iter().filter_map(|event| match &event.body {
        StreamBody::Token(token) => Some(token.offset),
        StreamBody::End(_) => None,
    });
    assert_eq!(offsets.collect::<Vec<u64>>(), [0, 1, 2, 2, 3, 4, 5, 6, 7]);
}

#[tokio::test]
async fn a_crossed_answer_carries_another_attempt_and_text() {
    let faults = EngineFaults { crossed_after_tokens: Some(2), ..EngineFaults::default() };
    let (_, stream) = stream_with(faults).await;
    let expected = expected_answer(&prompt(1, 1), &version(), ANSWER_TOKENS);
    assert!(stream.events[..2].iter().all(|event| event.attempt_id.as_str() == "a1"));
    assert!(stream.events[2..].iter().all(|event| event.attempt_id.as_str() == "xa1"));
    assert_ne!(stream.tokens(), expected);
}

#[tokio::test]
async fn a_stalled_stream_keeps_its_connection_until_the_caller_closes_it() {
    let (caller, engine) = (Caller::new(), engine(fast_config()).await);
    engine.set_faults(EngineFaults { silent_after_tokens: Some(3), ..EngineFaults::default() });
    let request = request("a1", &prompt(1, 1), ANSWER_TOKENS);
    let reading = caller.complete(engine.address(), &request, 4);
    assert!(tokio::time::timeout(Duration::from_millis(200), reading).await.is_err());
    wait_until(|| engine.active_attempts() == 0).await;
    assert_eq!(engine.counters().abandoned, 1);
}

#[tokio::test]
async fn stream_faults_end_after_the_requested_number_of_attempts() {
    let faults = EngineFaults {
        stream_fault_attempts: Some(1),
        truncated_after_tokens: Some(0),
        ..EngineFaults::default()
    };
    let (engine, first) = stream_with(faults).await;
    let request = request("a2", &prompt(1, 1), ANSWER_TOKENS);
    let second = Caller::new().complete(engine.address(), &request, usize::MAX).await;
    assert!(!first.done && second.done);
}

#[tokio::test]
async fn a_marked_prompt_crashes_the_engine_and_its_other_attempts() {
    let (caller, engine) =
        (Caller::new(), engine(EngineConfig { token_gap_ms: 5, ..fast_config() }).await);
    engine.set_faults(EngineFaults {
        crash_marker: Some("CRASH".to_owned()),
        restart_after_ms: Some(10),
        ..EngineFaults::default()
    });
    let long = request("a1", &prompt(1, 1), 1_000_000);
    let marked = request("a2", &format!("CRASH {}", prompt(2, 1)), 1);
    let (address, before) = (engine.address(), engine.incarnation());
    let crashing = async {
        wait_until(|| engine.counters().sent_tokens > 0).await;
        Caller::new().complete(address, &marked, usize::MAX).await
    };
    let (other, crashed) = tokio::join!(caller.complete(address, &long, usize::MAX), crashing);
    assert!(!other.done && !crashed.done);
    wait_until(|| engine.incarnation() > before).await;
    wait_until(|| engine.active_attempts() == 0).await;
    let mut after = Stream::default();
    while after.status != StatusCode::OK || !after.done {
        after = caller.complete(address, &request("a3", &prompt(1, 1), 1), usize::MAX).await;
    }
    assert_eq!(after.end().unwrap().cached_tokens, 0);
}

#[tokio::test]
async fn a_cancelled_attempt_frees_its_slot() {
    let (caller, engine) =
        (Caller::new(), engine(EngineConfig { token_gap_ms: 5, ..fast_config() }).await);
    let address = engine.address();
    let cancelling = async {
        wait_until(|| engine.counters().sent_tokens > 0).await;
        let cancel = Cancel { attempt_id: "a1".parse().unwrap() };
        Caller::new().post(address, "/v1/cancel", &cancel).await
    };
    let request = request("a1", &prompt(1, 1), 1_000_000);
    let (stream, _) = tokio::join!(caller.complete(address, &request, usize::MAX), cancelling);
    assert!(!stream.done);
    let report: LoadReport = caller.get(address, "/load").await;
    assert_eq!((report.running, report.queued), (0, 0));
}

#[tokio::test]
async fn refusals_guarantee_that_nothing_was_run() {
    let (caller, engine) = (
        Caller::new(),
        engine(EngineConfig { max_running: 0, max_queued: 0, ..fast_config() }).await,
    );
    let good = request("a1", &prompt(1, 1), 1);
    let mut wrong = good.clone();
    wrong.weight_version = "v2".parse().unwrap();
    let mut reasons = Vec::new();
    for (request, leaving) in [(&good, false), (&wrong, false), (&good, true)] {
        engine.set_faults(EngineFaults { leaving, ..EngineFaults::default() });
        let (status, body) =
            caller.post(engine.address(), "/v1/completions", request).await.unwrap();
        let refusal: Refusal = serde_json::from_slice(&body).unwrap();
        assert!(refusal.not_run && !status.is_success());
        reasons.push(refusal.reason);
    }
    assert_eq!(reasons, ["full", "wrong_version", "leaving"]);
    assert_eq!(engine.counters().attempts, 0);
}

#[tokio::test]
async fn an_old_fencing_token_is_refused_only_where_it_is_checked() {
    for checks_fencing in [true, false] {
        let (caller, engine) = (
            Caller::new(),
            engine(EngineConfig { checks_fencing, load_ms: 1, ..fast_config() }).await,
        );
        let load = |version: &str, fencing| LoadCommand {
            weight_version: version.parse().unwrap(),
            fencing: LogOffset::new(fencing),
        };
        let address = engine.address();
        caller.post(address, "/admin/load", &load("v2", 9)).await.unwrap();
        wait_until(|| engine.weight_version().as_str() == "v2").await;
        let (status, _) = caller.post(address, "/admin/load", &load("v3", 4)).await.unwrap();
        if checks_fencing {
            assert_eq!(status, StatusCode::CONFLICT);
            assert_eq!(engine.weight_version().as_str(), "v2");
        } else {
            wait_until(|| engine.weight_version().as_str() == "v3").await;
        }
    }
}
