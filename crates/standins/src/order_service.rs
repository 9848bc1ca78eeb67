//! A stand-in for an order service, whose orders are not idempotent.
//!
//! | call | answer |
//! |---|---|
//! | `POST /orders` with any JSON object, `idempotency-key`, `x-organisation` and `x-attempt-id` | 201 with [`OrderAnswer`]; each arrival is executed |
//! | `GET /orders/{key}` with `x-organisation` | [`OrderAnswer`] of its first execution; 404 if there was none |
//! | `GET /stock/{item}` | [`StockAnswer`] |
//! | `GET /ledger` | every [`Execution`] in order |
//! | `GET /faults`, `POST /faults` with [`OrderFaults`] | the faults; 204 |
//! | `POST /kill` with [`Kill`](crate::server::Kill) | none |
//!
//! Servers of one service share a [`Ledger`].

use crate::reply;
use crate::server::{Call, HandlerFn, Server};
use crate::switch::{Switch, lock, take_one};
use clients::wire::engine::ATTEMPT_HEADER;
use clients::wire::order::{IDEMPOTENCY_HEADER, ORGANISATION_HEADER};
use futures_util::FutureExt;
use gotham::helpers::http::Body;
use http::{Method, Response, StatusCode};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The configuration of an order server.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct OrderConfig {
    /// The listen address; port 0 selects any free port.
    pub address: SocketAddr,
    /// Execution time of an order, in milliseconds.
    pub execution_ms: u64,
}

impl Default for OrderConfig {
    fn default() -> Self {
        Self { address: SocketAddr::from(([127, 0, 0, 1], 0)), execution_ms: 5 }
    }
}

/// The faults of an order server.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct OrderFaults {
    /// Whether every call is answered with 503 and nothing is executed.
    pub down: bool,
    /// Delay before the execution of every call, in milliseconds.
    pub delay_ms: u64,
    /// Number of next orders that are executed and whose connection closes without an answer.
    pub lose_answers: u32,
    /// Number of next orders that are executed and never answered.
    pub hang_answers: u32,
}

/// The answer to an order.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OrderAnswer {
    /// The sequence number of the execution.
    pub order_number: u64,
    /// The idempotency key of the order.
    pub key: String,
    /// The attempt that was executed.
    pub attempt_id: String,
}

/// The answer to a stock query.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StockAnswer {
    /// The item.
    pub item: String,
    /// The number left in stock.
    pub left: u64,
}

/// An executed order.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Execution {
    /// The answer.
    pub answer: OrderAnswer,
    /// The order.
    pub order: serde_json::Value,
    /// The organisation that placed the order; empty if the call had no organisation header.
    #[serde(default)]
    pub organisation: String,
}

/// The executed orders of one service, shared by its servers.
#[derive(Debug, Default)]
pub struct Ledger {
    executions: Mutex<Vec<Execution>>,
}

impl Ledger {
    /// Creates an empty ledger.
    pub fn new() -> Arc<Self> {
        Arc::default()
    }

    /// Returns every execution in order.
    pub fn executions(&self) -> Vec<Execution> {
        lock(&self.executions).clone()
    }

    /// Returns the number of executions per idempotency key.
    pub fn executions_by_key(&self) -> BTreeMap<String, u64> {
        let mut counts = BTreeMap::new();
        for execution in lock(&self.executions).iter() {
            *counts.entry(execution.answer.key.clone()).or_default() += 1;
        }
        counts
    }

    fn execute(&self, headers: &OrderHeaders, order: serde_json::Value) -> OrderAnswer {
        let mut executions = lock(&self.executions);
        let answer = OrderAnswer {
            order_number: executions.len() as u64 + 1,
            key: headers.key.clone(),
            attempt_id: headers.attempt_id.clone(),
        };
        let organisation = headers.organisation.clone();
        executions.push(Execution { answer: answer.clone(), order, organisation });
        answer
    }

    fn first(&self, key: &str, organisation: &str) -> Option<OrderAnswer> {
        let executions = lock(&self.executions);
        let is_match = |e: &&Execution| e.answer.key == key && e.organisation == organisation;
        executions.iter().find(is_match).map(|e| e.answer.clone())
    }
}

/// The headers of an order.
struct OrderHeaders {
    key: String,
    attempt_id: String,
    organisation: String,
}

struct State {
    config: OrderConfig,
    faults: Switch<OrderFaults>,
    ledger: Arc<Ledger>,
    stock_calls: AtomicU64,
}

/// A running order server.
pub struct OrderServer {
    server: Arc<Server>,
    state: Arc<State>,
}

impl OrderServer {
    /// Starts a server of the service to which the ledger belongs.
    ///
    /// # Errors
    ///
    /// Returns the error of binding the address.
    pub async fn start(config: OrderConfig, ledger: Arc<Ledger>) -> io::Result<Self> {
        let address = config.address;
        let faults = Switch::default();
        let state = Arc::new(State { config, faults, ledger, stock_calls: AtomicU64::new(0) });
        let server = Server::start(address, handle(&state)).await?;
        Ok(Self { server, state })
    }

    /// Returns the address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: OrderFaults) {
        self.state.faults.set(faults);
    }

    /// Returns how many stock queries this server answered.
    pub fn stock_calls(&self) -> u64 {
        self.state.stock_calls.load(Ordering::Relaxed)
    }

    /// Stops accepting connections; open ones continue.
    pub fn stop(&self) {
        self.server.stop();
    }

    /// Closes the listener and all connections at once; keeps the ledger.
    pub fn kill(&self) {
        self.server.kill();
    }

    /// Restarts on the same address.
    ///
    /// # Errors
    ///
    /// Returns the error of binding the address.
    pub async fn restart(&self) -> io::Result<()> {
        self.server.resume().await
    }
}

fn handle(state: &Arc<State>) -> HandlerFn {
    let state = Arc::clone(state);
    Arc::new(move |call| answer(Arc::clone(&state), call).boxed())
}

async fn answer(state: Arc<State>, call: Call) -> Response<Body> {
    let segments = call.segments();
    match segments.as_slice() {
        ["faults"] => return state.faults.answer(&call),
        ["kill"] => return call.kill_server().await,
        _ => {}
    }
    let faults = state.faults.get();
    if faults.delay_ms > 0 {
        tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
    }
    if faults.down {
        return reply::empty(StatusCode::SERVICE_UNAVAILABLE);
    }
    match (&call.method, segments.as_slice()) {
        (&Method::POST, ["orders"]) => order(&state, &call).await,
        (&Method::GET, ["orders", key]) => {
            state.ledger.first(key, call.header(ORGANISATION_HEADER)).map_or_else(
                || reply::empty(StatusCode::NOT_FOUND),
                |answer| reply::json(StatusCode::OK, &answer),
            )
        }
        (&Method::GET, ["stock", item]) => stock(&state, item),
        (&Method::GET, ["ledger"]) => reply::json(StatusCode::OK, &state.ledger.executions()),
        _ => reply::empty(StatusCode::NOT_FOUND),
    }
}

async fn order(state: &Arc<State>, call: &Call) -> Response<Body> {
    let order = match call.json() {
        Ok(order) => order,
        Err(response) => return *response,
    };
    let headers = OrderHeaders {
        key: call.header(IDEMPOTENCY_HEADER).to_owned(),
        attempt_id: call.header(ATTEMPT_HEADER).to_owned(),
        organisation: call.header(ORGANISATION_HEADER).to_owned(),
    };
    let answer = execute(Arc::clone(state), headers, order).await;
    if state.faults.update(|faults| take_one(&mut faults.lose_answers)) {
        return call.drop_connection().await;
    }
    if state.faults.update(|faults| take_one(&mut faults.hang_answers)) {
        return std::future::pending().await;
    }
    match answer {
        Some(answer) => reply::json(StatusCode::CREATED, &answer),
        None => reply::empty(StatusCode::INTERNAL_SERVER_ERROR),
    }
}

/// Executes an order to completion even if the caller disconnects meanwhile.
async fn execute(
    state: Arc<State>,
    headers: OrderHeaders,
    order: serde_json::Value,
) -> Option<OrderAnswer> {
    let executing = tokio::spawn(async move {
        tokio::time::sleep(Duration::from_millis(state.config.execution_ms)).await;
        state.ledger.execute(&headers, order)
    });
    executing.await.ok()
}

fn stock(state: &State, item: &str) -> Response<Body> {
    state.stock_calls.fetch_add(1, Ordering::Relaxed);
    let left = u64::from(blake3::hash(item.as_bytes()).as_bytes()[0]);
    reply::json(StatusCode::OK, &StockAnswer { item: item.to_owned(), left })
}
