//! A stand-in for the platform's metadata store: a log with keyed topics.

use crate::fleet::endless::{Endless, write_endless};
use crate::fleet::http::{ReceivedRequest, read_request, write_answer};
use serde::{Serialize, Serializer};
use serde_json::{Value, json};
use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::io::BufReader;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::AbortHandle;

/// How the store answers calls.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Availability {
    /// It serves them.
    #[default]
    Up,
    /// It answers 503 to every call.
    Refuses,
    /// It answers no call.
    Unresponsive,
    /// It serves reads, but has no room for appends.
    Full,
    /// Its answers never end.
    Endless(Endless),
    /// Its lists of newest records have no last page.
    EndlessPages,
    /// Each page of its lists of newest records is the first one.
    RepeatedPages,
}

/// The era of a store that was never restored.
pub const FIRST_ERA: u64 = 1;

/// One record of a keyed topic: key and value.
type Record = (Vec<u8>, Vec<u8>);

#[derive(Debug)]
struct State {
    topics: HashMap<String, Vec<Record>>,
    availability: Availability,
    appends: Vec<(String, Option<u64>)>,
    /// The value of the header `Store-Era`; `None` leaves it out.
    era: Option<String>,
}

impl Default for State {
    fn default() -> Self {
        Self {
            topics: HashMap::new(),
            availability: Availability::default(),
            appends: Vec::new(),
            era: Some(FIRST_ERA.to_string()),
        }
    }
}

/// The content of a store at one time.
#[derive(Clone, Debug)]
pub struct StoreCopy {
    topics: HashMap<String, Vec<Record>>,
}

impl StoreCopy {
    /// Appends a configuration, so that it is there as soon as the copy is restored.
    pub fn put_configuration(&mut self, configuration: &Value) {
        self.append("keyed.op", "config", &encode(configuration));
    }

    /// Appends a server's entry.
    pub fn register(&mut self, id: &str, entry: &Value) {
        self.append("keyed.servers", id, &encode(entry));
    }

    fn append(&mut self, topic: &str, key: &str, value: &[u8]) {
        let record = (key.as_bytes().to_vec(), value.to_vec());
        self.topics.entry(topic.to_owned()).or_default().push(record);
    }
}

#[derive(Debug, Default)]
struct Shared {
    state: Mutex<State>,
    changed: Notify,
}

/// Other addresses for those in the servers' entries.
type Addresses = Arc<Mutex<HashMap<String, String>>>;

/// An address of the store at which the servers' entries have other addresses, so that the path from
/// one gateway to a server can differ from that of the others; dropping it stops the view.
#[derive(Debug)]
pub struct StoreView {
    address: SocketAddr,
    addresses: Addresses,
    task: AbortHandle,
}

impl StoreView {
    /// Returns the address for calls.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets another address for a server's.
    pub fn replace_address(&self, server: SocketAddr, seen: SocketAddr) {
        let mut addresses = self.addresses.lock().unwrap_or_else(PoisonError::into_inner);
        addresses.insert(server.to_string(), seen.to_string());
    }
}

impl Drop for StoreView {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// A running store; dropping it stops the store.
#[derive(Debug)]
pub struct Store {
    address: SocketAddr,
    shared: Arc<Shared>,
    task: AbortHandle,
}

impl Drop for Store {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Store {
    /// Starts an empty store on a free port.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub async fn start() -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared::default());
        let accepting = accept(listener, Arc::clone(&shared), Addresses::default());
        let task = tokio::spawn(accepting).abort_handle();
        Ok(Self { address, shared, task })
    }

    /// Starts a view of the store on a free port.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub async fn view(&self) -> io::Result<StoreView> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let addresses = Addresses::default();
        let accepting = accept(listener, Arc::clone(&self.shared), Arc::clone(&addresses));
        let task = tokio::spawn(accepting).abort_handle();
        Ok(StoreView { address, addresses, task })
    }

    /// Returns the store's address.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets how the store answers calls.
    pub fn set_availability(&self, availability: Availability) {
        self.lock().availability = availability;
        self.shared.changed.notify_waiters();
    }

    /// Appends a configuration.
    pub fn put_configuration(&self, configuration: &Value) {
        self.append("keyed.op", "config", &encode(configuration));
    }

    /// Sets a model's target weight version.
    pub fn set_target_version(&self, model: &str, version: u64) {
        let value = encode(&json!({ "model": model, "version": version }));
        self.append("keyed.op", format!("version/{model}"), &value);
    }

    /// Appends a server's entry.
    pub fn register(&self, id: &str, entry: &Value) {
        self.append("keyed.servers", id, &encode(entry));
    }

    /// Deletes a server's entry.
    pub fn remove(&self, id: &str) {
        self.append("keyed.servers", id, &[]);
    }

    /// Appends a record to a topic.
    pub fn append(&self, topic: &str, key: impl AsRef<[u8]>, value: &[u8]) {
        let record = (key.as_ref().to_vec(), value.to_vec());
        self.lock().topics.entry(topic.to_owned()).or_default().push(record);
        self.shared.changed.notify_waiters();
    }

    /// Copies the content.
    pub fn copy(&self) -> StoreCopy {
        StoreCopy { topics: self.lock().topics.clone() }
    }

    /// Replaces the content by a copy and raises the era by one; calls in progress are answered in
    /// the new era.
    pub fn restore(&self, copy: StoreCopy) {
        let mut state = self.lock();
        state.topics = copy.topics;
        let era = state.era.as_deref().and_then(|era| era.parse().ok()).unwrap_or(FIRST_ERA);
        state.era = Some((era + 1).to_string());
        drop(state);
        self.shared.changed.notify_waiters();
    }

    /// Sets the header that names the era; `None` leaves it out.
    pub fn set_era(&self, era: Option<&str>) {
        self.lock().era = era.map(str::to_owned);
    }

    /// Returns the keys of a topic's records.
    pub fn keys(&self, topic: &str) -> Vec<String> {
        let state = self.lock();
        let records = state.topics.get(topic).map_or(&[] as &[Record], Vec::as_slice);
        records.iter().map(|(key, _)| String::from_utf8_lossy(key).into_owned()).collect()
    }

    /// Returns the MessagePack values with which a topic's records begin.
    pub fn values(&self, topic: &str) -> Vec<Value> {
        let state = self.lock();
        let records = state.topics.get(topic).map_or(&[] as &[Record], Vec::as_slice);
        records.iter().filter_map(|(_, value)| rmp_serde::from_slice(value).ok()).collect()
    }

    /// Returns the number of records in a topic.
    pub fn len(&self, topic: &str) -> usize {
        self.lock().topics.get(topic).map_or(0, Vec::len)
    }

    /// Returns whether a topic has no records.
    pub fn is_empty(&self, topic: &str) -> bool {
        self.len(topic) == 0
    }

    /// Returns the topics and conditions of the appends that gateways made.
    pub fn appends(&self) -> Vec<(String, Option<u64>)> {
        self.lock().appends.clone()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.shared)
    }
}

fn lock(shared: &Shared) -> MutexGuard<'_, State> {
    shared.state.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Encodes a value in MessagePack, as bodies and records are encoded.
pub fn encode(value: &Value) -> Vec<u8> {
    rmp_serde::to_vec_named(value).unwrap_or_default()
}

async fn accept(listener: TcpListener, shared: Arc<Shared>, addresses: Addresses) {
    while let Ok((stream, _)) = listener.accept().await {
        let (shared, addresses) = (Arc::clone(&shared), Arc::clone(&addresses));
        tokio::spawn(async move {
            // A disconnected caller needs no answer.
            drop(serve(stream, &shared, &addresses).await);
        });
    }
}

async fn serve(stream: TcpStream, shared: &Shared, addresses: &Addresses) -> io::Result<()> {
    let mut stream = BufReader::new(stream);
    while let Some(request) = read_request(&mut stream).await? {
        let availability = lock(shared).availability;
        let answer = match availability {
            Availability::Endless(endless) => {
                let closed = write_endless(&mut stream, endless, &[]).await;
                return closed.map(|never| match never {});
            }
            Availability::EndlessPages if request.path() == "/camphorward/log-newest" => {
                Answer::new(&lock(shared), 200, endless_page(&request))
            }
            Availability::RepeatedPages if request.path() == "/camphorward/log-newest" => {
                newest(shared, addresses, request.query("topic"), true)
            }
            Availability::Full if request.path() == "/camphorward/log-append" => {
                Answer::new(&lock(shared), 507, Vec::new())
            }
            Availability::Up
            | Availability::EndlessPages
            | Availability::RepeatedPages
            | Availability::Full => answer(shared, addresses, &request).await,
            Availability::Refuses => Answer::new(&lock(shared), 503, Vec::new()),
            Availability::Unresponsive => return std::future::pending().await,
        };
        if lock(shared).availability == Availability::Unresponsive {
            return std::future::pending().await;
        }
        let era = answer.era.as_deref().map(|era| ("Store-Era", era));
        write_answer(&mut stream, answer.status, era.as_slice(), &answer.body).await?;
    }
    Ok(())
}

/// An answer, with the era of the content that it was taken from.
struct Answer {
    status: u16,
    body: Vec<u8>,
    era: Option<String>,
}

impl Answer {
    fn new(state: &State, status: u16, body: Vec<u8>) -> Self {
        Self { status, body, era: state.era.clone() }
    }
}

/// Returns a page of records whose keys follow the one in the query.
fn endless_page(request: &ReceivedRequest) -> Vec<u8> {
    const RECORDS: usize = 100;
    const VALUE_BYTES: usize = 4 * 1024;
    let after: usize = request.query("after").parse().unwrap_or(0);
    let value = "eHh4".repeat(VALUE_BYTES / 3);
    let item = |index| json!({ "key": format!("{index:012}"), "value": value, "offset": index });
    let items: Vec<Value> = (after + 1..=after + RECORDS).map(item).collect();
    encode(&json!({ "items": items, "more": true, "end": usize::MAX >> 1 }))
}

async fn answer(shared: &Shared, addresses: &Addresses, request: &ReceivedRequest) -> Answer {
    let topic = request.query("topic");
    match request.path() {
        "/camphorward/log-newest" => newest(shared, addresses, topic, false),
        "/camphorward/log-read" => read(shared, addresses, topic, request).await,
        "/camphorward/log-append" => append(shared, topic, request),
        _ => Answer::new(&lock(shared), 404, Vec::new()),
    }
}

/// Returns a topic's records as they are seen at a view.
fn seen(state: &State, addresses: &Addresses, topic: &str) -> Vec<Record> {
    let records = state.topics.get(topic).map_or(&[] as &[Record], Vec::as_slice);
    let addresses = addresses.lock().unwrap_or_else(PoisonError::into_inner);
    if addresses.is_empty() || topic != "keyed.servers" {
        return records.to_vec();
    }
    let replace = |value: &[u8]| {
        let mut entry: Value = rmp_serde::from_slice(value).ok()?;
        let address = addresses.get(entry["address"].as_str()?)?;
        entry["address"] = address.clone().into();
        Some(encode(&entry))
    };
    let record =
        |(key, value): &Record| (key.clone(), replace(value).unwrap_or_else(|| value.clone()));
    records.iter().map(record).collect()
}

/// A page of newest records.
#[derive(Serialize)]
struct Page<'a> {
    items: Vec<Item<'a>>,
    more: bool,
    end: usize,
}

#[derive(Serialize)]
struct Item<'a> {
    key: Key<'a>,
    value: String,
    offset: usize,
}

/// A key, encoded as bytes if it is not text.
struct Key<'a>(&'a [u8]);

impl Serialize for Key<'_> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        match std::str::from_utf8(self.0) {
            Ok(text) => serializer.serialize_str(text),
            Err(_) => serializer.serialize_bytes(self.0),
        }
    }
}

fn newest(shared: &Shared, addresses: &Addresses, topic: &str, more: bool) -> Answer {
    use base64::Engine as _;
    let state = lock(shared);
    let records = seen(&state, addresses, topic);
    let mut by_key: BTreeMap<&[u8], (usize, &[u8])> = BTreeMap::new();
    for (offset, (key, value)) in records.iter().enumerate() {
        by_key.insert(key, (offset, value));
    }
    let base64 = base64::engine::general_purpose::STANDARD;
    let items: Vec<Item> = by_key
        .into_iter()
        .filter(|(_, (_, value))| !value.is_empty())
        .map(|(key, (offset, value))| Item { key: Key(key), value: base64.encode(value), offset })
        .collect();
    let body = rmp_serde::to_vec_named(&Page { items, more, end: records.len() });
    let body = body.unwrap_or_default();
    Answer::new(&state, 200, body)
}

async fn read(
    shared: &Shared,
    addresses: &Addresses,
    topic: &str,
    request: &ReceivedRequest,
) -> Answer {
    let from: usize = request.query("from").parse().unwrap_or(0);
    let wait = Duration::from_millis(request.query("waitMs").parse().unwrap_or(0));
    let deadline = tokio::time::Instant::now() + wait;
    loop {
        let changed = shared.changed.notified();
        {
            let state = lock(shared);
            let records = state.topics.get(topic).map_or(&[] as &[Record], Vec::as_slice);
            if records.len() < from {
                return Answer::new(&state, 410, encode(&json!({ "first": 0 })));
            }
            if records.len() > from || tokio::time::Instant::now() >= deadline {
                return Answer::new(&state, 200, frames(&seen(&state, addresses, topic), from));
            }
        }
        // The loop checks both for new records and for the end of the wait.
        drop(tokio::time::timeout_at(deadline, changed).await);
    }
}

fn frames(records: &[Record], from: usize) -> Vec<u8> {
    let mut bytes = (records.len() as u64).to_be_bytes().to_vec();
    bytes.extend(0_u64.to_be_bytes());
    for (key, value) in records.iter().skip(from) {
        bytes.extend((1 + key.len() as u32 + value.len() as u32).to_be_bytes());
        bytes.push(key.len() as u8);
        bytes.extend(key);
        bytes.extend(value);
    }
    bytes
}

fn append(shared: &Shared, topic: &str, request: &ReceivedRequest) -> Answer {
    let mut state = lock(shared);
    let at: Option<u64> = request.query("at").parse().ok();
    let records = state.topics.entry(topic.to_owned()).or_default();
    let offset = records.len() as u64;
    if at.is_some_and(|at| at != offset) {
        return Answer::new(&state, 412, encode(&json!({ "end": offset })));
    }
    let mut rest = request.body.as_slice();
    while let Some((length, after)) = rest.split_first_chunk::<4>() {
        let (record, after) = after.split_at(u32::from_be_bytes(*length) as usize);
        let (key, value) = record[1..].split_at(usize::from(record[0]));
        records.push((key.to_vec(), value.to_vec()));
        rest = after;
    }
    let end = records.len() as u64;
    state.appends.push((topic.to_owned(), at));
    let body = encode(&json!({ "offset": offset, "end": end }));
    let answer = Answer::new(&state, 200, body);
    drop(state);
    shared.changed.notify_waiters();
    answer
}
