//! Callers' bodies: together they stay within the memory of a small host, while small requests of
//! other callers are served.

use crate::caller::{Response, metrics, new_id, post, read, request, send};
use crate::cut_off::Site;
use crate::fleet::{Fleet, NOTES, ORDERS, STATUS, configuration};
use crate::process::Gateway;
use serde_json::Value;
use standins::fleet::Server;
use standins::relay::Partition;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Barrier;
use tokio::task::JoinHandle;

/// What the platform gives a gateway's process on small hosts, in megabytes.
const MEMORY_MB: u64 = 110;
const MEMORY_KB: u64 = MEMORY_MB * 1_000_000 / 1_024;
const MAX_BODY_BYTES: usize = 4 << 20;
/// The usual size of a body.
const SMALL_BODY_BYTES: usize = 12_000;
/// The callers that send small requests on kept connections.
const SMALL_CALLERS: usize = 9;

/// Starts a store and servers whose configuration allows large bodies.
async fn fleet(desks: usize, engines: usize) -> Fleet {
    fleet_with(desks, engines, 3_000).await
}

async fn fleet_with(desks: usize, engines: usize, header_timeout_ms: u64) -> Fleet {
    let fleet = Fleet::start(desks, engines).await;
    let mut configuration = configuration(2, &["alpha-key"]);
    configuration["limits"]["maxBodyBytes"] = Value::from(MAX_BODY_BYTES);
    configuration["limits"]["headerTimeoutMs"] = Value::from(header_timeout_ms);
    fleet.store.put_configuration(&configuration);
    fleet
}

/// Returns settings of a host with some memory.
fn settings(fleet: &Fleet, memory_mb: u64) -> String {
    let mut settings: Value = serde_json::from_str(&fleet.settings("gateway-1", &[])).unwrap();
    settings["memory_mb"] = Value::from(memory_mb);
    settings.to_string()
}

async fn small_host(fleet: &Fleet) -> Gateway {
    fleet.gateway_with(&settings(fleet, MEMORY_MB)).await
}

/// Returns the head of a request whose body has a length.
fn head(path: &str, id: &str, extra: &str, length: usize) -> String {
    request(path, id, extra, "").replace("Content-Length: 0", &format!("Content-Length: {length}"))
}

/// Returns how often servers ran a request.
fn runs(servers: &[Server], id: &str) -> usize {
    let runs = servers.iter().flat_map(Server::executed);
    runs.filter(|run| run.request.header("x-attempt-id") == id).count()
}

/// Returns how many bytes a gateway holds for callers' bodies.
async fn held_bytes(gateway: &Gateway) -> u64 {
    let page = metrics(gateway).await;
    let lines = page.lines().filter(|line| line.starts_with("camphorward_memory_held_bytes"));
    let bodies = lines.filter(|line| line.contains("_bodies\""));
    bodies.map(|line| line.rsplit_once(' ').unwrap().1.parse::<u64>().unwrap()).sum()
}

async fn until_given_back(gateway: &Gateway) {
    while held_bytes(gateway).await > 0 {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Callers that send small requests one after another on kept connections.
struct SmallCallers {
    is_over: Arc<AtomicBool>,
    tasks: Vec<JoinHandle<Vec<Response>>>,
}

impl SmallCallers {
    fn start(address: SocketAddr, path: &'static str) -> Self {
        let is_over = Arc::new(AtomicBool::new(false));
        let tasks = (0..SMALL_CALLERS)
            .map(|_| tokio::spawn(ask(address, path, Arc::clone(&is_over))))
            .collect();
        Self { is_over, tasks }
    }

    /// Ends the callers and checks that each of their requests was served.
    async fn assert_served(self) {
        self.is_over.store(true, Ordering::Relaxed);
        for task in self.tasks {
            let responses = task.await.unwrap();
            let is_served = |response: &Response| response.status == 200 && response.is_complete;
            assert!(!responses.is_empty());
            let failed: Vec<_> = responses.iter().filter(|response| !is_served(response)).collect();
            assert!(failed.is_empty(), "{} of {}: {failed:?}", failed.len(), responses.len());
        }
    }
}

async fn ask(address: SocketAddr, path: &str, is_over: Arc<AtomicBool>) -> Vec<Response> {
    let mut responses = Vec::new();
    let mut stream = TcpStream::connect(address).await.unwrap();
    let body = "x".repeat(SMALL_BODY_BYTES);
    while !is_over.load(Ordering::Relaxed) {
        // A connection that was closed shows as an incomplete response.
        drop(stream.write_all(request(path, &new_id(), "", &body).as_bytes()).await);
        let response = read(&mut stream).await;
        let is_lost = !response.is_complete;
        responses.push(response);
        if is_lost {
            break;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    responses
}

/// The response to a large body.
struct Uploaded {
    id: String,
    response: Response,
}

/// Sends bodies at the limit at once: none ends before half of each was sent or refused.
async fn upload(address: SocketAddr, path: &'static str, count: usize) -> Vec<Uploaded> {
    let half = Arc::new(vec![b'y'; MAX_BODY_BYTES / 2]);
    let all_began = Arc::new(Barrier::new(count));
    let uploads = (0..count).map(|_| {
        let (half, all_began) = (Arc::clone(&half), Arc::clone(&all_began));
        tokio::spawn(async move {
            let id = new_id();
            let mut stream = TcpStream::connect(address).await.unwrap();
            let head = head(path, &id, "", MAX_BODY_BYTES);
            stream.write_all(head.as_bytes()).await.unwrap();
            // A gateway may close the connection; what it answered is read all the same.
            drop(stream.write_all(&half).await);
            all_began.wait().await;
            drop(stream.write_all(&half).await);
            Uploaded { id, response: read(&mut stream).await }
        })
    });
    let uploads = futures_util::future::join_all(uploads).await;
    uploads.into_iter().map(Result::unwrap).collect()
}

/// Checks that some bodies were served, and that the others were truthfully refused.
fn assert_served_or_refused(uploads: &[Uploaded], servers: &[Server], min_served: usize) {
    let mut served = 0;
    for Uploaded { id, response } in uploads {
        match response.status {
            200 => {
                served += 1;
                assert_eq!(runs(servers, id), 1, "{id}");
            }
            503 => {
                assert!(response.body.contains("no_memory"), "{response:?}");
                assert!(response.header("retry-after").is_some(), "{response:?}");
                assert_eq!(response.header("connection").as_deref(), Some("close"));
                assert_eq!(runs(servers, id), 0, "{id} was refused as not run");
            }
            _ => panic!("{id}: {response:?}"),
        }
    }
    assert!(served >= min_served, "{served} of {} served", uploads.len());
    let runs = servers.iter().flat_map(Server::executed);
    let large = runs.filter(|run| run.request.body.len() > SMALL_BODY_BYTES);
    assert!(large.into_iter().all(|run| run.request.body == vec![b'y'; MAX_BODY_BYTES]));
}

fn assert_within_memory(gateway: &Gateway, what: &str) {
    let peak_kb = gateway.peak_memory_kb();
    println!("{what}: peak {peak_kb} kB");
    assert!(peak_kb < MEMORY_KB, "{what}: {peak_kb} kB");
}

/// Sends a number of bodies at the limit beside small requests.
async fn assert_bounded(count: usize) {
    let fleet = fleet(2, 1).await;
    let gateway = small_host(&fleet).await;
    let small = SmallCallers::start(gateway.callers, NOTES);
    let uploads = upload(gateway.callers, ORDERS, count).await;
    small.assert_served().await;
    assert_within_memory(&gateway, &format!("{count} bodies"));
    assert_served_or_refused(&uploads, &fleet.desks, count.min(4));
    until_given_back(&gateway).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_body_at_the_limit_is_served_on_a_small_host() {
    assert_bounded(1).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_burst_of_bodies_at_the_limit_stays_within_the_memory_of_a_small_host() {
    assert_bounded(39).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_flood_of_bodies_at_the_limit_stays_within_the_memory_of_a_small_host() {
    assert_bounded(200).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_without_a_length_count_as_they_grow() {
    let fleet = fleet(1, 1).await;
    let gateway = small_host(&fleet).await;
    let small = SmallCallers::start(gateway.callers, NOTES);
    let all_began = Arc::new(Barrier::new(39));
    let uploads = (0..39).map(|_| {
        let (all_began, address) = (Arc::clone(&all_began), gateway.callers);
        tokio::spawn(async move {
            let id = new_id();
            let mut stream = TcpStream::connect(address).await.unwrap();
            let chunked = "Transfer-Encoding: chunked\r\n";
            let head = request(ORDERS, &id, chunked, "").replace("Content-Length: 0\r\n", "");
            stream.write_all(head.as_bytes()).await.unwrap();
            let chunk = [b"10000\r\n".as_slice(), &vec![b'y'; 0x10000], b"\r\n"].concat();
            for index in 0..MAX_BODY_BYTES / 0x10000 {
                if index == MAX_BODY_BYTES / 0x10000 / 2 {
                    all_began.wait().await;
                }
                drop(stream.write_all(&chunk).await);
            }
            drop(stream.write_all(b"0\r\n\r\n").await);
            Uploaded { id, response: read(&mut stream).await }
        })
    });
    let uploads = futures_util::future::join_all(uploads).await;
    let uploads: Vec<_> = uploads.into_iter().map(Result::unwrap).collect();
    small.assert_served().await;
    assert_within_memory(&gateway, "39 chunked bodies");
    assert_served_or_refused(&uploads, &fleet.desks, 2);
    until_given_back(&gateway).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_and_large_answers_stay_within_the_memory_of_a_small_host() {
    let fleet = fleet(1, 1).await;
    let gateway = small_host(&fleet).await;
    fleet.desks[0].set_padding_bytes(4 << 20);
    let small = SmallCallers::start(gateway.callers, NOTES);
    let mut slow_readers = Vec::new();
    for _ in 0..20 {
        let mut stream = TcpStream::connect(gateway.callers).await.unwrap();
        stream.write_all(request(ORDERS, &new_id(), "", "body").as_bytes()).await.unwrap();
        slow_readers.push(stream);
    }
    let uploads = upload(gateway.callers, NOTES, 39).await;
    small.assert_served().await;
    assert_within_memory(&gateway, "39 bodies and 20 answers");
    let large: Vec<_> =
        uploads.into_iter().filter(|upload| upload.response.status != 200).collect();
    assert_served_or_refused(&large, &fleet.engines, 0);
    drop(slow_readers);
    until_given_back(&gateway).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn slow_senders_leave_room_for_others_and_give_theirs_back_once_they_stall() {
    let fleet = fleet_with(1, 1, 500).await;
    let gateway = small_host(&fleet).await;
    let small = SmallCallers::start(gateway.callers, ORDERS);
    let mut senders = Vec::new();
    for _ in 0..60 {
        let id = new_id();
        let mut stream = TcpStream::connect(gateway.callers).await.unwrap();
        let head = head(NOTES, &id, "", MAX_BODY_BYTES).replace("6000", "60000");
        stream.write_all(head.as_bytes()).await.unwrap();
        senders.push((id, stream));
    }
    for _ in 0..20 {
        for (_, stream) in &mut senders {
            // The gateway has closed some.
            drop(stream.write_all(&[b'y'; 100_000]).await);
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert_within_memory(&gateway, "60 slow senders");
    assert!(held_bytes(&gateway).await >= MAX_BODY_BYTES as u64);
    // Now all stall, and others want their room.
    let mut waits = 0;
    while upload(gateway.callers, NOTES, 1).await[0].response.status != 200 {
        waits += 1;
        assert!(waits < 200, "the room of stalled senders is not given back");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    small.assert_served().await;
    until_given_back(&gateway).await;
    for (id, mut stream) in senders {
        let response = read(&mut stream).await;
        assert!([408, 503].contains(&response.status), "{id}: {response:?}");
        assert_eq!(runs(&fleet.engines, &id), 0);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_through_a_tunnel_stay_within_the_memory_of_both_small_hosts() {
    let site = Site::start_on(fleet(3, 3).await).await;
    site.cut.link.set_partition(Partition::Refuse);
    site.also_cut.link.set_partition(Partition::Refuse);
    for gateway in [&site.cut.gateway, &site.also_cut.gateway] {
        while gateway.lines("servers_cut_off").is_empty() {
            post(gateway, STATUS).await;
        }
    }
    let (cut, carries) = (&site.cut.gateway, &site.sound);
    let small_at_cut = SmallCallers::start(cut.callers, ORDERS);
    let small_at_carrier = SmallCallers::start(carries.callers, ORDERS);
    let (at_cut, at_carrier) =
        tokio::join!(upload(cut.callers, ORDERS, 39), upload(carries.callers, ORDERS, 39));
    small_at_cut.assert_served().await;
    small_at_carrier.assert_served().await;
    assert_within_memory(cut, "39 bodies into tunnels");
    assert_within_memory(carries, "39 bodies beside tunnels");
    assert_served_or_refused(&at_cut, &site.fleet.desks, 3);
    assert_served_or_refused(&at_carrier, &site.fleet.desks, 3);
    until_given_back(cut).await;
    until_given_back(carries).await;
}

/// Checks that nothing is held, and that the gateway serves.
async fn assert_sound(gateway: &Gateway, what: &str) {
    until_given_back(gateway).await;
    assert_eq!(post(gateway, ORDERS).await.status, 200, "{what}");
}

#[tokio::test]
async fn a_body_that_is_too_long_is_refused_and_nothing_is_run() {
    let fleet = fleet(1, 0).await;
    let gateway = small_host(&fleet).await;
    let id = new_id();
    let announced = head(ORDERS, &id, "", MAX_BODY_BYTES + 1);
    let response = send(gateway.callers, &announced).await;
    assert_eq!((response.status, response.body.contains("body_too_large")), (413, true));
    let chunked = "Transfer-Encoding: chunked\r\n";
    let grown = request(ORDERS, &id, chunked, "").replace("Content-Length: 0\r\n", "")
        + "400001\r\n"
        + &"y".repeat(MAX_BODY_BYTES + 1)
        + "\r\n0\r\n\r\n";
    assert_eq!(send(gateway.callers, &grown).await.status, 413);
    assert_eq!(runs(&fleet.desks, &id), 0);
    assert_sound(&gateway, "too long").await;
}

#[tokio::test]
async fn a_body_of_another_length_than_announced_touches_nothing_else() {
    let fleet = fleet(1, 0).await;
    let gateway = small_host(&fleet).await;
    // Longer: the surplus is no request.
    let id = new_id();
    let mut stream = TcpStream::connect(gateway.callers).await.unwrap();
    let longer = head(ORDERS, &id, "", 4) + "bodyand more than that";
    stream.write_all(longer.as_bytes()).await.unwrap();
    assert_eq!(read(&mut stream).await.status, 200);
    stream.write_all(b"\r\n\r\n").await.unwrap();
    let surplus = read(&mut stream).await;
    assert!([0, 400].contains(&surplus.status), "{surplus:?}");
    assert_eq!((fleet.desks[0].executed().len(), runs(&fleet.desks, &id)), (1, 1));
    // Shorter: the caller leaves, or waits.
    for leaves in [true, false] {
        let id = new_id();
        let mut stream = TcpStream::connect(gateway.callers).await.unwrap();
        let shorter = head(ORDERS, &id, "", MAX_BODY_BYTES).replace("6000", "700") + "body";
        stream.write_all(shorter.as_bytes()).await.unwrap();
        if !leaves {
            let response = read(&mut stream).await;
            assert_eq!((response.status, response.is_complete), (408, true));
        }
        drop(stream);
        until_given_back(&gateway).await;
        assert_eq!(runs(&fleet.desks, &id), 0);
    }
    assert_sound(&gateway, "another length").await;
}

#[tokio::test]
async fn a_length_that_is_no_number_is_refused() {
    let fleet = fleet(1, 0).await;
    let gateway = small_host(&fleet).await;
    for length in ["many", "-1", "4, 5", "99999999999999999999999", "0x4", "+4"] {
        let id = new_id();
        let text = request(ORDERS, &id, "", "body");
        let text = text.replace("Content-Length: 4", &format!("Content-Length: {length}"));
        let response = send(gateway.callers, &text).await;
        assert!([0, 400, 413].contains(&response.status), "{length}: {response:?}");
        assert_eq!(runs(&fleet.desks, &id), 0, "{length}");
        assert_sound(&gateway, length).await;
    }
}

/// Sends the head of a request that waits for permission, and returns what comes first.
async fn ask_permission(gateway: &Gateway, id: &str) -> (TcpStream, String) {
    let mut stream = TcpStream::connect(gateway.callers).await.unwrap();
    let head = head(ORDERS, id, "Expect: 100-continue\r\n", MAX_BODY_BYTES);
    stream.write_all(head.as_bytes()).await.unwrap();
    let mut buffer = [0; 4096];
    let count = stream.read(&mut buffer).await.unwrap();
    (stream, String::from_utf8_lossy(&buffer[..count]).into_owned())
}

#[tokio::test]
async fn a_body_is_asked_for_only_if_there_is_room() {
    let fleet = fleet(1, 0).await;
    let gateway = small_host(&fleet).await;
    let id = new_id();
    let (mut stream, first) = ask_permission(&gateway, &id).await;
    assert_eq!(first, "HTTP/1.1 100 Continue\r\n\r\n");
    stream.write_all(&vec![b'y'; MAX_BODY_BYTES]).await.unwrap();
    assert_eq!(read(&mut stream).await.status, 200);
    assert_eq!(runs(&fleet.desks, &id), 1);
    drop(gateway);
    // A host whose memory has no room for such a body.
    let gateway = fleet.gateway_with(&settings(&fleet, 16)).await;
    let id = new_id();
    let (mut stream, first) = ask_permission(&gateway, &id).await;
    assert!(first.starts_with("HTTP/1.1 503 "), "{first}");
    let mut rest = Vec::new();
    stream.read_to_end(&mut rest).await.unwrap();
    assert!(!String::from_utf8_lossy(&rest).contains("100 Continue"), "{rest:?}");
    assert_eq!(runs(&fleet.desks, &id), 0);
    let refusals = "camphorward_refusals{kind=\"no_memory\"} 1";
    assert!(metrics(&gateway).await.contains(refusals));
    assert_sound(&gateway, "no room").await;
}
