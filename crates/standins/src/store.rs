//! A stand-in for a store host.
//!
//! Besides the calls of `clients::wire::store` it answers `GET /faults` and `POST /faults` with
//! [`StoreFaults`], `GET /counters` with [`StoreCounters`], and `POST /kill` with
//! [`Kill`](crate::server::Kill).

mod blocks;

use crate::clock::now_ms;
use crate::reply;
use crate::server::{Call, HandlerFn, HandlerResult, Server};
use crate::switch::{Switch, lock};
use blocks::{Blocks, WriteError};
use clients::wire::store::{BlockStatus, Commit, Extend, Lookup, LookupAnswer};
use futures_util::FutureExt;
use gotham::helpers::http::Body;
use http::{Method, Response, StatusCode};
use serde::{Deserialize, Serialize};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The configuration of a store host.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreConfig {
    /// The listen address; port 0 selects any free port.
    pub address: SocketAddr,
    /// The capacity of the host, in bytes.
    pub capacity_bytes: u64,
}

impl Default for StoreConfig {
    fn default() -> Self {
        Self { address: SocketAddr::from(([127, 0, 0, 1], 0)), capacity_bytes: 256 << 20 }
    }
}

/// The faults of a store host.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreFaults {
    /// Whether every call is answered with 503.
    pub down: bool,
    /// Delay of every call, in milliseconds.
    pub delay_ms: u64,
    /// Whether writes are refused with 507.
    pub full: bool,
    /// How blocks are damaged when they are read.
    pub reads: ReadFault,
    /// Offset by which the host's clock is ahead, in milliseconds.
    pub clock_ahead_ms: u64,
}

/// How blocks are damaged when they are read.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ReadFault {
    /// Blocks are not damaged.
    #[default]
    None,
    /// The second half is missing.
    Truncated,
    /// Another block's bytes are served.
    Swapped,
    /// The second half is zeroed.
    HalfWritten,
    /// All bytes are zeroed.
    Zeroed,
    /// The block is not found.
    Freed,
}

/// The counters of a store host.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct StoreCounters {
    /// The number of committed blocks that have not expired.
    pub blocks: u64,
    /// The bytes of all stored blocks and uncommitted writes.
    pub held_bytes: u64,
    /// The bytes that were written.
    pub written_bytes: u64,
    /// The bytes that were read.
    pub read_bytes: u64,
    /// The number of writes that were refused because the host was full.
    pub full_refusals: u64,
}

struct State {
    capacity_bytes: u64,
    faults: Switch<StoreFaults>,
    blocks: Mutex<Blocks>,
    counters: Mutex<StoreCounters>,
}

/// A running store host.
pub struct StoreHost {
    server: Arc<Server>,
    state: Arc<State>,
}

impl StoreHost {
    /// Starts the host.
    ///
    /// # Errors
    ///
    /// Returns the error of binding the address.
    pub async fn start(config: StoreConfig) -> io::Result<Self> {
        let state = Arc::new(State {
            capacity_bytes: config.capacity_bytes,
            faults: Switch::default(),
            blocks: Mutex::default(),
            counters: Mutex::default(),
        });
        let server = Server::start(config.address, handle(&state)).await?;
        Ok(Self { server, state })
    }

    /// Returns the address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: StoreFaults) {
        self.state.faults.set(faults);
    }

    /// Returns the counters.
    pub fn counters(&self) -> StoreCounters {
        self.state.counters()
    }

    /// Stops accepting connections; open ones continue.
    pub fn stop(&self) {
        self.server.stop();
    }

    /// Closes the listener and all connections at once, and drops all blocks.
    pub fn kill(&self) {
        self.server.kill();
        *lock(&self.state.blocks) = Blocks::default();
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
        ["kill"] => {
            *lock(&state.blocks) = Blocks::default();
            return call.kill_server().await;
        }
        ["counters"] => return reply::json(StatusCode::OK, &state.counters()),
        _ => {}
    }
    let faults = state.faults.get();
    if faults.delay_ms > 0 {
        tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
    }
    if faults.down {
        return reply::empty(StatusCode::SERVICE_UNAVAILABLE);
    }
    let result = match (&call.method, segments.as_slice()) {
        (&Method::PUT, ["blocks", name, "writes", attempt]) => state.write(&call, name, attempt),
        (&Method::POST, ["blocks", "lookup"]) => state.lookup(&call),
        (&Method::POST, ["blocks", name, "commit"]) => state.commit(&call, name),
        (&Method::POST, ["blocks", name, "extend"]) => state.extend(&call, name),
        (&Method::GET, ["blocks", name]) => Ok(state.read(name, faults.reads)),
        _ => Ok(reply::empty(StatusCode::NOT_FOUND)),
    };
    result.unwrap_or_else(|response| *response)
}

impl State {
    fn now_ms(&self) -> u64 {
        now_ms() + self.faults.get().clock_ahead_ms
    }

    fn counters(&self) -> StoreCounters {
        let mut blocks = lock(&self.blocks);
        blocks.expire(self.now_ms());
        let mut counters = lock(&self.counters).clone();
        counters.blocks = blocks.committed();
        counters.held_bytes = blocks.held_bytes();
        counters
    }

    fn write(&self, call: &Call, name: &str, attempt: &str) -> HandlerResult {
        let mut blocks = lock(&self.blocks);
        blocks.expire(self.now_ms());
        let written_bytes = call.body.len() as u64;
        let is_full = blocks.held_bytes() + written_bytes > self.capacity_bytes;
        if is_full || self.faults.get().full {
            lock(&self.counters).full_refusals += 1;
            return Err(Box::new(reply::empty(StatusCode::INSUFFICIENT_STORAGE)));
        }
        blocks.write(name, attempt, call.body.clone());
        lock(&self.counters).written_bytes += written_bytes;
        Ok(reply::empty(StatusCode::NO_CONTENT))
    }

    fn commit(&self, call: &Call, name: &str) -> HandlerResult {
        let commit: Commit = call.json()?;
        let now_ms = self.now_ms();
        let mut blocks = lock(&self.blocks);
        blocks.expire(now_ms);
        match blocks.commit(name, &commit, now_ms) {
            Ok(status) => Ok(reply::json(StatusCode::OK, &status)),
            Err(WriteError::Committed) => Err(Box::new(reply::empty(StatusCode::CONFLICT))),
            Err(WriteError::Mismatch) => {
                Err(Box::new(reply::empty(StatusCode::UNPROCESSABLE_ENTITY)))
            }
        }
    }

    fn extend(&self, call: &Call, name: &str) -> HandlerResult {
        let extend: Extend = call.json()?;
        let now_ms = self.now_ms();
        let mut blocks = lock(&self.blocks);
        blocks.expire(now_ms);
        let status = blocks.extend(name, extend.expires_in_ms, now_ms);
        Ok(status.map_or_else(
            || reply::empty(StatusCode::NOT_FOUND),
            |status| reply::json(StatusCode::OK, &status),
        ))
    }

    fn lookup(&self, call: &Call) -> HandlerResult {
        let lookup: Lookup = call.json()?;
        let now_ms = self.now_ms();
        let mut blocks = lock(&self.blocks);
        blocks.expire(now_ms);
        let found = lookup.names.iter().filter_map(|name| blocks.status(name, now_ms));
        let found: Vec<BlockStatus> = found.collect();
        Ok(reply::json(StatusCode::OK, &LookupAnswer { blocks: found }))
    }

    fn read(&self, name: &str, fault: ReadFault) -> Response<Body> {
        let mut blocks = lock(&self.blocks);
        blocks.expire(self.now_ms());
        let Some(bytes) = blocks.read(name, fault) else {
            return reply::empty(StatusCode::NOT_FOUND);
        };
        lock(&self.counters).read_bytes += bytes.len() as u64;
        reply::with_bytes(StatusCode::OK, bytes)
    }
}
