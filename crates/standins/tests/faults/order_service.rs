//! Tests that order servers execute each order as often as it arrives and count each execution.

use super::support::Caller;
use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use standins::order_service::{Ledger, OrderAnswer, OrderConfig, OrderFaults, OrderServer};

async fn order(server: &OrderServer, attempt_id: &str) -> Option<StatusCode> {
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
    let request = Request::post(format!("http://{}/orders", server.address()))
        .header("idempotency-key", "k1")
        .header("x-attempt-id", attempt_id)
        .body(Full::from(r#"{"item":"cello back"}"#))
        .unwrap();
    client.request(request).await.ok().map(|response| response.status())
}

#[tokio::test]
async fn each_arrival_is_executed_and_recorded_in_the_shared_ledger() {
    let ledger = Ledger::new();
    let first = OrderServer::start(OrderConfig::default(), ledger.clone()).await.unwrap();
    let second = OrderServer::start(OrderConfig::default(), ledger.clone()).await.unwrap();
    assert_eq!(order(&first, "a1").await, Some(StatusCode::CREATED));
    assert_eq!(order(&second, "a2").await, Some(StatusCode::CREATED));
    assert_eq!(ledger.executions_by_key()["k1"], 2);
    let outcome: OrderAnswer = Caller::new().get(second.address(), "/orders/k1").await;
    assert_eq!(outcome.attempt_id, "a1");
}

#[tokio::test]
async fn an_order_without_an_answer_is_executed() {
    let ledger = Ledger::new();
    let server = OrderServer::start(OrderConfig::default(), ledger.clone()).await.unwrap();
    server.set_faults(OrderFaults { lose_answers: 1, ..OrderFaults::default() });
    assert_eq!(order(&server, "a1").await, None);
    assert_eq!(ledger.executions_by_key()["k1"], 1);
}

#[tokio::test]
async fn a_server_that_is_down_executes_nothing() {
    let (caller, ledger) = (Caller::new(), Ledger::new());
    let server = OrderServer::start(OrderConfig::default(), ledger.clone()).await.unwrap();
    let down = OrderFaults { down: true, ..OrderFaults::default() };
    caller.post(server.address(), "/faults", &down).await.unwrap();
    assert_eq!(order(&server, "a1").await, Some(StatusCode::SERVICE_UNAVAILABLE));
    let (status, _) =
        caller.raw(Method::GET, server.address(), "/orders/k1", Bytes::new()).await.unwrap();
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(ledger.executions().is_empty());
}
