//! A stand-in for servers that run a model, with KV cache, stores to fetch from and orders to load
//! new weights.

use crate::blocks::{BlockStore, Fetched, Key};
use crate::engine::{MODEL, unix_ms};
use crate::http::{self, Request};
use crate::map;
use crate::msgpack::Value;
use crate::record::Record;
use crate::store::Store;
use std::collections::VecDeque;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Prompt tokens that are read in a millisecond.
const TOKENS_PER_MS: u64 = 55;
/// The tokens that a server's memory holds.
const MEMORY_TOKENS: u64 = 79_874;
/// How long new weights take.
const LOAD_TIME: Duration = Duration::from_millis(760);
const EVENTS: u64 = 64;
/// A step of a busy server.
const EVENT_GAP: Duration = Duration::from_millis(8);

struct State {
    version: i64,
    sequence: u64,
    heartbeats: u64,
    is_busy: bool,
    running: usize,
    /// The parts in memory, the least recently used first.
    memory: VecDeque<(Key, u64)>,
    has_ended: bool,
    /// Moves of memory take this many times as long.
    slowness: f64,
}

/// A fetch that took what was not whole.
#[derive(Clone, Debug)]
pub struct BadFetch {
    pub attempt: String,
    pub key: Key,
    pub what: Fetched,
}

pub struct ModelServer {
    pub id: String,
    zone: &'static str,
    address: SocketAddr,
    born: u64,
    state: Mutex<State>,
    store: Store,
    block_stores: Vec<Arc<BlockStore>>,
    pub bad_fetches: Mutex<Vec<BadFetch>>,
    pub fetches: Mutex<u64>,
    record: Record,
}

impl ModelServer {
    pub fn start(
        id: &str,
        zone: &'static str,
        store: &Store,
        block_stores: &[Arc<BlockStore>],
        record: &Record,
    ) -> io::Result<Arc<Self>> {
        let cell: Arc<Mutex<Option<Arc<ModelServer>>>> = Arc::default();
        let handler = Arc::clone(&cell);
        let address = http::listen("127.0.0.1:0", move |stream, request| {
            let server = handler.lock().unwrap().clone();
            server.is_some_and(|server| server.answer(stream, &request))
        })?;
        let server = Arc::new(ModelServer {
            id: id.to_owned(),
            zone,
            address,
            born: unix_ms(),
            state: Mutex::new(State {
                version: 1,
                sequence: 0,
                heartbeats: 0,
                is_busy: false,
                running: 0,
                memory: VecDeque::new(),
                has_ended: false,
                slowness: 1.0,
            }),
            store: store.clone(),
            block_stores: block_stores.to_vec(),
            bad_fetches: Mutex::default(),
            fetches: Mutex::default(),
            record: record.clone(),
        });
        *cell.lock().unwrap() = Some(Arc::clone(&server));
        let beating = Arc::clone(&server);
        beating.write_entry();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(1_200));
                if beating.state.lock().unwrap().has_ended {
                    return;
                }
                beating.write_entry();
            }
        });
        Ok(server)
    }

    pub fn end(&self) {
        self.state.lock().unwrap().has_ended = true;
    }

    pub fn set_slowness(&self, times: f64) {
        self.state.lock().unwrap().slowness = times;
        self.record.line(&format!("moves of memory at {} take {times} times as long", self.id));
    }

    pub fn version(&self) -> i64 {
        self.state.lock().unwrap().version
    }

    fn write_entry(&self) {
        let mut state = self.state.lock().unwrap();
        state.heartbeats += 1;
        let adapters: Vec<Value> = Vec::new();
        let models = vec![map! { "name": MODEL, "version": state.version, "adapters": adapters }];
        let entry = map! {
            "service": "mokume", "address": self.address.to_string(), "zone": self.zone,
            "version": "v1", "slots": 64, "state": "ready", "coldRemainingMs": 0,
            "phase": "prefill_decode", "models": models, "sequence": state.heartbeats,
            "born": self.born,
        };
        self.store.put("keyed.servers", &self.id, &entry);
    }

    fn answer(self: &Arc<Self>, stream: &mut TcpStream, request: &Request) -> bool {
        let attempt = request.header("x-attempt-id").to_owned();
        let mut headers = vec![("X-Instance-Id", self.id.as_str()), ("Keep-Alive", "timeout=5")];
        if !attempt.is_empty() {
            headers.push(("X-Attempt-Id", &attempt));
        }
        let expected = request.header("x-expect-instance");
        if !expected.is_empty() && expected != self.id {
            headers.push(("X-Not-Executed", "1"));
            return http::write_answer(stream, 421, &headers, b"").is_ok();
        }
        match request.path() {
            "/health" => http::write_answer(stream, 200, &headers, b"").is_ok(),
            "/camphorward/report" => {
                let report = self.report();
                http::write_answer(stream, 200, &headers, &report.encode()).is_ok()
            }
            "/camphorward/order" => {
                let status = self.order(&request.body);
                http::write_answer(stream, status, &headers, b"").is_ok()
            }
            // What its memory holds is not told, as if all events were late.
            "/camphorward/kv-events" => {
                let wait_ms: u64 = request.header("wait-ms").parse().unwrap_or(0);
                std::thread::sleep(Duration::from_millis(wait_ms));
                let events: Vec<Value> = Vec::new();
                let body = map! {
                    "bootEpoch": self.born, "nextPageToken": 0, "lost": false, "events": events,
                    "clock_ms": unix_ms(),
                };
                http::write_answer(stream, 200, &headers, &body.encode()).is_ok()
            }
            _ if attempt.is_empty() => http::write_answer(stream, 400, &headers, b"").is_ok(),
            _ => self.run(stream, request, &headers).is_ok(),
        }
    }

    fn report(&self) -> Value {
        let state = self.state.lock().unwrap();
        let adapters: Vec<Value> = Vec::new();
        let models = vec![map! { "name": MODEL, "version": state.version, "adapters": adapters }];
        map! {
            "phase": "prefill_decode", "models": models, "busy": state.is_busy,
            "sequence": state.sequence, "waiting": 0, "running": state.running, "kvUsed": 0,
            "kvTotal": MEMORY_TOKENS, "handles": 0, "born": self.born, "clock_ms": unix_ms(),
        }
    }

    /// Takes an order to load new weights; runs finish first.
    fn order(self: &Arc<Self>, body: &[u8]) -> u16 {
        let order = Value::decode(body).unwrap_or(Value::Nil);
        let mut state = self.state.lock().unwrap();
        let Some(version) = order.get("version").int() else { return 400 };
        if state.version >= version {
            return 200;
        }
        let expects_other =
            order.get("expect").int().is_some_and(|expect| expect as u64 != state.sequence);
        if state.is_busy || expects_other {
            return 409;
        }
        state.is_busy = true;
        state.sequence += 1;
        let holder = order.get("holder").text();
        self.record.line(&format!("server {} takes version {version} from {holder}", self.id));
        let server = Arc::clone(self);
        std::thread::spawn(move || {
            while server.state.lock().unwrap().running > 0 {
                std::thread::sleep(Duration::from_millis(5));
            }
            std::thread::sleep(LOAD_TIME);
            {
                let mut state = server.state.lock().unwrap();
                state.version = version;
                state.memory.clear();
                state.is_busy = false;
            }
            server.record.line(&format!("server {} has version {version}", server.id));
            server.write_entry();
        });
        202
    }

    fn run(
        self: &Arc<Self>,
        stream: &mut TcpStream,
        request: &Request,
        headers: &[(&str, &str)],
    ) -> io::Result<()> {
        let version = {
            let mut state = self.state.lock().unwrap();
            let expected = request.header("x-expect-version");
            let refusal = if state.is_busy {
                Some(503)
            } else {
                expected.parse().is_ok_and(|wanted: i64| wanted != state.version).then_some(421)
            };
            if let Some(status) = refusal {
                drop(state);
                let mut headers = headers.to_vec();
                headers.push(("X-Not-Executed", "1"));
                return http::write_answer(stream, status, &headers, b"");
            }
            state.running += 1;
            state.version
        };
        let result = self.prefill_and_stream(stream, request, headers, version);
        self.state.lock().unwrap().running -= 1;
        result
    }

    fn prefill_and_stream(
        &self,
        stream: &mut TcpStream,
        request: &Request,
        headers: &[(&str, &str)],
        version: i64,
    ) -> io::Result<()> {
        let attempt = request.header("x-attempt-id");
        self.prefill(request);
        let mut head = http::head(200, headers);
        head.push_str(&format!(
            "X-Server-Seal: {}.{attempt}\r\nX-Weight-Versions: {version}\r\n\
             X-Server-Load: 1,0,64\r\nContent-Type: text/event-stream\r\n\
             Transfer-Encoding: chunked\r\n\r\n",
            self.id
        ));
        stream.write_all(head.as_bytes())?;
        for event in 1..=EVENTS {
            http::write_chunk(stream, format!("id: {event}\ndata: {event}\n\n").as_bytes())?;
            std::thread::sleep(EVENT_GAP);
        }
        http::write_chunk(stream, b"")
    }

    /// Reads the prompt: from memory, from a store, or anew.
    fn prefill(&self, request: &Request) {
        let attempt = request.header("x-attempt-id");
        let salt = request.header("x-cache-salt");
        let until_ms: u64 = request.header("x-kv-until").parse().unwrap_or(u64::MAX);
        let addresses = |name| request.header(name).split(',').map(str::to_owned);
        let fetch: Vec<String> = addresses("x-kv-fetch").collect();
        let save: Vec<String> = addresses("x-kv-save").collect();
        let parts: Vec<&str> = request.header("x-prompt-prefix").split(',').collect();
        let mut has_prefix = true;
        for (index, part) in parts.iter().enumerate() {
            let Some((id, tokens)) = part.split_once(':') else { continue };
            let tokens: u64 = tokens.parse().unwrap_or(0);
            let key: Key = (salt.to_owned(), id.to_owned());
            let is_last = index + 1 == parts.len();
            if has_prefix && self.uses_memory(&key) {
                continue;
            }
            let source = fetch.get(index).and_then(|address| self.block_store(address));
            let mut is_read = false;
            if let Some(source) = source.filter(|_| has_prefix) {
                let slowness = self.state.lock().unwrap().slowness;
                let fetched = source.fetch(&key, (self.zone, slowness), until_ms);
                *self.fetches.lock().unwrap() += 1;
                self.record.line(&format!(
                    "server {} fetches {id} under {salt} for {attempt}: {fetched:?}",
                    self.id
                ));
                is_read = !matches!(fetched, Fetched::Missing | Fetched::ThrownAway);
                if matches!(fetched, Fetched::Incomplete | Fetched::Freed) {
                    let bad =
                        BadFetch { attempt: attempt.to_owned(), key: key.clone(), what: fetched };
                    self.bad_fetches.lock().unwrap().push(bad);
                }
            }
            if !is_read {
                std::thread::sleep(Duration::from_millis(tokens / TOKENS_PER_MS));
                has_prefix &= !is_last;
            }
            if is_last {
                continue;
            }
            self.keep(key.clone(), tokens);
            let target = save.get(index).and_then(|address| self.block_store(address));
            if let Some(target) = target {
                self.record.line(&format!("server {} saves {id} under {salt}", self.id));
                target.save(&key, tokens, self.zone);
            }
        }
    }

    fn block_store(&self, address: &str) -> Option<&Arc<BlockStore>> {
        let address = address.split('/').next()?;
        self.block_stores.iter().find(|store| store.address.to_string() == address)
    }

    fn uses_memory(&self, key: &Key) -> bool {
        let mut state = self.state.lock().unwrap();
        let Some(index) = state.memory.iter().position(|(held, _)| held == key) else {
            return false;
        };
        if let Some(part) = state.memory.remove(index) {
            state.memory.push_back(part);
        }
        true
    }

    fn keep(&self, key: Key, tokens: u64) {
        let mut state = self.state.lock().unwrap();
        state.memory.push_back((key, tokens));
        while state.memory.iter().map(|(_, tokens)| tokens).sum::<u64>() > MEMORY_TOKENS {
            state.memory.pop_front();
        }
    }
}
