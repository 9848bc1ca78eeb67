//! Generated histories of servers that write their entries to a store that returns from older copies.
//! What a gateway has read of a server that leaves stays final, and a sound server stays usable.

mod common;

use common::server;
use dispatch::era::{EraTracker, NamedEra, StoreEra};
use dispatch::registry::{Registry, ServerEntry, ServerRecord};
use protocol::ids::Incarnation;
use quickcheck::{Arbitrary, Gen, QuickCheck};
use std::collections::BTreeMap;

const SERVERS: usize = 3;
/// The longest time between two events, in milliseconds.
const MAX_STEP_MS: u64 = 300;
/// The longest time between two reads, in milliseconds.
const READ_INTERVAL_MS: u64 = 450;
/// The longest time until an entry is written again after a step back, in milliseconds.
const MAX_REWRITE_MS: u64 = 1_900;
/// The most records that one step back loses.
const MAX_LOST_RECORDS: usize = 8;

#[derive(Clone, Copy, Debug)]
enum Event {
    /// A server writes its next heartbeat.
    Beat(usize),
    /// A server announces that it is draining.
    Drain(usize),
    /// A server stops, and its entry is removed.
    Remove(usize),
    /// A server starts again.
    Start(usize),
    /// The gateway reads.
    Read,
    /// The store returns from a copy; each server's entry is written again after a time.
    StepBack { lost: usize, rewritten_after_ms: [u64; SERVERS] },
}

#[derive(Clone, Debug)]
struct Step {
    after_ms: u64,
    event: Event,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let server = usize::arbitrary(g) % SERVERS;
        let event = match u16::arbitrary(g) % 400 {
            0..240 => Event::Beat(server),
            240..360 => Event::Read,
            360..368 => Event::Drain(server),
            368..376 => Event::Remove(server),
            376..392 => Event::Start(server),
            _ => Event::StepBack {
                lost: usize::arbitrary(g) % MAX_LOST_RECORDS,
                rewritten_after_ms: [(); SERVERS].map(|()| u64::arbitrary(g) % MAX_REWRITE_MS),
            },
        };
        Self { after_ms: u64::arbitrary(g) % MAX_STEP_MS, event }
    }
}

struct Simulation {
    now_ms: u64,
    era: StoreEra,
    log: Vec<ServerRecord>,
    /// The servers as they are; `true` if one has stopped.
    servers: Vec<(ServerEntry, bool)>,
    rewrites: BTreeMap<(u64, usize), ()>,
    eras: EraTracker,
    position: Option<(StoreEra, usize)>,
    read_ms: u64,
    registry: Registry,
    /// The incarnations that the gateway has read as draining.
    drained: BTreeMap<usize, Incarnation>,
    /// The incarnations that were usable and have neither announced draining nor stopped since.
    sound: BTreeMap<usize, Incarnation>,
}

impl Simulation {
    fn new() -> Self {
        let servers = ["a", "b", "c"].map(|id| (server(id, "east-1", 1), false)).to_vec();
        let log = servers.iter().map(|(entry, _)| ServerRecord::Present(entry.clone())).collect();
        Self {
            now_ms: 10_000,
            era: StoreEra::new(1),
            log,
            servers,
            rewrites: BTreeMap::new(),
            eras: EraTracker::default(),
            position: None,
            read_ms: 0,
            registry: Registry::new(),
            drained: BTreeMap::new(),
            sound: BTreeMap::new(),
        }
    }

    /// Lets time pass; rewrites and reads that are due happen on the way.
    fn pass(&mut self, after_ms: u64) {
        let until_ms = self.now_ms + after_ms;
        loop {
            let rewrite_ms = self.rewrites.first_key_value().map(|((at_ms, _), ())| *at_ms);
            let read_ms = self.read_ms + READ_INTERVAL_MS;
            let next_ms = rewrite_ms.unwrap_or(u64::MAX).min(read_ms);
            if next_ms > until_ms {
                break;
            }
            self.now_ms = self.now_ms.max(next_ms);
            if rewrite_ms == Some(next_ms) {
                if let Some(((_, server), ())) = self.rewrites.pop_first() {
                    self.write(server);
                }
            } else {
                self.read();
            }
        }
        self.now_ms = until_ms;
    }

    fn write(&mut self, server: usize) {
        let (entry, is_stopped) = &mut self.servers[server];
        entry.heartbeat += 1;
        self.log.push(match is_stopped {
            true => ServerRecord::Absent(entry.id.clone()),
            false => ServerRecord::Present(entry.clone()),
        });
    }

    fn play(&mut self, event: Event) {
        match event {
            Event::Beat(server) if !self.servers[server].1 => self.write(server),
            Event::Drain(server) if !self.servers[server].1 => {
                self.servers[server].0.is_draining = true;
                self.sound.remove(&server);
                self.write(server);
            }
            Event::Remove(server) if !self.servers[server].1 => {
                self.servers[server].1 = true;
                self.sound.remove(&server);
                self.write(server);
            }
            Event::Start(server) if self.servers[server].1 => {
                let (entry, is_stopped) = &mut self.servers[server];
                entry.incarnation = Incarnation::new(entry.incarnation.value() + 1);
                entry.is_draining = false;
                *is_stopped = false;
                self.write(server);
            }
            Event::Read => self.read(),
            Event::StepBack { lost, rewritten_after_ms } => {
                self.log.truncate(self.log.len().saturating_sub(lost));
                self.era = StoreEra::new(self.era.value() + 1);
                for (server, after_ms) in rewritten_after_ms.into_iter().enumerate() {
                    self.rewrites.insert((self.now_ms + after_ms, server), ());
                }
            }
            _ => {}
        }
    }

    fn read(&mut self) {
        let now_ms = self.now_ms;
        self.read_ms = now_ms;
        let asked = self.eras.current();
        let before = self.eras;
        self.eras.observe_answer(asked, NamedEra::Era(self.era), now_ms);
        if before.known().is_some_and(|known| known < self.era) {
            self.registry.store_restored(now_ms);
        }
        let position = self.position.filter(|(era, _)| *era == self.era);
        let records = match position {
            Some((_, offset)) => self.log[offset..].to_vec(),
            None => self.newest(),
        };
        for record in &records {
            let ServerRecord::Present(entry) = record else { continue };
            let server = self.servers.iter().position(|(other, _)| other.id == entry.id);
            if entry.is_draining
                && let Some(server) = server
            {
                let drained = self.drained.entry(server).or_insert(entry.incarnation);
                *drained = (*drained).max(entry.incarnation);
            }
        }
        match position {
            Some(_) => records.into_iter().for_each(|record| {
                self.registry.apply(record, now_ms);
            }),
            None => drop(self.registry.replace_all(records, now_ms)),
        }
        self.registry.expire_missing(now_ms);
        self.position = Some((self.era, self.log.len()));
    }

    fn newest(&self) -> Vec<ServerRecord> {
        let newest = |entry: &ServerEntry| {
            let is_of = |record: &&ServerRecord| match record {
                ServerRecord::Present(other) => other.id == entry.id,
                ServerRecord::Absent(id) => *id == entry.id,
            };
            self.log.iter().rev().find(is_of).cloned()
        };
        let newest = self.servers.iter().filter_map(|(entry, _)| newest(entry));
        newest.filter(|record| matches!(record, ServerRecord::Present(_))).collect()
    }

    fn is_usable(&self, server: usize) -> bool {
        let entry = &self.servers[server].0;
        self.registry.usable(&entry.service).any(|other| other.id == entry.id)
    }

    /// Checks the invariants and records which servers are sound.
    fn check(&mut self) -> bool {
        for server in 0..SERVERS {
            let (entry, is_stopped) = &self.servers[server];
            let known = self.registry.get(&entry.id).map(|(known, _)| known.incarnation);
            let is_usable = self.is_usable(server);
            if is_usable && self.drained.get(&server).copied() >= known {
                return false;
            }
            let is_sound = self.sound.get(&server) == Some(&entry.incarnation);
            if is_sound && !is_usable {
                return false;
            }
            if is_usable && !is_stopped && !entry.is_draining && known == Some(entry.incarnation) {
                self.sound.insert(server, entry.incarnation);
            }
        }
        true
    }

    /// Returns whether the gateway ends up with the servers as they are.
    fn converges(&mut self) -> bool {
        for _ in 0..10 {
            self.pass(MAX_STEP_MS);
        }
        for _ in 0..3 {
            (0..SERVERS).for_each(|server| self.play(Event::Beat(server)));
            self.read();
        }
        (0..SERVERS).all(|server| {
            let (entry, is_stopped) = &self.servers[server];
            self.is_usable(server) == (!is_stopped && !entry.is_draining)
        })
    }
}

fn registry_is_sound(steps: Vec<Step>) -> bool {
    let mut simulation = Simulation::new();
    simulation.read();
    for step in steps {
        simulation.pass(step.after_ms);
        if !simulation.check() {
            return false;
        }
        simulation.play(step.event);
        if !simulation.check() {
            return false;
        }
    }
    simulation.converges()
}

#[test]
fn leaving_stays_final_and_sound_servers_stay_usable_while_the_store_steps_back() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(300, 31))
        .tests(4_000)
        .quickcheck(registry_is_sound as fn(Vec<Step>) -> bool);
}
