//! Tests of the log's retention and faults.

use super::support::Caller;
use bytes::Bytes;
use clients::wire::log::{Appended, RecordPage};
use http::{Method, StatusCode};
use standins::log_service::{LogConfig, LogFaults, LogService};
use standins::server::Kill;
use std::net::SocketAddr;
use std::time::Duration;

const RECORDS: &str = "/streams/orders/records";

async fn append(caller: &Caller, log: SocketAddr, value: &str) -> Option<u64> {
    let body = Bytes::copy_from_slice(value.as_bytes());
    let (status, answer) = caller.raw(Method::POST, log, RECORDS, body).await?;
    assert_eq!(status, StatusCode::OK);
    Some(serde_json::from_slice::<Appended>(&answer).unwrap().offset.value())
}

async fn values(caller: &Caller, log: SocketAddr, query: &str) -> Vec<String> {
    let page: RecordPage = caller.get(log, &format!("{RECORDS}?{query}")).await;
    page.records.into_iter().map(|record| record.value).collect()
}

#[tokio::test]
async fn a_long_poll_returns_a_record_appended_during_the_wait() {
    let (caller, log) = (Caller::new(), LogService::start(LogConfig::default()).await.unwrap());
    let reading = values(&caller, log.address(), "from=0&limit=10&wait_ms=60000");
    let (read, offset) = tokio::join!(reading, append(&caller, log.address(), "one"));
    assert_eq!((read, offset), (vec!["one".to_owned()], Some(0)));
}

#[tokio::test]
async fn unconfirmed_and_late_appends_are_stored() {
    let (caller, log) = (Caller::new(), LogService::start(LogConfig::default()).await.unwrap());
    let faults = LogFaults {
        late_appends: 1,
        late_by_ms: 50,
        lose_append_answers: 1,
        ..LogFaults::default()
    };
    caller.post(log.address(), "/faults", &faults).await.unwrap();
    assert_eq!(append(&caller, log.address(), "late").await, None);
    assert_eq!(append(&caller, log.address(), "lost").await, None);
    let read = values(&caller, log.address(), "from=1&wait_ms=60000").await;
    assert_eq!(read, ["late"]);
    assert_eq!(values(&caller, log.address(), "from=0").await, ["lost", "late"]);
}

#[tokio::test]
async fn records_are_retained_by_count_and_by_age() {
    let config = LogConfig { retained_records: 2, retained_ms: 60_000, ..LogConfig::default() };
    let (caller, log) = (Caller::new(), LogService::start(config).await.unwrap());
    for value in ["one", "two", "three"] {
        append(&caller, log.address(), value).await;
    }
    assert_eq!(values(&caller, log.address(), "from=0").await, ["two", "three"]);
    log.set_faults(LogFaults { clock_ahead_ms: 61_000, ..LogFaults::default() });
    let page: RecordPage = caller.get(log.address(), &format!("{RECORDS}?from=0")).await;
    assert_eq!((page.first_retained.value(), page.end.value(), page.records.len()), (3, 3, 0));
}

#[tokio::test]
async fn a_log_that_is_down_or_killed_keeps_its_records() {
    let (caller, log) = (Caller::new(), LogService::start(LogConfig::default()).await.unwrap());
    append(&caller, log.address(), "one").await;
    log.set_faults(LogFaults { down: true, ..LogFaults::default() });
    let (status, _) = caller.raw(Method::POST, log.address(), RECORDS, Bytes::new()).await.unwrap();
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    caller.post(log.address(), "/faults", &LogFaults::default()).await.unwrap();
    log.kill();
    assert_eq!(caller.raw(Method::GET, log.address(), RECORDS, Bytes::new()).await, None);
    log.restart().await.unwrap();
    assert_eq!(values(&caller, log.address(), "from=0").await, ["one"]);
}

#[tokio::test]
async fn a_log_killed_by_a_call_restarts_when_requested() {
    let (caller, log) = (Caller::new(), LogService::start(LogConfig::default()).await.unwrap());
    append(&caller, log.address(), "one").await;
    let kill = Kill { restart_after_ms: Some(20) };
    assert_eq!(caller.post(log.address(), "/kill", &kill).await, None);
    while caller.raw(Method::GET, log.address(), RECORDS, Bytes::new()).await.is_none() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(values(&caller, log.address(), "from=0").await, ["one"]);
}
