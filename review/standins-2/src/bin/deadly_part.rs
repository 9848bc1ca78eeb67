//! One part of prompts crashes each engine that begins to write an answer on it. The second argument
//! tells how: `far`, where the part is the 17th of the prompt; `first-event`, where an engine's first
//! event leaves before it ends; `near`, to compare with, where neither is so.

#[path = "../part_three/mod.rs"]
mod part_three;

use part_three::{
    Deadly, Gateway, NOTES, Record, Server, desired_state, has_trouble, keep_entries, new_attempt,
    prompt, request, send, verdict,
};
use standins::fleet::Store;
use std::fmt;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const PART: &str = "deadbeef";
/// From when on requests with the part count, after the fifth crash: `stableWindowMs`.
const FROM: Duration = Duration::from_millis(4_000);
/// How many of them may reach servers from then on.
const ALLOWED: usize = 3;
const ENGINES: usize = 6;
const ZONES: [&str; 3] = ["kuma", "uto", "izumi"];
/// One request in so many has the part.
const BAD_EVERY: usize = 25;
/// How long only sound requests come at first.
const LEAD: Duration = Duration::from_secs(6);
/// From when on sound requests count, after the fifth crash: twice `stableWindowMs`.
const SOUND_FROM: Duration = Duration::from_millis(8_000);
/// The time between two requests: some twenty a second, as of `maker-dossier`.
const REQUEST_GAP: Duration = Duration::from_millis(50);
const PLAY: Duration = Duration::from_secs(40);

#[tokio::main(flavor = "multi_thread", worker_threads = 4)]
async fn main() {
    let record = Record::create().expect("a record");
    let variant = std::env::args().nth(2).unwrap_or_default();
    let (is_far, is_late) = (variant == "far", variant == "first-event");
    let store = Arc::new(Store::start().await.expect("a store"));
    store.put_configuration(&desired_state(1));
    let mut engines = Vec::new();
    for index in 0..ENGINES {
        engines.push(Server::start(&format!("engine-{index}"), "notes", ZONES[index % 3]).await);
    }
    tokio::spawn(keep_entries(Arc::clone(&store), engines.clone()));
    let mut gateways = Vec::new();
    let mut seeds = Vec::new();
    for (index, zone) in ZONES.iter().enumerate() {
        let host = format!("front-{zone}-{index}");
        let gateway = Gateway::start(&host, zone, store.address(), &seeds).await;
        seeds.push(gateway.peers.to_string());
        gateways.push(gateway);
    }
    tokio::time::sleep(Duration::from_secs(6)).await;
    if has_trouble() {
        let part = PART.to_owned();
        let deadly = if is_late { Deadly::AtFirstEvent(part) } else { Deadly::AtHead(part) };
        engines.iter().for_each(|engine| engine.set_deadly(deadly.clone()));
    }
    record.line(format!("requests with {PART} come {} s from here", LEAD.as_secs()));
    let begin = Instant::now();
    let sound: Arc<Mutex<Vec<(Instant, Outcome)>>> = Arc::default();
    let mut sent = 0;
    while begin.elapsed() < LEAD + PLAY {
        let address = gateways[sent % gateways.len()].callers;
        // No two requests have another part in common but the first.
        let is_bad = sent % BAD_EVERY == 0 && begin.elapsed() > LEAD;
        let prefix = prefix(sent, is_far, is_bad);
        let record = record.clone();
        let (sound, sent_at) = (Arc::clone(&sound), Instant::now());
        tokio::spawn(async move {
            let attempt = new_attempt();
            let body = format!("question {attempt}");
            let text = request(NOTES, &attempt, &prompt(&prefix, 900), &body);
            let answer = send(address, &text).await;
            let is_served = answer.status == 200 && answer.is_complete;
            if is_bad {
                let error = if is_served { String::new() } else { answer.body.replace('\n', " ") };
                record.line(format!("bad {attempt}: {} {error}", answer.status));
            } else {
                let outcome = match (is_served, answer.status) {
                    (true, _) => Outcome::Served,
                    (false, 200) => Outcome::Cut,
                    (false, _) => Outcome::Refused,
                };
                sound.lock().expect("no panic").push((sent_at, outcome));
                if !is_served {
                    let body = answer.body.replace('\n', " ");
                    record.line(format!("sound {attempt}: {} {body}", answer.status));
                }
            }
        });
        sent += 1;
        tokio::time::sleep(REQUEST_GAP).await;
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    let mut crashes: Vec<Instant> = engines.iter().flat_map(Server::crashes).collect();
    crashes.sort_unstable();
    for at in &crashes {
        record.line(format!("{:.3} s: an engine crashes", record.seconds(*at)));
    }
    let arrivals = engines.iter().flat_map(Server::arrivals);
    let has_part = |text: &str| text.contains(PART);
    let mut bad: Vec<Instant> = arrivals
        .filter(|arrival| has_part(arrival.request.header("x-prompt-prefix")))
        .map(|arrival| arrival.at)
        .collect();
    bad.sort_unstable();
    let fifth = crashes.get(4).copied();
    let late = bad.iter().filter(|at| fifth.is_some_and(|fifth| **at > fifth + FROM)).count();
    let sound = sound.lock().expect("no panic").clone();
    let before = Share::of(sound.iter().filter(|(at, _)| *at < begin + LEAD));
    let is_after = |at: Instant| fifth.is_some_and(|fifth| at > fifth + SOUND_FROM);
    let after = Share::of(sound.iter().filter(|(at, _)| is_after(*at)));
    let text = format!(
        "{} crashes, {late} requests with the part reached engines later than 4 s after the fifth ({ALLOWED} \
         are allowed); of the sound requests {before} before, {after} from 8 s after the fifth crash",
        crashes.len(),
    );
    drop(gateways);
    verdict(&record, late > ALLOWED, &text);
}

/// How a sound request ended at its first attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Outcome {
    Served,
    /// Its answer began, and ended without its end.
    Cut,
    /// It did not begin.
    Refused,
}

/// What became of sound requests.
#[derive(Clone, Copy, Debug)]
struct Share {
    sent: usize,
    served: usize,
    cut: usize,
}

impl Share {
    fn of<'a>(requests: impl Iterator<Item = &'a (Instant, Outcome)>) -> Self {
        let outcomes: Vec<Outcome> = requests.map(|(_, outcome)| *outcome).collect();
        let count = |wanted| outcomes.iter().filter(|outcome| **outcome == wanted).count();
        Self { sent: outcomes.len(), served: count(Outcome::Served), cut: count(Outcome::Cut) }
    }
}

impl fmt::Display for Share {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { sent, served, cut } = self;
        write!(f, "{} of {sent} began ({cut} were cut)", served + cut)
    }
}

/// Returns the parts of a prompt; the deadly one is the 17th or the second.
fn prefix(number: usize, is_far: bool, is_bad: bool) -> String {
    let shared = if is_far { 17 } else { 2 };
    let mut parts: Vec<String> =
        (0..shared).map(|index| format!("{:08x}:40", 0x1000_0000 + number * 32 + index)).collect();
    if !is_far {
        parts[0] = "5c1e07a2:400".to_owned();
    }
    if is_bad {
        parts[shared - 1] = format!("{PART}:40");
    }
    parts.push(format!("{:08x}:100", 0x7000_0000 + number));
    parts.join(",")
}
