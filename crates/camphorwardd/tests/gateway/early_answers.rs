//! A server answers a long upload before it has read it, and breaks its answer off: nothing of that looks
//! like a whole answer.

use crate::caller::{self, Response, new_id, request, send};
use crate::fleet::{Fleet, NOTES, ORDERS, QUICK, STATUS, configuration};
use crate::process::{Gateway, until};
use serde_json::{Value, json};
use socket2::SockRef;
use standins::fleet::{Server, ServerKind};
use standins::relay::{Link, LinkConfig, Partition, Relay};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::AbortHandle;

/// Larger than what the sockets between two processes hold.
const UPLOAD_BYTES: usize = 12 << 20;
const MAX_BODY_BYTES: usize = 16 << 20;
const PATHS: [&str; 4] = [ORDERS, STATUS, NOTES, QUICK];

/// How a server ends an answer that it breaks off.
#[derive(Clone, Copy, Debug)]
enum End {
    /// It ends its side of the connection and reads no more.
    Shutdown,
    /// It resets the connection.
    Reset,
}

/// An answer to an upload of which little has been read.
#[derive(Clone, Copy, Debug)]
struct Early {
    /// Whether the answer has a length, and is whole.
    is_framed: bool,
    /// How much of the upload is read before.
    read_bytes: usize,
    end: End,
}

const WHOLE: Early = Early { is_framed: true, read_bytes: 0, end: End::Shutdown };

/// Servers that answer long uploads early, and other requests once they have read them.
struct EarlyServer {
    address: SocketAddr,
    early: Arc<Mutex<Early>>,
    task: AbortHandle,
}

impl Drop for EarlyServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl EarlyServer {
    async fn start(kind: ServerKind) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let early = Arc::new(Mutex::new(WHOLE));
        let held = Arc::clone(&early);
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, kind, Arc::clone(&held)));
            }
        });
        Self { address, early, task: task.abort_handle() }
    }

    fn set(&self, early: Early) {
        *self.early.lock().unwrap() = early;
    }
}

fn field<'a>(head: &'a str, name: &str) -> &'a str {
    let fields = head.lines().filter_map(|line| line.split_once(": "));
    let mut found = fields.filter(|(found, _)| found.eq_ignore_ascii_case(name));
    found.next().map_or("", |(_, value)| value)
}

async fn serve(mut stream: TcpStream, kind: ServerKind, early: Arc<Mutex<Early>>) {
    while let Some(head) = read_head(&mut stream).await {
        let length: usize = field(&head, "content-length").parse().unwrap_or(0);
        let early = *early.lock().unwrap();
        if length < UPLOAD_BYTES {
            let mut body = vec![0; length];
            let is_read = stream.read_exact(&mut body).await.is_ok();
            let answer = answer(&head, kind, true);
            if !is_read || stream.write_all(answer.as_bytes()).await.is_err() {
                return;
            }
            continue;
        }
        let mut part = vec![0; early.read_bytes];
        let answer = answer(&head, kind, early.is_framed);
        if stream.read_exact(&mut part).await.is_err()
            || stream.write_all(answer.as_bytes()).await.is_err()
        {
            return;
        }
        match early.end {
            End::Shutdown => {
                drop(stream.shutdown().await);
                // The rest of the upload is neither read nor refused.
                return std::future::pending().await;
            }
            End::Reset => {
                tokio::time::sleep(Duration::from_millis(20)).await;
                drop(SockRef::from(&stream).set_linger(Some(Duration::ZERO)));
                return;
            }
        }
    }
}

async fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    String::from_utf8(head).ok()
}

fn answer(head: &str, kind: ServerKind, is_framed: bool) -> String {
    let is_stream = kind == ServerKind::Engine && !field(head, "x-model").is_empty();
    let (media_type, body) = match is_stream {
        true => ("text/event-stream", "id: 1\ndata: token\n\n"),
        false => ("text/plain", "part"),
    };
    let framing = match (is_framed, is_stream) {
        (false, _) => String::new(),
        (true, true) => "Transfer-Encoding: chunked\r\n".to_owned(),
        (true, false) => format!("Content-Length: {}\r\n", body.len()),
    };
    let body = match is_framed && is_stream {
        true => format!("{:x}\r\n{body}\r\n0\r\n\r\n", body.len()),
        false => body.to_owned(),
    };
    let (id, server) = (field(head, "x-attempt-id"), field(head, "x-expect-instance"));
    format!(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Seal: s\r\nX-Instance-Id: {server}\r\n\
         Content-Type: {media_type}\r\n{framing}\r\n{body}"
    )
}

/// A store that lists one early server of each kind, and no other.
struct Site {
    fleet: Fleet,
    servers: [EarlyServer; 2],
}

impl Site {
    async fn start() -> Self {
        let fleet = Fleet::start(0, 0).await;
        let mut configuration = configuration(2, &["alpha-key"]);
        configuration["limits"]["maxBodyBytes"] = Value::from(MAX_BODY_BYTES);
        fleet.store.put_configuration(&configuration);
        let mut servers = Vec::new();
        for (kind, service) in [(ServerKind::Plain, "desk"), (ServerKind::Engine, "notes")] {
            let early = EarlyServer::start(kind).await;
            // The entry of an ordinary server, at the address of the early one.
            let ordinary = Server::start(&format!("early-{service}"), kind).await.unwrap();
            let mut entry = ordinary.entry(service, "east-1", 1, "ready");
            entry["address"] = json!(early.address.to_string());
            fleet.store.register(&ordinary.id(), &entry);
            servers.push(early);
        }
        Self { fleet, servers: servers.try_into().ok().unwrap() }
    }

    fn set(&self, early: Early) {
        self.servers.iter().for_each(|server| server.set(early));
    }
}

/// Starts a gateway with room for all uploads, which reads the store at an address.
async fn start_gateway(site: &Site, host: &str, store: SocketAddr) -> Gateway {
    let settings = site.fleet.settings_at(host, store, &[]);
    let mut settings: Value = serde_json::from_str(&settings).unwrap();
    settings["memory_mb"] = Value::from(1_000);
    let gateway = site.fleet.gateway_with(&settings.to_string()).await;
    until_all_listed(&gateway).await;
    gateway
}

async fn until_all_listed(gateway: &Gateway) {
    until("the servers are listed", || gateway.lines("server_joined").len() >= 2).await;
    until("version 2 is in force", || {
        gateway.lines("configuration_in_force").iter().any(|line| line["version"] == 2)
    })
    .await;
}

/// Uploads a body that is like no other, so that it is not taken for one that crashes servers.
async fn upload(gateway: &Gateway, path: &str) -> Response {
    let id = new_id();
    let body = id.repeat(UPLOAD_BYTES / id.len() + 1);
    let response = send(gateway.callers, &request(path, &id, "", &body)).await;
    assert!(!response.body.contains("no_memory"), "{path}: {response:?}");
    response
}

fn broken_off() -> impl Iterator<Item = Early> {
    [End::Shutdown, End::Reset].into_iter().flat_map(|end| {
        let read_bytes = [0, 300_000].into_iter();
        read_bytes.map(move |read_bytes| Early { is_framed: false, read_bytes, end })
    })
}

/// Guards against a part of an answer that reaches the caller as a whole one, because its server ended
/// the connection while the request was still being written.
#[tokio::test]
async fn an_early_answer_that_ends_before_its_request_is_written_is_not_whole() {
    let site = Site::start().await;
    let gateway = start_gateway(&site, "gateway-1", site.fleet.store.address()).await;
    for early in broken_off() {
        site.set(early);
        for path in PATHS {
            let response = upload(&gateway, path).await;
            let is_whole = response.status == 200 && response.is_complete;
            assert!(!is_whole, "{path} {early:?}: {response:?}");
            assert!(path != ORDERS || response.status == 502, "{early:?}: {response:?}");
        }
    }
}

/// Guards against the same through a peer, which ends its tunnel as if the answer were whole.
#[tokio::test]
async fn an_early_answer_through_a_peer_that_ends_before_its_request_is_written_is_not_whole() {
    let site = Site::start().await;
    let _peer = start_gateway(&site, "gateway-2", site.fleet.store.address()).await;
    let view = site.fleet.store.view().await.unwrap();
    let link = Link::new(LinkConfig { delay_ms: 0.0, bytes_per_s: None });
    let mut relays = Vec::new();
    for server in &site.servers {
        let relay = Relay::start(Arc::clone(&link), server.address).await.unwrap();
        view.replace_address(server.address, relay.address());
        relays.push(relay);
    }
    let gateway = start_gateway(&site, "gateway-1", view.address()).await;
    caller::until_listed(&gateway, 2).await;
    link.set_partition(Partition::Refuse);
    for path in [STATUS, QUICK] {
        caller::until_status(&gateway, path, 200).await;
    }
    for early in broken_off() {
        site.set(early);
        for path in PATHS {
            let response = upload(&gateway, path).await;
            let is_whole = response.status == 200 && response.is_complete;
            assert!(!is_whole, "{path} {early:?}: {response:?}");
        }
    }
    let sent = gateway.lines("request_sent");
    assert_eq!(sent.last().unwrap()["through_peer"], true);
}

/// A server may answer before it has read a long body.
#[tokio::test]
async fn an_early_answer_with_a_length_is_passed_on() {
    let site = Site::start().await;
    let gateway = start_gateway(&site, "gateway-1", site.fleet.store.address()).await;
    site.set(WHOLE);
    for path in PATHS {
        let response = upload(&gateway, path).await;
        assert_eq!((response.status, response.is_complete), (200, true), "{path}: {response:?}");
    }
}
