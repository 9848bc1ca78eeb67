//! A stand-in for a store of cached KV blocks. Its reports lag behind without end: it never reports
//! that a block was freed.

use crate::fleet::http::{ReceivedRequest, read_request, write_answer};
use crate::fleet::store::encode;
use serde_json::{Value, json};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::io::BufReader;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::AbortHandle;

const BOOT_EPOCH: u64 = 7;

/// A block: its salt, segment and tokens.
pub type StoredBlock = (String, String, u64);

#[derive(Debug)]
struct State {
    blocks: Vec<StoredBlock>,
    /// The salt and segment of each block that was freed.
    freed: Vec<(String, String)>,
}

/// A running store; dropping it stops the store.
#[derive(Debug)]
pub struct BlockStore {
    address: SocketAddr,
    state: Arc<Mutex<State>>,
    task: AbortHandle,
}

impl Drop for BlockStore {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl BlockStore {
    /// Starts a store that holds some blocks on a free port.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub async fn start(blocks: Vec<StoredBlock>) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let state = Arc::new(Mutex::new(State { blocks, freed: Vec::new() }));
        let task = tokio::spawn(accept(listener, Arc::clone(&state))).abort_handle();
        Ok(Self { address, state, task })
    }

    /// Returns the store's address.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the service that a configuration names for the store.
    pub fn service(&self, name: &str, domain: &str) -> Value {
        json!({
            "name": name, "kvStoreAddr": self.address.to_string(), "zone": domain,
            "kvCapacity": 142_723, "linkMbps": 81_000.0, "maxInflight": 12, "managed": true,
            "first_ms": 0.5
        })
    }

    /// Returns the salt and segment of each block that was freed.
    pub fn freed(&self) -> Vec<(String, String)> {
        lock(&self.state).freed.clone()
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn accept(listener: TcpListener, state: Arc<Mutex<State>>) {
    while let Ok((stream, _)) = listener.accept().await {
        let state = Arc::clone(&state);
        tokio::spawn(async move {
            // A disconnected caller needs no answer.
            drop(serve(stream, &state).await);
        });
    }
}

async fn serve(stream: TcpStream, state: &Mutex<State>) -> io::Result<()> {
    let mut stream = BufReader::new(stream);
    while let Some(request) = read_request(&mut stream).await? {
        let body = match request.path() {
            "/camphorward/kv-events" => events(state, &request).await,
            "/camphorward/kv-list" => list(state),
            "/camphorward/kv-free" => free(state, &request),
            _ => json!({}),
        };
        write_answer(&mut stream, 200, &[], &encode(&body)).await?;
    }
    Ok(())
}

async fn events(state: &Mutex<State>, request: &ReceivedRequest) -> Value {
    let since: usize = request.query("since").parse().unwrap_or(0);
    let wait_ms = request.header("wait-ms").parse().unwrap_or(0);
    let blocks = lock(state).blocks.clone();
    if since >= blocks.len() {
        tokio::time::sleep(Duration::from_millis(wait_ms)).await;
    }
    let events: Vec<Value> = blocks
        .iter()
        .enumerate()
        .skip(since)
        .map(|(index, (salt, segment, tokens))| json!([index + 1, "+", salt, segment, tokens, "m"]))
        .collect();
    json!({
        "bootEpoch": BOOT_EPOCH, "nextPageToken": blocks.len(), "lost": false, "events": events,
        "clock_ms": unix_ms()
    })
}

fn list(state: &Mutex<State>) -> Value {
    let blocks = lock(state).blocks.clone();
    let held: Vec<Value> =
        blocks.iter().map(|(salt, segment, tokens)| json!([salt, segment, tokens, "m"])).collect();
    json!({ "bootEpoch": BOOT_EPOCH, "nextPageToken": blocks.len(), "held": held })
}

fn free(state: &Mutex<State>, request: &ReceivedRequest) -> Value {
    let body: Value = rmp_serde::from_slice(&request.body).unwrap_or_default();
    let parts = body["parts"].as_array().cloned().unwrap_or_default();
    let text = |value: &Value| value.as_str().unwrap_or_default().to_owned();
    lock(state).freed.extend(parts.iter().map(|part| (text(&part[0]), text(&part[1]))));
    json!({})
}

fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |since| since.as_millis() as u64)
}
