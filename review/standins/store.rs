//! A stand-in for the platform's store: a log with keyed topics, as far as gateways use it.

use crate::http;
use crate::map;
use crate::msgpack::Value;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

#[derive(Default)]
struct Shared {
    topics: Mutex<HashMap<String, Vec<(String, Vec<u8>)>>>,
    changed: Condvar,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl Store {
    pub fn start() -> std::io::Result<Self> {
        let shared = Arc::new(Shared::default());
        let state = Arc::clone(&shared);
        let address = http::listen("127.0.0.1:0", move |stream, request| {
            let (status, body) = answer(&state, &request);
            let headers = [("Store-Era", "1"), ("Content-Type", "application/msgpack")];
            http::write_answer(stream, status, &headers, &body).is_ok()
        })?;
        Ok(Self { address, shared })
    }

    /// Appends a record; an empty value drops the key.
    pub fn append(&self, topic: &str, key: &str, value: &[u8]) {
        let mut topics = self.shared.topics.lock().unwrap();
        topics.entry(topic.to_owned()).or_default().push((key.to_owned(), value.to_vec()));
        self.shared.changed.notify_all();
    }

    pub fn put(&self, topic: &str, key: &str, value: &Value) {
        self.append(topic, key, &value.encode());
    }
}

fn newest(records: &[(String, Vec<u8>)]) -> BTreeMap<String, (usize, &[u8])> {
    let mut newest = BTreeMap::new();
    for (offset, (key, value)) in records.iter().enumerate() {
        newest.insert(key.clone(), (offset, value.as_slice()));
    }
    newest.retain(|_, (_, value)| !value.is_empty());
    newest
}

fn answer(shared: &Shared, request: &http::Request) -> (u16, Vec<u8>) {
    /// The platform's answer time.
    const ANSWER_TIME: Duration = Duration::from_millis(4);
    std::thread::sleep(ANSWER_TIME);
    let topic = request.query("topic");
    match request.path() {
        "/camphorward/log-newest" => {
            let topics = shared.topics.lock().unwrap();
            let records = topics.get(topic).map_or(&[] as &[_], Vec::as_slice);
            let items = newest(records).into_iter().map(|(key, (offset, value))| {
                map! { "key": key, "value": base64(value), "offset": offset }
            });
            let items: Vec<Value> = items.collect();
            (200, map! { "items": items, "more": false, "end": records.len() }.encode())
        }
        "/camphorward/log-read" => read(shared, topic, request),
        "/camphorward/log-append" => append(shared, topic, request),
        _ => (404, Vec::new()),
    }
}

fn read(shared: &Shared, topic: &str, request: &http::Request) -> (u16, Vec<u8>) {
    let from: usize = request.query("from").parse().unwrap_or(0);
    let wait_ms: u64 = request.query("waitMs").parse().unwrap_or(0);
    let until = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
    let mut topics = shared.topics.lock().unwrap();
    loop {
        let records = topics.get(topic).map_or(&[] as &[_], Vec::as_slice);
        if records.len() < from {
            return (410, map! { "first": 0 }.encode());
        }
        let left = until.saturating_duration_since(Instant::now());
        if records.len() > from || left.is_zero() {
            let mut bytes = (records.len() as u64).to_be_bytes().to_vec();
            bytes.extend(0_u64.to_be_bytes());
            for (key, value) in &records[from..] {
                bytes.extend(((1 + key.len() + value.len()) as u32).to_be_bytes());
                bytes.push(key.len() as u8);
                bytes.extend(key.as_bytes());
                bytes.extend(value);
            }
            return (200, bytes);
        }
        topics = shared.changed.wait_timeout(topics, left).unwrap().0;
    }
}

fn append(shared: &Shared, topic: &str, request: &http::Request) -> (u16, Vec<u8>) {
    if matches!(topic, "keyed.op" | "keyed.servers") {
        return (403, Vec::new());
    }
    let mut topics = shared.topics.lock().unwrap();
    let records = topics.entry(topic.to_owned()).or_default();
    let offset = records.len();
    if request.query("at").parse::<usize>().is_ok_and(|at| at != offset) {
        return (412, map! { "end": offset }.encode());
    }
    let mut rest = request.body.as_slice();
    while rest.len() > 4 {
        let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
        let record = &rest[4..4 + length];
        let key_length = usize::from(record[0]);
        let key = String::from_utf8_lossy(&record[1..=key_length]).into_owned();
        records.push((key, record[1 + key_length..].to_vec()));
        rest = &rest[4 + length..];
    }
    let end = records.len();
    shared.changed.notify_all();
    (200, map! { "offset": offset, "end": end }.encode())
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let number = group.iter().fold(0_u32, |sum, byte| sum << 8 | u32::from(*byte))
            << (8 * (3 - group.len()));
        for index in 0..4 {
            text.push(if index > group.len() {
                '='
            } else {
                char::from(DIGITS[(number >> (18 - 6 * index)) as usize & 63])
            });
        }
    }
    text
}
