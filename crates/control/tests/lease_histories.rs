//! Checks generated histories of one lease: at most one holder at any time, increasing tokens and
//! the same verdicts for all readers.

use control::leases::{LEASE_MS, LeaseClient, LeaseLedger, LeaseVerdict};
use protocol::ids::{HostName, Incarnation, LogOffset, ServiceName};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use std::collections::BTreeMap;

const NODES: usize = 3;
const HISTORY_STEPS: usize = 90;
const HISTORIES_PER_SEED: u64 = 2_500;
const SETTLE_MS: u64 = 6 * LEASE_MS;
const SETTLE_STEP_MS: u64 = 500;
/// The offsets of the clocks of the nodes and the log.
const CLOCK_SKEW_MS: [u64; NODES + 1] = [500_000, 0, 40_000, 3_000_000];

#[derive(Clone, Copy, Debug)]
struct Step {
    kind: u8,
    a: usize,
    b: usize,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let [a, b] = [usize::arbitrary(g) % 64, usize::arbitrary(g) % 64];
        Self { kind: u8::arbitrary(g) % 20, a, b }
    }
}

struct Node {
    client: LeaseClient,
    ledger: LeaseLedger,
    incarnation: u64,
}

struct World {
    now_ms: u64,
    log: Vec<(u64, String)>,
    first_retained: usize,
    in_flight: Vec<String>,
    nodes: Vec<Node>,
    records_created: u64,
    verdicts: BTreeMap<u64, LeaseVerdict>,
    last_token: Option<(usize, LogOffset)>,
}

fn service() -> ServiceName {
    "shades".parse().expect("a service")
}

fn host(index: usize) -> HostName {
    format!("node-{index}").parse().expect("a host name")
}

impl World {
    fn new() -> Self {
        let mut world = Self {
            now_ms: 0,
            log: Vec::new(),
            first_retained: 0,
            in_flight: Vec::new(),
            nodes: Vec::new(),
            records_created: 0,
            verdicts: BTreeMap::new(),
            last_token: None,
        };
        for index in 0..NODES {
            let node = world.node(index, 1);
            world.nodes.push(node);
        }
        world
    }

    fn clock_ms(&self, index: usize) -> u64 {
        self.now_ms + CLOCK_SKEW_MS[index]
    }

    fn node(&self, index: usize, incarnation: u64) -> Node {
        let first = LogOffset::new(self.first_retained as u64);
        Node {
            client: LeaseClient::new(service(), host(index), Incarnation::new(incarnation)),
            ledger: LeaseLedger::new(first, self.clock_ms(index)),
            incarnation,
        }
    }

    fn step(&mut self, step: Step) {
        let Step { kind, a, b } = step;
        let node = a % NODES;
        match kind {
            0..=5 => self.append_next_record(node, b % NODES, b % 4 == 0),
            6..=10 => self.read(node),
            11 | 12 => self.store(b),
            13 => drop(self.in_flight.pop()),
            14 | 15 => self.now_ms += 100 * b as u64,
            16 | 17 => self.now_ms += 500 * b as u64,
            18 => self.nodes[node] = self.node(node, self.nodes[node].incarnation + 1),
            _ if b % 3 == 0 => self.release(node),
            _ => self.expire_records(),
        }
        self.now_ms += 50;
        self.check_invariants();
    }

    fn append_next_record(&mut self, node: usize, rank: usize, delayed: bool) {
        self.records_created += 1;
        let record_id = self.records_created.to_string();
        let now_ms = self.clock_ms(node);
        let Node { client, ledger, .. } = &mut self.nodes[node];
        if let Some(record) = client.next_record(ledger, rank, record_id, now_ms) {
            let value = serde_json::to_string(&record).expect("a record");
            self.in_flight.push(value);
            if !delayed {
                self.store(self.in_flight.len() - 1);
            }
        }
    }

    fn release(&mut self, node: usize) {
        self.records_created += 1;
        let record_id = self.records_created.to_string();
        let Node { client, ledger, .. } = &mut self.nodes[node];
        if let Some(record) = client.release(ledger, record_id) {
            self.in_flight.push(serde_json::to_string(&record).expect("a record"));
        }
    }

    fn store(&mut self, pick: usize) {
        if !self.in_flight.is_empty() {
            let value = self.in_flight.swap_remove(pick % self.in_flight.len());
            self.log.push((self.clock_ms(NODES), value));
        }
    }

    /// Removes records that are older than two lease durations.
    fn expire_records(&mut self) {
        let old_ms = self.clock_ms(NODES).saturating_sub(2 * LEASE_MS);
        let retained = self.log.iter().skip(self.first_retained);
        self.first_retained += retained.take_while(|(at_ms, _)| *at_ms < old_ms).count();
    }

    fn read(&mut self, node: usize) {
        let now_ms = self.clock_ms(node);
        let ledger = &mut self.nodes[node].ledger;
        let first = ledger.next().value().max(self.first_retained as u64);
        for offset in first..self.log.len() as u64 {
            let (at_ms, value) = &self.log[offset as usize];
            let verdict = ledger.apply(LogOffset::new(offset), *at_ms, value, now_ms);
            if verdict != LeaseVerdict::Undecided {
                let expected = self.verdicts.entry(offset).or_insert_with(|| verdict.clone());
                assert_eq!(*expected, verdict, "readers disagree on {offset}: {value}");
            }
        }
    }

    fn tokens(&self) -> Vec<(usize, LogOffset)> {
        let token = |node: usize| {
            let Node { client, ledger, .. } = &self.nodes[node];
            Some((node, client.token(ledger, self.clock_ms(node))?))
        };
        (0..NODES).filter_map(token).collect()
    }

    fn check_invariants(&mut self) {
        let tokens = self.tokens();
        assert!(tokens.len() <= 1, "two holders: {tokens:?}");
        if let Some((node, token)) = tokens.first().copied() {
            if let Some((last, last_token)) = self.last_token {
                assert!(token >= last_token, "a token decreased");
                assert!(token > last_token || node == last, "two nodes had one token");
            }
            self.last_token = Some((node, token));
        }
    }

    /// Runs all nodes without faults; one of them must hold the lease in the end.
    fn settle(&mut self) {
        for _ in 0..SETTLE_MS / SETTLE_STEP_MS {
            self.now_ms += SETTLE_STEP_MS;
            for node in 0..NODES {
                self.read(node);
                self.append_next_record(node, node, false);
                self.read(node);
                self.check_invariants();
            }
        }
        assert_eq!(self.tokens().len(), 1, "nobody holds the lease");
    }
}

fn check_history(steps: Vec<Step>) -> bool {
    let mut world = World::new();
    for step in steps {
        world.step(step);
    }
    world.settle();
    true
}

fn run(seed: u64) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(HISTORY_STEPS, seed))
        .tests(HISTORIES_PER_SEED)
        .quickcheck(check_history as fn(Vec<Step>) -> bool);
}

#[test]
fn histories_of_seed_21_keep_the_invariants() {
    run(21);
}

#[test]
fn histories_of_seed_22_keep_the_invariants() {
    run(22);
}

#[test]
fn histories_of_seed_23_keep_the_invariants() {
    run(23);
}

#[test]
fn histories_of_seed_24_keep_the_invariants() {
    run(24);
}
