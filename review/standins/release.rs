//! Case 1: all gateways are killed while the last servers of a software version drain.
//!
//! Half of the servers have the new software version already; the other half is released now. Its
//! servers report draining and serve on. Then all gateways are killed and started again. Callers
//! take their streams up again. No stream may go on at the other version.

use crate::caller;
use crate::engine::Engine;
use crate::gateway;
use crate::http::{self, Answer};
use crate::record::Record;
use crate::store::Store;
use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

const OLD: &str = "v1";
const NEW: &str = "v2";
const PATH: &str = "/dossier/";
const STREAMS: usize = 24;
const EVENTS: u64 = 64;
const EVENT_GAP: Duration = Duration::from_millis(110);
const DEADLINE_MS: u64 = 15_000;
/// How long after a broken connection a caller comes back.
const RETURN_DELAY: Duration = Duration::from_millis(200);

/// A stream as its caller holds it, over one or two tries.
struct Stream {
    path: String,
    /// The software version and the number of each event.
    events: Vec<(u64, String)>,
    is_complete: bool,
    tries: Vec<String>,
}

impl Stream {
    fn versions(&self) -> BTreeSet<&str> {
        self.events.iter().map(|(_, version)| version.as_str()).collect()
    }
}

pub fn run(folder: &Path, record: &Record, has_trouble: bool) -> io::Result<bool> {
    let store = Store::start()?;
    let plan = (EVENTS, EVENT_GAP);
    let start = |id: &str, zone, software| Engine::start(id, zone, software, plan, &store, record);
    let old = [start("i-old1", "kuma", OLD)?, start("i-old2", "uto", OLD)?];
    let mut new = vec![start("i-new1", "kuma", NEW)?, start("i-new2", "uto", NEW)?];
    let routes = vec![gateway::route(PATH, "stream", "mokume", 2, DEADLINE_MS as u32)];
    let services = vec![gateway::engines_service("mokume")];
    store.put("keyed.op", "config", &gateway::desired_state(1, routes, services));

    let mut gateways = crate::start_gateways(folder, &store, 7)?;
    // The second listing of the gateways is two seconds after the first.
    std::thread::sleep(Duration::from_millis(4_000));
    let addresses: Vec<SocketAddr> = gateways.iter().map(|gateway| gateway.callers).collect();
    let readiness: Vec<SocketAddr> = gateways.iter().map(|gateway| gateway.ready).collect();

    record.line("callers begin their streams");
    let callers: Vec<_> = (0..STREAMS)
        .map(|index| {
            let (addresses, readiness) = (addresses.clone(), readiness.clone());
            let record = record.clone();
            std::thread::spawn(move || call(index, &addresses, &readiness, &record))
        })
        .collect();
    std::thread::sleep(Duration::from_millis(1_500));

    record.line("the release replaces the servers of the old version");
    new.push(start("i-new3", "kuma", NEW)?);
    new.push(start("i-new4", "uto", NEW)?);
    std::thread::sleep(Duration::from_millis(300));
    old.iter().for_each(|engine| engine.drain(&store));
    std::thread::sleep(Duration::from_millis(1_500));

    if has_trouble {
        record.line("all gateways are killed");
        gateway::kill_all(&mut gateways);
        std::thread::sleep(Duration::from_millis(600));
        record.line("all gateways start again");
        for gateway in &mut gateways {
            gateway.start()?;
        }
    }
    let streams: Vec<Stream> =
        callers.into_iter().map(|caller| caller.join().expect("a caller ends")).collect();
    old.iter().for_each(|engine| engine.end(&store));
    Ok(judge(&streams, &old, &new, record))
}

/// Begins a stream, and takes it up again once if its connection breaks.
fn call(
    index: usize,
    addresses: &[SocketAddr],
    readiness: &[SocketAddr],
    record: &Record,
) -> Stream {
    let first = caller::new_id();
    let path = format!("{PATH}{index}");
    let mut stream =
        Stream { path, events: Vec::new(), is_complete: false, tries: vec![first.clone()] };
    let deadline = Instant::now() + Duration::from_millis(DEADLINE_MS);
    let gateway = index % addresses.len();
    record.line(&format!("caller sends {first} of {} to gateway {}", stream.path, gateway + 1));
    let answer = send(addresses[gateway], &stream, &first, index, deadline, "");
    stream.take(&answer, &first, record);
    if answer.is_complete || stream.events.is_empty() {
        return stream;
    }
    std::thread::sleep(RETURN_DELAY);
    // The platform sends a new channel to a gateway that says that it is ready.
    let mut next = index + 1;
    while Instant::now() < deadline {
        next += 1;
        let gateway = next % addresses.len();
        if caller::get(readiness[gateway], "/camphorward/ready").status != 200 {
            std::thread::sleep(Duration::from_millis(50));
            continue;
        }
        let again = caller::new_id();
        stream.tries.push(again.clone());
        let last = stream.events.last().map_or(0, |(event, _)| *event);
        let extra = format!("Last-Event-Id: {last}\r\nResumes: {first}\r\n");
        record.line(&format!(
            "caller sends {again} of {} to gateway {}: goes on after event {last}",
            stream.path,
            gateway + 1
        ));
        let answer = send(addresses[gateway], &stream, &again, index, deadline, &extra);
        stream.take(&answer, &again, record);
        break;
    }
    stream
}

fn send(
    address: SocketAddr,
    stream: &Stream,
    id: &str,
    index: usize,
    deadline: Instant,
    extra: &str,
) -> Answer {
    let left_ms = deadline.saturating_duration_since(Instant::now()).as_millis() as u64;
    let prompt = format!(
        "X-Model: daka510000\r\nX-Token-Count: 900,64\r\nX-Prompt-Prefix: a1:650,{:x}:250\r\n",
        0x1000 + index
    );
    let body = "dossier";
    let head = caller::head(&stream.path, id, left_ms, &format!("{prompt}{extra}"), body.len());
    let opened = caller::open(address, format!("{head}{body}").as_bytes());
    opened.map_or_else(Answer::default, |mut opened| http::read_answer(&mut opened))
}

impl Stream {
    /// Adds the events of an answer.
    fn take(&mut self, answer: &Answer, attempt: &str, record: &Record) {
        let text = String::from_utf8_lossy(&answer.body);
        for event in text.split_inclusive("\n\n").filter(|event| event.ends_with("\n\n")) {
            let mut words = event.split_whitespace();
            let number = words.nth(1).and_then(|number| number.parse().ok()).unwrap_or(0);
            let version = words.nth(2).unwrap_or("?").to_owned();
            self.events.push((number, version));
        }
        self.is_complete = answer.status == 200 && answer.is_complete;
        record.line(&format!(
            "{attempt} of {} is answered {}, {} events so far, {}",
            self.path,
            answer.status,
            self.events.len(),
            if answer.is_complete { "complete" } else { "broken off" }
        ));
    }
}

fn judge(streams: &[Stream], old: &[Arc<Engine>], new: &[Arc<Engine>], record: &Record) -> bool {
    let mixed: Vec<&Stream> = streams.iter().filter(|stream| stream.versions().len() > 1).collect();
    for run in old.iter().chain(new).flat_map(|engine| engine.runs.lock().unwrap().clone()) {
        record.line(&format!("run of {} as {} after event {}", run.path, run.attempt, run.after));
    }
    for stream in &mixed {
        let first_new = stream.events.iter().find(|(_, version)| *version != stream.events[0].1);
        record.line(&format!(
            "MIXED {} (tries {:?}): began at {}, went on at {} from event {}",
            stream.path,
            stream.tries,
            stream.events[0].1,
            first_new.map_or("", |(_, version)| version),
            first_new.map_or(0, |(event, _)| *event)
        ));
    }
    let resumed = |engines: &[Arc<Engine>]| -> usize {
        let runs = engines.iter().map(|engine| engine.runs.lock().unwrap().clone());
        runs.flatten().filter(|run| run.after > 0).count()
    };
    record.say(&format!(
        "{} streams, {} complete, {} taken up again; resumed runs at {OLD}: {}, at {NEW}: {}; \
         streams with events of two software versions: {} (more than two break ORDER)",
        streams.len(),
        streams.iter().filter(|stream| stream.is_complete).count(),
        streams.iter().filter(|stream| stream.tries.len() > 1).count(),
        resumed(old),
        resumed(new),
        mixed.len()
    ));
    mixed.len() > 2
}
