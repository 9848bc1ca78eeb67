//! Tests of the engine's cache, its answers and its exports and imports.

use super::support::{
    Caller, engine, export, fast_config, import, prompt, request, store, version,
};
use clients::wire::engine::{KvChange, KvEvents, KvSnapshot};
use standins::engine::EngineConfig;
use standins::expected_answer;
use standins::store::{ReadFault, StoreFaults};

const ANSWER_TOKENS: u64 = 12;

#[tokio::test]
async fn answers_are_correct_with_and_without_the_cache() {
    let (caller, engine) = (Caller::new(), engine(fast_config()).await);
    let text = prompt(1, 3);
    let expected = expected_answer(&text, &version(), ANSWER_TOKENS);

    let first =
        caller.complete(engine.address(), &request("a1", &text, ANSWER_TOKENS), usize::MAX).await;
    let second =
        caller.complete(engine.address(), &request("a2", &text, ANSWER_TOKENS), usize::MAX).await;

    assert_eq!(first.tokens(), expected);
    assert_eq!(second.tokens(), expected);
    assert!(first.done && second.done);
    assert_eq!(first.end().unwrap().cached_tokens, 0);
    assert_eq!(second.end().unwrap().cached_tokens, 6_000);
}

#[tokio::test]
async fn a_resumed_answer_starts_at_the_requested_token() {
    let (caller, engine) = (Caller::new(), engine(fast_config()).await);
    let text = prompt(2, 1);
    let mut resumed = request("a1", &text, ANSWER_TOKENS);
    resumed.resume_at_token = 5;
    let stream = caller.complete(engine.address(), &resumed, usize::MAX).await;
    assert_eq!(stream.tokens(), expected_answer(&text, &version(), ANSWER_TOKENS)[5..]);
}

#[tokio::test]
async fn evicted_blocks_are_imported_from_a_store_host() {
    let (caller, engine, store) = (Caller::new(), engine(fast_config()).await, store().await);
    let (text, other) = (prompt(3, 3), prompt(4, 4));
    let first = request("a1", &text, ANSWER_TOKENS);
    caller.complete(engine.address(), &first, usize::MAX).await;
    let committed = export(&caller, &engine, &store, &first).await;
    caller.complete(engine.address(), &request("a2", &other, 1), usize::MAX).await;

    let snapshot: KvSnapshot = caller.get(engine.address(), "/kv/snapshot").await;
    assert!(first.segments.iter().all(|segment| !snapshot.keys.contains(&segment.key)));
    assert_eq!(import(&caller, &engine, &store, &committed).await.len(), 3);
    let third =
        caller.complete(engine.address(), &request("a3", &text, ANSWER_TOKENS), usize::MAX).await;

    assert_eq!(third.tokens(), expected_answer(&text, &version(), ANSWER_TOKENS));
    assert_eq!(third.end().unwrap().cached_tokens, 6_000);
}

#[tokio::test]
async fn damaged_blocks_are_rejected_or_lead_to_wrong_answers() {
    let faults = [
        ReadFault::Truncated,
        ReadFault::Swapped,
        ReadFault::HalfWritten,
        ReadFault::Zeroed,
        ReadFault::Freed,
    ];
    for reads in faults {
        for verifies_blocks in [true, false] {
            let (caller, store) = (Caller::new(), store().await);
            let writer = engine(fast_config()).await;
            let reader = engine(EngineConfig { verifies_blocks, ..fast_config() }).await;
            let (text, other) = (prompt(5, 1), prompt(6, 1));
            let first = request("a1", &text, ANSWER_TOKENS);
            let second = request("a2", &other, ANSWER_TOKENS);
            caller.complete(writer.address(), &first, usize::MAX).await;
            caller.complete(writer.address(), &second, usize::MAX).await;
            let committed = export(&caller, &writer, &store, &first).await;
            export(&caller, &writer, &store, &second).await;

            store.set_faults(StoreFaults { reads, ..StoreFaults::default() });
            let imported = import(&caller, &reader, &store, &committed).await;
            let stream = caller.complete(reader.address(), &first, usize::MAX).await;

            let expected = expected_answer(&text, &version(), ANSWER_TOKENS);
            let is_rejected = verifies_blocks || reads == ReadFault::Freed;
            assert_eq!(imported.is_empty(), is_rejected, "{reads:?}");
            assert_eq!(stream.tokens() == expected, is_rejected, "{reads:?}");
        }
    }
}

#[tokio::test]
async fn another_salt_or_version_does_not_hit_the_cache() {
    let (caller, engine) = (Caller::new(), engine(fast_config()).await);
    let text = prompt(7, 2);
    let first = request("a1", &text, 1);
    caller.complete(engine.address(), &first, usize::MAX).await;
    let mut other_salt = request("a2", &text, 1);
    other_salt.cache_salt = "other".to_owned();
    let stream = caller.complete(engine.address(), &other_salt, usize::MAX).await;
    assert_eq!(stream.end().unwrap().cached_tokens, 0);
}

#[tokio::test]
async fn cache_events_have_gaps_where_configured() {
    let (caller, engine) =
        (Caller::new(), engine(EngineConfig { event_lost_every: 2, ..fast_config() }).await);
    caller.complete(engine.address(), &request("a1", &prompt(8, 3), 1), usize::MAX).await;
    let events: KvEvents = caller.get(engine.address(), "/kv/events?from=0").await;
    let numbers: Vec<u64> = events.events.iter().map(|event| event.number).collect();
    assert_eq!(numbers, [0, 2]);
    assert!(events.events.iter().all(|event| event.change == KvChange::Stored));
}
