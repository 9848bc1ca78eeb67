//! A stand-in for the platform's servers, with injectable faults.

mod serve;

use crate::fleet::crash::{CrashPlan, Resettable};
use crate::fleet::endless::Endless;
use crate::fleet::http::ReceivedRequest;
use crate::fleet::script::Script;
use crate::fleet::server::serve::serve;
use serde_json::{Value, json};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::io::BufReader;
use tokio::net::TcpListener;
use tokio::sync::{Semaphore, watch};
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

/// How long streams wait at a server before their first event.
#[derive(Clone, Copy, Debug, Default)]
pub struct Queueing {
    /// The time from the request to the first event.
    pub wait: Duration,
    /// Whether the head of the answer is sent before that.
    pub sends_head: bool,
}

/// How many requests a server takes, and what it bears.
#[derive(Clone, Copy, Debug)]
pub struct Capacity {
    /// The requests that it takes at once; it refuses others.
    pub requests: usize,
    /// The refusals within a second after which it crashes.
    pub max_refusals: usize,
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
    ignores_commands: bool,
    refuses_commands: bool,
    behaviour: Behaviour,
    events: u64,
    event_gap: Duration,
    execution_time: Duration,
    /// The plain requests that are executed at once; others queue in the order of their arrival.
    slots: Option<(usize, Arc<Semaphore>)>,
    queueing: Queueing,
    padding_bytes: usize,
    reset_after_events: Option<u64>,
    resets_all_streams: bool,
    framing: Framing,
    script: Option<Script>,
    executed: Vec<ExecutedRequest>,
    refused: u64,
    capacity: Option<Capacity>,
    /// The requests in progress.
    in_progress: usize,
    /// When requests were refused for want of room.
    full_refusals: Vec<Instant>,
    /// Headers that every answer carries besides its own.
    extra_headers: Vec<(String, String)>,
    /// The paths of all received requests.
    received: Vec<String>,
    /// When requests of callers arrived, refused ones included.
    arrivals: Vec<Instant>,
    /// The server that each of these requests was for, and its attempt.
    attempts: Vec<(String, String)>,
    is_paused: watch::Sender<bool>,
    crash_plan: CrashPlan,
    /// The number of crashes.
    crashes: watch::Sender<u64>,
    is_up: bool,
    /// When it crashed and was up again.
    outages: Vec<(Instant, Option<Instant>)>,
}

impl State {
    /// Returns the slots that the entry names.
    fn named_slots(&self) -> usize {
        /// The slots of a server that does not queue.
        const MANY: usize = 64;
        let slots = self.slots.as_ref().map(|(slots, _)| *slots);
        slots.or(self.capacity.map(|capacity| capacity.requests)).unwrap_or(MANY)
    }
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
        let listener = TcpListener::bind((own_ip(), 0)).await?;
        let address = listener.local_addr()?;
        let state = Arc::new(Mutex::new(State {
            id: id.to_owned(),
            started_unix_ms: 1_700_000_000_000,
            software_version: "v1".to_owned(),
            weight_version: 1,
            commands: Vec::new(),
            ignores_commands: false,
            refuses_commands: false,
            behaviour: Behaviour::Serves,
            events: 5,
            event_gap: Duration::from_millis(5),
            execution_time: Duration::ZERO,
            slots: None,
            queueing: Queueing::default(),
            padding_bytes: 0,
            reset_after_events: None,
            resets_all_streams: false,
            framing: Framing::default(),
            script: None,
            executed: Vec::new(),
            refused: 0,
            capacity: None,
            in_progress: 0,
            full_refusals: Vec::new(),
            extra_headers: Vec::new(),
            received: Vec::new(),
            arrivals: Vec::new(),
            attempts: Vec::new(),
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
            "version": current.software_version,
            "slots": current.named_slots(), "state": state, "coldRemainingMs": 0,
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

    /// Sets whether the server refuses all commands, and so keeps its weights.
    pub fn set_refuses_commands(&self, refuses_commands: bool) {
        self.lock().refuses_commands = refuses_commands;
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

    /// Sets how many plain requests the server executes at once, which the entry names from now on.
    /// Others queue.
    pub fn set_slots(&self, slots: usize) {
        self.lock().slots = Some((slots, Arc::new(Semaphore::new(slots))));
    }

    /// Sets how long streams wait before their first event.
    pub fn set_queueing(&self, queueing: Queueing) {
        self.lock().queueing = queueing;
    }

    /// Sets how many requests the server takes, which the entry names from now on.
    pub fn set_capacity(&self, capacity: Capacity) {
        self.lock().capacity = Some(capacity);
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

    /// Sets the script for later requests; `None` for none.
    pub fn set_script(&self, script: Option<Script>) {
        self.lock().script = script;
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

    /// Returns when requests of callers arrived, refused ones included.
    pub fn arrivals(&self) -> Vec<Instant> {
        self.lock().arrivals.clone()
    }

    /// Returns the server that each request of a caller was for and its attempt, refused ones
    /// included. After a restart, requests may still be for the server before.
    pub fn attempts(&self) -> Vec<(String, String)> {
        self.lock().attempts.clone()
    }

    /// Returns the largest number of requests of callers that arrived within some time, from a
    /// moment on.
    pub fn most_arrivals_within(&self, length: Duration, since: Instant) -> usize {
        let arrivals = self.arrivals();
        let counted: Vec<&Instant> = arrivals.iter().filter(|at| **at >= since).collect();
        let until = |start: &Instant| counted.partition_point(|at| **at <= *start + length);
        counted.iter().enumerate().map(|(index, at)| until(at) - index).max().unwrap_or(0)
    }

    /// Returns the requests that the server executed.
    pub fn executed(&self) -> Vec<ExecutedRequest> {
        self.lock().executed.clone()
    }

    /// Returns the number of requests that the server refused.
    pub fn refused(&self) -> u64 {
        self.lock().refused
    }

    /// Sets whether the server closes the connections of commands, without executing them.
    pub fn set_ignores_commands(&self, ignores_commands: bool) {
        self.lock().ignores_commands = ignores_commands;
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

/// Returns a loopback address that no other server of this process has. The port of a server that is
/// down may be given to another one, which would run what is sent to the first.
fn own_ip() -> Ipv4Addr {
    static SERVERS: AtomicU32 = AtomicU32::new(0);
    let server = SERVERS.fetch_add(1, Ordering::Relaxed);
    let octet = |number: u32| 1 + (number % 250) as u8;
    Ipv4Addr::new(127, octet(std::process::id()), octet(server / 250), octet(server))
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

/// Begins a request if there is room; returns whether there was. Crashes after too many refusals.
fn begin(state: &Mutex<State>) -> bool {
    const SECOND: Duration = Duration::from_secs(1);
    let mut guard = lock(state);
    let Some(capacity) = guard.capacity else { return true };
    if guard.in_progress < capacity.requests {
        guard.in_progress += 1;
        return true;
    }
    guard.refused += 1;
    guard.full_refusals.retain(|at| at.elapsed() < SECOND);
    guard.full_refusals.push(Instant::now());
    let is_over = guard.full_refusals.len() > capacity.max_refusals;
    drop(guard);
    if is_over {
        crash(state);
    }
    false
}

fn end(state: &Mutex<State>) {
    let mut state = lock(state);
    state.in_progress = state.in_progress.saturating_sub(1);
}

fn crash(state: &Mutex<State>) {
    let mut state = lock(state);
    if std::mem::replace(&mut state.is_up, false) {
        state.outages.push((Instant::now(), None));
        state.crashes.send_modify(|crashes| *crashes += 1);
    }
}
