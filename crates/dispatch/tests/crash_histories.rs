//! Generated histories of installations whose servers crash under some segments of prompts, judged
//! by the platform's two rules on them.

mod common;

use common::id;
use dispatch::crashes::{
    Aborted, ContentKey, CrashId, Crashes, Evidence, Feature, Features, Verdict,
};
use dispatch::registry::ServerId;
use dispatch::request::SegmentId;
use protocol::ids::Incarnation;
use quickcheck::{Arbitrary, Gen};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};

const LENGTH_MS: u64 = 30_000;
/// When the first request with a bad segment may come.
const FAULT_MS: u64 = 2_000;
/// The time within which the platform expects gateways to know of a crash.
const STABLE_WINDOW_MS: u64 = 4_000;
/// How many requests with a bad segment may reach servers later than that after the fifth crash.
const MAX_LATER: usize = 3;
const RESTART_MS: u64 = 3_000;
const TRIAL_MS: u64 = 3_000;

/// What happens in a history besides the bad segments.
#[derive(Clone, Copy, Debug)]
struct Plan {
    gateways: usize,
    servers: usize,
    /// The number of bad segments.
    bad: usize,
    /// The place of the bad segment in the prompt.
    place: usize,
    /// Whether the segments beside the bad one vary.
    is_varied: bool,
    has_own_crashes: bool,
    has_kills: bool,
    has_cuts: bool,
}

#[derive(Clone, Debug)]
struct Request {
    features: Features,
    segments: Vec<u64>,
    bad: Option<usize>,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Ask,
    AskBad(usize),
    /// The server begins an answer.
    Begin(usize),
    /// The answer goes on after its first events.
    GoOn(usize),
    End(usize),
    Crash(usize),
    Restart(usize),
    OwnCrash,
    Kill,
    Start(usize),
    Cut,
    Heal(usize),
    /// A message arrives at a gateway.
    Deliver(usize),
    /// A gateway writes its record.
    Write(usize),
}

#[derive(Debug)]
struct Attempt {
    request: Request,
    gateway: usize,
    /// The number of the gateway's process.
    process: u32,
    server: usize,
    began_ms: Option<u64>,
}

#[derive(Debug, Default)]
struct Server {
    incarnation: u64,
    is_up: bool,
}

#[derive(Debug, Default)]
struct Gateway {
    crashes: Crashes,
    is_up: bool,
    process: u32,
    is_cut: bool,
    /// Since when it has been up.
    since_ms: u64,
    will_write: bool,
}

/// What callers and servers saw of one bad segment.
#[derive(Debug, Default)]
struct Seen {
    crashes_ms: Vec<u64>,
    /// The requests that reached servers from gateways in touch.
    reached_ms: Vec<u64>,
    /// When related sound requests came to gateways in touch, and whether they ran.
    sound: Vec<(u64, bool)>,
}

struct World {
    plan: Plan,
    draws: Gen,
    now_ms: u64,
    events: BinaryHeap<Reverse<(u64, usize, Event)>>,
    number: usize,
    gateways: Vec<Gateway>,
    servers: Vec<Server>,
    attempts: BTreeMap<usize, Attempt>,
    messages: HashMap<usize, (usize, Evidence)>,
    /// The records in the store, and the number of appends.
    store: Vec<Evidence>,
    appends: usize,
    seen: Vec<Seen>,
}

impl World {
    fn new(plan: Plan, seed: u64) -> Self {
        let up = || Gateway { is_up: true, ..Gateway::default() };
        let mut world = Self {
            plan,
            draws: Gen::from_size_and_seed(100, seed),
            now_ms: 0,
            events: BinaryHeap::new(),
            number: 0,
            gateways: (0..plan.gateways).map(|_| up()).collect(),
            servers: (0..plan.servers).map(|_| Server { incarnation: 1, is_up: true }).collect(),
            attempts: BTreeMap::new(),
            messages: HashMap::new(),
            store: vec![Evidence::default(); plan.gateways],
            appends: 0,
            seen: (0..plan.bad).map(|_| Seen::default()).collect(),
        };
        world.after(0, Event::Ask);
        (0..plan.bad).for_each(|bad| world.after(FAULT_MS, Event::AskBad(bad)));
        for (is_on, event) in [
            (plan.has_own_crashes, Event::OwnCrash),
            (plan.has_kills, Event::Kill),
            (plan.has_cuts, Event::Cut),
        ] {
            if is_on {
                let delay_ms = world.below(4_000);
                world.after(delay_ms, event);
            }
        }
        world
    }

    fn below(&mut self, limit: u64) -> u64 {
        u64::arbitrary(&mut self.draws) % limit
    }

    fn after(&mut self, delay_ms: u64, event: Event) {
        self.number += 1;
        self.events.push(Reverse((self.now_ms + delay_ms, self.number, event)));
    }

    fn play(&mut self) {
        while let Some(Reverse((at_ms, _, event))) = self.events.pop() {
            if at_ms > LENGTH_MS {
                return;
            }
            self.now_ms = at_ms;
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Ask => {
                let request = self.sound_request();
                self.send(request);
                let delay_ms = 20 + self.below(60);
                self.after(delay_ms, Event::Ask);
            }
            Event::AskBad(bad) => {
                let request = self.bad_request(bad);
                self.send(request);
                let delay_ms = 100 + self.below(700);
                self.after(delay_ms, Event::AskBad(bad));
            }
            Event::Begin(attempt) => self.begin(attempt),
            Event::GoOn(attempt) => self.clear(attempt, false),
            Event::End(attempt) => {
                self.clear(attempt, true);
                self.attempts.remove(&attempt);
            }
            Event::Crash(attempt) => self.crash_under(attempt),
            Event::Restart(server) => {
                self.servers[server].incarnation += 1;
                self.servers[server].is_up = true;
            }
            Event::OwnCrash => {
                let count = [1, 1, 3][self.below(3) as usize];
                for _ in 0..count {
                    let server = self.below(self.plan.servers as u64) as usize;
                    self.crash(server);
                }
                let delay_ms = 1_000 + self.below(4_000);
                self.after(delay_ms, Event::OwnCrash);
            }
            Event::Kill => {
                let gateway = self.below(self.plan.gateways as u64) as usize;
                self.kill(gateway);
                let delay_ms = 1_000 + self.below(8_000);
                self.after(delay_ms, Event::Kill);
            }
            Event::Start(gateway) => self.start(gateway),
            Event::Cut => {
                let gateway = self.below(self.plan.gateways as u64) as usize;
                self.gateways[gateway].is_cut = true;
                let (heal_ms, next_ms) = (500 + self.below(6_000), 2_000 + self.below(8_000));
                self.after(heal_ms, Event::Heal(gateway));
                self.after(next_ms, Event::Cut);
                self.read_store(gateway);
            }
            Event::Heal(gateway) => self.gateways[gateway].is_cut = false,
            Event::Deliver(message) => self.deliver(message),
            Event::Write(gateway) => self.write(gateway),
        }
    }

    /// Builds a request from its shared segments; the last segment and the content are its own.
    fn request(&mut self, shared: Vec<u64>, bad: Option<usize>) -> Request {
        self.number += 1;
        let content = ContentKey::new("/a/", "alpha", &self.number.to_le_bytes());
        let model = id("m");
        let segments = shared.iter().map(|part| Feature::segment(&model, &SegmentId::new(*part)));
        let mut features: Features =
            [Feature::content(&content)].into_iter().chain(segments).collect();
        features.sort_unstable();
        Request { features, segments: shared, bad }
    }

    /// The segments beside a bad one, which sound requests have too.
    fn others(&mut self, bad: usize) -> Vec<u64> {
        let variant = if self.plan.is_varied { self.below(4) } else { 0 };
        let bad = bad as u64;
        (0..3).map(|place| 1_000 * (bad + 1) + 100 * place + variant).collect()
    }

    fn bad_request(&mut self, bad: usize) -> Request {
        let mut shared = self.others(bad);
        shared.truncate(self.plan.place.max(1));
        shared.insert(self.plan.place, 666 + bad as u64);
        self.request(shared, Some(bad))
    }

    fn sound_request(&mut self) -> Request {
        let subject = 100_000 + self.below(200);
        let mut shared = match self.below(5) {
            0 | 1 => {
                let bad = self.below(self.plan.bad as u64) as usize;
                self.others(bad)
            }
            _ => vec![50_000 + self.below(10)],
        };
        shared.truncate(1 + self.below(2) as usize);
        shared.push(subject);
        self.request(shared, None)
    }

    fn is_in_touch(&self, gateway: usize) -> bool {
        let gateway = &self.gateways[gateway];
        gateway.is_up && gateway.since_ms + STABLE_WINDOW_MS <= self.now_ms
    }

    fn send(&mut self, request: Request) {
        let gateway = self.below(self.plan.gateways as u64) as usize;
        if !self.gateways[gateway].is_up {
            return;
        }
        let verdict = self.gateways[gateway].crashes.check(&request.features, self.now_ms);
        let runs = match verdict {
            Verdict::Allowed => true,
            Verdict::Refused { .. } => false,
            Verdict::TrialDue(features) => self.claim(gateway, &features),
        };
        if request.bad.is_none() && self.is_in_touch(gateway) {
            for bad in 0..self.plan.bad {
                let others: Vec<u64> = (0..4)
                    .flat_map(|variant| (0..3).map(move |place| (place, variant)))
                    .map(|(place, variant)| 1_000 * (bad as u64 + 1) + 100 * place + variant)
                    .collect();
                if request.segments.iter().any(|segment| others.contains(segment)) {
                    self.seen[bad].sound.push((self.now_ms, runs));
                }
            }
        }
        let up: Vec<usize> =
            (0..self.plan.servers).filter(|server| self.servers[*server].is_up).collect();
        if !runs || up.is_empty() {
            return;
        }
        let server = up[self.below(up.len() as u64) as usize];
        if let Some(bad) = request.bad.filter(|_| self.is_in_touch(gateway)) {
            self.seen[bad].reached_ms.push(self.now_ms);
        }
        self.number += 1;
        let number = self.number;
        let process = self.gateways[gateway].process;
        let attempt = Attempt { request, gateway, process, server, began_ms: None };
        self.attempts.insert(number, attempt);
        let delay_ms = 5 + self.below(100);
        self.after(delay_ms, Event::Begin(number));
    }

    fn begin(&mut self, number: usize) {
        let now_ms = self.now_ms;
        let Some(attempt) = self.attempts.get_mut(&number) else { return };
        if attempt.request.bad.is_some() {
            let delay_ms = 20 + self.below(100);
            return self.after(delay_ms, Event::Crash(number));
        }
        attempt.began_ms = Some(now_ms);
        let (more_ms, end_ms) = (30 + self.below(50), 100 + self.below(3_000));
        self.after(more_ms, Event::GoOn(number));
        self.after(end_ms, Event::End(number));
    }

    fn clear(&mut self, number: usize, is_whole: bool) {
        let Some(attempt) = self.attempts.get(&number) else { return };
        let (gateway, process) = (attempt.gateway, attempt.process);
        let mut features = attempt.request.features.clone();
        features.retain(|feature| is_whole || feature.is_segment());
        let began_ms = attempt.began_ms.unwrap_or(0);
        if self.gateways[gateway].is_up && self.gateways[gateway].process == process {
            let now_ms = self.now_ms;
            let evidence = self.gateways[gateway].crashes.clear(&features, began_ms, now_ms);
            self.publish(gateway, &evidence);
        }
    }

    fn crash_under(&mut self, number: usize) {
        let Some(attempt) = self.attempts.get(&number) else { return };
        let (bad, server) = (attempt.request.bad, attempt.server);
        if let Some(bad) = bad {
            self.seen[bad].crashes_ms.push(self.now_ms);
        }
        self.crash(server);
    }

    fn crash(&mut self, server: usize) {
        if !std::mem::replace(&mut self.servers[server].is_up, false) {
            return;
        }
        let crash_id = CrashId {
            server: ServerId::new(format!("s{server}")),
            incarnation: Incarnation::new(self.servers[server].incarnation),
        };
        let aborted: Vec<usize> = self
            .attempts
            .iter()
            .filter(|(_, attempt)| attempt.server == server)
            .map(|(number, _)| *number)
            .collect();
        let now_ms = self.now_ms;
        for number in aborted {
            let Some(attempt) = self.attempts.remove(&number) else { continue };
            let gateway = &mut self.gateways[attempt.gateway];
            if !gateway.is_up || gateway.process != attempt.process {
                continue;
            }
            let mut features = attempt.request.features;
            features.retain(|feature| attempt.began_ms.is_none() || !feature.is_segment());
            let evidence = match gateway.crashes.record_aborted(&crash_id, features, now_ms) {
                Aborted::Crashed(evidence) => evidence,
                Aborted::Confirm | Aborted::Unconfirmed => {
                    gateway.crashes.confirm(&crash_id, now_ms)
                }
            };
            self.publish(attempt.gateway, &evidence);
        }
        self.after(RESTART_MS, Event::Restart(server));
    }

    fn publish(&mut self, from: usize, evidence: &Evidence) {
        if evidence.is_empty() {
            return;
        }
        for to in (0..self.plan.gateways).filter(|to| *to != from) {
            self.send_message(to, evidence.clone());
        }
        if !std::mem::replace(&mut self.gateways[from].will_write, true) {
            let delay_ms = 20 + self.below(100);
            self.after(delay_ms, Event::Write(from));
        }
    }

    fn send_message(&mut self, to: usize, evidence: Evidence) {
        self.number += 1;
        self.messages.insert(self.number, (to, evidence));
        let (number, delay_ms) = (self.number, 25 + self.below(60));
        self.after(delay_ms, Event::Deliver(number));
    }

    /// Delivers a message, or tries again while a gateway is cut off.
    fn deliver(&mut self, number: usize) {
        let Some((to, evidence)) = self.messages.remove(&number) else { return };
        let now_ms = self.now_ms;
        let gateway = &mut self.gateways[to];
        if gateway.is_up && gateway.is_cut {
            self.messages.insert(number, (to, evidence));
            return self.after(300, Event::Deliver(number));
        }
        if gateway.is_up {
            gateway.crashes.learn(&evidence, now_ms);
        }
    }

    fn write(&mut self, from: usize) {
        self.gateways[from].will_write = false;
        if !self.gateways[from].is_up {
            return;
        }
        self.store[from] = self.gateways[from].crashes.local().clone();
        self.appends += 1;
        let cut: Vec<usize> =
            (0..self.plan.gateways).filter(|other| self.gateways[*other].is_cut).collect();
        cut.into_iter().for_each(|other| self.read_store(other));
    }

    fn read_store(&mut self, at: usize) {
        let now_ms = self.now_ms;
        let gateway = &mut self.gateways[at];
        if !gateway.is_up {
            return;
        }
        for (from, record) in self.store.iter().enumerate() {
            if from == at {
                gateway.crashes.record(record, now_ms);
            } else {
                gateway.crashes.learn(record, now_ms);
            }
        }
    }

    fn claim(&mut self, at: usize, features: &Features) -> bool {
        self.read_store(at);
        let now_ms = self.now_ms;
        let crashes = &mut self.gateways[at].crashes;
        if crashes.check(features, now_ms) != Verdict::TrialDue(features.clone()) {
            return false;
        }
        let evidence = crashes.next_trial(features, TRIAL_MS, now_ms);
        crashes.record(&evidence, now_ms);
        self.write(at);
        self.publish(at, &evidence);
        true
    }

    fn kill(&mut self, gateway: usize) {
        if !std::mem::replace(&mut self.gateways[gateway].is_up, false) {
            return;
        }
        self.gateways[gateway].crashes = Crashes::new();
        let delay_ms = 200 + self.below(3_000);
        self.after(delay_ms, Event::Start(gateway));
    }

    fn start(&mut self, gateway: usize) {
        let now_ms = self.now_ms;
        let held = &mut self.gateways[gateway];
        (held.is_up, held.since_ms, held.will_write) = (true, now_ms, false);
        held.process += 1;
        self.read_store(gateway);
    }
}

/// Returns what breaks the rules on one bad segment.
fn violations(seen: &Seen) -> Vec<String> {
    let mut found = Vec::new();
    if let Some(fifth_ms) = seen.crashes_ms.get(4) {
        let from_ms = fifth_ms + STABLE_WINDOW_MS;
        let later: Vec<_> = seen.reached_ms.iter().filter(|at_ms| **at_ms > from_ms).collect();
        if later.len() > MAX_LATER {
            found.push(format!("BUDGET: fifth crash at {fifth_ms}, reached later {later:?}"));
        }
    }
    let last = seen.crashes_ms.get(4).or(seen.crashes_ms.last());
    let from_ms = last.map_or(u64::MAX, |last| last + 2 * STABLE_WINDOW_MS);
    let sound = seen.sound.iter().filter(|(at_ms, _)| *at_ms > from_ms);
    let asked = sound.clone().count();
    let ran = sound.filter(|(_, ran)| *ran).count();
    if asked >= 20 && 2 * ran < asked {
        found.push(format!("LOST: {ran} of {asked} sound requests ran from {from_ms} on"));
    }
    found
}

fn play(seed: u64) -> Vec<String> {
    let mut draws = Gen::from_size_and_seed(100, seed);
    let mut below = |limit: u64| u64::arbitrary(&mut draws) % limit;
    let plan = Plan {
        gateways: 2 + below(6) as usize,
        servers: 6 + below(8) as usize,
        bad: 1 + below(2) as usize,
        place: below(3) as usize,
        is_varied: below(2) == 0,
        has_own_crashes: below(2) == 0,
        has_kills: below(2) == 0,
        has_cuts: below(2) == 0,
    };
    let mut world = World::new(plan, seed);
    world.play();
    let broken: Vec<String> = world.seen.iter().flat_map(violations).collect();
    broken.into_iter().map(|text| format!("seed {seed}, {plan:?}: {text}")).collect()
}

fn check(seeds: std::ops::Range<u64>) {
    let broken: Vec<String> = seeds.flat_map(play).collect();
    assert!(broken.is_empty(), "{} broken\n{}", broken.len(), broken.join("\n"));
}

macro_rules! histories {
    ($($name:ident: $seeds:expr;)*) => {
        $(#[test]
        fn $name() {
            check($seeds);
        })*
    };
}

histories! {
    crashing_segments_stay_within_the_rules_seeds_0_to_999: 0..1_000;
    crashing_segments_stay_within_the_rules_seeds_1000_to_1999: 1_000..2_000;
    crashing_segments_stay_within_the_rules_seeds_2000_to_2999: 2_000..3_000;
    crashing_segments_stay_within_the_rules_seeds_3000_to_3999: 3_000..4_000;
}
