//! Case 2: a gateway is added shortly before new weights are named.
//!
//! The gateway that leads the rollout frees the parts of the older weights at the store, once all
//! gateways that it knows of have stopped using them. It does not know of the added one yet.

use crate::blocks::BlockStore;
use crate::caller;
use crate::gateway::{self, Gateway};
use crate::http::{self, Answer};
use crate::map;
use crate::model_server::ModelServer;
use crate::record::Record;
use crate::store::Store;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const PATH: &str = "/dossier/";
/// How often the day is played, unless the rule is broken before.
const PLAYS: u64 = 5;
/// The gateways of the small site.
const GATEWAYS: usize = 7;
/// The machines that are added: the spare ones of its three zones.
const ADDED: usize = 3;
/// The sessions whose prompts return; each has 9,122 tokens that its prompts share.
const SESSIONS: u64 = 24;
/// The requests a second at the gateways together: 18.8. Once gateways are added, callers connect to
/// these mostly: 1.8 a second stay at the others, 5.7 reach each added one.
const INTERVAL: Duration = Duration::from_millis(372);
const LATER_INTERVAL: Duration = Duration::from_millis(4_000);
const ADDED_INTERVAL: Duration = Duration::from_millis(176);

/// Moves of memory take this many times as long at a share of the servers, for some seconds.
const SLOWNESS: f64 = 8.0;
const SLOW_SHARE: f64 = 0.28;
const SLOW_TIME: Duration = Duration::from_millis(4_600);
/// The time between the namings of two versions.
const NAMED_APART: Duration = Duration::from_millis(5_000);

/// Plays the day a few times, each time with new processes and new callers, as the moment at which
/// parts are freed may find no fetch under way.
pub fn run(folder: &Path, record: &Record, has_trouble: bool) -> io::Result<bool> {
    for play in 0..PLAYS {
        record.say(&format!("play {}", play + 1));
        if play_day(folder, record, has_trouble, play)? {
            return Ok(true);
        }
    }
    Ok(false)
}

fn play_day(folder: &Path, record: &Record, has_trouble: bool, play: u64) -> io::Result<bool> {
    let store = Store::start()?;
    let okugura = (81_000.0, 0.5);
    let block_stores = [
        // The third copy of this store is in the other region, and no server here uses it.
        BlockStore::start("okugura-1", "kuma", okugura, 142_723, record)?,
        BlockStore::start("okugura-2", "uto", okugura, 142_723, record)?,
    ];
    let zones = ["kuma", "uto"];
    let mut servers: Vec<Arc<ModelServer>> = Vec::new();
    for index in 0..8 {
        let (id, zone) = (format!("i-{index}"), zones[index % zones.len()]);
        servers.push(ModelServer::start(&id, zone, &store, &block_stores, record)?);
    }
    let routes = vec![gateway::route(PATH, "stream", "mokume", 2, 15_000)];
    let mut services = vec![gateway::engines_service("mokume")];
    services.extend(block_stores.iter().map(|store| store.service()));
    store.put("keyed.op", "config", &gateway::desired_state(1, routes, services));

    let mut gateways = crate::start_gateways(folder, &store, GATEWAYS)?;
    let mut added: Vec<Gateway> = Vec::new();
    for index in 0..ADDED {
        added.push(crate::new_gateway(folder, GATEWAYS + index)?);
    }
    let seeds: Vec<SocketAddr> = gateways.iter().take(3).map(|gateway| gateway.peers).collect();
    for gateway in &mut added {
        gateway.write_settings(store.address, &seeds)?;
        if !has_trouble {
            gateway.start()?;
        }
    }
    // The gateways list each other at the start, two seconds later, and then every twenty seconds.
    std::thread::sleep(Duration::from_millis(2_600));

    let is_over = Arc::new(AtomicBool::new(false));
    let served = Arc::new(AtomicU64::new(0));
    let mut callers = Vec::new();
    let mut send_to = |address: SocketAddr, seed: u64, interval: &Arc<Mutex<Duration>>| {
        let (is_over, served) = (Arc::clone(&is_over), Arc::clone(&served));
        let interval = Arc::clone(interval);
        callers.push(std::thread::spawn(move || call(address, seed, &interval, &is_over, &served)));
    };
    let interval = Arc::new(Mutex::new(INTERVAL));
    let added_interval = Arc::new(Mutex::new(ADDED_INTERVAL));
    record.line("traffic begins");
    for (index, gateway) in gateways.iter().enumerate() {
        send_to(gateway.callers, 1_000 * play + index as u64, &interval);
    }
    std::thread::sleep(Duration::from_millis(3_500));
    if has_trouble {
        record.line("gateways are added");
        for gateway in &mut added {
            gateway.start()?;
        }
    }
    for (index, gateway) in added.iter().enumerate() {
        if !gateway.wait_ready(Duration::from_secs(10)) {
            return Err(io::Error::other("an added gateway does not get ready"));
        }
        send_to(gateway.callers, 1_000 * play + 100 + index as u64, &added_interval);
    }
    *interval.lock().unwrap() = LATER_INTERVAL;
    std::thread::sleep(Duration::from_millis(1_000));
    name_versions(&store, &servers, record);
    is_over.store(true, Ordering::Relaxed);
    callers.into_iter().for_each(|caller| drop(caller.join()));
    gateway::kill_all(&mut gateways);
    gateway::kill_all(&mut added);
    servers.iter().for_each(|server| server.end());
    for line in gateways.iter().flat_map(|gateway| gateway.lines("older_parts_given_up")) {
        record.line(&line);
    }
    let bad: Vec<_> =
        servers.iter().flat_map(|server| server.bad_fetches.lock().unwrap().clone()).collect();
    for fetch in &bad {
        record.line(&format!("MIXED {} takes {:?}: {:?}", fetch.attempt, fetch.key, fetch.what));
    }
    let fetches: u64 = servers.iter().map(|server| *server.fetches.lock().unwrap()).sum();
    record.say(&format!(
        "{} requests served, {fetches} fetches, {} parts freed; requests that took memory which was \
         freed before the fetch ended: {} (any breaks MIXED)",
        served.load(Ordering::Relaxed),
        block_stores.iter().map(|store| store.freed()).sum::<u64>(),
        bad.len()
    ));
    Ok(!bad.is_empty())
}

/// Names new weights twice, and makes moves of memory slow meanwhile.
fn name_versions(store: &Store, servers: &[Arc<ModelServer>], record: &Record) {
    let slow = &servers[servers.len() - (SLOW_SHARE * servers.len() as f64) as usize..];
    let set_slowness = |times: f64| slow.iter().for_each(|server| server.set_slowness(times));
    for version in [2, 3] {
        record.line(&format!("version {version} is named"));
        let target = map! { "model": "daka510000", "version": version };
        store.put("keyed.op", "version/daka510000", &target);
        set_slowness(SLOWNESS);
        std::thread::sleep(if version == 2 { NAMED_APART } else { SLOW_TIME });
    }
    set_slowness(1.0);
    let has_all = servers.iter().all(|server| server.version() == 3);
    record.line(&format!("all servers have version 3: {has_all}"));
}

/// Sends requests of returning sessions to one gateway, each on a thread of its own.
fn call(
    address: SocketAddr,
    seed: u64,
    interval: &Mutex<Duration>,
    is_over: &AtomicBool,
    served: &Arc<AtomicU64>,
) {
    let mut threads = Vec::new();
    let mut random = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
    while !is_over.load(Ordering::Relaxed) {
        for shift in [13, 7, 17] {
            random ^= if shift == 7 { random >> shift } else { random << shift };
        }
        let session = (random >> 8) % SESSIONS;
        let served = Arc::clone(served);
        threads.push(std::thread::spawn(move || {
            if send(address, session).status == 200 {
                served.fetch_add(1, Ordering::Relaxed);
            }
        }));
        let interval = *interval.lock().unwrap();
        std::thread::sleep(interval.mul_f64(0.5 + (random >> 40) as f64 / (1 << 24) as f64));
    }
    threads.into_iter().for_each(|thread| drop(thread.join()));
}

fn send(address: SocketAddr, session: u64) -> Answer {
    let id = caller::new_id();
    let own = u64::from_str_radix(&id[8..], 16).unwrap_or(0);
    let prompt = format!(
        "X-Model: daka510000\r\nX-Token-Count: 11992,64\r\n\
         X-Prompt-Prefix: {:x}:9122,{:x}:2870\r\n",
        0x5c1e_a000 + session,
        0xe440_0000 + own
    );
    let head = caller::head(&format!("{PATH}{session}"), &id, 15_000, &prompt, 4);
    let opened = caller::open(address, format!("{head}note").as_bytes());
    opened.map_or_else(Answer::default, |mut opened| http::read_answer(&mut opened))
}
