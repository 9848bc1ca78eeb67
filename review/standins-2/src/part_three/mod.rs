//! What the cases of the third review share: gateways as processes, engines, callers and the record.

#![allow(dead_code)]

use serde_json::{Value, json};
use standins::fleet::crash::Resettable;
use standins::fleet::encode;
use standins::fleet::http::{ReceivedRequest, head, read_request, write_answer, write_chunk};
use std::fs::File;
use std::io::{BufRead, BufReader as StdBufReader, Write};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// The key of the only tenant.
pub const KEY: &str = "alpha-key";
/// The interval between a server's entries, from the small sites.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// The path of resumable streams.
pub const NOTES: &str = "/notes/";
/// The path of plain requests that may run once at most.
pub const ORDERS: &str = "/orders/";
/// The path of plain requests that may run more than once.
pub const STATUS: &str = "/status/";

const GATEWAY_PROGRAM: &str = "target/release/camphorwardd";

/// Returns whether the case plays its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// What was sent, answered and run, in the order of time.
#[derive(Clone, Debug)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    /// Creates the record at the path in the first argument.
    pub fn create() -> std::io::Result<Self> {
        let path = std::env::args().nth(1).unwrap_or_else(|| "record.txt".to_owned());
        Ok(Self { file: Arc::new(Mutex::new(File::create(path)?)), start: Instant::now() })
    }

    /// Returns the seconds from the start of the record to a moment.
    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.start).as_secs_f64()
    }

    /// Writes a line with the time.
    pub fn line(&self, text: impl AsRef<str>) {
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        let seconds = self.start.elapsed().as_secs_f64();
        let written = writeln!(file, "{seconds:8.3} s  {}", text.as_ref());
        written.expect("the record can be written");
    }
}

/// Ends the process: 1 if the rule was broken, 0 if it held.
pub fn verdict(record: &Record, is_broken: bool, text: &str) -> ! {
    let word = if is_broken { "BROKEN" } else { "HELD" };
    record.line(format!("{word}: {text}"));
    println!("{word}: {text}");
    std::process::exit(i32::from(is_broken));
}

/// A gateway as a process, killed when dropped.
#[derive(Debug)]
pub struct Gateway {
    child: Child,
    pub host: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub peers: SocketAddr,
    lines: Arc<Mutex<Vec<Value>>>,
    settings_path: PathBuf,
}

impl Gateway {
    /// Starts a gateway with the command of the deploy file, and waits until it is ready.
    pub async fn start(host: &str, zone: &str, store: SocketAddr, seeds: &[String]) -> Self {
        let name = format!("camphorward-{}-{host}.json", std::process::id());
        let settings_path = std::env::temp_dir().join(name);
        std::fs::write(&settings_path, settings(host, zone, store, seeds)).expect("settings");
        let mut command = Command::new(GATEWAY_PROGRAM);
        command.arg("--gateway").arg(&settings_path).stdout(Stdio::piped());
        let Ok(mut child) = command.spawn() else {
            println!("{GATEWAY_PROGRAM} does not start");
            std::process::exit(2);
        };
        let mut output = StdBufReader::new(child.stdout.take().expect("standard output"));
        let mut first = String::new();
        output.read_line(&mut first).expect("the first line");
        let started: Value = serde_json::from_str(&first).unwrap_or_default();
        let lines = Arc::new(Mutex::new(Vec::new()));
        let written = Arc::clone(&lines);
        std::thread::spawn(move || {
            for line in output.lines().map_while(Result::ok) {
                if let Ok(value) = serde_json::from_str(&line) {
                    lock(&written).push(value);
                }
            }
        });
        let address = |field: &str| started[field].as_str().and_then(|text| text.parse().ok());
        let Some(((callers, ready), peers)) =
            address("callers").zip(address("ready")).zip(address("peers"))
        else {
            println!("a gateway does not listen: {first}");
            std::process::exit(2);
        };
        let host = host.to_owned();
        let gateway = Self { child, host, callers, ready, peers, lines, settings_path };
        gateway.until_ready().await;
        gateway
    }

    async fn until_ready(&self) {
        let limit = Instant::now() + Duration::from_secs(20);
        while Instant::now() < limit {
            let text = "GET /camphorward/ready HTTP/1.1\r\nHost: x\r\n\r\n";
            if send(self.ready, text).await.status == 200 {
                return;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        println!("a gateway does not get ready");
        std::process::exit(2);
    }

    /// Returns the log lines of one event.
    pub fn lines(&self, event: &str) -> Vec<Value> {
        lock(&self.lines).iter().filter(|line| line["event"] == event).cloned().collect()
    }

    /// Sends a signal to the process.
    pub fn signal(&self, name: &str) {
        let mut kill = Command::new("kill");
        let status = kill.arg(format!("-{name}")).arg(self.child.id().to_string()).status();
        drop(status);
    }

    /// Returns the id of the process.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
        drop(std::fs::remove_file(&self.settings_path));
    }
}

/// Returns settings as the deploy file's template gives them for the machines of a small site.
fn settings(host: &str, zone: &str, store: SocketAddr, seeds: &[String]) -> String {
    json!({
        "host": host,
        "address": "127.0.0.1",
        "failure_domain": zone,
        "regions": { "kuma": "minami", "uto": "minami", "izumi": "kinki" },
        "listen": {
            "callers": "127.0.0.1:0", "ready": "127.0.0.1:0", "peers": "127.0.0.1:0",
            "metrics_port": 0
        },
        "seeds": seeds,
        "store": { "address": store.to_string() },
        "bounds": {
            "drain_ms": 2500, "shutdown_s": 8, "retry_ratio": 0.2, "retry_slack": 54,
            "retry_window_s": 10, "steward_turn_ms": 3000, "weights_ms": 10000
        },
        "policies": [
            "base", "drain", "config", "cost", "retry", "recover", "kvcache", "stream", "engine",
            "tenants", "platform"
        ],
        "memory_mb": 110,
        "worker_threads": 1,
        "prefill_tokens_per_ms": 55,
        "log": { "level": "info", "max_lines_per_s": 400, "request_share": 1.0 }
    })
    .to_string()
}

/// Returns a desired state with streams on engines and plain requests.
pub fn desired_state(version: u64) -> Value {
    let route = |path: &str, kind: &str, service: &str, attempts: u32, timeout_ms: u32| {
        json!({
            "name": path.trim_matches('/'), "host": "shop.example", "pathPrefix": path,
            "kind": kind, "timeoutMs": timeout_ms, "targetLatencyMs": 1000, "priority": 1,
            "service": service, "maxAttempts": attempts, "public": false,
            "resumable": kind == "stream", "gapAimMs": 500
        })
    };
    json!({
        "version": version,
        "routes": [
            route(ORDERS, "unsafe", "desk", 1, 2000),
            route(STATUS, "safe", "desk", 2, 2000),
            route(NOTES, "stream", "notes", 2, 15000),
        ],
        "services": [
            { "name": "desk", "healthPath": "/health", "maxConns": 100 },
            { "name": "notes", "healthPath": "/health", "maxConns": 360, "engine": {
                "slots": 64, "kvCapacity": 80000, "tokenKvBytes": 18432,
                "models": [{ "name": "m" }] } },
        ],
        "limits": {
            "maxHeaderBytes": 16384, "maxBodyBytes": 4_194_304, "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000
        },
        "tenants": [{ "name": "alpha", "apiKeys": [KEY] }]
    })
}

/// What ends an engine.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub enum Deadly {
    /// Nothing.
    #[default]
    Nothing,
    /// A prompt with the part, though not as its last, as the engine begins to write the answer:
    /// after its head.
    AtHead(String),
    /// The same, after the first event.
    AtFirstEvent(String),
}

/// How a server treats requests.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub enum Treatment {
    /// It runs them.
    #[default]
    Runs,
    /// It turns them away, with a `Retry-After` in seconds.
    TurnsAway(String),
}

/// A request that reached a server.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Instant,
    pub attempt: String,
    pub request: ReceivedRequest,
    pub has_run: bool,
}

#[derive(Debug)]
struct ServerState {
    id: String,
    born_ms: u64,
    heartbeat: u64,
    weights: u64,
    sequence: u64,
    events: u64,
    event_gap: Duration,
    deadly: Deadly,
    restart_after: Duration,
    treatment: Treatment,
    is_up: bool,
    crashes: Vec<Instant>,
    arrivals: Vec<Arrival>,
}

/// A server of the platform.
#[derive(Clone, Debug)]
pub struct Server {
    pub address: SocketAddr,
    pub service: &'static str,
    zone: &'static str,
    state: Arc<Mutex<ServerState>>,
    crashed: Arc<watch::Sender<u64>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns the time of day, in Unix milliseconds.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

/// Returns a loopback address that no other server of this process has, so that nobody takes the port of
/// one that is down.
fn own_ip() -> Ipv4Addr {
    static SERVERS: AtomicU32 = AtomicU32::new(0);
    let octet = |number: u32| 1 + (number % 250) as u8;
    let server = SERVERS.fetch_add(1, Ordering::Relaxed);
    Ipv4Addr::new(127, octet(std::process::id()), octet(server / 250), octet(server))
}

impl Server {
    /// Starts a server of a service: engines serve `notes`.
    pub async fn start(id: &str, service: &'static str, zone: &'static str) -> Self {
        let listener = TcpListener::bind((own_ip(), 0)).await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let state = ServerState {
            id: id.to_owned(),
            born_ms: unix_ms(),
            heartbeat: 0,
            weights: 1,
            sequence: 0,
            events: 20,
            event_gap: Duration::from_millis(15),
            deadly: Deadly::Nothing,
            restart_after: Duration::from_secs(2),
            treatment: Treatment::Runs,
            is_up: true,
            crashes: Vec::new(),
            arrivals: Vec::new(),
        };
        let server = Self {
            address,
            service,
            zone,
            state: Arc::new(Mutex::new(state)),
            crashed: Arc::new(watch::Sender::new(0)),
        };
        tokio::spawn(server.clone().run(listener));
        server
    }

    fn lock(&self) -> MutexGuard<'_, ServerState> {
        lock(&self.state)
    }

    /// Sets what ends it from now on.
    pub fn set_deadly(&self, deadly: Deadly) {
        self.lock().deadly = deadly;
    }

    /// Sets how it treats requests from now on.
    pub fn set_treatment(&self, treatment: Treatment) {
        self.lock().treatment = treatment;
    }

    /// Sets the events of a stream.
    pub fn set_events(&self, events: u64, gap: Duration) {
        let mut state = self.lock();
        (state.events, state.event_gap) = (events, gap);
    }

    /// Returns its id in this lifetime.
    pub fn id(&self) -> String {
        self.lock().id.clone()
    }

    /// Returns the requests that reached it.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.lock().arrivals.clone()
    }

    /// Returns when it crashed.
    pub fn crashes(&self) -> Vec<Instant> {
        self.lock().crashes.clone()
    }

    /// Returns its id and its next entry in the store; `None` while it is down.
    fn entry(&self) -> Option<(String, Value)> {
        let mut state = self.lock();
        if !state.is_up {
            return None;
        }
        state.heartbeat += 1;
        let models = match self.service {
            "notes" => json!([{ "name": "m", "version": state.weights, "adapters": [] }]),
            _ => json!([]),
        };
        let entry = json!({
            "service": self.service, "address": self.address.to_string(), "zone": self.zone,
            "version": "1.0", "slots": 64, "state": "ready", "coldRemainingMs": 0,
            "phase": "prefill_decode", "models": models, "sequence": state.heartbeat,
            "born": state.born_ms,
        });
        Some((state.id.clone(), entry))
    }

    async fn run(self, listener: TcpListener) {
        let mut listener = listener;
        loop {
            self.accept_until_crash(listener).await;
            let restart_after = self.lock().restart_after;
            tokio::time::sleep(restart_after).await;
            listener = TcpListener::bind(self.address).await.expect("the port again");
            let mut state = self.lock();
            let lifetime = state.crashes.len();
            let base = state.id.split('.').next().unwrap_or_default().to_owned();
            state.id = format!("{base}.{lifetime}");
            (state.born_ms, state.heartbeat, state.sequence) = (unix_ms(), 0, 0);
            state.is_up = true;
        }
    }

    async fn accept_until_crash(&self, listener: TcpListener) {
        let mut crashed = self.crashed.subscribe();
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                _ = crashed.changed() => return,
            };
            let Ok((stream, _)) = accepted else { continue };
            let (server, mut crashed) = (self.clone(), crashed.clone());
            tokio::spawn(async move {
                let Ok((stream, handle)) = Resettable::new(stream) else { return };
                tokio::select! {
                    // A caller that leaves ends its connection.
                    _ = server.serve(BufReader::new(stream)) => {}
                    _ = crashed.changed() => handle.reset(),
                }
            });
        }
    }

    fn crash(&self) {
        let mut state = self.lock();
        if std::mem::replace(&mut state.is_up, false) {
            state.crashes.push(Instant::now());
            drop(state);
            self.crashed.send_modify(|count| *count += 1);
        }
    }

    async fn serve(&self, mut stream: BufReader<TcpStream>) -> std::io::Result<()> {
        while let Some(request) = read_request(&mut stream).await? {
            let id = self.id();
            let expected = request.header("x-expect-instance");
            let attempt = request.header("x-attempt-id").to_owned();
            if !expected.is_empty() && expected != id {
                let headers = [("X-Attempt-Id", attempt.as_str()), ("X-Not-Executed", "1")];
                write_answer(&mut stream, 421, &headers, b"").await?;
                continue;
            }
            match request.path() {
                "/health" => {
                    write_answer(&mut stream, 200, &[("X-Instance-Id", &id)], b"").await?;
                }
                "/camphorward/report" => {
                    write_answer(&mut stream, 200, &[], &encode(&self.report())).await?;
                }
                "/camphorward/order" => {
                    let status = self.take_order(&request);
                    write_answer(&mut stream, status, &[], b"").await?;
                }
                "/camphorward/kv-events" => {
                    let wait_ms = request.header("wait-ms").parse().unwrap_or(0);
                    tokio::time::sleep(Duration::from_millis(wait_ms)).await;
                    let body = json!({
                        "bootEpoch": 1, "nextPageToken": 0, "lost": false, "events": [],
                        "clock_ms": unix_ms(),
                    });
                    write_answer(&mut stream, 200, &[], &encode(&body)).await?;
                }
                _ => self.take_request(&mut stream, request, &attempt).await?,
            }
        }
        Ok(())
    }

    fn report(&self) -> Value {
        let state = self.lock();
        json!({
            "phase": "prefill_decode",
            "models": [{ "name": "m", "version": state.weights, "adapters": [] }],
            "busy": false, "sequence": state.sequence, "waiting": 0, "running": 0, "kvUsed": 0,
            "kvTotal": 80000, "handles": 0, "born": state.born_ms, "clock_ms": unix_ms(),
            "state": "ready",
        })
    }

    /// Carries out an order and returns the status of its answer.
    fn take_order(&self, request: &ReceivedRequest) -> u16 {
        let body: Value = rmp_serde::from_slice(&request.body).unwrap_or_default();
        let mut state = self.lock();
        if body["expect"].as_u64().is_some_and(|expect| expect != state.sequence) {
            return 409;
        }
        let version = body["version"].as_u64().unwrap_or(state.weights);
        if state.weights == version {
            return 200;
        }
        (state.weights, state.sequence) = (version, state.sequence + 1);
        202
    }

    async fn take_request(
        &self,
        stream: &mut BufReader<TcpStream>,
        request: ReceivedRequest,
        attempt: &str,
    ) -> std::io::Result<()> {
        let (treatment, index, deadly, events, gap, weights) = {
            let mut state = self.lock();
            let has_run = state.treatment == Treatment::Runs;
            let arrival = Arrival {
                at: Instant::now(),
                attempt: attempt.to_owned(),
                request: request.clone(),
                has_run,
            };
            state.arrivals.push(arrival);
            let index = state.arrivals.len() - 1;
            let deadly = state.deadly.clone();
            let treatment = state.treatment.clone();
            (treatment, index, deadly, state.events, state.event_gap, state.weights)
        };
        if let Treatment::TurnsAway(seconds) = treatment {
            let headers =
                [("X-Attempt-Id", attempt), ("X-Not-Executed", "1"), ("Retry-After", &seconds)];
            return write_answer(stream, 503, &headers, b"").await;
        }
        let seal = format!("seal.{}.{index}", self.id());
        let headers =
            [("X-Attempt-Id", attempt), ("X-Server-Seal", &seal), ("Keep-Alive", "timeout=5")];
        if self.service != "notes" {
            let body = format!("answer to {attempt}");
            return write_answer(stream, 200, &headers, body.as_bytes()).await;
        }
        let weights = weights.to_string();
        let mut bytes = head(200, &[&headers[..], &[("X-Weight-Versions", &weights)]].concat());
        bytes.extend(b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        stream.write_all(&bytes).await?;
        stream.flush().await?;
        let prefix = request.header("x-prompt-prefix").to_owned();
        if matches!(&deadly, Deadly::AtHead(part) if has_part(&prefix, part)) {
            self.crash();
            return std::future::pending().await;
        }
        let last: u64 = request.header("last-event-id").parse().unwrap_or(0);
        for event in last + 1..=events {
            let text = format!("id: {event}\ndata: token {event}\n\n");
            write_chunk(stream, text.as_bytes()).await?;
            if matches!(&deadly, Deadly::AtFirstEvent(part) if has_part(&prefix, part)) {
                // The event is on its way before the process is gone.
                tokio::time::sleep(Duration::from_millis(5)).await;
                self.crash();
                return std::future::pending().await;
            }
            tokio::time::sleep(gap).await;
        }
        write_chunk(stream, b"").await
    }
}

/// Returns whether a prompt has a part, though not as its last.
fn has_part(prefix: &str, part: &str) -> bool {
    let parts: Vec<&str> = prefix.split(',').collect();
    let shared = parts.split_last().map_or(&[] as &[&str], |(_, shared)| shared);
    shared.iter().any(|entry| entry.split(':').next() == Some(part))
}

/// Keeps the servers' entries in the store: each with its heartbeat, and without those that have
/// been silent for three of them.
pub async fn keep_entries(store: Arc<standins::fleet::Store>, servers: Vec<Server>) {
    let mut listed: Vec<Option<(String, Instant)>> = vec![None; servers.len()];
    loop {
        for (server, listed) in servers.iter().zip(&mut listed) {
            let entry = server.entry();
            let is_other = |(id, at): &(String, Instant)| {
                let is_silent = at.elapsed() > 3 * HEARTBEAT;
                entry.as_ref().map_or(is_silent, |(current, _)| current != id)
            };
            if let Some((id, _)) = listed.take_if(|held| is_other(held)) {
                store.remove(&id);
            }
            if let Some((id, entry)) = entry {
                store.register(&id, &entry);
                *listed = Some((id, Instant::now()));
            }
        }
        tokio::time::sleep(HEARTBEAT).await;
    }
}

/// The answer to one request.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub status: u16,
    pub head: String,
    pub body: String,
    /// Whether it is complete by its framing.
    pub is_complete: bool,
}

impl Answer {
    /// Returns a header's value.
    pub fn header(&self, name: &str) -> Option<String> {
        let lines = self.head.lines().filter_map(|line| line.split_once(':'));
        let mut values = lines.filter(|(found, _)| found.eq_ignore_ascii_case(name));
        values.next().map(|(_, value)| value.trim().to_owned())
    }
}

/// Returns a new attempt id.
pub fn new_attempt() -> String {
    static NEXT: AtomicU32 = AtomicU32::new(1);
    format!("{:08x}{:08x}", std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed))
}

/// Builds a request; `extra` are further header lines.
pub fn request(path: &str, attempt: &str, extra: &str, body: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: {attempt}\r\n\
         Authorization: Bearer {KEY}\r\nX-Deadline-Ms: 15000\r\n{extra}\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Builds the header lines of a prompt.
pub fn prompt(prefix: &str, tokens: u64) -> String {
    format!("X-Model: m\r\nX-Token-Count: {tokens},20\r\nX-Prompt-Prefix: {prefix}\r\n")
}

/// Sends a request on a new connection and reads the answer; status 0 if there is none.
pub async fn send(address: SocketAddr, text: &str) -> Answer {
    let Ok(mut stream) = TcpStream::connect(address).await else { return Answer::default() };
    if stream.write_all(text.as_bytes()).await.is_err() {
        return Answer::default();
    }
    let reading = read_answer(&mut stream);
    tokio::time::timeout(Duration::from_secs(20), reading).await.unwrap_or_default()
}

async fn read_answer(stream: &mut TcpStream) -> Answer {
    let (mut bytes, mut buffer) = (Vec::new(), vec![0; 16 * 1024]);
    loop {
        if let Some(answer) = parse(&bytes, false) {
            return answer;
        }
        match stream.read(&mut buffer).await {
            Ok(count) if count > 0 => bytes.extend_from_slice(&buffer[..count]),
            _ => return parse(&bytes, true).unwrap_or_default(),
        }
    }
}

fn parse(bytes: &[u8], is_end: bool) -> Option<Answer> {
    let text = String::from_utf8_lossy(bytes).into_owned();
    let Some((head, rest)) = text.split_once("\r\n\r\n") else {
        return is_end.then(Answer::default);
    };
    let status = head.split_whitespace().nth(1)?.parse().ok()?;
    let mut answer = Answer { status, head: head.to_owned(), ..Answer::default() };
    if answer.header("transfer-encoding").is_some() {
        let mut rest = rest;
        while let Some((size, after)) = rest.split_once("\r\n") {
            let size = usize::from_str_radix(size, 16).unwrap_or(0);
            if size == 0 {
                answer.is_complete = true;
                return Some(answer);
            }
            let Some(chunk) = after.get(..size) else { break };
            answer.body.push_str(chunk);
            rest = after.get(size + 2..).unwrap_or("");
        }
        return is_end.then_some(answer);
    }
    let length: usize = answer.header("content-length").and_then(|text| text.parse().ok())?;
    answer.is_complete = rest.len() >= length;
    answer.body = rest.to_owned();
    (answer.is_complete || is_end).then_some(answer)
}
