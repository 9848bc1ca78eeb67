//! SIGTERM: no request that was read is dropped.

use crate::caller::{self, Response, new_id, read, request};
use crate::fleet::{Fleet, NOTES, ORDERS, QUICK, STATUS};
use crate::process::{Gateway, until};
use serde_json::Value;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
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

/// Guards against an upload that is cut off without an answer when the process exits.
#[tokio::test]
async fn an_upload_that_outlives_the_process_is_refused_as_not_run() {
    let fleet = Fleet::start(1, 0).await;
    let mut settings: Value = serde_json::from_str(&fleet.settings("gateway-1", &[])).unwrap();
    settings["bounds"]["shutdown_s"] = 3.into();
    let gateway = Gateway::start(&settings.to_string()).await;
    caller::until_ready(&gateway).await;
    let mut stream = TcpStream::connect(gateway.callers).await.unwrap();
    let head = request(ORDERS, &new_id(), "", "").replace("Length: 0", "Length: 90000");
    stream.write_all(head.as_bytes()).await.unwrap();
    stream.write_all(&[b'x'; 1_000]).await.unwrap();
    until("the body is read", || gateway.peak_memory_kb() > 0).await;
    gateway.terminate();
    let response = read(&mut stream).await;
    assert_eq!((response.status, response.is_complete), (503, true), "{response:?}");
    assert!(response.body.contains("shutting_down") && response.header("retry-after").is_some());
    assert!(fleet.desks[0].executed().is_empty());
}

/// A request of a planned stop, and its answer.
struct Sent {
    id: String,
    path: &'static str,
    /// When it was sent, after SIGTERM.
    after: Duration,
    response: Response,
}

async fn send_at(address: SocketAddr, path: &'static str, began: Instant) -> Sent {
    let id = new_id();
    let text = request(path, &id, "", "body").replace("Deadline-Ms: 6000", "Deadline-Ms: 15000");
    let after = began.elapsed();
    let Ok(mut stream) = TcpStream::connect(address).await else {
        return Sent { id, path, after, response: Response::default() };
    };
    let is_written = stream.write_all(text.as_bytes()).await.is_ok();
    let response = if is_written { read(&mut stream).await } else { Response::default() };
    Sent { id, path, after, response }
}

/// Sends orders that soon time out, one after the other on kept connections, until none can be opened.
async fn order_on_kept_connections(address: SocketAddr, began: Instant) -> Vec<Sent> {
    let mut all = Vec::new();
    while let Ok(mut stream) = TcpStream::connect(address).await {
        loop {
            let (id, after) = (new_id(), began.elapsed());
            let text = request(ORDERS, &id, "", "body").replace("Ms: 6000", "Ms: 1000");
            let is_written = stream.write_all(text.as_bytes()).await.is_ok();
            let response = if is_written { read(&mut stream).await } else { Response::default() };
            let is_last = response.status != 200 || response.header("connection").is_some();
            all.push(Sent { id, path: ORDERS, after, response });
            if is_last {
                break;
            }
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    all
}

/// Guards against requests that are taken late in a planned stop, passed on and cut off without an answer
/// at its end, above all those that may not be repeated.
#[tokio::test]
async fn requests_late_in_a_planned_stop_get_whole_answers() {
    /// How long after SIGTERM a request may be sent that is cut off while its server works.
    const MAX_CUT_AFTER: Duration = Duration::from_secs(3);
    const INTERVAL: Duration = Duration::from_millis(25);
    const KEPT_CONNECTIONS: usize = 6;
    /// The streams that are sent at once when that time has passed.
    const CROWD: usize = 30;
    let fleet = Fleet::start(3, 2).await;
    fleet.desks[1].set_execution_time(Duration::from_millis(400));
    fleet.desks[2].set_execution_time(Duration::from_secs(6));
    for engine in &fleet.engines {
        engine.set_events(60, Duration::from_millis(100));
    }
    let mut gateway = fleet.gateway("gateway-1").await;
    let callers = gateway.callers;
    gateway.terminate();
    let began = Instant::now();
    let kept = (0..KEPT_CONNECTIONS).map(|_| order_on_kept_connections(callers, began));
    let kept: Vec<_> = kept.map(tokio::spawn).collect();
    let crowd = tokio::spawn(async move {
        tokio::time::sleep_until((began + MAX_CUT_AFTER).into()).await;
        let crowd = (0..CROWD).map(|_| send_at(callers, NOTES, began));
        futures_util::future::join_all(crowd).await
    });
    let mut sent = Vec::new();
    for path in [ORDERS, STATUS, NOTES, QUICK].into_iter().cycle() {
        if gateway.exit_status().is_some() {
            break;
        }
        sent.push(tokio::spawn(send_at(callers, path, began)));
        tokio::time::sleep(INTERVAL).await;
    }
    let mut all = crowd.await.unwrap();
    for task in sent {
        all.push(task.await.unwrap());
    }
    for task in kept {
        all.extend(task.await.unwrap());
    }
    let servers = fleet.desks.iter().chain(&fleet.engines);
    let passed_on: Vec<String> = servers
        .flat_map(|server| server.executed())
        .map(|run| run.request.header("x-attempt-id").to_owned())
        .collect();
    let is_cut = |sent: &&Sent| passed_on.contains(&sent.id) && !sent.response.is_complete;
    let cut: Vec<String> = all
        .iter()
        .filter(is_cut)
        .filter(|sent| [ORDERS, STATUS].contains(&sent.path) || sent.after > MAX_CUT_AFTER)
        .map(|sent| format!("{} sent after {:?}: {:?}", sent.path, sent.after, sent.response))
        .collect();
    let late = all.iter().filter(|sent| sent.after > MAX_CUT_AFTER && sent.response.status == 200);
    println!("{} requests, {} passed on, {} cut", all.len(), passed_on.len(), cut.len());
    assert!(cut.is_empty(), "{cut:#?}");
    assert!(late.count() > 0, "late requests that end in time are served");
}
