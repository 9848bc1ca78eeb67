//! A stand-in for a model server: it caches the parts of prompts under their salts, as the users'
//! pages say, and can end and start again under its id.

use serde_json::{Value, json};
use standins::fleet::encode;
use standins::fleet::http::{ReceivedRequest, head, read_request, write_answer, write_chunk};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::AbortHandle;

/// A part of a prompt in the cache of a server, as a run found it.
#[derive(Clone, Debug)]
pub struct Found {
    /// The id of the part.
    pub part: String,
    /// The text under which it was found.
    pub salt: String,
    /// The tenant whose request made it.
    pub made_by: String,
    /// The attempt that made it.
    pub made_in: String,
}

/// A request that ran.
#[derive(Clone, Debug)]
pub struct Run {
    /// When it arrived.
    pub at: Instant,
    /// The attempt.
    pub attempt: String,
    /// The tenant.
    pub tenant: String,
    /// The software version of the server.
    pub software: String,
    /// The text under which parts are cached.
    pub salt: String,
    /// The event after which it goes on.
    pub last_event: String,
    /// The cached parts that it used.
    pub found: Vec<Found>,
}

#[derive(Debug)]
struct State {
    id: String,
    software: String,
    born: u64,
    sequence: u64,
    events: u64,
    gap: Duration,
    /// Whether the heads of answers never end.
    has_endless_heads: bool,
    /// The tenant and the attempt that made each cached part, by salt and id.
    cache: HashMap<(String, String), (String, String)>,
    runs: Vec<Run>,
}

/// A server; dropping it ends it.
#[derive(Debug)]
pub struct Engine {
    address: SocketAddr,
    state: Arc<Mutex<State>>,
    task: Mutex<Option<AbortHandle>>,
    /// Dropped connections end with their process.
    ends: watch::Sender<u64>,
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

impl Engine {
    /// Starts a server on a free port.
    pub async fn start(id: &str, software: &str, events: u64, gap: Duration) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let state = State {
            id: id.to_owned(),
            software: software.to_owned(),
            born: unix_ms(),
            sequence: 1,
            events,
            gap,
            has_endless_heads: false,
            cache: HashMap::new(),
            runs: Vec::new(),
        };
        let engine = Self {
            address,
            state: Arc::new(Mutex::new(state)),
            task: Mutex::new(None),
            ends: watch::Sender::new(0),
        };
        engine.accept(listener);
        Ok(engine)
    }

    /// Returns the id.
    pub fn id(&self) -> String {
        lock(&self.state).id.clone()
    }

    /// Returns the next entry for the list of servers.
    pub fn entry(&self, service: &str, state: &str) -> Value {
        let mut current = lock(&self.state);
        current.sequence += 1;
        json!({
            "service": service, "address": self.address.to_string(), "zone": "kuma",
            "version": current.software, "slots": 64, "state": state, "coldRemainingMs": 0,
            "phase": "prefill_decode", "models": [{ "name": "m", "version": 1, "adapters": [] }],
            "sequence": current.sequence, "born": current.born
        })
    }

    /// Returns the requests that ran.
    pub fn runs(&self) -> Vec<Run> {
        lock(&self.state).runs.clone()
    }

    /// Sets whether the heads of later answers never end: their bytes come until the caller closes.
    pub fn set_endless_heads(&self, has_endless_heads: bool) {
        lock(&self.state).has_endless_heads = has_endless_heads;
    }

    /// Ends the process: nothing listens, and all its connections are reset.
    pub fn crash(&self) {
        let task = self.task.lock().unwrap_or_else(PoisonError::into_inner).take();
        if let Some(task) = task {
            task.abort();
        }
        self.ends.send_modify(|ends| *ends += 1);
    }

    /// Starts again at the address, under the id that it had and with nothing from before.
    pub async fn restart(&self, software: &str) -> io::Result<()> {
        let listener = loop {
            match TcpListener::bind(self.address).await {
                Err(error) if error.kind() == io::ErrorKind::AddrInUse => {
                    tokio::time::sleep(Duration::from_millis(5)).await;
                }
                bound => break bound?,
            }
        };
        {
            let mut state = lock(&self.state);
            state.software = software.to_owned();
            state.born = unix_ms();
            state.sequence = 0;
            state.cache.clear();
        }
        self.accept(listener);
        Ok(())
    }

    fn accept(&self, listener: TcpListener) {
        let state = Arc::clone(&self.state);
        let ends = self.ends.subscribe();
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (state, mut ends) = (Arc::clone(&state), ends.clone());
                ends.mark_unchanged();
                tokio::spawn(async move {
                    let Ok(stream) = stream.into_std() else { return };
                    let Ok(handle) = stream.try_clone() else { return };
                    let Ok(stream) = TcpStream::from_std(stream) else { return };
                    tokio::select! {
                        // A caller that has left is no error of the server.
                        _ = serve(BufReader::new(stream), &state) => {}
                        _ = ends.changed() => reset(handle),
                    }
                });
            }
        });
        let mut held = self.task.lock().unwrap_or_else(PoisonError::into_inner);
        *held = Some(task.abort_handle());
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.crash();
    }
}

/// Closes a connection, as the end of its process does.
fn reset(handle: std::net::TcpStream) {
    drop(handle.shutdown(std::net::Shutdown::Both));
}

async fn serve(mut stream: BufReader<TcpStream>, state: &Mutex<State>) -> io::Result<()> {
    while let Some(request) = read_request(&mut stream).await? {
        let (id, born) = {
            let state = lock(state);
            (state.id.clone(), state.born)
        };
        let attempt = request.header("x-attempt-id").to_owned();
        let expected = request.header("x-expect-instance");
        let expected_version = request.header("x-expect-version");
        let is_foreign = !expected.is_empty() && expected != id;
        if is_foreign || (!expected_version.is_empty() && expected_version != "1") {
            let headers = [
                ("X-Instance-Id", id.as_str()),
                ("X-Attempt-Id", attempt.as_str()),
                ("X-Not-Executed", "1"),
            ];
            write_answer(&mut stream, 421, &headers, b"").await?;
            continue;
        }
        let own = [("X-Instance-Id", id.as_str())];
        match request.path() {
            "/health" => write_answer(&mut stream, 200, &own, b"").await?,
            "/camphorward/report" => {
                let body = json!({
                    "phase": "prefill_decode",
                    "models": [{ "name": "m", "version": 1, "adapters": [] }],
                    "busy": false, "sequence": 0, "waiting": 0, "running": 0, "kvUsed": 0,
                    "kvTotal": 80_000, "handles": 0, "born": born, "clock_ms": unix_ms()
                });
                write_answer(&mut stream, 200, &own, &encode(&body)).await?;
            }
            "/camphorward/kv-events" => {
                let wait_ms = request.header("wait-ms").parse().unwrap_or(0);
                tokio::time::sleep(Duration::from_millis(wait_ms)).await;
                let body = json!({
                    "bootEpoch": born, "nextPageToken": 0, "lost": false, "events": [],
                    "clock_ms": unix_ms(), "born": born
                });
                write_answer(&mut stream, 200, &own, &encode(&body)).await?;
            }
            "/camphorward/kv-list" => {
                let body = json!({ "bootEpoch": born, "nextPageToken": 0, "held": [] });
                write_answer(&mut stream, 200, &own, &encode(&body)).await?;
            }
            _ if attempt.is_empty() => {
                write_answer(&mut stream, 400, &[("X-Not-Executed", "1")], b"").await?;
            }
            _ if lock(state).has_endless_heads => return write_head(&mut stream, &attempt).await,
            _ => run(&mut stream, state, &request, &attempt).await?,
        }
    }
    Ok(())
}

/// Runs a request: its leading cached parts are used, the others are read and cached.
async fn run(
    stream: &mut BufReader<TcpStream>,
    state: &Mutex<State>,
    request: &ReceivedRequest,
    attempt: &str,
) -> io::Result<()> {
    let (tenant, salt) =
        (request.header("x-tenant").to_owned(), request.header("x-cache-salt").to_owned());
    let (software, events, gap, seal) = {
        let mut state = lock(state);
        let mut found = Vec::new();
        let mut is_leading = true;
        for part in request.header("x-prompt-prefix").split(',') {
            let part = part.split(':').next().unwrap_or_default().trim().to_owned();
            let key = (salt.clone(), part.clone());
            let held = state.cache.get(&key).cloned();
            match held.filter(|_| is_leading) {
                Some((made_by, made_in)) => {
                    found.push(Found { part, salt: salt.clone(), made_by, made_in });
                }
                None => {
                    is_leading = false;
                    state.cache.insert(key, (tenant.clone(), attempt.to_owned()));
                }
            }
        }
        let software = state.software.clone();
        state.runs.push(Run {
            at: Instant::now(),
            attempt: attempt.to_owned(),
            tenant,
            software: software.clone(),
            salt,
            last_event: request.header("last-event-id").to_owned(),
            found,
        });
        let seal = format!("{}.{}", state.id, state.runs.len());
        (software, state.events, state.gap, seal)
    };
    let headers = [
        ("X-Attempt-Id", attempt),
        ("X-Server-Seal", seal.as_str()),
        ("X-Weight-Versions", "1"),
        ("Keep-Alive", "timeout=5"),
        ("Content-Type", "text/event-stream"),
    ];
    let mut bytes = head(200, &headers);
    bytes.extend_from_slice(b"Transfer-Encoding: chunked\r\n\r\n");
    stream.write_all(&bytes).await?;
    stream.flush().await?;
    let last: u64 = request.header("last-event-id").parse().unwrap_or(0);
    for event in last + 1..=events {
        let text = format!("id: {event}\ndata: token {event} of {software}\n\n");
        write_chunk(stream, text.as_bytes()).await?;
        tokio::time::sleep(gap).await;
    }
    write_chunk(stream, b"").await
}

/// Writes a head without end: much of it at once, and then a byte now and then.
async fn write_head(stream: &mut BufReader<TcpStream>, attempt: &str) -> io::Result<()> {
    const AT_ONCE_BYTES: usize = 60_000;
    const PAUSE: Duration = Duration::from_millis(200);
    let mut bytes = head(200, &[("X-Attempt-Id", attempt)]);
    bytes.extend_from_slice(b"X-Long: ");
    bytes.resize(AT_ONCE_BYTES, b'y');
    loop {
        stream.write_all(&bytes).await?;
        stream.flush().await?;
        bytes = vec![b'y'];
        tokio::time::sleep(PAUSE).await;
    }
}
