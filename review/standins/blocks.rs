//! A stand-in for a store of kept KV cache that is `managed`: it drops nothing on its own and does not
//! know who reads from it.

use crate::engine::{MODEL, unix_ms};
use crate::http::{self, Request};
use crate::map;
use crate::msgpack::Value;
use crate::record::Record;
use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

pub type Key = (String, String);

#[derive(Clone, Debug)]
struct Part {
    tokens: u64,
    is_complete: bool,
    /// Distinguishes a part from one that was freed and saved again.
    serial: u64,
}

#[derive(Default)]
struct State {
    boot_epoch: u64,
    serial: u64,
    parts: HashMap<Key, Part>,
    events: Vec<(u64, bool, Key, u64)>,
    freed: u64,
}

/// What a fetch read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fetched {
    /// The store does not have the part.
    Missing,
    Whole,
    /// The part was being written when the fetch began.
    Incomplete,
    /// The part was freed, or the store restarted, before the fetch ended.
    Freed,
    /// The fetch did not end in time and was thrown away.
    ThrownAway,
}

pub struct BlockStore {
    pub name: &'static str,
    pub zone: &'static str,
    pub address: SocketAddr,
    link_mbps: f64,
    first_ms: f64,
    capacity_tokens: u64,
    state: Mutex<State>,
    changed: Condvar,
    /// When the link is free: transfers run one after another.
    free_at: Mutex<Instant>,
    record: Record,
}

impl BlockStore {
    pub fn start(
        name: &'static str,
        zone: &'static str,
        (link_mbps, first_ms): (f64, f64),
        capacity_tokens: u64,
        record: &Record,
    ) -> io::Result<Arc<Self>> {
        let cell: Arc<Mutex<Option<Arc<BlockStore>>>> = Arc::default();
        let handler = Arc::clone(&cell);
        let address = http::listen("127.0.0.1:0", move |stream, request| {
            let store = handler.lock().unwrap().clone();
            store.is_some_and(|store| store.answer(stream, &request))
        })?;
        let state = State { boot_epoch: unix_ms(), ..State::default() };
        let store = Arc::new(BlockStore {
            name,
            zone,
            address,
            link_mbps,
            first_ms,
            capacity_tokens,
            state: Mutex::new(state),
            changed: Condvar::new(),
            free_at: Mutex::new(Instant::now()),
            record: record.clone(),
        });
        *cell.lock().unwrap() = Some(Arc::clone(&store));
        Ok(store)
    }

    /// The service of the desired state.
    pub fn service(&self) -> Value {
        map! {
            "name": self.name, "kvStoreAddr": self.address.to_string(), "zone": self.zone,
            "kvCapacity": self.capacity_tokens, "linkMbps": self.link_mbps, "maxInflight": 12,
            "managed": true, "first_ms": self.first_ms,
        }
    }

    pub fn freed(&self) -> u64 {
        self.state.lock().unwrap().freed
    }

    /// Queues a transfer behind the others on the link; returns when it ends, and `None` if it would
    /// wait for more than two seconds.
    fn queue(&self, tokens: u64, zone: &str) -> Option<Instant> {
        const MAX_WAIT: Duration = Duration::from_secs(2);
        let now = Instant::now();
        let mut free_at = self.free_at.lock().unwrap();
        let start = (*free_at).max(now);
        if start > now + MAX_WAIT {
            return None;
        }
        *free_at = start + Duration::from_millis(self.transfer_ms(tokens, zone));
        Some(*free_at)
    }

    fn transfer_ms(&self, tokens: u64, zone: &str) -> u64 {
        const TOKEN_BYTES: f64 = 18_432.0;
        let ms = self.first_ms + tokens as f64 * TOKEN_BYTES * 8.0 / (self.link_mbps * 1_000.0);
        let distance = if zone == self.zone { 1.0 } else { 2.0 };
        (ms * distance).ceil() as u64
    }

    /// Fetches a part for a server in a zone whose moves take some times as long; takes as long as the
    /// transfer.
    pub fn fetch(&self, key: &Key, (zone, slowness): (&str, f64), until_ms: u64) -> Fetched {
        let (serial, epoch, tokens) = {
            let state = self.state.lock().unwrap();
            let Some(part) = state.parts.get(key) else {
                return Fetched::Missing;
            };
            if !part.is_complete {
                return Fetched::Incomplete;
            }
            (part.serial, state.boot_epoch, part.tokens)
        };
        let Some(ends_at) = self.queue(tokens, zone) else { return Fetched::ThrownAway };
        let more_ms = (slowness - 1.0) * self.transfer_ms(tokens, zone) as f64;
        let took = ends_at.saturating_duration_since(Instant::now())
            + Duration::from_millis(more_ms as u64);
        let left = Duration::from_millis(until_ms.saturating_sub(unix_ms()));
        std::thread::sleep(took.min(left));
        if left < took {
            return Fetched::ThrownAway;
        }
        let state = self.state.lock().unwrap();
        let is_held = state.boot_epoch == epoch
            && state.parts.get(key).is_some_and(|part| part.serial == serial);
        if is_held { Fetched::Whole } else { Fetched::Freed }
    }

    /// Saves a part that a server has read; reserves its place at once.
    pub fn save(self: &Arc<Self>, key: &Key, tokens: u64, zone: &str) {
        let (serial, epoch) = {
            let mut state = self.state.lock().unwrap();
            let used: u64 = state.parts.values().map(|part| part.tokens).sum();
            if used + tokens > self.capacity_tokens || state.parts.contains_key(key) {
                return;
            }
            state.serial += 1;
            let serial = state.serial;
            state.parts.insert(key.clone(), Part { tokens, is_complete: false, serial });
            (serial, state.boot_epoch)
        };
        let (store, key) = (Arc::clone(self), key.clone());
        let ends_at = self.queue(tokens, zone);
        std::thread::spawn(move || {
            // One that is not started breaks off.
            let Some(ends_at) = ends_at else { return };
            std::thread::sleep(ends_at.saturating_duration_since(Instant::now()));
            let mut state = store.state.lock().unwrap();
            let is_same = state.boot_epoch == epoch;
            let Some(part) = state.parts.get_mut(&key).filter(|part| part.serial == serial) else {
                return;
            };
            if is_same {
                part.is_complete = true;
                let number = state.events.len() as u64 + 1;
                state.events.push((number, true, key, tokens));
                store.changed.notify_all();
            }
        });
    }

    fn answer(&self, stream: &mut TcpStream, request: &Request) -> bool {
        let (status, body) = match request.path() {
            "/camphorward/kv-events" => self.events(request),
            "/camphorward/kv-list" => self.list(),
            "/camphorward/kv-free" => self.free(request),
            _ => (404, Value::Nil),
        };
        let headers = [("Content-Type", "application/msgpack"), ("Keep-Alive", "timeout=5")];
        http::write_answer(stream, status, &headers, &body.encode()).is_ok()
    }

    fn events(&self, request: &Request) -> (u16, Value) {
        let since: u64 = request.query("since").parse().unwrap_or(0);
        let wait_ms: u64 = request.header("wait-ms").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait_ms.min(1_000));
        let mut state = self.state.lock().unwrap();
        while state.events.len() as u64 <= since {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
        let new = state.events.iter().filter(|(number, ..)| *number > since);
        let events = new.map(|(number, is_stored, (salt, id), tokens)| {
            Value::List(vec![
                (*number).into(),
                if *is_stored { "+" } else { "-" }.into(),
                salt.clone().into(),
                id.clone().into(),
                if *is_stored { *tokens } else { 0 }.into(),
                MODEL.into(),
            ])
        });
        let events: Vec<Value> = events.collect();
        let body = map! {
            "bootEpoch": state.boot_epoch, "nextPageToken": state.events.len(), "lost": false,
            "events": events, "clock_ms": unix_ms(),
        };
        (200, body)
    }

    fn list(&self) -> (u16, Value) {
        let state = self.state.lock().unwrap();
        let complete = state.parts.iter().filter(|(_, part)| part.is_complete);
        let held = complete.map(|((salt, id), part)| {
            Value::List(vec![
                salt.clone().into(),
                id.clone().into(),
                part.tokens.into(),
                MODEL.into(),
            ])
        });
        let held: Vec<Value> = held.collect();
        let body = map! {
            "bootEpoch": state.boot_epoch, "nextPageToken": state.events.len(), "held": held,
        };
        (200, body)
    }

    fn free(&self, request: &Request) -> (u16, Value) {
        let order = Value::decode(&request.body).unwrap_or(Value::Nil);
        let mut state = self.state.lock().unwrap();
        let has_other_epoch =
            order.get("bootEpoch").int().is_some_and(|epoch| epoch as u64 != state.boot_epoch);
        let is_late = order.get("until_ms").int().is_some_and(|until| unix_ms() > until as u64);
        if has_other_epoch || is_late {
            return (409, Value::Nil);
        }
        let parts = order.get("parts").list();
        for part in parts {
            let [salt, id] = part.list() else { continue };
            let key = (salt.text().to_owned(), id.text().to_owned());
            if state.parts.remove(&key).is_some() {
                let number = state.events.len() as u64 + 1;
                state.events.push((number, false, key, 0));
                state.freed += 1;
            }
        }
        self.changed.notify_all();
        self.record.line(&format!("{} frees {} parts", self.name, parts.len()));
        (200, Value::Nil)
    }
}
