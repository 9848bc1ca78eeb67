//! Tests of the store host's write-once blocks, expiry and limits.

use super::support::{Caller, version};
use bytes::Bytes;
use clients::wire::store::{BlockStatus, Commit, Extend, Lookup, LookupAnswer};
use http::{Method, StatusCode};
use standins::store::{StoreConfig, StoreFaults, StoreHost};

const BLOCK: &[u8] = b"kv blocks";

fn commit(attempt_id: &str, expires_in_ms: u64) -> Commit {
    Commit {
        attempt_id: attempt_id.parse().unwrap(),
        length_bytes: BLOCK.len() as u64,
        checksum: blake3::hash(BLOCK).to_hex().to_string(),
        weight_version: version(),
        expires_in_ms,
    }
}

async fn write(caller: &Caller, store: &StoreHost, attempt_id: &str, bytes: &'static [u8]) {
    let path = format!("/blocks/b1/writes/{attempt_id}");
    let bytes = Bytes::from_static(bytes);
    let (status, _) = caller.raw(Method::PUT, store.address(), &path, bytes).await.unwrap();
    assert_eq!(status, StatusCode::NO_CONTENT);
}

async fn commit_status(caller: &Caller, store: &StoreHost, commit: &Commit) -> StatusCode {
    caller.post(store.address(), "/blocks/b1/commit", commit).await.unwrap().0
}

async fn read(caller: &Caller, store: &StoreHost) -> (StatusCode, Bytes) {
    caller.raw(Method::GET, store.address(), "/blocks/b1", Bytes::new()).await.unwrap()
}

#[tokio::test]
async fn a_block_is_visible_only_after_its_single_commit() {
    let (caller, store) = (Caller::new(), StoreHost::start(StoreConfig::default()).await.unwrap());
    write(&caller, &store, "a1", BLOCK).await;
    write(&caller, &store, "a2", b"half a").await;
    assert_eq!(read(&caller, &store).await.0, StatusCode::NOT_FOUND);
    let statuses = [
        commit_status(&caller, &store, &commit("a2", 60_000)).await,
        commit_status(&caller, &store, &commit("a1", 60_000)).await,
        commit_status(&caller, &store, &commit("a1", 60_000)).await,
    ];
    let expected = [StatusCode::UNPROCESSABLE_ENTITY, StatusCode::OK, StatusCode::CONFLICT];
    assert_eq!(statuses, expected);
    assert_eq!(read(&caller, &store).await, (StatusCode::OK, Bytes::from_static(BLOCK)));
    assert_eq!(store.counters().read_bytes, BLOCK.len() as u64);
}

#[tokio::test]
async fn blocks_expire_by_the_store_hosts_clock_unless_extended() {
    let (caller, store) = (Caller::new(), StoreHost::start(StoreConfig::default()).await.unwrap());
    write(&caller, &store, "a1", BLOCK).await;
    commit_status(&caller, &store, &commit("a1", 60_000)).await;
    let extend = Extend { expires_in_ms: 200_000 };
    let (_, body) = caller.post(store.address(), "/blocks/b1/extend", &extend).await.unwrap();
    assert!(serde_json::from_slice::<BlockStatus>(&body).unwrap().expires_in_ms > 190_000);
    for (clock_ahead_ms, found) in [(100_000, 1), (201_000, 0)] {
        store.set_faults(StoreFaults { clock_ahead_ms, ..StoreFaults::default() });
        let lookup = Lookup { names: vec!["b1".to_owned(), "b2".to_owned()] };
        let (_, body) = caller.post(store.address(), "/blocks/lookup", &lookup).await.unwrap();
        let answer: LookupAnswer = serde_json::from_slice(&body).unwrap();
        assert_eq!(answer.blocks.len(), found);
    }
    assert_eq!(read(&caller, &store).await.0, StatusCode::NOT_FOUND);
}

#[tokio::test]
async fn a_full_store_host_refuses_writes() {
    let config = StoreConfig { capacity_bytes: 10, ..StoreConfig::default() };
    let (caller, store) = (Caller::new(), StoreHost::start(config).await.unwrap());
    write(&caller, &store, "a1", BLOCK).await;
    let path = "/blocks/b2/writes/a2";
    let bytes = Bytes::from_static(BLOCK);
    let (status, _) = caller.raw(Method::PUT, store.address(), path, bytes).await.unwrap();
    assert_eq!(status, StatusCode::INSUFFICIENT_STORAGE);
    assert_eq!(store.counters().full_refusals, 1);
}
