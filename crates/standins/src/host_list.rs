//! A stand-in for the platform's list of hosts, which lags.
//!
//! | call | answer |
//! |---|---|
//! | `GET /hosts` | the list as it was `lag_ms` ago |
//! | `POST /hosts` with an entry | 204; adds the entry or replaces the one of the same host |
//! | `POST /hosts/{host}/leaving` | 204; 404 if the host is not listed |
//! | `DELETE /hosts/{host}` | 204 |
//! | `GET /faults`, `POST /faults` with [`HostListFaults`] | the faults; 204 |
//! | `POST /kill` with [`Kill`](crate::server::Kill) | none |

use crate::clock::now_ms;
use crate::reply;
use crate::server::{Call, HandlerFn, Server};
use crate::switch::{Switch, lock};
use clients::wire::host_list::{HostEntry, HostList, HostState};
use futures_util::FutureExt;
use gotham::helpers::http::Body;
use http::{Method, Response, StatusCode};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The configuration of a host list.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct HostListConfig {
    /// The listen address; port 0 selects any free port.
    pub address: SocketAddr,
    /// The delay before a change becomes visible, in milliseconds.
    pub lag_ms: u64,
}

impl Default for HostListConfig {
    fn default() -> Self {
        Self { address: SocketAddr::from(([127, 0, 0, 1], 0)), lag_ms: 500 }
    }
}

/// The faults of a host list.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct HostListFaults {
    /// Whether every call is answered with 503.
    pub down: bool,
    /// Delay of every call, in milliseconds.
    pub delay_ms: u64,
    /// Whether changes stay invisible.
    pub frozen: bool,
}

struct State {
    lag_ms: u64,
    faults: Switch<HostListFaults>,
    history: Mutex<History>,
}

/// The current list, the visible one, and the changed lists that the lag still hides.
struct History {
    current: HostList,
    visible: HostList,
    hidden: VecDeque<HostList>,
}

/// A running host list.
pub struct HostListService {
    server: Arc<Server>,
    state: Arc<State>,
}

impl HostListService {
    /// Starts a host list whose initial entries are visible at once.
    ///
    /// # Errors
    ///
    /// Returns the error of binding the address.
    pub async fn start(config: HostListConfig, hosts: Vec<HostEntry>) -> io::Result<Self> {
        let initial = HostList { as_of_ms: now_ms(), hosts };
        let history =
            History { current: initial.clone(), visible: initial, hidden: VecDeque::default() };
        let state = Arc::new(State {
            lag_ms: config.lag_ms,
            faults: Switch::default(),
            history: Mutex::new(history),
        });
        let server = Server::start(config.address, handle(&state)).await?;
        Ok(Self { server, state })
    }

    /// Returns the address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: HostListFaults) {
        self.state.faults.set(faults);
    }

    /// Adds an entry, or replaces the one of the same host; visible after the lag.
    pub fn put(&self, entry: HostEntry) {
        self.state.put(entry);
    }

    /// Marks a host as leaving; visible after the lag. Returns whether the host is listed.
    pub fn set_leaving(&self, host: &str) -> bool {
        self.state.set_leaving(host)
    }

    /// Removes a host; visible after the lag.
    pub fn remove(&self, host: &str) {
        self.state.remove(host);
    }

    /// Closes the listener and all connections at once; keeps the entries.
    pub fn kill(&self) {
        self.server.kill();
    }

    /// Stops accepting connections; open ones continue.
    pub fn stop(&self) {
        self.server.stop();
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

impl State {
    fn change(&self, change: impl FnOnce(&mut Vec<HostEntry>)) {
        let mut history = lock(&self.history);
        change(&mut history.current.hosts);
        history.current.as_of_ms = now_ms();
        let changed = history.current.clone();
        history.hidden.push_back(changed);
    }

    fn put(&self, entry: HostEntry) {
        self.change(|hosts| {
            hosts.retain(|old| old.host != entry.host);
            hosts.push(entry);
        });
    }

    fn remove(&self, host: &str) {
        self.change(|hosts| hosts.retain(|old| old.host.as_str() != host));
    }

    fn set_leaving(&self, host: &str) -> bool {
        let mut found = false;
        self.change(|hosts| {
            for entry in hosts.iter_mut().filter(|entry| entry.host.as_str() == host) {
                entry.state = HostState::Leaving;
                found = true;
            }
        });
        found
    }

    fn visible(&self) -> HostList {
        let frozen = self.faults.get().frozen;
        let as_of_ms = now_ms().saturating_sub(self.lag_ms);
        let mut history = lock(&self.history);
        if frozen {
            return history.visible.clone();
        }
        while history.hidden.front().is_some_and(|next| next.as_of_ms <= as_of_ms) {
            if let Some(next) = history.hidden.pop_front() {
                history.visible = next;
            }
        }
        history.visible.as_of_ms = history.visible.as_of_ms.max(as_of_ms);
        history.visible.clone()
    }
}

fn handle(state: &Arc<State>) -> HandlerFn {
    let state = Arc::clone(state);
    Arc::new(move |call| answer(Arc::clone(&state), call).boxed())
}

async fn answer(state: Arc<State>, call: Call) -> Response<Body> {
    match (&call.method, call.segments().as_slice()) {
        (_, ["faults"]) => state.faults.answer(&call),
        (&Method::POST, ["kill"]) => call.kill_server().await,
        (&Method::GET, ["hosts"]) => list(&state).await,
        (&Method::POST, ["hosts"]) => change(&call, |entry| state.put(entry)),
        (&Method::POST, ["hosts", host, "leaving"]) => {
            if state.set_leaving(host) {
                reply::empty(StatusCode::NO_CONTENT)
            } else {
                reply::empty(StatusCode::NOT_FOUND)
            }
        }
        (&Method::DELETE, ["hosts", host]) => {
            state.remove(host);
            reply::empty(StatusCode::NO_CONTENT)
        }
        _ => reply::empty(StatusCode::NOT_FOUND),
    }
}

fn change<T: serde::de::DeserializeOwned>(call: &Call, apply: impl FnOnce(T)) -> Response<Body> {
    match call.json() {
        Ok(value) => {
            apply(value);
            reply::empty(StatusCode::NO_CONTENT)
        }
        Err(response) => *response,
    }
}

async fn list(state: &State) -> Response<Body> {
    let faults = state.faults.get();
    if faults.delay_ms > 0 {
        tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
    }
    if faults.down {
        return reply::empty(StatusCode::SERVICE_UNAVAILABLE);
    }
    reply::json(StatusCode::OK, &state.visible())
}
