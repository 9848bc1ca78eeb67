//! A stand-in of the platform's servers, which misbehave on demand.

use crate::fleet::http::{Received, head, read_request, write_answer, write_chunk};
use crate::fleet::store::encode;
use serde_json::{Value, json};
use socket2::SockRef;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::AbortHandle;

/// What a server serves.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ServerKind {
    /// Whole answers.
    Plain,
    /// Streams of events.
    Engine,
}

/// What a server does with requests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Behaviour {
    /// Runs and answers them.
    #[default]
    Serves,
    /// Refuses them without running them.
    Sheds,
    /// Runs them and answers 500.
    Fails,
    /// Runs them and resets the connection.
    Resets,
    /// Runs them and says nothing; health checks stay unanswered too.
    Unresponsive,
    /// Runs them and answers with another request's id.
    Foreign,
    /// Runs them and breaks off in the middle of the answer.
    Truncates,
    /// Runs them and resets an answer without length in the middle.
    UnframedReset,
    /// Runs them and closes an answer without length in order.
    Unframed,
    /// Runs them and sends an answer more than was asked for.
    Extra,
}

/// A request that was run.
#[derive(Clone, Debug)]
pub struct ExecutedRequest {
    /// The request.
    pub request: Received,
    /// Whether its caller closed the connection before the end.
    pub caller_disconnected: bool,
    /// Whether its answer was written whole.
    pub is_done: bool,
}

#[derive(Debug)]
struct State {
    id: String,
    started_unix_ms: u64,
    weight_version: u64,
    orders: Vec<Value>,
    behaviour: Behaviour,
    events: u64,
    event_gap: Duration,
    work: Duration,
    reset_after_events: Option<u64>,
    ran: Vec<ExecutedRequest>,
    refused: u64,
}

/// A running server; it ends when dropped.
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
    /// Returns an error if no port can be listened on.
    pub async fn start(id: &str, kind: ServerKind) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let state = Arc::new(Mutex::new(State {
            id: id.to_owned(),
            started_unix_ms: 1_700_000_000_000,
            weight_version: 1,
            orders: Vec::new(),
            behaviour: Behaviour::Serves,
            events: 5,
            event_gap: Duration::from_millis(5),
            work: Duration::ZERO,
            reset_after_events: None,
            ran: Vec::new(),
            refused: 0,
        }));
        let task = tokio::spawn(accept(listener, kind, Arc::clone(&state))).abort_handle();
        Ok(Self { address, kind, state, task })
    }

    /// Returns the server's id.
    pub fn id(&self) -> String {
        self.lock().id.clone()
    }

    /// Returns the server's address.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the entry that it writes into the store.
    pub fn entry(&self, service: &str, domain: &str, heartbeat: u64, state: &str) -> Value {
        let known = self.lock();
        let models = match self.kind {
            ServerKind::Plain => json!([]),
            ServerKind::Engine => json!([{ "name": "m", "version": known.weight_version }]),
        };
        json!({
            "service": service, "address": self.address.to_string(), "zone": domain,
            "version": "v1", "slots": 64, "state": state, "coldRemainingMs": 0,
            "phase": "prefill_decode", "models": models, "sequence": heartbeat,
            "born": known.started_unix_ms,
        })
    }

    /// Changes what it does with requests from now on.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        self.lock().behaviour = behaviour;
    }

    /// Sets the number of events of a stream and the pause between them.
    pub fn set_events(&self, events: u64, gap: Duration) {
        let mut state = self.lock();
        state.events = events;
        state.event_gap = gap;
    }

    /// Sets how long plain requests take.
    pub fn set_execution_time(&self, work: Duration) {
        self.lock().work = work;
    }

    /// Breaks the next streams off, in the middle of the event after this one.
    pub fn reset_streams_after(&self, events: Option<u64>) {
        self.lock().reset_after_events = events;
    }

    /// Takes another id, as when the address goes to another server.
    pub fn set_id(&self, id: &str) {
        self.lock().id = id.to_owned();
    }

    /// Returns the requests that it ran.
    pub fn executed(&self) -> Vec<ExecutedRequest> {
        self.lock().ran.clone()
    }

    /// Returns how many requests it refused.
    pub fn refused(&self) -> u64 {
        self.lock().refused
    }

    /// Returns the orders that it accepted.
    pub fn orders(&self) -> Vec<Value> {
        self.lock().orders.clone()
    }

    /// Returns its weight version.
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

async fn accept(listener: TcpListener, kind: ServerKind, state: Arc<Mutex<State>>) {
    while let Ok((stream, _)) = listener.accept().await {
        let state = Arc::clone(&state);
        tokio::spawn(async move {
            // A caller that goes away shows in the record of what ran.
            drop(serve(BufReader::new(stream), kind, &state).await);
        });
    }
}

async fn serve(
    mut stream: BufReader<TcpStream>,
    kind: ServerKind,
    state: &Mutex<State>,
) -> io::Result<()> {
    while let Some(request) = read_request(&mut stream).await? {
        let (id, behaviour) = {
            let state = lock(state);
            (state.id.clone(), state.behaviour)
        };
        let expected = request.header("x-expect-instance");
        if !expected.is_empty() && expected != id {
            let headers =
                [("X-Instance-Id", id.as_str()), ("X-Attempt-Id", request.header("x-attempt-id"))];
            write_answer(&mut stream, 421, &headers, b"").await?;
            continue;
        }
        if behaviour == Behaviour::Unresponsive {
            if !request.header("x-attempt-id").is_empty() {
                note_ran(state, &request);
            }
            return std::future::pending().await;
        }
        match request.path() {
            "/health" => write_answer(&mut stream, 200, &[("X-Instance-Id", &id)], b"").await?,
            "/camphorward/report" => report(&mut stream, state).await?,
            "/camphorward/order" => order(&mut stream, state, &request).await?,
            "/camphorward/kv-events" => changes(&mut stream, &request).await?,
            _ if has_other_weights(kind, state, &request) => {
                let headers = [
                    ("X-Instance-Id", id.as_str()),
                    ("X-Attempt-Id", request.header("x-attempt-id")),
                ];
                write_answer(&mut stream, 421, &headers, b"").await?;
            }
            _ => {
                if !run(&mut stream, kind, state, &request, behaviour).await? {
                    return Ok(());
                }
            }
        }
    }
    Ok(())
}

fn has_other_weights(kind: ServerKind, state: &Mutex<State>, request: &Received) -> bool {
    let expected: Option<u64> = request.header("x-expect-version").parse().ok();
    kind == ServerKind::Engine
        && expected.is_some_and(|expected| expected != lock(state).weight_version)
}

async fn report(stream: &mut BufReader<TcpStream>, state: &Mutex<State>) -> io::Result<()> {
    let body = {
        let state = lock(state);
        json!({
            "models": [{ "name": "m", "version": state.weight_version }], "busy": false,
            "sequence": state.orders.len(), "born": state.started_unix_ms, "waiting": 0,
        })
    };
    write_answer(stream, 200, &[], &encode(&body)).await
}

async fn order(
    stream: &mut BufReader<TcpStream>,
    state: &Mutex<State>,
    request: &Received,
) -> io::Result<()> {
    let order: Value = rmp_serde::from_slice(&request.body).unwrap_or_default();
    let status = {
        let mut state = lock(state);
        if order["expect"].as_u64() == Some(state.orders.len() as u64) {
            state.weight_version = order["version"].as_u64().unwrap_or(0);
            state.orders.push(order);
            202
        } else {
            409
        }
    };
    write_answer(stream, status, &[], b"").await
}

async fn changes(stream: &mut BufReader<TcpStream>, request: &Received) -> io::Result<()> {
    let wait_ms = request.header("wait-ms").parse().unwrap_or(0);
    tokio::time::sleep(Duration::from_millis(wait_ms)).await;
    let body = json!({ "bootEpoch": 1, "nextPageToken": 0, "lost": false, "events": [] });
    write_answer(stream, 200, &[], &encode(&body)).await
}

fn note_ran(state: &Mutex<State>, request: &Received) -> usize {
    let mut state = lock(state);
    state.ran.push(ExecutedRequest {
        request: request.clone(),
        caller_disconnected: false,
        is_done: false,
    });
    state.ran.len() - 1
}

/// Serves one request; says whether the connection goes on.
async fn run(
    stream: &mut BufReader<TcpStream>,
    kind: ServerKind,
    state: &Mutex<State>,
    request: &Received,
    behaviour: Behaviour,
) -> io::Result<bool> {
    let id = request.header("x-attempt-id").to_owned();
    if behaviour == Behaviour::Sheds {
        lock(state).refused += 1;
        let headers = [("X-Attempt-Id", id.as_str()), ("X-Not-Executed", "1")];
        write_answer(stream, 503, &headers, b"").await?;
        return Ok(true);
    }
    let index = note_ran(state, request);
    let seal = format!("seal.{}.{index}", lock(state).id);
    let body = format!("answer to {id} with {} bytes", request.body.len());
    let headers = [
        ("X-Attempt-Id", id.as_str()),
        ("X-Server-Seal", seal.as_str()),
        ("Keep-Alive", "timeout=5"),
    ];
    match behaviour {
        Behaviour::Serves | Behaviour::Unresponsive | Behaviour::Sheds => match kind {
            ServerKind::Engine => {
                return stream_events(stream, state, request, &headers, index).await;
            }
            ServerKind::Plain => {
                if !work(stream, state, index).await {
                    return Ok(false);
                }
                write_answer(stream, 200, &headers, body.as_bytes()).await?;
            }
        },
        Behaviour::Fails => write_answer(stream, 500, &headers, b"failed").await?,
        Behaviour::Resets => return reset(stream),
        Behaviour::Foreign => {
            let headers = [("X-Attempt-Id", "another"), ("X-Server-Seal", seal.as_str())];
            write_answer(stream, 200, &headers, b"for somebody else").await?;
        }
        Behaviour::Truncates => {
            let mut bytes = head(200, &headers);
            bytes.extend_from_slice(b"Content-Length: 1000\r\n\r\nhalf");
            stream.write_all(&bytes).await?;
            return Ok(false);
        }
        Behaviour::Unframed | Behaviour::UnframedReset => {
            let mut bytes = head(200, &headers);
            bytes.extend_from_slice(b"Connection: close\r\n\r\n");
            bytes.extend_from_slice(body.as_bytes());
            stream.write_all(&bytes).await?;
            stream.flush().await?;
            if behaviour == Behaviour::UnframedReset {
                tokio::time::sleep(Duration::from_millis(30)).await;
                return reset(stream);
            }
            return Ok(false);
        }
        Behaviour::Extra => {
            write_answer(stream, 200, &headers, body.as_bytes()).await?;
            write_answer(stream, 200, &headers, b"extra").await?;
        }
    }
    lock(state).ran[index].is_done = true;
    Ok(true)
}

fn reset(stream: &BufReader<TcpStream>) -> io::Result<bool> {
    SockRef::from(stream.get_ref()).set_linger(Some(Duration::ZERO))?;
    Ok(false)
}

/// Works for a while; says whether the caller stayed.
async fn work(stream: &mut BufReader<TcpStream>, state: &Mutex<State>, index: usize) -> bool {
    let work = lock(state).work;
    stays(stream, state, index, work).await
}

/// Waits, and notes if the caller leaves meanwhile.
async fn stays(
    stream: &mut BufReader<TcpStream>,
    state: &Mutex<State>,
    index: usize,
    wait: Duration,
) -> bool {
    let mut byte = [0; 1];
    tokio::select! {
        () = tokio::time::sleep(wait) => true,
        // Callers send nothing before they have their answer.
        _ = stream.read(&mut byte) => {
            lock(state).ran[index].caller_disconnected = true;
            false
        }
    }
}

async fn stream_events(
    stream: &mut BufReader<TcpStream>,
    state: &Mutex<State>,
    request: &Received,
    headers: &[(&str, &str)],
    index: usize,
) -> io::Result<bool> {
    let (events, gap, cut_after) = {
        let state = lock(state);
        (state.events, state.event_gap, state.reset_after_events)
    };
    let done: u64 = request.header("last-event-id").parse().unwrap_or(0);
    let mut bytes = head(200, headers);
    bytes.extend_from_slice(
        b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
    );
    stream.write_all(&bytes).await?;
    for event in done + 1..=events {
        let text = format!("id: {event}\ndata: token {event}\n\n");
        if cut_after.is_some_and(|cut_after| event > cut_after) {
            write_chunk(stream, &text.as_bytes()[..text.len() / 2]).await?;
            return reset(stream);
        }
        write_chunk(stream, text.as_bytes()).await?;
        if !stays(stream, state, index, gap).await {
            return Ok(false);
        }
    }
    write_chunk(stream, b"").await?;
    lock(state).ran[index].is_done = true;
    Ok(true)
}
