//! Case 3: callers send bodies at the limit of the desired state, and a gateway's memory runs out.
//!
//! The platform's part: a process that takes more memory than its machine has is killed, and
//! started again after a short delay.

use crate::caller;
use crate::engine::Engine;
use crate::gateway::{self, Gateway};
use crate::http;
use crate::record::Record;
use crate::store::Store;
use std::collections::HashSet;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The machine's memory (`memoryMb`), in bytes.
const MEMORY_BYTES: u64 = 110 << 20;
/// The desired state's `maxBodyBytes`.
const MAX_BODY_BYTES: usize = 4_194_304;
/// The size of this kind of request on the sheet.
const BODY_BYTES: usize = 12_000;
const PATH: &str = "/dossier/";
/// The burst: 0.7 times the usual 18.8 requests a second in addition, for three seconds.
const BURST_REQUESTS: usize = 39;
const BURST_TIME: Duration = Duration::from_millis(3_000);
/// How fast a caller of the burst sends, in bytes a millisecond: 10 Mbit/s.
const UPLOAD_BYTES_PER_MS: usize = 1_250;
const DEADLINE_MS: u64 = 15_000;
/// The time from one request to the next on a channel.
const CYCLE: Duration = Duration::from_millis(1_700);

/// A request on a channel that carried one before.
struct Sent {
    attempt: String,
    gateway: usize,
    status: u16,
    is_complete: bool,
}

pub fn run(folder: &Path, record: &Record, has_trouble: bool) -> io::Result<bool> {
    let store = Store::start()?;
    let plan = (64, Duration::from_millis(20));
    let zones = ["kuma", "izumi", "uto"];
    let mut engines = Vec::new();
    for index in 0..12 {
        let id = format!("i-{index}");
        engines.push(Engine::start(&id, zones[index % 3], "v1", plan, &store, record)?);
    }
    let routes = vec![gateway::route(PATH, "stream", "mokume", 2, DEADLINE_MS as u32)];
    let services = vec![gateway::engines_service("mokume")];
    store.put("keyed.op", "config", &gateway::desired_state(1, routes, services));
    let gateways = crate::start_gateways(folder, &store, 7)?;
    let addresses: Vec<SocketAddr> = gateways.iter().map(|gateway| gateway.callers).collect();
    std::thread::sleep(Duration::from_millis(3_000));

    let is_over = Arc::new(AtomicBool::new(false));
    let is_stopped = Arc::new(AtomicBool::new(false));
    let platform = watch_memory(gateways, &is_stopped, record);
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    // The share of channels of each gateway is uneven.
    let channels = addresses.iter().enumerate().flat_map(|(index, address)| {
        let count = if index == 0 { 12 } else { 4 };
        (0..count).map(move |number| (index, *address, CYCLE * number / count))
    });
    let callers: Vec<_> = channels
        .map(|(gateway, address, delay)| {
            let (is_over, sent, record) = (Arc::clone(&is_over), Arc::clone(&sent), record.clone());
            std::thread::spawn(move || {
                std::thread::sleep(delay);
                call(gateway, address, &is_over, &sent, &record);
            })
        })
        .collect();
    std::thread::sleep(Duration::from_millis(7_000));

    let body_bytes = if has_trouble { MAX_BODY_BYTES } else { BODY_BYTES };
    record.line(&format!("a burst of one caller begins: {BURST_REQUESTS} bodies of {body_bytes}"));
    let burst: Vec<_> = (0..BURST_REQUESTS)
        .map(|number| {
            let (address, record) = (addresses[0], record.clone());
            std::thread::sleep(BURST_TIME / BURST_REQUESTS as u32);
            std::thread::spawn(move || upload(address, number, body_bytes, &record))
        })
        .collect();
    let served = burst.into_iter().filter_map(|upload| upload.join().ok()).filter(|is| *is).count();
    std::thread::sleep(Duration::from_millis(3_000));
    is_over.store(true, Ordering::Relaxed);
    callers.into_iter().for_each(|caller| drop(caller.join()));
    is_stopped.store(true, Ordering::Relaxed);
    let kills = platform.join().unwrap_or_default();

    let run: HashSet<String> = engines
        .iter()
        .flat_map(|engine| engine.runs.lock().unwrap().clone())
        .map(|run| run.attempt)
        .collect();
    let sent = sent.lock().unwrap();
    let lost: Vec<&Sent> =
        sent.iter().filter(|sent| run.contains(&sent.attempt) && !sent.is_complete).collect();
    for sent in &lost {
        record.line(&format!(
            "LOST {} at gateway {}: a server ran it, and its kept channel closed (status {})",
            sent.attempt,
            sent.gateway + 1,
            sent.status
        ));
    }
    record.say(&format!(
        "{} requests on kept channels, {served} of {BURST_REQUESTS} of the burst served; gateways \
         killed for their memory: {kills}; requests that a server ran and whose kept channel closed \
         without a whole answer: {} (more than three break LOST)",
        sent.len(),
        lost.len()
    ));
    Ok(lost.len() > 3)
}

/// Kills and restarts gateways that take more memory than their machines have; returns how often.
fn watch_memory(
    mut gateways: Vec<Gateway>,
    is_stopped: &Arc<AtomicBool>,
    record: &Record,
) -> std::thread::JoinHandle<usize> {
    let (is_stopped, record) = (Arc::clone(is_stopped), record.clone());
    std::thread::spawn(move || {
        let mut kills = 0;
        let mut peak = 0;
        while !is_stopped.load(Ordering::Relaxed) {
            std::thread::sleep(Duration::from_millis(10));
            for gateway in &mut gateways {
                let bytes = resident_bytes(gateway.id());
                peak = peak.max(bytes);
                if bytes > MEMORY_BYTES {
                    record.line(&format!("{} takes {bytes} bytes and is killed", gateway.host));
                    gateway.kill();
                    kills += 1;
                    std::thread::sleep(Duration::from_millis(500));
                    if gateway.start().is_err() {
                        record.line("it does not start again");
                    }
                }
            }
        }
        record.line(&format!("the most that a gateway took: {peak} bytes"));
        kills
    })
}

fn resident_bytes(process: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    kilobytes.unwrap_or(0) * 1024
}

/// Sends requests of the usual size one after another on a kept channel.
fn call(
    gateway: usize,
    address: SocketAddr,
    is_over: &AtomicBool,
    sent: &Mutex<Vec<Sent>>,
    record: &Record,
) {
    let mut channel: Option<BufReader<TcpStream>> = None;
    let body = vec![b'x'; BODY_BYTES];
    while !is_over.load(Ordering::Relaxed) {
        let id = caller::new_id();
        let mut bytes = request_head(&id, BODY_BYTES).into_bytes();
        bytes.extend(&body);
        let is_kept = channel.is_some();
        let opened = match channel.take() {
            Some(mut kept) => kept.get_mut().write_all(&bytes).ok().map(|()| kept),
            None => caller::open(address, &bytes),
        };
        let Some(mut stream) = opened else {
            std::thread::sleep(Duration::from_millis(300));
            continue;
        };
        let answer = http::read_answer(&mut stream);
        record.line(&format!(
            "{id} at gateway {} is answered {}, whole: {}",
            gateway + 1,
            answer.status,
            answer.is_complete
        ));
        if is_kept {
            let (status, is_complete) = (answer.status, answer.is_complete);
            sent.lock().unwrap().push(Sent { attempt: id, gateway, status, is_complete });
        }
        if answer.is_complete && !answer.header("connection").eq_ignore_ascii_case("close") {
            channel = Some(stream);
        }
        std::thread::sleep(Duration::from_millis(400));
    }
}

/// Sends one request of the burst at the caller's speed; returns whether it was answered well.
fn upload(address: SocketAddr, number: usize, body_bytes: usize, record: &Record) -> bool {
    const PIECE_MS: usize = 20;
    let id = caller::new_id();
    let Some(mut stream) = caller::open(address, request_head(&id, body_bytes).as_bytes()) else {
        record.line(&format!("{id} of the burst gets no channel"));
        return false;
    };
    let body = vec![b'y'; body_bytes];
    let begun = Instant::now();
    for (index, piece) in body.chunks(UPLOAD_BYTES_PER_MS * PIECE_MS).enumerate() {
        let due = begun + Duration::from_millis((index * PIECE_MS) as u64);
        std::thread::sleep(due.saturating_duration_since(Instant::now()));
        if stream.get_mut().write_all(piece).is_err() {
            break;
        }
    }
    let answer = http::read_answer(&mut stream);
    record.line(&format!(
        "{id}, number {} of the burst, is answered {}, whole: {}",
        number + 1,
        answer.status,
        answer.is_complete
    ));
    answer.status == 200 && answer.is_complete
}

fn request_head(id: &str, length: usize) -> String {
    let prompt = format!(
        "X-Model: daka510000\r\nX-Token-Count: 11992,64\r\n\
         X-Prompt-Prefix: 5c1e07a2:9122,{}:2870\r\n",
        &id[8..]
    );
    caller::head(&format!("{PATH}{id}"), id, DEADLINE_MS, &prompt, length)
}
