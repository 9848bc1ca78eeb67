//! Checks generated histories of the configuration streams against an oracle with the complete log.

use control::configuration::{
    ConfigRecord, ConfigSnapshot, Configuration, PageRecord, ReadRequest, SNAPSHOT_STREAM,
    StreamPage, Verdict,
};
use protocol::ids::{ConfigVersion, LogOffset};
use protocol::message::configuration::{ConfigRelay, ConfigRequest};
use quickcheck::{Arbitrary, Gen, QuickCheck};

const NODES: usize = 3;
const HISTORY_STEPS: usize = 60;
const HISTORIES_PER_SEED: u64 = 2_500;
const PAGE_RECORDS: usize = 2;
const SETTLE_READS: usize = 60;

#[derive(Clone, Copy, Debug)]
struct Step {
    kind: u8,
    a: usize,
    b: usize,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let [a, b] = [usize::arbitrary(g) % 64, usize::arbitrary(g) % 64];
        Self { kind: u8::arbitrary(g) % 16, a, b }
    }
}

/// A stream with all records ever appended and the offset of the first retained one.
#[derive(Default)]
struct Stream {
    values: Vec<String>,
    first_retained: usize,
}

impl Stream {
    fn read(&self, from: LogOffset) -> StreamPage {
        let first = self.first_retained.max(from.value() as usize);
        let records = self.values.iter().enumerate().skip(first).take(PAGE_RECORDS);
        let record = |(offset, value): (usize, &String)| PageRecord {
            offset: LogOffset::new(offset as u64),
            value: value.clone(),
        };
        StreamPage {
            first_retained: LogOffset::new(self.first_retained as u64),
            end: LogOffset::new(self.values.len() as u64),
            records: records.map(record).collect(),
        }
    }

    fn drop_oldest(&mut self, count: usize) {
        self.first_retained = (self.first_retained + count).min(self.values.len());
    }
}

/// Computes the verdict on every record in order, from the complete log.
#[derive(Default)]
struct Oracle {
    verdicts: Vec<Verdict>,
    texts: Vec<String>,
}

impl Oracle {
    fn judge(&mut self, base: u64, text: &str) {
        let version = self.texts.len() as u64;
        let verdict = if base != version {
            Verdict::Conflict(ConfigVersion::new(version))
        } else if text.starts_with('{') {
            self.texts.push(text.to_owned());
            Verdict::Accepted(ConfigVersion::new(version + 1))
        } else {
            Verdict::Invalid(String::new())
        };
        self.verdicts.push(verdict);
    }
}

#[derive(Default)]
struct World {
    records: Stream,
    snapshots: Stream,
    oracle: Oracle,
    nodes: Vec<Configuration>,
    seen: [u64; NODES],
    delayed_pages: Vec<(usize, ReadRequest, StreamPage)>,
    delayed_relays: Vec<ConfigRelay>,
    delayed_snapshots: Vec<ConfigSnapshot>,
    delayed_records: Vec<(u64, String)>,
    publications: usize,
}

fn pick<T: Clone>(from: &[T], index: usize) -> Option<T> {
    (!from.is_empty()).then(|| from[index % from.len()].clone())
}

impl World {
    fn new() -> Self {
        Self { nodes: vec![Configuration::new(); NODES], ..Self::default() }
    }

    fn append(&mut self, base: u64, text: &str) {
        self.oracle.judge(base, text);
        let publication_id = self.publications.to_string();
        let base = ConfigVersion::new(base);
        let record = ConfigRecord { base, publication_id, text: text.to_owned() };
        self.records.values.push(serde_json::to_string(&record).expect("a record"));
    }

    fn publish(&mut self, base_lag: usize, valid: bool, delayed: bool) {
        self.publications += 1;
        let base = (self.oracle.texts.len() as u64).saturating_sub(base_lag as u64);
        let mark = self.publications;
        let valid_text = format!("{{\"regions\":[],\"organisations\":[],\"services\":[]}}//{mark}");
        let text = if valid { valid_text } else { format!("broken {mark}") };
        if delayed {
            self.delayed_records.push((base, text));
        } else {
            self.append(base, &text);
        }
    }

    fn step(&mut self, step: Step) {
        let Step { kind, a, b } = step;
        let node = a % NODES;
        match kind {
            0 => self.publish(0, true, false),
            1 => self.publish(b % 2, b % 5 > 0, b % 3 == 0),
            2 => {
                if let Some((base, text)) = pick(&self.delayed_records, b) {
                    self.append(base, &text);
                }
            }
            3..=7 => self.read(node),
            8 => {
                let request = self.nodes[node].next_read();
                self.delayed_pages.push((node, request, self.page(request)));
            }
            9 => {
                if let Some((node, request, page)) = pick(&self.delayed_pages, b) {
                    self.take(node, request, &page);
                }
            }
            10 => {
                let known = ConfigVersion::new(b as u64 % 3);
                self.delayed_relays.push(self.nodes[node].answer(ConfigRequest { known }));
            }
            11 => {
                let relay = pick(&self.delayed_relays, b).filter(|relay| !relay.text.is_empty());
                if let Some(relay) = relay {
                    self.nodes[node].take_relay(&relay).expect("a text that passed the check");
                }
            }
            12 => {
                self.delayed_snapshots.extend(self.nodes[node].ledger().and_then(|l| l.snapshot()))
            }
            13 => {
                if let Some(snapshot) = pick(&self.delayed_snapshots, b) {
                    let value = serde_json::to_string(&snapshot).expect("a snapshot");
                    self.snapshots.values.push(value);
                }
            }
            14 => {
                self.nodes[node] = Configuration::new();
                self.seen[node] = 0;
                self.delayed_pages.retain(|(owner, ..)| *owner != node);
            }
            _ => {
                self.records.drop_oldest(b % 4);
                self.snapshots.drop_oldest(usize::from(b % 8 == 0));
            }
        }
        self.check_invariants();
    }

    fn page(&self, request: ReadRequest) -> StreamPage {
        let stream =
            if request.stream == SNAPSHOT_STREAM { &self.snapshots } else { &self.records };
        stream.read(request.from)
    }

    fn read(&mut self, node: usize) {
        let request = self.nodes[node].next_read();
        let page = self.page(request);
        self.take(node, request, &page);
    }

    fn take(&mut self, node: usize, request: ReadRequest, page: &StreamPage) {
        for judged in self.nodes[node].take_page(request, page) {
            let expected = &self.oracle.verdicts[judged.offset.value() as usize];
            match (&judged.verdict, expected) {
                (Verdict::Invalid(_), Verdict::Invalid(_)) => {}
                (found, expected) => assert_eq!(found, expected, "at {}", judged.offset),
            }
        }
    }

    fn check_invariants(&mut self) {
        for (node, seen) in self.nodes.iter().zip(&mut self.seen) {
            let version = node.version().value();
            assert!(version >= *seen, "version decreased from {seen} to {version}");
            *seen = version;
            if let Ok(in_force) = node.in_force() {
                assert_eq!(in_force.text, self.oracle.texts[version as usize - 1]);
            }
        }
    }

    /// Returns whether the log alone still determines the configuration in force.
    fn is_log_complete(&self) -> bool {
        let first = self.records.first_retained as u64;
        let retained = &self.snapshots.values[self.snapshots.first_retained..];
        let covers = |value: &String| {
            serde_json::from_str::<ConfigSnapshot>(value).is_ok_and(|s| s.as_of.value() >= first)
        };
        first == 0 || retained.iter().any(covers)
    }

    fn settle(&mut self) {
        self.nodes.push(Configuration::new());
        for node in 0..self.nodes.len() {
            (0..SETTLE_READS).for_each(|_| self.read(node));
        }
        let newest = self.oracle.texts.len() as u64;
        let new_node = &self.nodes[NODES];
        match new_node.in_force() {
            Ok(in_force) => assert_eq!(in_force.services.version.value(), newest),
            Err(_) => assert!(newest == 0 || !self.is_log_complete(), "{:?}", new_node.in_force()),
        }
        if self.is_log_complete() {
            assert!(self.nodes.iter().all(|node| node.version().value() == newest));
        }
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
fn histories_of_seed_11_keep_the_invariants() {
    run(11);
}

#[test]
fn histories_of_seed_12_keep_the_invariants() {
    run(12);
}

#[test]
fn histories_of_seed_13_keep_the_invariants() {
    run(13);
}

#[test]
fn histories_of_seed_14_keep_the_invariants() {
    run(14);
}
