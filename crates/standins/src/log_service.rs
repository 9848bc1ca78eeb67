//! A stand-in for the platform's append-only log.
//!
//! Besides the calls of `clients::wire::log` it answers `GET /faults` and `POST /faults` with
//! [`LogFaults`], also while the log is down, and `POST /kill` with [`Kill`](crate::server::Kill).

mod streams;

use crate::clock::now_ms;
use crate::reply;
use crate::server::{Call, HandlerFn, Server};
use crate::switch::{Switch, lock, take_one};
use clients::wire::log::Appended;
use futures_util::FutureExt;
use gotham::helpers::http::Body;
use http::{Method, Response, StatusCode};
use protocol::ids::LogOffset;
use serde::{Deserialize, Serialize};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use streams::Streams;
use tokio::sync::Notify;
use tokio::time::{Instant, timeout_at};

/// The configuration of a log.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogConfig {
    /// The listen address; port 0 selects any free port.
    pub address: SocketAddr,
    /// Maximum number of retained records per stream.
    pub retained_records: usize,
    /// Retention time of a record, in milliseconds.
    pub retained_ms: u64,
}

impl Default for LogConfig {
    fn default() -> Self {
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            retained_records: 100_000,
            retained_ms: 24 * 60 * 60 * 1_000,
        }
    }
}

/// The faults of a log.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogFaults {
    /// Whether every call is answered with 503.
    pub down: bool,
    /// Delay of every call, in milliseconds.
    pub delay_ms: u64,
    /// Number of next appends that are stored and whose connection closes without an answer.
    pub lose_append_answers: u32,
    /// Number of next appends that are stored and never answered.
    pub hang_append_answers: u32,
    /// Number of next appends whose connection closes without an answer and which are stored
    /// `late_by_ms` later.
    pub late_appends: u32,
    /// Delay before a late append is stored, in milliseconds.
    pub late_by_ms: u64,
    /// Offset by which the log's clock is ahead, in milliseconds.
    pub clock_ahead_ms: u64,
}

struct State {
    config: LogConfig,
    faults: Switch<LogFaults>,
    streams: Mutex<Streams>,
    appended: Notify,
}

/// A running log.
pub struct LogService {
    server: Arc<Server>,
    state: Arc<State>,
}

impl LogService {
    /// Starts the log.
    ///
    /// # Errors
    ///
    /// Returns the error of binding the address.
    pub async fn start(config: LogConfig) -> io::Result<Self> {
        let address = config.address;
        let state = Arc::new(State {
            config,
            faults: Switch::default(),
            streams: Mutex::default(),
            appended: Notify::new(),
        });
        let server = Server::start(address, handle(&state)).await?;
        Ok(Self { server, state })
    }

    /// Returns the address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: LogFaults) {
        self.state.faults.set(faults);
    }

    /// Returns the remaining faults.
    pub fn faults(&self) -> LogFaults {
        self.state.faults.get()
    }

    /// Returns how many records were appended to a stream, including expired ones.
    pub fn appended_records(&self, stream: &str) -> u64 {
        lock(&self.state.streams).end(stream)
    }

    /// Stops accepting connections; open ones continue.
    pub fn stop(&self) {
        self.server.stop();
    }

    /// Closes the listener and all connections at once; keeps the records.
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
        (&Method::POST, ["streams", stream, "records"]) => append(&state, &call, stream).await,
        (&Method::GET, ["streams", stream, "records"]) => read(&state, &call, stream).await,
        _ => reply::empty(StatusCode::NOT_FOUND),
    }
}

enum AppendFault {
    None,
    DropAnswer,
    HangAnswer,
    Delay(Duration),
}

fn take_append_fault(faults: &mut LogFaults) -> AppendFault {
    if take_one(&mut faults.late_appends) {
        return AppendFault::Delay(Duration::from_millis(faults.late_by_ms));
    }
    if take_one(&mut faults.lose_append_answers) {
        return AppendFault::DropAnswer;
    }
    if take_one(&mut faults.hang_append_answers) {
        return AppendFault::HangAnswer;
    }
    AppendFault::None
}

async fn append(state: &Arc<State>, call: &Call, stream: &str) -> Response<Body> {
    let Ok(value) = String::from_utf8(call.body.to_vec()) else {
        return reply::empty(StatusCode::BAD_REQUEST);
    };
    let fault = state.faults.update(take_append_fault);
    if let AppendFault::Delay(delay) = fault {
        append_later(Arc::clone(state), stream.to_owned(), value, delay);
        return call.drop_connection().await;
    }
    let offset = state.append(stream, value);
    match fault {
        AppendFault::DropAnswer => call.drop_connection().await,
        AppendFault::HangAnswer => std::future::pending().await,
        AppendFault::None | AppendFault::Delay(_) => {
            reply::json(StatusCode::OK, &Appended { offset })
        }
    }
}

fn append_later(state: Arc<State>, stream: String, value: String, delay: Duration) {
    tokio::spawn(async move {
        tokio::time::sleep(delay).await;
        state.append(&stream, value);
    });
}

impl State {
    fn now_ms(&self) -> u64 {
        now_ms() + self.faults.get().clock_ahead_ms
    }

    fn append(&self, stream: &str, value: String) -> LogOffset {
        let now_ms = self.now_ms();
        let offset = lock(&self.streams).append(&self.config, stream, value, now_ms);
        self.appended.notify_waiters();
        offset
    }
}

async fn read(state: &State, call: &Call, stream: &str) -> Response<Body> {
    const DEFAULT_LIMIT: u64 = 1_000;
    let from = LogOffset::new(call.query_u64("from", 0));
    let limit = usize::try_from(call.query_u64("limit", DEFAULT_LIMIT)).unwrap_or(usize::MAX);
    let deadline = Instant::now() + Duration::from_millis(call.query_u64("wait_ms", 0));
    loop {
        let appended = state.appended.notified();
        tokio::pin!(appended);
        appended.as_mut().enable();
        let now_ms = state.now_ms();
        let page = lock(&state.streams).read(&state.config, stream, from, limit, now_ms);
        if !page.records.is_empty() || timeout_at(deadline, appended).await.is_err() {
            return reply::json(StatusCode::OK, &page);
        }
        if state.faults.get().down {
            return reply::empty(StatusCode::SERVICE_UNAVAILABLE);
        }
    }
}
