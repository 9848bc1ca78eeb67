//! All gateways are killed at the same moment while servers of two software versions serve; streams that
//! callers take up again later, at gateways that are in touch, are refused.

use crate::caller::{new_id, prompt, read, send};
use crate::engine::Engine;
use crate::gateway::Gateway;
use crate::site::{Log, NOTES, SERVICE, Tenant, desired_state, start_gateways, until};
use crate::{Problem, Verdict};
use standins::fleet::Store;
use std::net::SocketAddr;
use std::time::Duration;

const KEY: &str = "nu6wsjnbanfqasnmgkcu";
const HOSTS: [&str; 3] = ["front-kuma-1", "front-kuma-2", "front-kuma-3"];
const STREAMS: usize = 24;
/// A stream takes ten seconds of the fifteen that its caller waits.
const EVENTS: u64 = 125;
const GAP: Duration = Duration::from_millis(80);
/// When the gateways are killed, after the start of the streams.
const RUNNING: Duration = Duration::from_millis(1_500);
/// How long the processes are down.
const DOWN: Duration = Duration::from_millis(700);
/// When the callers come back, after the kill: `stableWindowMs` after the processes run again, and
/// more.
const BACK: Duration = Duration::from_millis(6_500);
/// When the callers come back first, after the kill; the gateways have just started again.
const FIRST_BACK: Duration = Duration::from_millis(2_000);
/// What the callers have left the second time, in milliseconds.
const LEFT_MS: u64 = 15_000 - 1_500 - 6_500;

/// A stream that a caller holds.
#[derive(Clone)]
struct Held {
    attempt: String,
    last_event: u64,
}

fn last_event(body: &str) -> u64 {
    let ids = body.split("\n\n").filter_map(|event| event.strip_prefix("id: "));
    let ids = ids.filter_map(|event| event.split('\n').next()?.parse().ok());
    ids.max().unwrap_or(0)
}

/// Sends a request for a stream, and returns whether it began and its last event.
async fn begin(address: SocketAddr, attempt: &str, extra: &str) -> (u16, u64) {
    let parts = format!("{}:900", &attempt[8..]);
    let text = prompt(&format!("{NOTES}2f"), attempt, KEY, &parts, 900, extra);
    let text = text.replace("X-Deadline-Ms: 15000", &format!("X-Deadline-Ms: {LEFT_MS}"));
    let Ok(mut stream) = send(address, &text).await else { return (0, 0) };
    let answer = read(&mut stream).await;
    (answer.status, last_event(&answer.body))
}

pub async fn play(program: &str, has_trouble: bool, log: &mut Log) -> Result<Verdict, Problem> {
    let store = Store::start().await?;
    let mut engines = Vec::new();
    for (id, software) in
        [("i-7f3a91c2", "v1"), ("i-b03b4c0b", "v1"), ("i-e8f678e7", "v2"), ("i-3a895d21", "v2")]
    {
        let engine = Engine::start(id, software, EVENTS, GAP).await?;
        store.register(id, &engine.entry(SERVICE, "ready"));
        engines.push(engine);
    }
    let tenants = [Tenant { name: "alpha", key: KEY, is_dedicated: false }];
    store.put_configuration(&desired_state(1, &tenants));
    let mut gateways = start_gateways(program, &store, &HOSTS, engines.len()).await?;

    let mut reading = Vec::new();
    for index in 0..STREAMS {
        let attempt = new_id();
        let parts = format!("{}:900", &attempt[8..]);
        let text = prompt(&format!("{NOTES}2f"), &attempt, KEY, &parts, 900, "");
        let mut stream = send(gateways[index % gateways.len()].callers, &text).await?;
        log.add(format!("sent {attempt}"));
        let leaves = if has_trouble { Duration::from_secs(60) } else { RUNNING };
        reading.push(tokio::spawn(async move {
            let mut bytes = Vec::new();
            let copying = tokio::io::copy(&mut stream, &mut bytes);
            // Without the kill the callers' own channels break.
            drop(tokio::time::timeout(leaves, copying).await);
            (attempt, String::from_utf8_lossy(&bytes).into_owned())
        }));
    }
    let running = || engines.iter().map(|engine| engine.runs().len()).sum::<usize>();
    until("all run", || running() >= STREAMS).await?;
    tokio::time::sleep(RUNNING).await;
    if has_trouble {
        gateways.iter().for_each(|gateway| gateway.signal("KILL"));
        log.add("all gateways are killed");
    }
    let killed = tokio::time::Instant::now();
    let mut held = Vec::new();
    for stream in reading {
        let (attempt, text) = stream.await?;
        let events = text.split("\r\n").filter_map(|line| line.strip_prefix("id: "));
        let ids = events.filter_map(|line| line.split('\n').next()?.parse().ok());
        let last_event: u64 = ids.max().unwrap_or(0);
        if last_event > 0 && last_event < EVENTS {
            held.push(Held { attempt, last_event });
        }
    }
    log.add(format!("{} streams have begun and are broken", held.len()));
    if has_trouble {
        gateways.clear();
        tokio::time::sleep_until(killed + DOWN).await;
        gateways = start_gateways(program, &store, &HOSTS, engines.len()).await?;
        log.add("all gateways run again, and are ready");
    }
    tokio::time::sleep_until(killed + FIRST_BACK).await;
    log.add("the callers come back");
    let mut first = Vec::new();
    for (index, held) in held.iter().enumerate() {
        first.push(tokio::spawn(take_up(held.clone(), gateways[index % gateways.len()].callers)));
    }
    let first = count(first, log).await?;
    log.add(format!("taken up again at once: {} of {} go on", first.0, first.1));
    if !has_trouble {
        return Ok(if is_broken(first, (1, 1)) { Verdict::Broken } else { Verdict::Held });
    }
    tokio::time::sleep_until(killed + BACK).await;
    let (mut taken_up, mut new) = (Vec::new(), Vec::new());
    for (index, held) in held.into_iter().enumerate() {
        let address = gateways[(index + 1) % gateways.len()].callers;
        taken_up.push(tokio::spawn(take_up(held, address)));
        new.push(tokio::spawn(async move {
            let attempt = new_id();
            let (status, last) = begin(address, &attempt, "").await;
            (format!("{attempt} is new"), status, last)
        }));
    }
    log.add("the callers come back once more, and as many new ones come");
    let (taken_up, new) = (count(taken_up, log).await?, count(new, log).await?);
    report_ids(&gateways, log);
    log.add(format!(
        "taken up again: {} of {} go on; new: {} of {} begin",
        taken_up.0, taken_up.1, new.0, new.1
    ));
    Ok(if is_broken(taken_up, new) { Verdict::Broken } else { Verdict::Held })
}

/// Judges the served ones and the number of streams that are taken up again, and of new ones.
fn is_broken(taken_up: (usize, usize), new: (usize, usize)) -> bool {
    let share = |(served, all): (usize, usize)| served as f64 / all.max(1) as f64;
    taken_up.1 >= 12 && share(taken_up) < share(new) / 2.0
}

/// Takes a stream up again after its last event.
async fn take_up(held: Held, address: SocketAddr) -> Result3 {
    let attempt = new_id();
    let extra = format!("Last-Event-Id: {}\r\nResumes: {}\r\n", held.last_event, held.attempt);
    let (status, last) = begin(address, &attempt, &extra).await;
    (
        format!("{attempt} goes on with {} after event {}", held.attempt, held.last_event),
        status,
        last,
    )
}

type Result3 = (String, u16, u64);

/// Returns how many of some requests brought an event, and their number.
async fn count(
    requests: Vec<tokio::task::JoinHandle<Result3>>,
    log: &mut Log,
) -> Result<(usize, usize), Problem> {
    let mut served = 0;
    let all = requests.len();
    for request in requests {
        let (what, status, last) = request.await?;
        log.add(format!("{what}: {status}, last event {last}"));
        served += usize::from(status == 200 && last > 0);
    }
    Ok((served, all))
}

fn report_ids(gateways: &[Gateway], log: &mut Log) {
    for gateway in gateways {
        for line in gateway.lines("stream_without_record") {
            log.add(format!("{}: stream_without_record {}", gateway.id(), line["result"]));
        }
    }
}
