//! A stand-in for servers that run a model and answer with streams of events.

use crate::http::{self, Request};
use crate::map;
use crate::msgpack::Value;
use crate::record::Record;
use crate::store::Store;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

pub const MODEL: &str = "daka510000";

/// A run of a request, as the server saw it.
#[derive(Clone, Debug)]
pub struct Run {
    pub attempt: String,
    pub path: String,
    /// The event after which it went on; 0 for a new stream.
    pub after: u64,
}

pub struct Engine {
    pub id: String,
    pub zone: &'static str,
    pub software: &'static str,
    pub address: SocketAddr,
    born: u64,
    heartbeats: AtomicU64,
    is_draining: AtomicBool,
    has_ended: AtomicBool,
    pub runs: Mutex<Vec<Run>>,
    events: u64,
    event_gap: Duration,
    record: Record,
    connections: Mutex<Vec<TcpStream>>,
}

impl Engine {
    /// Starts a server whose streams have some events; its entry is written from then on.
    pub fn start(
        id: &str,
        zone: &'static str,
        software: &'static str,
        (events, event_gap): (u64, Duration),
        store: &Store,
        record: &Record,
    ) -> io::Result<Arc<Self>> {
        let cell: Arc<Mutex<Option<Arc<Engine>>>> = Arc::default();
        let handler = Arc::clone(&cell);
        let address = http::listen("127.0.0.1:0", move |stream, request| {
            let engine = handler.lock().unwrap().clone();
            engine.is_some_and(|engine| engine.answer(stream, &request))
        })?;
        let engine = Arc::new(Engine {
            id: id.to_owned(),
            zone,
            software,
            address,
            born: unix_ms(),
            heartbeats: AtomicU64::new(0),
            is_draining: AtomicBool::new(false),
            has_ended: AtomicBool::new(false),
            runs: Mutex::default(),
            events,
            event_gap,
            record: record.clone(),
            connections: Mutex::default(),
        });
        *cell.lock().unwrap() = Some(Arc::clone(&engine));
        engine.write_entry(store);
        let (beating, store) = (Arc::clone(&engine), store.clone());
        std::thread::spawn(move || {
            while !beating.has_ended.load(Ordering::Relaxed) {
                std::thread::sleep(Duration::from_millis(1_200));
                if !beating.has_ended.load(Ordering::Relaxed) {
                    beating.write_entry(&store);
                }
            }
        });
        Ok(engine)
    }

    fn write_entry(&self, store: &Store) {
        let sequence = self.heartbeats.fetch_add(1, Ordering::Relaxed) + 1;
        let state = if self.is_draining.load(Ordering::Relaxed) { "draining" } else { "ready" };
        let adapters: Vec<Value> = Vec::new();
        let entry = map! {
            "service": "mokume", "address": self.address.to_string(), "zone": self.zone,
            "version": self.software, "slots": 64, "state": state, "coldRemainingMs": 0,
            "phase": "prefill_decode",
            "models": vec![map! { "name": MODEL, "version": 1, "adapters": adapters }],
            "sequence": sequence, "born": self.born,
        };
        store.put("keyed.servers", &self.id, &entry);
    }

    /// Reports that it drains; its answers say so too from then on.
    pub fn drain(&self, store: &Store) {
        self.is_draining.store(true, Ordering::Relaxed);
        self.write_entry(store);
        self.record.line(&format!("server {} ({}) reports draining", self.id, self.software));
    }

    /// Ends after a drain: its entry is removed, and what still runs is cut.
    pub fn end(&self, store: &Store) {
        self.has_ended.store(true, Ordering::Relaxed);
        store.append("keyed.servers", &self.id, b"");
        for connection in self.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        self.record.line(&format!("server {} has left", self.id));
    }

    fn answer(&self, stream: &mut TcpStream, request: &Request) -> bool {
        if self.has_ended.load(Ordering::Relaxed) {
            return false;
        }
        let attempt = request.header("x-attempt-id");
        let leaving = self.is_draining.load(Ordering::Relaxed);
        let mut headers = vec![("X-Instance-Id", self.id.as_str()), ("Keep-Alive", "timeout=5")];
        if leaving {
            headers.push(("Server-Leaving", "1"));
        }
        if !attempt.is_empty() {
            headers.push(("X-Attempt-Id", attempt));
        }
        let expected = request.header("x-expect-instance");
        let version = request.header("x-expect-version");
        if (!expected.is_empty() && expected != self.id) || (!version.is_empty() && version != "1")
        {
            headers.push(("X-Not-Executed", "1"));
            return http::write_answer(stream, 421, &headers, b"").is_ok();
        }
        match request.path() {
            "/health" => {
                let status = if leaving { 503 } else { 200 };
                http::write_answer(stream, status, &headers, b"").is_ok()
            }
            "/camphorward/report" => {
                let adapters: Vec<Value> = Vec::new();
                let report = map! {
                    "phase": "prefill_decode",
                    "models": vec![map! { "name": MODEL, "version": 1, "adapters": adapters }],
                    "busy": false, "sequence": 0, "waiting": 0, "running": 0, "kvUsed": 0,
                    "kvTotal": 79874, "handles": 0, "born": self.born, "clock_ms": unix_ms(),
                };
                http::write_answer(stream, 200, &headers, &report.encode()).is_ok()
            }
            "/camphorward/kv-events" => {
                let wait_ms = request.header("wait-ms").parse().unwrap_or(0);
                std::thread::sleep(Duration::from_millis(wait_ms));
                let events: Vec<Value> = Vec::new();
                let body = map! {
                    "bootEpoch": self.born, "nextPageToken": 0, "lost": false, "events": events,
                    "clock_ms": unix_ms(),
                };
                http::write_answer(stream, 200, &headers, &body.encode()).is_ok()
            }
            _ if attempt.is_empty() => http::write_answer(stream, 400, &headers, b"").is_ok(),
            _ => self.stream(stream, request, &headers).is_ok(),
        }
    }

    /// Runs a request: sends its events until the end, or until the caller leaves.
    fn stream(
        &self,
        stream: &mut TcpStream,
        request: &Request,
        headers: &[(&str, &str)],
    ) -> io::Result<()> {
        let attempt = request.header("x-attempt-id").to_owned();
        let after: u64 = request.header("last-event-id").parse().unwrap_or(0);
        let run = Run { attempt: attempt.clone(), path: request.path().to_owned(), after };
        self.runs.lock().unwrap().push(run);
        self.record.line(&format!(
            "server {} ({}) runs {attempt} of {} after event {after}",
            self.id,
            self.software,
            request.path()
        ));
        self.connections.lock().unwrap().push(stream.try_clone()?);
        let seal = format!("{}.{attempt}", self.id);
        let mut head = http::head(200, headers);
        head.push_str(&format!(
            "X-Server-Seal: {seal}\r\nX-Weight-Versions: 1\r\nX-Server-Load: 1,0,64\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        ));
        stream.write_all(head.as_bytes())?;
        for event in after + 1..=self.events {
            if has_left(stream) {
                self.record.line(&format!("server {} drops {attempt}: left", self.id));
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
            let text = format!("id: {event}\ndata: {event} {} {}\n\n", self.software, self.id);
            http::write_chunk(stream, text.as_bytes())?;
            std::thread::sleep(self.event_gap);
        }
        http::write_chunk(stream, b"")
    }
}

/// Returns whether the other side has closed the connection.
fn has_left(stream: &mut TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let read = stream.read(&mut [0; 1]);
    let _ = stream.set_nonblocking(false);
    match read {
        Ok(_) => true,
        Err(error) => error.kind() != io::ErrorKind::WouldBlock,
    }
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}
