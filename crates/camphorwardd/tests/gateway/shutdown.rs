//! SIGTERM: no request that was read is dropped.

use crate::caller::{self, new_id, read, request};
use crate::fleet::{Fleet, NOTES, ORDERS, STATUS};
use crate::process::{Gateway, until};
use serde_json::Value;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

#[tokio::test]
async fn requests_in_flight_and_on_open_connections_are_answered() {
    let fleet = Fleet::start(1, 1).await;
    let mut gateway = fleet.gateway("gateway-1").await;
    fleet.engines[0].set_events(40, Duration::from_millis(50));
    let mut connection = TcpStream::connect(gateway.callers).await.unwrap();
    connection.write_all(request(ORDERS, &new_id(), "", "body").as_bytes()).await.unwrap();
    assert_eq!(read(&mut connection).await.status, 200);
    let mut stream = TcpStream::connect(gateway.callers).await.unwrap();
    stream.write_all(request(NOTES, &new_id(), "", "body").as_bytes()).await.unwrap();
    until("the stream runs", || !fleet.engines[0].executed().is_empty()).await;
    gateway.terminate();
    while caller::is_ready(&gateway).await {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    connection.write_all(request(ORDERS, &new_id(), "", "body").as_bytes()).await.unwrap();
    let last = read(&mut connection).await;
    assert_eq!((last.status, last.header("connection").as_deref()), (200, Some("close")));
    let streamed = read(&mut stream).await;
    assert!(streamed.is_complete, "{streamed:?}");
    assert_eq!(streamed.body.matches("data: ").count(), 40);
    until("the process exits", || gateway.exit_status().is_some()).await;
    assert!(gateway.exit_status().unwrap().success());
    let stopped = gateway.lines("stopped");
    assert_eq!(stopped[0]["requests_cut"], 0);
}

#[tokio::test]
async fn requests_that_outlive_the_process_are_answered_before_it_exits() {
    let fleet = Fleet::start(1, 0).await;
    let mut settings: Value = serde_json::from_str(&fleet.settings("gateway-1", &[])).unwrap();
    settings["bounds"]["shutdown_s"] = 3.into();
    let mut gateway = Gateway::start(&settings.to_string()).await;
    caller::until_ready(&gateway).await;
    until("the server is listed", || !gateway.lines("server_joined").is_empty()).await;
    fleet.desks[0].pause();
    let mut streams = Vec::new();
    for path in [ORDERS, STATUS] {
        let mut stream = TcpStream::connect(gateway.callers).await.unwrap();
        stream.write_all(request(path, &new_id(), "", "body").as_bytes()).await.unwrap();
        streams.push(stream);
    }
    until("both run", || fleet.desks[0].executed().len() == 2).await;
    gateway.terminate();
    for stream in &mut streams {
        let response = read(stream).await;
        assert_eq!((response.status, response.is_complete), (504, true), "{response:?}");
    }
    until("the process exits", || gateway.exit_status().is_some()).await;
    assert_eq!(gateway.lines("stopped")[0]["requests_cut"], 0);
}
