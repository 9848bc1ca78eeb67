//! A stand-in for the platform's servers, with injectable faults.

use crate::fleet::crash::{CrashPlan, Resettable};
use crate::fleet::endless::{Endless, write_endless};
use crate::fleet::http::{ReceivedRequest, head, read_request, write_chunk};
use crate::fleet::store::encode;
use serde_json::{Value, json};
use socket2::SockRef;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::AbortHandle;

/// The kind of a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ServerKind {
    /// Serves plain answers with a length.
    Plain,
    /// Serves streams of events.
    Engine,
}

/// How a server handles requests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Behaviour {
    /// Executes and answers them.
    #[default]
    Serves,
    /// Refuses them without executing them.
    Sheds,
    /// Executes them and answers 500.
    Fails,
    /// Executes them and resets the connection.
    Resets,
    /// Executes them and sends no answer; does not answer health checks either.
    Unresponsive,
    /// Executes them and answers with the ID of another request.
    Mismatched,
    /// Executes them and closes the connection in the middle of the answer.
    Truncates,
    /// Executes them and resets the connection after the bytes of an answer without a length.
    UnframedReset,
    /// Executes them and ends an answer without a length by closing the connection.
    Unframed,
    /// Executes them and sends one answer too many.
    Extra,
    /// Executes them and sends an answer that never ends.
    Endless(Endless),
}

/// How answers show their end.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Framing {
    /// Plain ones have a length, streams come in chunks.
    #[default]
    Framed,
    /// They end with their connection.
    Unframed,
    /// They end with their connection, plain ones in the middle of the body and streams in the
    /// middle of the third event.
    UnframedCut,
}

/// A request that was executed.
#[derive(Clone, Debug)]
pub struct ExecutedRequest {
    /// The request.
    pub request: ReceivedRequest,
    /// Whether the caller closed the connection before the end of the answer.
    pub caller_disconnected: bool,
    /// Whether the complete answer was written.
    pub is_answered: bool,
}

#[derive(Debug)]
struct State {
    id: String,
    started_unix_ms: u64,
    software_version: String,
    weight_version: u64,
    commands: Vec<Value>,
    behaviour: Behaviour,
    events: u64,
    event_gap: Duration,
    execution_time: Duration,
    padding_bytes: usize,
    reset_after_events: Option<u64>,
    resets_all_streams: bool,
    framing: Framing,
    executed: Vec<ExecutedRequest>,
    refused: u64,
    /// Headers that every answer carries besides its own.
    extra_headers: Vec<(String, String)>,
    /// The paths of all received requests.
    received: Vec<String>,
    is_paused: watch::Sender<bool>,
    crash_plan: CrashPlan,
    /// The number of crashes.
    crashes: watch::Sender<u64>,
    is_up: bool,
    /// When it crashed and was up again.
    outages: Vec<(Instant, Option<Instant>)>,
}

/// A running server; dropping it stops the server.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    kind: ServerKind,
    state: Arc<Mutex<State>>,
    task: AbortHandle,
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Server {
    /// Starts a server on a free port.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub async fn start(id: &str, kind: ServerKind) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let state = Arc::new(Mutex::new(State {
            id: id.to_owned(),
            started_unix_ms: 1_700_000_000_000,
            software_version: "v1".to_owned(),
            weight_version: 1,
            commands: Vec::new(),
            behaviour: Behaviour::Serves,
            events: 5,
            event_gap: Duration::from_millis(5),
            execution_time: Duration::ZERO,
            padding_bytes: 0,
            reset_after_events: None,
            resets_all_streams: false,
            framing: Framing::default(),
            executed: Vec::new(),
            refused: 0,
            extra_headers: Vec::new(),
            received: Vec::new(),
            is_paused: watch::Sender::new(false),
            crash_plan: CrashPlan::default(),
            crashes: watch::Sender::new(0),
            is_up: true,
            outages: Vec::new(),
        }));
        let task = tokio::spawn(run(listener, kind, Arc::clone(&state))).abort_handle();
        Ok(Self { address, kind, state, task })
    }

    /// Returns the server's ID.
    pub fn id(&self) -> String {
        self.lock().id.clone()
    }

    /// Returns the server's address.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the entry with which the server registers in the store.
    pub fn entry(&self, service: &str, domain: &str, heartbeat: u64, state: &str) -> Value {
        let current = self.lock();
        let models = match self.kind {
            ServerKind::Plain => json!([]),
            ServerKind::Engine => json!([{ "name": "m", "version": current.weight_version }]),
        };
        json!({
            "service": service, "address": self.address.to_string(), "zone": domain,
            "version": current.software_version, "slots": 64, "state": state, "coldRemainingMs": 0,
            "phase": "prefill_decode", "models": models, "sequence": heartbeat,
            "born": current.started_unix_ms,
        })
    }

    /// Sets the software version, which the entry and each event carry from now on.
    pub fn set_software_version(&self, version: &str) {
        self.lock().software_version = version.to_owned();
    }

    /// Sets how the server handles requests from now on.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        self.lock().behaviour = behaviour;
    }

    /// Sets the number of events of a stream and the interval between them.
    pub fn set_events(&self, events: u64, gap: Duration) {
        let mut state = self.lock();
        state.events = events;
        state.event_gap = gap;
    }

    /// Sets the execution time of plain requests.
    pub fn set_execution_time(&self, execution_time: Duration) {
        self.lock().execution_time = execution_time;
    }

    /// Pads each plain answer and each event of a stream with this many bytes.
    pub fn set_padding_bytes(&self, padding_bytes: usize) {
        self.lock().padding_bytes = padding_bytes;
    }

    /// Resets later streams after this many events, in the middle of the next event; `None` resets
    /// none.
    pub fn reset_streams_after(&self, events: Option<u64>) {
        self.lock().reset_after_events = events;
    }

    /// Sets whether all streams, also running ones, are reset in the middle of their next event.
    pub fn set_resets_all_streams(&self, resets_all_streams: bool) {
        self.lock().resets_all_streams = resets_all_streams;
    }

    /// Sets how later answers show their end.
    pub fn set_framing(&self, framing: Framing) {
        self.lock().framing = framing;
    }

    /// Stops sending on all connections; requests are still accepted and read.
    pub fn pause(&self) {
        self.lock().is_paused.send_replace(true);
    }

    /// Sends again, on each connection from where it stopped.
    pub fn resume(&self) {
        self.lock().is_paused.send_replace(false);
    }

    /// Replaces the server's ID, as if another server had taken over the address.
    pub fn set_id(&self, id: &str) {
        self.lock().id = id.to_owned();
    }

    /// Sets the headers that every answer carries besides its own from now on.
    pub fn set_extra_headers(&self, headers: &[(&str, &str)]) {
        let owned = headers.iter().map(|(name, value)| ((*name).to_owned(), (*value).to_owned()));
        self.lock().extra_headers = owned.collect();
    }

    /// Starts a new incarnation, which the entry names from now on.
    pub fn start_incarnation(&self) {
        self.lock().started_unix_ms += 1;
    }

    /// Sets what makes the server crash from now on, and how.
    pub fn set_crash_plan(&self, crash_plan: CrashPlan) {
        self.lock().crash_plan = crash_plan;
    }

    /// Ends the server as if its process had crashed.
    pub fn crash(&self) {
        crash(&self.state);
    }

    /// Returns how often the server has crashed.
    pub fn crashes(&self) -> u64 {
        *self.lock().crashes.borrow()
    }

    /// Returns when the server crashed and when it was up again.
    pub fn outages(&self) -> Vec<(Instant, Option<Instant>)> {
        self.lock().outages.clone()
    }

    /// Returns whether the server runs.
    pub fn is_up(&self) -> bool {
        self.lock().is_up
    }

    /// Returns the paths of all received requests, refused ones and health checks included.
    pub fn received(&self) -> Vec<String> {
        self.lock().received.clone()
    }

    /// Returns the requests that the server executed.
    pub fn executed(&self) -> Vec<ExecutedRequest> {
        self.lock().executed.clone()
    }

    /// Returns the number of requests that the server refused.
    pub fn refused(&self) -> u64 {
        self.lock().refused
    }

    /// Returns the commands that the server accepted.
    pub fn commands(&self) -> Vec<Value> {
        self.lock().commands.clone()
    }

    /// Returns the server's weight version.
    pub fn weight_version(&self) -> u64 {
        self.lock().weight_version
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Waits while the server is paused.
async fn until_resumed(state: &Mutex<State>) {
    let mut is_paused = lock(state).is_paused.subscribe();
    // The sender lives as long as the state.
    drop(is_paused.wait_for(|is_paused| !is_paused).await);
}

/// Serves until the server crashes, and again after each restart.
async fn run(listener: TcpListener, kind: ServerKind, state: Arc<Mutex<State>>) -> io::Result<()> {
    let address = listener.local_addr()?;
    let mut listener = listener;
    loop {
        accept_until_crash(listener, kind, &state).await;
        let Some(delay) = lock(&state).crash_plan.restart_after else { return Ok(()) };
        tokio::time::sleep(delay).await;
        listener = TcpListener::bind(address).await?;
        let mut state = lock(&state);
        let crashes = *state.crashes.borrow();
        let base = state.id.split('+').next().unwrap_or_default();
        state.id = format!("{base}+{crashes}");
        state.started_unix_ms += 1;
        state.is_up = true;
        if let Some(outage) = state.outages.last_mut() {
            outage.1 = Some(Instant::now());
        }
    }
}

async fn accept_until_crash(listener: TcpListener, kind: ServerKind, state: &Arc<Mutex<State>>) {
    let mut crashes = lock(state).crashes.subscribe();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = crashes.changed() => return,
        };
        let Ok((stream, _)) = accepted else { return };
        let state = Arc::clone(state);
        let mut crashes = crashes.clone();
        tokio::spawn(async move {
            let Ok((stream, handle)) = Resettable::new(stream) else { return };
            tokio::select! {
                // A disconnected caller is recorded in the executed request.
                _ = serve(BufReader::new(stream), kind, &state) => {}
                _ = crashes.changed() => handle.reset(),
            }
        });
    }
}

fn crash(state: &Mutex<State>) {
    let mut state = lock(state);
    if std::mem::replace(&mut state.is_up, false) {
        state.outages.push((Instant::now(), None));
        state.crashes.send_modify(|crashes| *crashes += 1);
    }
}

/// Crashes after the delay of the plan; the caller's task ends with it.
async fn crash_later(state: &Mutex<State>) -> Infallible {
    let delay = lock(state).crash_plan.delay;
    tokio::time::sleep(delay).await;
    crash(state);
    std::future::pending().await
}

async fn serve(
    mut stream: BufReader<TcpStream>,
    kind: ServerKind,
    state: &Mutex<State>,
) -> io::Result<()> {
    while let Some(request) = read_request(&mut stream).await? {
        let (id, behaviour) = {
            let mut state = lock(state);
            state.received.push(request.path().to_owned());
            (state.id.clone(), state.behaviour)
        };
        let expected = request.header("x-expect-instance");
        if !expected.is_empty() && expected != id {
            until_resumed(state).await;
            let headers =
                [("X-Instance-Id", id.as_str()), ("X-Attempt-Id", request.header("x-attempt-id"))];
            answer(&mut stream, state, 421, &headers, b"").await?;
            continue;
        }
        if behaviour == Behaviour::Unresponsive {
            if !request.header("x-attempt-id").is_empty() {
                record_executed(state, &request);
            }
            return std::future::pending().await;
        }
        match request.path() {
            "/health" => {
                until_resumed(state).await;
                answer(&mut stream, state, 200, &[("X-Instance-Id", &id)], b"").await?;
            }
            "/camphorward/report" => report(&mut stream, state).await?,
            "/camphorward/order" => execute_command(&mut stream, state, &request).await?,
            "/camphorward/kv-events" => kv_events(&mut stream, state, &request).await?,
            _ if has_other_version(kind, state, &request) => {
                until_resumed(state).await;
                let headers = [
                    ("X-Instance-Id", id.as_str()),
                    ("X-Attempt-Id", request.header("x-attempt-id")),
                ];
                answer(&mut stream, state, 421, &headers, b"").await?;
            }
            _ => {
                if !execute(&mut stream, kind, state, &request, behaviour).await? {
                    return Ok(());
                }
            }
        }
    }
    Ok(())
}

/// Builds a head with the extra headers.
fn answer_head(state: &Mutex<State>, status: u16, headers: &[(&str, &str)]) -> Vec<u8> {
    let state = lock(state);
    let extra = state.extra_headers.iter().map(|(name, value)| (name.as_str(), value.as_str()));
    let all: Vec<(&str, &str)> = headers.iter().copied().chain(extra).collect();
    head(status, &all)
}

/// Writes an answer with the extra headers.
async fn answer(
    stream: &mut BufReader<TcpStream>,
    state: &Mutex<State>,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut bytes = answer_head(state, status, headers);
    bytes.extend(format!("Content-Length: {}\r\n\r\n", body.len()).into_bytes());
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).await?;
    stream.flush().await
}

fn has_other_version(kind: ServerKind, state: &Mutex<State>, request: &ReceivedRequest) -> bool {
    let expected: Option<u64> = request.header("x-expect-version").parse().ok();
    kind == ServerKind::Engine
        && expected.is_some_and(|expected| expected != lock(state).weight_version)
}

async fn report(stream: &mut BufReader<TcpStream>, state: &Mutex<State>) -> io::Result<()> {
    until_resumed(state).await;
    let body = {
        let state = lock(state);
        json!({
            "models": [{ "name": "m", "version": state.weight_version }], "busy": false,
            "sequence": state.commands.len(), "born": state.started_unix_ms, "waiting": 0,
        })
    };
    answer(stream, state, 200, &[], &encode(&body)).await
}

async fn execute_command(
    stream: &mut BufReader<TcpStream>,
    state: &Mutex<State>,
    request: &ReceivedRequest,
) -> io::Result<()> {
    let command: Value = rmp_serde::from_slice(&request.body).unwrap_or_default();
    let status = {
        let mut state = lock(state);
        if command["expect"].as_u64() == Some(state.commands.len() as u64) {
            state.weight_version = command["version"].as_u64().unwrap_or(0);
            state.commands.push(command);
            202
        } else {
            409
        }
    };
    until_resumed(state).await;
    answer(stream, state, status, &[], b"").await
}

async fn kv_events(
    stream: &mut BufReader<TcpStream>,
    state: &Mutex<State>,
    request: &ReceivedRequest,
) -> io::Result<()> {
    let wait_ms = request.header("wait-ms").parse().unwrap_or(0);
    tokio::time::sleep(Duration::from_millis(wait_ms)).await;
    until_resumed(state).await;
    let body = json!({ "bootEpoch": 1, "nextPageToken": 0, "lost": false, "events": [] });
    answer(stream, state, 200, &[], &encode(&body)).await
}

fn record_executed(state: &Mutex<State>, request: &ReceivedRequest) -> usize {
    let mut state = lock(state);
    state.executed.push(ExecutedRequest {
        request: request.clone(),
        caller_disconnected: false,
        is_answered: false,
    });
    state.executed.len() - 1
}

/// Serves one request; returns whether the connection stays open.
async fn execute(
    stream: &mut BufReader<TcpStream>,
    kind: ServerKind,
    state: &Mutex<State>,
    request: &ReceivedRequest,
    behaviour: Behaviour,
) -> io::Result<bool> {
    let id = request.header("x-attempt-id").to_owned();
    if behaviour == Behaviour::Sheds {
        lock(state).refused += 1;
        until_resumed(state).await;
        let headers = [("X-Attempt-Id", id.as_str()), ("X-Not-Executed", "1")];
        answer(stream, state, 503, &headers, b"").await?;
        return Ok(true);
    }
    let index = record_executed(state, request);
    let crash_plan = lock(state).crash_plan.clone();
    let seal = format!("seal.{}.{index}", lock(state).id);
    let padding = "x".repeat(lock(state).padding_bytes);
    let body = format!("answer to {id} with {} bytes{padding}", request.body.len());
    let headers = [
        ("X-Attempt-Id", id.as_str()),
        ("X-Server-Seal", seal.as_str()),
        ("Keep-Alive", "timeout=5"),
    ];
    if !wait_while_connected(stream, state, index, Duration::ZERO).await {
        return Ok(false);
    }
    if crash_plan.trigger.is_request(request) {
        match crash_later(state).await {}
    }
    if crash_plan.trigger.is_answer(request) {
        stream.write_all(&answer_head(state, 200, &headers)).await?;
        stream.write_all(b"Transfer-Encoding: chunked\r\n\r\n").await?;
        stream.flush().await?;
        match crash_later(state).await {}
    }
    match behaviour {
        Behaviour::Serves | Behaviour::Unresponsive | Behaviour::Sheds => match kind {
            ServerKind::Engine => {
                return stream_events(stream, state, request, &headers, index).await;
            }
            ServerKind::Plain => {
                if !wait_for_execution(stream, state, index).await {
                    return Ok(false);
                }
                let framing = lock(state).framing;
                if framing != Framing::Framed {
                    let bytes = body.as_bytes();
                    let is_cut = framing == Framing::UnframedCut;
                    let written = if is_cut { &bytes[..bytes.len() / 2] } else { bytes };
                    write_unframed(stream, state, &headers, written).await?;
                    lock(state).executed[index].is_answered = !is_cut;
                    return Ok(false);
                }
                answer(stream, state, 200, &headers, body.as_bytes()).await?;
            }
        },
        Behaviour::Fails => answer(stream, state, 500, &headers, b"failed").await?,
        Behaviour::Resets => return reset(stream),
        Behaviour::Mismatched => {
            let headers = [("X-Attempt-Id", "another"), ("X-Server-Seal", seal.as_str())];
            answer(stream, state, 200, &headers, b"for somebody else").await?;
        }
        Behaviour::Truncates => {
            let mut bytes = answer_head(state, 200, &headers);
            bytes.extend_from_slice(b"Content-Length: 1000\r\n\r\nhalf");
            stream.write_all(&bytes).await?;
            return Ok(false);
        }
        Behaviour::Unframed | Behaviour::UnframedReset => {
            write_unframed(stream, state, &headers, body.as_bytes()).await?;
            if behaviour == Behaviour::UnframedReset {
                tokio::time::sleep(Duration::from_millis(30)).await;
                return reset(stream);
            }
            return Ok(false);
        }
        Behaviour::Endless(endless) => {
            let closed = write_endless(stream, endless, &headers).await;
            lock(state).executed[index].caller_disconnected = true;
            return closed.map(|never| match never {});
        }
        Behaviour::Extra => {
            answer(stream, state, 200, &headers, body.as_bytes()).await?;
            answer(stream, state, 200, &headers, b"extra").await?;
        }
    }
    lock(state).executed[index].is_answered = true;
    Ok(true)
}

/// Writes an answer that ends with its connection.
async fn write_unframed(
    stream: &mut BufReader<TcpStream>,
    state: &Mutex<State>,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut bytes = answer_head(state, 200, headers);
    bytes.extend_from_slice(b"Connection: close\r\n\r\n");
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).await?;
    stream.flush().await
}

fn reset(stream: &BufReader<TcpStream>) -> io::Result<bool> {
    SockRef::from(stream.get_ref()).set_linger(Some(Duration::ZERO))?;
    Ok(false)
}

/// Waits for the execution time; returns whether the caller stayed connected.
async fn wait_for_execution(
    stream: &mut BufReader<TcpStream>,
    state: &Mutex<State>,
    index: usize,
) -> bool {
    let execution_time = lock(state).execution_time;
    wait_while_connected(stream, state, index, execution_time).await
}

/// Waits, and longer while the server is paused; returns false and records it if the caller
/// disconnects meanwhile.
async fn wait_while_connected(
    stream: &mut BufReader<TcpStream>,
    state: &Mutex<State>,
    index: usize,
    wait: Duration,
) -> bool {
    let mut byte = [0; 1];
    let waited = async {
        tokio::time::sleep(wait).await;
        until_resumed(state).await;
    };
    tokio::select! {
        biased;
        // Callers send nothing before they have the answer, so a read ends only at a disconnect.
        _ = stream.read(&mut byte) => {
            lock(state).executed[index].caller_disconnected = true;
            false
        }
        () = waited => true,
    }
}

async fn stream_events(
    stream: &mut BufReader<TcpStream>,
    state: &Mutex<State>,
    request: &ReceivedRequest,
    headers: &[(&str, &str)],
    index: usize,
) -> io::Result<bool> {
    /// The event in whose middle a cut stream ends.
    const CUT_EVENT: u64 = 3;
    let (events, gap, reset_after, padding, framing) = {
        let state = lock(state);
        let padding = "x".repeat(state.padding_bytes);
        (state.events, state.event_gap, state.reset_after_events, padding, state.framing)
    };
    let is_framed = framing == Framing::Framed;
    let last_event: u64 = request.header("last-event-id").parse().unwrap_or(0);
    let mut bytes = answer_head(state, 200, headers);
    let end = if is_framed { "Transfer-Encoding: chunked" } else { "Connection: close" };
    bytes.extend(format!("Content-Type: text/event-stream\r\n{end}\r\n\r\n").into_bytes());
    stream.write_all(&bytes).await?;
    for event in last_event + 1..=events {
        let (version, resets_all) = {
            let state = lock(state);
            (state.software_version.clone(), state.resets_all_streams)
        };
        let text = format!("id: {event}\ndata: token {event} of {version}{padding}\n\n");
        if resets_all || reset_after.is_some_and(|reset_after| event > reset_after) {
            write_piece(stream, is_framed, &text.as_bytes()[..text.len() / 2]).await?;
            return reset(stream);
        }
        if framing == Framing::UnframedCut && event >= CUT_EVENT {
            write_piece(stream, is_framed, &text.as_bytes()[..text.len() / 2]).await?;
            return Ok(false);
        }
        write_piece(stream, is_framed, text.as_bytes()).await?;
        if !wait_while_connected(stream, state, index, gap).await {
            return Ok(false);
        }
    }
    if is_framed {
        write_chunk(stream, b"").await?;
    }
    lock(state).executed[index].is_answered = true;
    Ok(is_framed)
}

/// Writes part of a body, as a chunk if it is framed.
async fn write_piece(
    stream: &mut BufReader<TcpStream>,
    is_framed: bool,
    bytes: &[u8],
) -> io::Result<()> {
    if is_framed {
        return write_chunk(stream, bytes).await;
    }
    stream.write_all(bytes).await?;
    stream.flush().await
}
