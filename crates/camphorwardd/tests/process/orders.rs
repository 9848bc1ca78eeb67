//! Orders under killed and paused owners, unanswered and late appends, and a log that is down.

use crate::caller::{Answer, send};
use crate::daemon::Daemon;
use crate::site::{self, KEY_A, KEY_B};
use crate::wait;
use http::Method;
use standins::engine::EngineConfig;
use standins::log_service::LogFaults;
use standins::order_service::{Execution, OrderFaults};
use standins::site::Site;
use std::net::SocketAddr;
use uuid::Uuid;

const ORDERS: &str = "/v1/services/orders/orders";

async fn start(hosts: &[&str]) -> (Site, Vec<Daemon>) {
    let site = site::start(EngineConfig::default()).await;
    let mut daemons = Vec::new();
    for (index, host) in hosts.iter().enumerate() {
        daemons.push(Daemon::start(&site, host, index, "").await);
    }
    site::publish(&site).await;
    for daemon in &daemons {
        daemon.wait_ready(daemons.len()).await;
    }
    (site, daemons)
}

fn new_key() -> String {
    Uuid::now_v7().to_string()
}

async fn order(host: SocketAddr, bearer: &str, key: &str, item: &str) -> Answer {
    let bearer = format!("Bearer {bearer}");
    let headers = [("authorization", bearer.as_str()), ("idempotency-key", key)];
    send(host, Method::POST, ORDERS, &headers, format!(r#"{{"item":"{item}"}}"#)).await
}

async fn get(host: SocketAddr, bearer: &str, path: &str) -> Answer {
    let bearer = format!("Bearer {bearer}");
    send(host, Method::GET, path, &[("authorization", bearer.as_str())], String::new()).await
}

/// Resends an order until it is answered with its outcome, as a caller would.
async fn resend(host: SocketAddr, key: &str, item: &str) -> Answer {
    let found = std::sync::Mutex::new(None);
    wait::until("the resent order has its outcome", || async {
        let answer = order(host, KEY_A, key, item).await;
        let done = answer.status < 300;
        *found.lock().expect("nobody panicked") = Some(answer);
        done
    })
    .await;
    found.into_inner().expect("nobody panicked").expect("an answer came")
}

fn executions(site: &Site) -> Vec<Execution> {
    site.ledgers.values().flat_map(|ledger| ledger.executions()).collect()
}

fn set_order_faults(site: &Site, faults: &OrderFaults) {
    site.order_servers.values().for_each(|server| server.set_faults(faults.clone()));
}

fn is_refused(answer: &Answer, kind: &str, not_run: bool) -> bool {
    let error = &answer.json()["error"];
    error["kind"] == kind && error["not_run"] == not_run
}

#[tokio::test(flavor = "multi_thread")]
async fn an_order_sent_through_two_hosts_is_executed_once() {
    let (site, daemons) = start(&["e1", "e2"]).await;
    let [first, second] = [0, 1].map(|index: usize| daemons[index].addresses.callers);
    let key = new_key();
    let (a, b) =
        tokio::join!(order(first, KEY_A, &key, "spruce"), order(second, KEY_A, &key, "spruce"));
    assert_eq!((a.status, b.status), (201, 201), "{} {}", a.body, b.body);
    assert_eq!(a.body, b.body);
    assert_eq!(executions(&site).len(), 1);

    let other_body = order(second, KEY_A, &key, "maple").await;
    assert!(is_refused(&other_body, "idempotency_key_reused", true), "{}", other_body.body);
    let missing =
        send(first, Method::POST, ORDERS, &[("authorization", "Bearer key-of-org-a")], "{}".into());
    assert!(is_refused(&missing.await, "missing_idempotency_key", true));
    let old = order(first, KEY_A, "0000000f-4240-7000-8000-000000000001", "spruce").await;
    assert!(is_refused(&old, "idempotency_key_expired", true), "{}", old.body);
    assert_eq!(executions(&site).len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn organisations_share_no_order_with_the_same_key() {
    let (site, daemons) = start(&["e1"]).await;
    let host = daemons[0].addresses.callers;
    let key = new_key();
    let a = order(host, KEY_A, &key, "spruce").await;
    let status = format!("{ORDERS}/{key}");
    assert_eq!(get(host, KEY_A, &status).await.json(), a.json());
    assert_eq!(get(host, KEY_B, &status).await.status, 404);
    let b = order(host, KEY_B, &key, "spruce").await;
    assert_eq!((a.status, b.status), (201, 201));
    assert_ne!(a.json(), b.json());
    assert_eq!(executions(&site).len(), 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn unanswered_appends_neither_lose_nor_duplicate_an_order() {
    let (site, daemons) = start(&["e1", "e2"]).await;
    site.log.set_faults(LogFaults { lose_append_answers: 6, ..LogFaults::default() });
    let key = new_key();
    let answer = resend(daemons[0].addresses.callers, &key, "spruce").await;
    let again = resend(daemons[1].addresses.callers, &key, "spruce").await;
    assert_eq!(answer.json(), again.json());
    assert_eq!(executions(&site).len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn not_run_is_true_although_the_intent_is_stored_later() {
    let (site, daemons) = start(&["e1", "e2"]).await;
    let faults = LogFaults { late_appends: 100, late_by_ms: 4_000, ..LogFaults::default() };
    site.log.set_faults(faults);
    let key = new_key();
    let refused = order(daemons[0].addresses.callers, KEY_A, &key, "spruce").await;
    assert!(is_refused(&refused, "log_unavailable", true), "{}", refused.body);
    wait::until("the late intent is stored", || async { site.log.appended_records("orders") > 0 })
        .await;
    site.log.set_faults(LogFaults::default());
    assert!(executions(&site).is_empty());
    resend(daemons[1].addresses.callers, &key, "spruce").await;
    assert_eq!(executions(&site).len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_log_outage_stops_orders_and_nothing_else() {
    let (site, daemons) = start(&["e1"]).await;
    let host = daemons[0].addresses.callers;
    let done = new_key();
    assert_eq!(order(host, KEY_A, &done, "spruce").await.status, 201);
    site.log.kill();
    let key = new_key();
    let refused = order(host, KEY_A, &key, "maple").await;
    assert!(is_refused(&refused, "log_unavailable", true), "{}", refused.body);
    assert_eq!(get(host, KEY_A, "/v1/services/orders/stock/maple").await.status, 200);
    assert_eq!(get(host, KEY_A, &format!("{ORDERS}/{done}")).await.status, 200);
    assert_eq!(order(host, KEY_A, &done, "spruce").await.status, 201);
    assert_eq!(executions(&site).len(), 1);
    site.log.restart().await.expect("the log starts again");
    resend(host, &key, "maple").await;
    assert_eq!(executions(&site).len(), 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_order_whose_owner_is_killed_is_answered_by_another_host() {
    let (site, daemons) = start(&["e1", "e2"]).await;
    set_order_faults(&site, &OrderFaults { hang_answers: 1, ..OrderFaults::default() });
    let key = new_key();
    let owner = daemons[0].addresses.callers;
    let sent = tokio::spawn({
        let key = key.clone();
        async move { order(owner, KEY_A, &key, "spruce").await }
    });
    wait::until("the order is executed", || async { executions(&site).len() == 1 }).await;
    daemons[0].signal("KILL");
    sent.abort();
    let answer = resend(daemons[1].addresses.callers, &key, "spruce").await;
    assert_eq!(answer.json()["key"], key.as_str());
    assert_eq!(executions(&site).len(), 1);
    assert!(daemons[1].counter("orders.status_checks").await >= 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_unanswered_order_is_resolved_by_a_status_query_without_a_resend() {
    let (site, daemons) = start(&["e1"]).await;
    set_order_faults(&site, &OrderFaults { lose_answers: 1, ..OrderFaults::default() });
    let answer = order(daemons[0].addresses.callers, KEY_A, &new_key(), "spruce").await;
    assert_eq!(answer.status, 200, "{}", answer.body);
    assert_eq!(executions(&site).len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_paused_owner_does_not_duplicate_an_order() {
    let (site, daemons) = start(&["e1", "e2"]).await;
    let faults = LogFaults { late_appends: 1, late_by_ms: 300, ..LogFaults::default() };
    site.log.set_faults(faults);
    let key = new_key();
    let owner = daemons[0].addresses.callers;
    let first = tokio::spawn({
        let key = key.clone();
        async move { order(owner, KEY_A, &key, "spruce").await }
    });
    wait::until("the intent is sent", || async { site.log.faults().late_appends == 0 }).await;
    daemons[0].signal("STOP");
    let second = order(daemons[1].addresses.callers, KEY_A, &key, "spruce").await;
    daemons[0].signal("CONT");
    let first = first.await.expect("the caller ran");
    for answer in [&first, &second] {
        let is_expected = [200, 201, 409, 502, 503].contains(&answer.status);
        assert!(is_expected, "{}: {}", answer.status, answer.body);
    }
    resend(daemons[1].addresses.callers, &key, "spruce").await;
    assert_eq!(executions(&site).len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_drain_waits_for_the_outcome_of_an_open_order() {
    let (site, mut daemons) = start(&["e1", "e2"]).await;
    set_order_faults(&site, &OrderFaults { delay_ms: 600, ..OrderFaults::default() });
    let key = new_key();
    let host = daemons[0].addresses.callers;
    let sent = tokio::spawn({
        let key = key.clone();
        async move { order(host, KEY_A, &key, "spruce").await }
    });
    wait::until("the order is sent", || async { daemons[0].counter("orders.records").await >= 1 })
        .await;
    daemons[0].signal("TERM");
    let answer = sent.await.expect("the caller ran");
    assert_eq!(answer.status, 201, "{}", answer.body);
    assert_eq!(daemons[0].wait_exit().await, Some(0));
    let again = resend(daemons[1].addresses.callers, &key, "spruce").await;
    assert_eq!(again.json(), answer.json());
    assert_eq!(daemons[1].counter("orders.status_checks").await, 0);
    assert_eq!(executions(&site).len(), 1);
}
