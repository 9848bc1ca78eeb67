//! Connections of callers that read slowly, or send as a timeout passes.

use crate::caller::{self, Response, new_id, read, request};
use crate::fleet::{Fleet, NOTES, ORDERS, configuration};
use crate::process::{Gateway, until};
use serde_json::Value;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};

/// More than the socket buffers on both sides hold, in bytes.
const LARGE_ANSWER_BYTES: usize = 12 * 1024 * 1024;
/// Less than the gateway accepts in one event, in bytes.
const LARGE_EVENT_BYTES: usize = 900 * 1024;
const LARGE_EVENTS: u64 = 12;
const SHORT_TIMEOUT_MS: u64 = 100;
/// Longer than the short timeout and than the interval between checks of a connection.
const BEYOND_SHORT_TIMEOUT: Duration = Duration::from_millis(1_300);
/// Longer than the gateway waits for the balancer after SIGTERM.
const BEYOND_BALANCER_REMOVAL: Duration = Duration::from_millis(3_000);

fn with_limit(version: u64, name: &str, limit_ms: u64) -> Value {
    let mut configuration = configuration(version, &["alpha-key"]);
    configuration["limits"][name] = Value::from(limit_ms);
    configuration
}

fn is_in_force(gateway: &Gateway, version: u64) -> bool {
    gateway.lines("configuration_in_force").iter().any(|line| line["version"] == version)
}

async fn put(fleet: &Fleet, gateway: &Gateway, configuration: &Value) {
    let version = configuration["version"].as_u64().unwrap();
    fleet.store.put_configuration(configuration);
    until("the configuration is in force", || is_in_force(gateway, version)).await;
}

async fn fleet_with_large_answers() -> Fleet {
    let fleet = Fleet::start(1, 1).await;
    fleet.desks[0].set_padding_bytes(LARGE_ANSWER_BYTES);
    fleet.engines[0].set_padding_bytes(LARGE_EVENT_BYTES);
    fleet.engines[0].set_events(LARGE_EVENTS, Duration::ZERO);
    fleet
}

/// Sends a request from a caller with a small receive buffer, and waits for the first byte.
async fn start_answer(gateway: &Gateway, path: &str) -> TcpStream {
    const RECEIVE_BUFFER_BYTES: u32 = 64 * 1024;
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).unwrap();
    let mut stream = socket.connect(gateway.callers).await.unwrap();
    stream.write_all(request(path, &new_id(), "", "body").as_bytes()).await.unwrap();
    stream.peek(&mut [0; 1]).await.unwrap();
    stream
}

const STEP_PAUSE: Duration = Duration::from_millis(25);

/// Reads an answer in steps with pauses; returns how it was cut, if it was.
async fn read_slowly(
    stream: &mut TcpStream,
    end: &[u8],
    min_bytes: usize,
    pause: Duration,
) -> Result<(), String> {
    let mut buffer = vec![0; 64 * 1024];
    let mut received = Vec::new();
    while received.len() < min_bytes || !received.ends_with(end) {
        match stream.read(&mut buffer).await {
            Ok(0) => return Err(format!("closed after {} bytes", received.len())),
            Ok(count) => received.extend_from_slice(&buffer[..count]),
            Err(error) => return Err(format!("{error} after {} bytes", received.len())),
        }
        tokio::time::sleep(pause).await;
    }
    Ok(())
}

async fn read_plain_slowly(stream: &mut TcpStream) -> Result<(), String> {
    read_plain(stream, STEP_PAUSE).await
}

async fn read_plain(stream: &mut TcpStream, pause: Duration) -> Result<(), String> {
    read_slowly(stream, b"x", LARGE_ANSWER_BYTES + "answer to ".len(), pause).await
}

async fn read_events_slowly(stream: &mut TcpStream) -> Result<(), String> {
    read_slowly(stream, b"0\r\n\r\n", LARGE_EVENT_BYTES * LARGE_EVENTS as usize, STEP_PAUSE).await
}

async fn send_on(stream: &mut TcpStream, path: &str) -> Response {
    stream.write_all(request(path, &new_id(), "", "body").as_bytes()).await.unwrap();
    read(stream).await
}

/// Opens a connection on which one request has been answered.
async fn kept_connection(gateway: &Gateway) -> TcpStream {
    let mut stream = TcpStream::connect(gateway.callers).await.unwrap();
    assert_eq!(send_on(&mut stream, ORDERS).await.status, 200);
    stream
}

/// Sends a request while the process is stopped, so that it finds its bytes and passed timeouts.
async fn send_to_stopped(gateway: &Gateway, stream: &mut TcpStream, wait: Duration) -> Response {
    gateway.signal("STOP");
    tokio::time::sleep(wait).await;
    stream.write_all(request(ORDERS, &new_id(), "", "body").as_bytes()).await.unwrap();
    gateway.signal("CONT");
    read(stream).await
}

#[tokio::test]
async fn an_answer_read_slowly_is_not_cut_by_the_idle_timeout() {
    let fleet = fleet_with_large_answers().await;
    let gateway = fleet.gateway("gateway-1").await;
    put(&fleet, &gateway, &with_limit(2, "idleTimeoutMs", SHORT_TIMEOUT_MS)).await;
    let mut stream = start_answer(&gateway, ORDERS).await;
    assert_eq!(read_plain_slowly(&mut stream).await, Ok(()));
}

#[tokio::test]
async fn an_answer_read_slowly_is_not_cut_by_a_shortened_idle_timeout() {
    let fleet = fleet_with_large_answers().await;
    let gateway = fleet.gateway("gateway-1").await;
    let mut stream = start_answer(&gateway, ORDERS).await;
    put(&fleet, &gateway, &with_limit(2, "idleTimeoutMs", SHORT_TIMEOUT_MS)).await;
    assert_eq!(read_plain_slowly(&mut stream).await, Ok(()));
}

#[tokio::test]
async fn an_answer_read_slowly_is_not_cut_by_sigterm() {
    let fleet = fleet_with_large_answers().await;
    let gateway = fleet.gateway("gateway-1").await;
    let mut stream = start_answer(&gateway, ORDERS).await;
    gateway.terminate();
    assert_eq!(read_plain_slowly(&mut stream).await, Ok(()));
}

#[tokio::test]
async fn events_read_slowly_are_not_cut_by_the_idle_timeout() {
    let fleet = fleet_with_large_answers().await;
    let gateway = fleet.gateway("gateway-1").await;
    put(&fleet, &gateway, &with_limit(2, "idleTimeoutMs", SHORT_TIMEOUT_MS)).await;
    let mut stream = start_answer(&gateway, NOTES).await;
    assert_eq!(read_events_slowly(&mut stream).await, Ok(()));
}

#[tokio::test]
async fn events_read_slowly_are_not_cut_by_sigterm() {
    let fleet = fleet_with_large_answers().await;
    let gateway = fleet.gateway("gateway-1").await;
    let mut stream = start_answer(&gateway, NOTES).await;
    gateway.terminate();
    assert_eq!(read_events_slowly(&mut stream).await, Ok(()));
}

#[tokio::test]
async fn a_pause_in_reading_does_not_cut_an_answer() {
    let fleet = fleet_with_large_answers().await;
    let gateway = fleet.gateway("gateway-1").await;
    let mut stream = start_answer(&gateway, ORDERS).await;
    tokio::time::sleep(BEYOND_BALANCER_REMOVAL).await;
    // Slow steps would end after the deadline that the caller sent.
    assert_eq!(read_plain(&mut stream, Duration::ZERO).await, Ok(()));
}

#[tokio::test]
async fn a_request_that_arrives_as_the_idle_timeout_passes_is_answered() {
    let fleet = Fleet::start(1, 0).await;
    let gateway = fleet.gateway("gateway-1").await;
    put(&fleet, &gateway, &with_limit(2, "idleTimeoutMs", 400)).await;
    for _ in 0..8 {
        let mut stream = kept_connection(&gateway).await;
        let response = send_to_stopped(&gateway, &mut stream, Duration::from_millis(600)).await;
        assert!(response.is_complete, "{response:?}");
    }
}

#[tokio::test]
async fn a_request_that_arrives_as_a_shorter_idle_timeout_comes_into_force_is_answered() {
    let fleet = Fleet::start(1, 0).await;
    let gateway = fleet.gateway("gateway-1").await;
    for round in 1..=4 {
        put(&fleet, &gateway, &with_limit(2 * round, "idleTimeoutMs", 15_000)).await;
        let mut stream = kept_connection(&gateway).await;
        let shorter = with_limit(2 * round + 1, "idleTimeoutMs", SHORT_TIMEOUT_MS);
        fleet.store.put_configuration(&shorter);
        let response = send_to_stopped(&gateway, &mut stream, BEYOND_SHORT_TIMEOUT).await;
        assert!(response.is_complete, "{response:?}");
    }
}

#[tokio::test]
async fn a_request_that_arrives_as_idle_connections_close_at_shutdown_is_answered() {
    let fleet = Fleet::start(1, 0).await;
    let gateway = fleet.gateway("gateway-1").await;
    let mut connections = Vec::new();
    for _ in 0..8 {
        connections.push(kept_connection(&gateway).await);
    }
    gateway.terminate();
    caller::until_line(&gateway, "draining").await;
    gateway.signal("STOP");
    tokio::time::sleep(BEYOND_BALANCER_REMOVAL).await;
    for stream in &mut connections {
        stream.write_all(request(ORDERS, &new_id(), "", "body").as_bytes()).await.unwrap();
    }
    gateway.signal("CONT");
    for stream in &mut connections {
        let response = read(stream).await;
        assert!(response.is_complete, "{response:?}");
    }
}

#[tokio::test]
async fn a_head_that_began_under_a_longer_header_timeout_is_answered() {
    let fleet = Fleet::start(1, 0).await;
    let gateway = fleet.gateway("gateway-1").await;
    let mut stream = TcpStream::connect(gateway.callers).await.unwrap();
    let text = request(ORDERS, &new_id(), "", "body");
    let (first, rest) = text.split_at(40);
    stream.write_all(first.as_bytes()).await.unwrap();
    put(&fleet, &gateway, &with_limit(2, "headerTimeoutMs", SHORT_TIMEOUT_MS)).await;
    tokio::time::sleep(BEYOND_SHORT_TIMEOUT).await;
    stream.write_all(rest.as_bytes()).await.unwrap();
    let response = read(&mut stream).await;
    assert!(response.is_complete, "{response:?}");
}

#[tokio::test]
async fn a_head_that_arrives_in_pieces_at_shutdown_is_answered() {
    let fleet = Fleet::start(1, 0).await;
    let gateway = fleet.gateway("gateway-1").await;
    let mut connections =
        [kept_connection(&gateway).await, TcpStream::connect(gateway.callers).await.unwrap()];
    gateway.terminate();
    caller::until_line(&gateway, "draining").await;
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let text = request(ORDERS, &new_id(), "", "body");
    let (first, rest) = text.split_at(40);
    for stream in &mut connections {
        stream.write_all(first.as_bytes()).await.unwrap();
    }
    tokio::time::sleep(Duration::from_millis(1_800)).await;
    for stream in &mut connections {
        stream.write_all(rest.as_bytes()).await.unwrap();
        let response = read(stream).await;
        assert!(response.is_complete, "{response:?}");
    }
}
