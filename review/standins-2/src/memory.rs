//! Servers send heads without end to many callers, while some callers send bodies at the limit of the
//! desired state. The stand-in for the platform kills the process that exceeds its memory.

use crate::caller::{Answer, new_id, prompt, read};
use crate::engine::Engine;
use crate::gateway::{Gateway, settings};
use crate::site::{Log, NOTES, SERVICE, Tenant, desired_state, until};
use crate::{Problem, Verdict};
use serde_json::json;
use standins::fleet::{Server, ServerKind, Store};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const KEY: &str = "nu6wsjnbanfqasnmgkcu";
const ORDERS: &str = "/defi252/";
/// `memoryMb` of the site's machines, in kilobytes of 1,024 bytes.
const MEMORY_KB: u64 = 110 * 1_024;
/// `maxBodyBytes` of the desired state.
const MAX_BODY_BYTES: usize = 4_194_304;
const ENGINES: [&str; 4] = ["i-7f3a91c2", "i-b03b4c0b", "i-e8f678e7", "i-3a895d21"];
/// The callers whose requests get answers without end, and the size of their bodies.
const CROWD: usize = 680;
const BODY_BYTES: usize = 10_000;
/// The callers that send bodies at the limit, most of whose bytes arrive.
const LARGE_BODIES: usize = 8;
/// The callers of a sound server, one request after the other on kept connections.
const ORDERERS: usize = 12;

/// What callers of the sound server have sent and got.
#[derive(Default)]
struct Orders {
    answered: AtomicU64,
    /// The attempts that got no whole answer.
    cut: Mutex<BTreeSet<String>>,
}

fn resident_kb(gateway: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{gateway}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.trim().trim_end_matches(" kB").parse().ok()).unwrap_or(0)
}

/// Kills a process once it takes more than its memory, as the platform does.
fn watch(gateway: u32, peak_kb: Arc<AtomicU64>, is_killed: Arc<AtomicBool>) {
    std::thread::spawn(move || {
        while std::path::Path::new(&format!("/proc/{gateway}/stat")).exists() {
            let resident = resident_kb(gateway);
            peak_kb.fetch_max(resident, Ordering::Relaxed);
            if resident > MEMORY_KB {
                is_killed.store(true, Ordering::Relaxed);
                let id = gateway.to_string();
                drop(std::process::Command::new("kill").args(["-KILL", &id]).status());
                return;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
    });
}

fn engine_request(body_bytes: usize) -> String {
    let id = new_id();
    let parts = format!("{}:90", &id[8..]);
    let text = prompt(&format!("{NOTES}2f"), &id, KEY, &parts, 90, "");
    let head = text.split_once("Content-Length").map_or("", |(head, _)| head);
    format!("{head}Content-Length: {body_bytes}\r\n\r\n")
}

/// Sends a request and reads whatever comes.
async fn crowd(address: SocketAddr) {
    let text = engine_request(BODY_BYTES) + &"b".repeat(BODY_BYTES);
    let Ok(mut stream) = TcpStream::connect(address).await else { return };
    if stream.write_all(text.as_bytes()).await.is_ok() {
        drop(stream.read_to_end(&mut Vec::new()).await);
    }
}

/// Sends a body at the limit at 10 Mbit/s, up to its last bytes, and stays.
async fn large_body(address: SocketAddr) {
    const PIECE_BYTES: usize = 32_768;
    let Ok(mut stream) = TcpStream::connect(address).await else { return };
    if stream.write_all(engine_request(MAX_BODY_BYTES).as_bytes()).await.is_err() {
        return;
    }
    let piece = vec![b'b'; PIECE_BYTES];
    for _ in 0..MAX_BODY_BYTES / PIECE_BYTES - 1 {
        if stream.write_all(&piece).await.is_err() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(26)).await;
    }
    drop(stream.read_to_end(&mut Vec::new()).await);
}

/// Sends orders one after the other on one connection, until it ends.
async fn order(address: SocketAddr, orders: Arc<Orders>, is_over: Arc<AtomicBool>) {
    let Ok(mut stream) = TcpStream::connect(address).await else { return };
    while !is_over.load(Ordering::Relaxed) {
        let id = new_id();
        let text = format!(
            "POST {ORDERS}2f HTTP/1.1\r\nHost: pule25.example\r\nX-Attempt-Id: {id}\r\n\
             Authorization: Bearer {KEY}\r\nX-Deadline-Ms: 2000\r\nContent-Length: 4\r\n\r\nbody"
        );
        if stream.write_all(text.as_bytes()).await.is_err() {
            return;
        }
        let Answer { is_complete, .. } = read(&mut stream).await;
        if !is_complete {
            orders.cut.lock().unwrap_or_else(PoisonError::into_inner).insert(id);
            return;
        }
        orders.answered.fetch_add(1, Ordering::Relaxed);
    }
}

pub async fn play(program: &str, has_trouble: bool, log: &mut Log) -> Result<Verdict, Problem> {
    let store = Store::start().await?;
    let mut engines = Vec::new();
    for id in ENGINES {
        let engine = Engine::start(id, "v1", 10, Duration::from_millis(200)).await?;
        store.register(id, &engine.entry(SERVICE, "ready"));
        engines.push(engine);
    }
    let desk = Server::start("i-5c02d7e1", ServerKind::Plain).await?;
    // Within the work of the sheet's orders, 450 ms at most.
    desk.set_execution_time(Duration::from_millis(400));
    store.register(&desk.id(), &desk.entry("daifuku", "kuma", 1, "ready"));
    let mut state = desired_state(1, &[Tenant { name: "alpha", key: KEY, is_dedicated: false }]);
    state["limits"]["maxBodyBytes"] = MAX_BODY_BYTES.into();
    let route = json!({
        "name": "hold-billet", "host": "pule25.example", "pathPrefix": ORDERS, "kind": "unsafe",
        "timeoutMs": 1000, "targetLatencyMs": 300, "priority": 2, "service": "daifuku",
        "maxAttempts": 1, "public": false
    });
    let service = json!({ "name": "daifuku", "healthPath": "/health", "maxConns": 100 });
    for (list, entry) in [("routes", route), ("services", service)] {
        state[list].as_array_mut().ok_or("the desired state has lists")?.push(entry);
    }
    store.put_configuration(&state);
    let gateway = Gateway::start(program, &settings("front-kuma-1", store.address()))?;
    let servers = engines.len() + 1;
    until("the servers are listed", || gateway.lines("server_joined").len() >= servers).await?;
    until("it is in force", || !gateway.lines("configuration_in_force").is_empty()).await?;
    tokio::time::sleep(Duration::from_millis(500)).await;
    log.add(format!("idle: {} kB", resident_kb(gateway.id())));
    engines.iter().for_each(|engine| engine.set_endless_heads(has_trouble));

    let (peak_kb, is_killed) = (Arc::<AtomicU64>::default(), Arc::<AtomicBool>::default());
    watch(gateway.id(), Arc::clone(&peak_kb), Arc::clone(&is_killed));
    let (orders, is_over) = (Arc::<Orders>::default(), Arc::<AtomicBool>::default());
    let address = gateway.callers;
    let mut ordering = Vec::new();
    for _ in 0..ORDERERS {
        ordering.push(tokio::spawn(order(address, Arc::clone(&orders), Arc::clone(&is_over))));
    }
    let mut others = Vec::new();
    for _ in 0..LARGE_BODIES {
        others.push(tokio::spawn(large_body(address)));
    }
    tokio::time::sleep(Duration::from_secs(4)).await;
    log.add(format!("{LARGE_BODIES} bodies at the limit: {} kB", resident_kb(gateway.id())));
    for index in 0..CROWD {
        others.push(tokio::spawn(crowd(address)));
        if index % 20 == 19 {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
    for _ in 0..10 {
        tokio::time::sleep(Duration::from_millis(500)).await;
        log.add(format!("{CROWD} callers beside them: {} kB", resident_kb(gateway.id())));
        if is_killed.load(Ordering::Relaxed) {
            log.add("the process took more than its memory and is killed");
            break;
        }
    }
    is_over.store(true, Ordering::Relaxed);
    for task in ordering {
        task.await?;
    }
    others.iter().for_each(tokio::task::JoinHandle::abort);
    let passed_on: BTreeSet<String> = desk.attempts().into_iter().map(|(_, id)| id).collect();
    let cut = orders.cut.lock().unwrap_or_else(PoisonError::into_inner).clone();
    let lost: Vec<&String> = cut.iter().filter(|id| passed_on.contains(*id)).collect();
    log.add(format!("peak: {} kB of {MEMORY_KB}", peak_kb.load(Ordering::Relaxed)));
    log.add(format!("orders answered: {}", orders.answered.load(Ordering::Relaxed)));
    log.add(format!("orders passed on to the sound server and cut off: {} {lost:?}", lost.len()));
    Ok(if lost.len() > 3 { Verdict::Broken } else { Verdict::Held })
}
