//! SIGTERM: nothing that was read is dropped.

use crate::caller::{self, new_id, read, request};
use crate::fleet::{Fleet, NOTES, ORDERS};
use crate::process::until;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

#[tokio::test]
async fn requests_under_way_and_on_kept_connections_are_answered() {
    let fleet = Fleet::start(1, 1).await;
    let mut gateway = fleet.gateway("gateway-1").await;
    fleet.engines[0].set_events(40, Duration::from_millis(50));
    let mut kept = TcpStream::connect(gateway.callers).await.unwrap();
    kept.write_all(request(ORDERS, &new_id(), "", "body").as_bytes()).await.unwrap();
    assert_eq!(read(&mut kept).await.status, 200);
    let mut stream = TcpStream::connect(gateway.callers).await.unwrap();
    stream.write_all(request(NOTES, &new_id(), "", "body").as_bytes()).await.unwrap();
    until("the stream runs", || !fleet.engines[0].executed().is_empty()).await;
    gateway.terminate();
    while caller::is_ready(&gateway).await {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    kept.write_all(request(ORDERS, &new_id(), "", "body").as_bytes()).await.unwrap();
    let last = read(&mut kept).await;
    assert_eq!((last.status, last.header("connection").as_deref()), (200, Some("close")));
    let streamed = read(&mut stream).await;
    assert!(streamed.is_whole, "{streamed:?}");
    assert_eq!(streamed.body.matches("data: ").count(), 40);
    until("the process ends", || gateway.ended().is_some()).await;
    assert!(gateway.ended().unwrap().success());
    let stopped = gateway.lines("stopped");
    assert_eq!(stopped[0]["requests_cut"], 0);
}
