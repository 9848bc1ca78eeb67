//! The store returns from a copy some seconds old; later all gateways are killed at once. One software
//! version serves all the while, and callers take their streams up again. With the second argument
//! `kill-only` the store does not step back, to compare with.

#[path = "../part_three/mod.rs"]
mod part_three;

use part_three::{
    Gateway, KEY, NOTES, Record, Server, desired_state, has_trouble, keep_entries, new_attempt,
    prompt, request, verdict,
};
use standins::fleet::{Availability, Store};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const STREAMS: usize = 24;
const ENGINES: usize = 4;
const ZONES: [&str; 3] = ["kuma", "uto", "izumi"];
/// How old the copy is, and how long the store is away.
const COPY_AGE: Duration = Duration::from_secs(3);
const AWAY: Duration = Duration::from_millis(500);
/// How long the processes are down.
const DOWN: Duration = Duration::from_millis(700);
/// When callers return after the gateways are up: later than `stableWindowMs`.
const RETURN_AFTER: Duration = Duration::from_millis(5_000);

/// A stream that a caller holds.
struct Held {
    attempt: String,
    prefix: String,
    connection: TcpStream,
}

#[tokio::main(flavor = "multi_thread", worker_threads = 4)]
async fn main() {
    let record = Record::create().expect("a record");
    let has_step = std::env::args().nth(2).as_deref() != Some("kill-only");
    let store = Arc::new(Store::start().await.expect("a store"));
    store.put_configuration(&desired_state(1));
    let mut engines = Vec::new();
    for index in 0..ENGINES {
        let engine = Server::start(&format!("engine-{index}"), "notes", ZONES[index % 3]).await;
        engine.set_events(300, Duration::from_millis(40));
        engines.push(engine);
    }
    tokio::spawn(keep_entries(Arc::clone(&store), engines.clone()));
    let mut gateways = start_all(&store).await;
    tokio::time::sleep(Duration::from_secs(8)).await;
    if has_trouble() && has_step {
        let copy = store.copy();
        tokio::time::sleep(COPY_AGE).await;
        store.set_availability(Availability::Refuses);
        tokio::time::sleep(AWAY).await;
        store.restore(copy);
        store.set_availability(Availability::Up);
        store.put_configuration(&desired_state(1));
        record.line(
            "the store is back from a copy 3 s old; the operator and the servers write again",
        );
    }
    // The store has been stable for longer than `stableWindowMs`.
    tokio::time::sleep(Duration::from_secs(6)).await;
    let mut streams = Vec::new();
    for number in 0..STREAMS {
        let gateway = &gateways[number % gateways.len()];
        streams.push(begin(gateway.callers).await);
    }
    record.line(format!("{STREAMS} streams have begun, all at servers of software version 1.0"));
    tokio::time::sleep(Duration::from_secs(1)).await;
    if has_trouble() {
        gateways.iter().for_each(|gateway| gateway.signal("KILL"));
        record.line("all gateways are killed");
        tokio::time::sleep(DOWN).await;
        drop(gateways);
        gateways = start_all(&store).await;
        record.line("all gateways are ready again");
    }
    let mut last_events = Vec::new();
    for stream in &mut streams {
        last_events.push(read_last_event(stream).await);
    }
    tokio::time::sleep(RETURN_AFTER).await;
    let (mut goes_on, mut begins) = (0, 0);
    for (number, (stream, last)) in streams.iter().zip(&last_events).enumerate() {
        let gateway = &gateways[(number + 1) % gateways.len()];
        let extra = format!(
            "{}Last-Event-Id: {last}\r\nResumes: {}\r\n",
            prompt(&stream.prefix, 900),
            stream.attempt
        );
        let (status, first) = first_event(gateway.callers, &extra).await;
        let is_next = status == 200 && first == Some(last + 1);
        goes_on += usize::from(is_next);
        record.line(format!(
            "stream {} after event {last} returns to {}: {status}, next event {first:?}",
            stream.attempt, gateway.host
        ));
        let (status, first) = first_event(gateway.callers, &prompt(&new_prefix(), 900)).await;
        begins += usize::from(status == 200 && first == Some(1));
    }
    let refusals: Vec<String> = gateways
        .iter()
        .flat_map(|gateway| gateway.lines("stream_without_record"))
        .map(|line| line["result"].as_str().unwrap_or_default().to_owned())
        .collect();
    record.line(format!("what the gateways found for streams without a record: {refusals:?}"));
    let text = format!(
        "{goes_on} of {STREAMS} streams that callers took up again go on, {begins} of {STREAMS} new ones begin"
    );
    drop(gateways);
    verdict(&record, 2 * goes_on < begins, &text);
}

async fn start_all(store: &Store) -> Vec<Gateway> {
    let mut gateways: Vec<Gateway> = Vec::new();
    for (index, zone) in ZONES.iter().enumerate() {
        let seeds: Vec<String> = gateways.iter().map(|gateway| gateway.peers.to_string()).collect();
        let host = format!("front-{zone}-{index}");
        gateways.push(Gateway::start(&host, zone, store.address(), &seeds).await);
    }
    gateways
}

fn new_prefix() -> String {
    format!("5c1e07a2:400,{}:100", &new_attempt()[8..])
}

/// Begins a stream and waits for some of its events.
async fn begin(gateway: SocketAddr) -> Held {
    let (attempt, prefix) = (new_attempt(), new_prefix());
    let mut connection = TcpStream::connect(gateway).await.expect("a connection");
    let text = request(NOTES, &attempt, &prompt(&prefix, 900), "question");
    connection.write_all(text.as_bytes()).await.expect("a request");
    let mut buffer = [0; 4096];
    connection.peek(&mut buffer).await.expect("a head");
    Held { attempt, prefix, connection }
}

/// Reads what has arrived of a stream, closes it and returns its last event.
async fn read_last_event(stream: &mut Held) -> u64 {
    let (mut bytes, mut buffer) = (Vec::new(), vec![0; 64 * 1024]);
    loop {
        let reading = stream.connection.read(&mut buffer);
        match tokio::time::timeout(Duration::from_millis(300), reading).await {
            Ok(Ok(count)) if count > 0 && bytes.len() < 4_000 => {
                bytes.extend_from_slice(&buffer[..count]);
            }
            _ => break,
        }
    }
    drop(stream.connection.shutdown().await);
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let ids = text.lines().filter_map(|line| line.strip_prefix("id: ")?.trim().parse().ok());
    ids.last().unwrap_or(0)
}

/// Sends a request for a stream; returns the status and the first event, and leaves.
async fn first_event(gateway: SocketAddr, extra: &str) -> (u16, Option<u64>) {
    let attempt = new_attempt();
    let text = format!(
        "POST {NOTES} HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: {attempt}\r\n\
         Authorization: Bearer {KEY}\r\nX-Deadline-Ms: 4000\r\n{extra}Content-Length: 8\r\n\r\nquestion"
    );
    let Ok(mut connection) = TcpStream::connect(gateway).await else { return (0, None) };
    if connection.write_all(text.as_bytes()).await.is_err() {
        return (0, None);
    }
    let (mut bytes, mut buffer) = (Vec::new(), vec![0; 4096]);
    for _ in 0..20 {
        let reading = connection.read(&mut buffer);
        match tokio::time::timeout(Duration::from_secs(2), reading).await {
            Ok(Ok(count)) if count > 0 => bytes.extend_from_slice(&buffer[..count]),
            _ => break,
        }
        let text = String::from_utf8_lossy(&bytes).into_owned();
        let status = text.split_whitespace().nth(1).and_then(|word| word.parse().ok()).unwrap_or(0);
        let mut ids =
            text.lines().filter_map(|line| line.strip_prefix("id: ")?.trim().parse().ok());
        let first = ids.next();
        if first.is_some() || (status != 200 && text.contains("\r\n\r\n")) {
            return (status, first);
        }
    }
    (0, None)
}
