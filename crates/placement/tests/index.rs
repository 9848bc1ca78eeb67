//! Tests of the cache index against a reference model, under late, missing, repeated and reordered
//! events.

mod common;

use common::{checker, host, key};
use placement::index::{CacheEvent, CacheIndex, SyncStatus, max_import_ms};
use protocol::ids::{ChainKey, HostName, Incarnation};
use protocol::message::place::CachedBlock;
use quickcheck::{Arbitrary, Gen};
use std::collections::{BTreeMap, BTreeSet};

const SEED: u64 = 13;
const HISTORIES: u64 = 3_000;
const KEYS: u8 = 6;
const SERVERS: [&str; 2] = ["server-a", "server-b"];
const STORES: [&str; 2] = ["store-a", "store-b"];
const STORE_BYTES_PER_S: u64 = 1_000_000;
const BLOCK_BYTES: u64 = 250_000;

/// One step of a history: a change on a server or store, a message, or the passage of time.
#[derive(Clone, Debug)]
enum Step {
    Store {
        server: usize,
        key: u8,
    },
    Evict {
        server: usize,
        key: u8,
    },
    Restart {
        server: usize,
    },
    /// Delivers the events of the server's outbox, with some of them lost.
    Deliver {
        server: usize,
        lost: u8,
    },
    /// Delivers an earlier batch again.
    Redeliver {
        server: usize,
        batch: usize,
    },
    Snapshot {
        server: usize,
    },
    Commit {
        store: usize,
        key: u8,
        ttl_ms: u16,
    },
    Free {
        store: usize,
        key: u8,
    },
    Wait {
        ms: u16,
    },
}

impl Arbitrary for Step {
    fn arbitrary(gen_: &mut Gen) -> Self {
        let server = usize::arbitrary(gen_) % SERVERS.len();
        let store = usize::arbitrary(gen_) % STORES.len();
        let key = u8::arbitrary(gen_) % KEYS;
        match u8::arbitrary(gen_) % 14 {
            0..=3 => Step::Store { server, key },
            4 | 5 => Step::Evict { server, key },
            6 => Step::Restart { server },
            7 | 8 => Step::Deliver { server, lost: u8::arbitrary(gen_) % 3 },
            9 => Step::Redeliver { server, batch: usize::arbitrary(gen_) },
            10 => Step::Snapshot { server },
            11 => Step::Commit { store, key, ttl_ms: u16::arbitrary(gen_) },
            12 => Step::Free { store, key },
            _ => Step::Wait { ms: u16::arbitrary(gen_) % 8_000 },
        }
    }
}

#[derive(Clone, Debug)]
struct Batch {
    incarnation: Incarnation,
    events: Vec<CacheEvent>,
    next_event: u64,
}

/// The reference model of one server.
#[derive(Debug, Default)]
struct ServerModel {
    incarnation: u64,
    keys: BTreeSet<ChainKey>,
    next_event: u64,
    outbox: Vec<CacheEvent>,
    sent: Vec<Batch>,
}

impl ServerModel {
    fn change(&mut self, key: ChainKey, stored: bool) {
        let changed = if stored { self.keys.insert(key) } else { self.keys.remove(&key) };
        if changed {
            self.outbox.push(CacheEvent { number: self.next_event, key, stored });
            self.next_event += 1;
        }
    }

    fn restart(&mut self) {
        let incarnation = self.incarnation + 1;
        *self = Self { incarnation, sent: std::mem::take(&mut self.sent), ..Self::default() };
    }

    fn batch(&mut self) -> Batch {
        let incarnation = Incarnation::new(self.incarnation);
        let events = std::mem::take(&mut self.outbox);
        Batch { incarnation, events, next_event: self.next_event }
    }
}

/// Applies a history to the index and to the reference model.
struct Simulation {
    index: CacheIndex,
    servers: [ServerModel; SERVERS.len()],
    /// The expiry time of each block that was added to the index.
    blocks: BTreeMap<(ChainKey, HostName), u64>,
    now_ms: u64,
}

impl Simulation {
    fn new() -> Self {
        let index = CacheIndex::with_max_rows(10_000);
        let mut simulation =
            Self { index, servers: Default::default(), blocks: BTreeMap::new(), now_ms: 1_000_000 };
        (0..SERVERS.len()).for_each(|server| simulation.snapshot(server));
        simulation
    }

    fn step(&mut self, step: &Step) {
        match *step {
            Step::Store { server, key: number } => self.servers[server].change(key(number), true),
            Step::Evict { server, key: number } => self.servers[server].change(key(number), false),
            Step::Restart { server } => self.servers[server].restart(),
            Step::Deliver { server, lost } => self.deliver(server, lost),
            Step::Redeliver { server, batch } => self.redeliver(server, batch),
            Step::Snapshot { server } => self.snapshot(server),
            Step::Commit { store, key: number, ttl_ms } => {
                self.commit(store, key(number), u64::from(ttl_ms));
            }
            Step::Free { store, key: number } => {
                self.blocks.remove(&(key(number), host(STORES[store])));
                self.index.remove_block(&key(number), &host(STORES[store]));
            }
            Step::Wait { ms } => {
                self.now_ms += u64::from(ms);
                self.index.sweep(self.now_ms);
            }
        }
    }

    fn deliver(&mut self, server: usize, lost: u8) {
        let mut batch = self.servers[server].batch();
        self.servers[server].sent.push(batch.clone());
        batch.events.truncate(batch.events.len().saturating_sub(usize::from(lost)));
        if self.apply(server, &batch) == SyncStatus::SnapshotNeeded {
            self.snapshot(server);
        }
    }

    fn redeliver(&mut self, server: usize, batch: usize) {
        let sent = &self.servers[server].sent;
        if sent.is_empty() {
            return;
        }
        let batch = sent[batch % sent.len()].clone();
        if self.apply(server, &batch) == SyncStatus::SnapshotNeeded {
            self.snapshot(server);
        }
    }

    fn apply(&self, server: usize, batch: &Batch) -> SyncStatus {
        let name = host(SERVERS[server]);
        self.index.apply_events(&name, batch.incarnation, &batch.events, batch.next_event, |_| true)
    }

    fn snapshot(&mut self, server: usize) {
        let model = &mut self.servers[server];
        model.outbox.clear();
        let keys = model.keys.iter().copied();
        let incarnation = Incarnation::new(model.incarnation);
        let name = host(SERVERS[server]);
        self.index.apply_snapshot(&name, incarnation, keys, model.next_event, |_| true);
    }

    fn commit(&mut self, store: usize, key: ChainKey, ttl_ms: u64) {
        let store = host(STORES[store]);
        let expires_at_ms = self.now_ms + ttl_ms;
        self.index.add_block(&block(key, &store), expires_at_ms);
        self.blocks.insert((key, store), expires_at_ms);
    }

    /// Returns whether the importable blocks are exactly those that expire after their worst-case
    /// import time.
    fn importable_blocks_match(&self) -> bool {
        let max_import_ms = max_import_ms(BLOCK_BYTES, STORE_BYTES_PER_S);
        let view = self.index.view(&all_keys(), STORE_BYTES_PER_S, self.now_ms);
        let importable: BTreeSet<(ChainKey, HostName)> = all_keys()
            .into_iter()
            .zip(&view.importable)
            .flat_map(|(key, copies)| copies.iter().map(move |copy| (key, copy.store.clone())))
            .collect();
        let expected =
            self.blocks.iter().filter(|(_, expiry_ms)| **expiry_ms > self.now_ms + max_import_ms);
        importable == expected.map(|(block, _)| block.clone()).collect()
    }

    /// Delivers all events and returns whether the index lists exactly the keys that each server
    /// holds.
    fn matches_after_delivery(&mut self) -> bool {
        (0..SERVERS.len()).for_each(|server| self.deliver(server, 0));
        all_keys().iter().all(|key| {
            let view = self.index.view(&[*key], STORE_BYTES_PER_S, self.now_ms);
            (0..SERVERS.len()).all(|server| {
                let cached = view.cached_blocks(&host(SERVERS[server])) == 1;
                cached == self.servers[server].keys.contains(key)
            })
        })
    }
}

fn all_keys() -> Vec<ChainKey> {
    (0..KEYS).map(key).collect()
}

fn block(key: ChainKey, store: &HostName) -> CachedBlock {
    let name = placement::chain::block_name(&key);
    let checksum = common::key(9).to_string();
    CachedBlock { key, store: store.clone(), name, length_bytes: BLOCK_BYTES, checksum }
}

#[test]
fn only_blocks_that_outlive_their_import_are_importable() {
    checker(SEED, HISTORIES).quickcheck(holds as fn(Vec<Step>) -> bool);

    fn holds(history: Vec<Step>) -> bool {
        let mut simulation = Simulation::new();
        history.iter().all(|step| {
            simulation.step(step);
            simulation.importable_blocks_match()
        })
    }
}

#[test]
fn the_index_matches_the_servers_after_all_events_are_delivered() {
    checker(SEED, HISTORIES).quickcheck(holds as fn(Vec<Step>) -> bool);

    fn holds(history: Vec<Step>) -> bool {
        let mut simulation = Simulation::new();
        history.iter().for_each(|step| simulation.step(step));
        simulation.matches_after_delivery()
    }
}

#[test]
fn a_gap_requires_a_snapshot_until_one_is_applied() {
    let index = CacheIndex::default();
    let (server, first) = (host("server-a"), Incarnation::new(1));
    let event = |number| CacheEvent { number, key: key(1), stored: true };
    assert_eq!(index.apply_snapshot(&server, first, [], 3, |_| true), SyncStatus::Complete);
    let gapped = [event(3), event(5)];
    assert_eq!(
        index.apply_events(&server, first, &gapped, 6, |_| true),
        SyncStatus::SnapshotNeeded
    );
    assert_eq!(
        index.apply_events(&server, first, &[event(6)], 7, |_| true),
        SyncStatus::SnapshotNeeded
    );
    assert_eq!(index.apply_snapshot(&server, first, [], 5, |_| true), SyncStatus::Stale);
    assert_eq!(index.apply_snapshot(&server, first, [], 7, |_| true), SyncStatus::Complete);
    assert_eq!(index.apply_events(&server, first, &[event(7)], 8, |_| true), SyncStatus::Complete);
}

#[test]
fn a_new_incarnation_drops_a_servers_rows_and_an_old_one_is_ignored() {
    let index = CacheIndex::default();
    let server = host("server-a");
    let cached = |index: &CacheIndex| index.view(&[key(1)], 1, 0).cached_blocks(&server);
    index.apply_snapshot(&server, Incarnation::new(1), [key(1)], 0, |_| true);
    assert_eq!(cached(&index), 1);
    index.apply_events(&server, Incarnation::new(2), &[], 0, |_| true);
    assert_eq!(cached(&index), 0);
    let late = index.apply_snapshot(&server, Incarnation::new(1), [key(1)], 9, |_| true);
    assert_eq!((late, cached(&index)), (SyncStatus::Stale, 0));
}

#[test]
fn a_removed_server_has_no_cached_blocks() {
    let index = CacheIndex::default();
    let server = host("server-a");
    index.apply_snapshot(&server, Incarnation::new(4), [key(1)], 0, |_| true);
    index.remove_server(&server, Incarnation::new(4));
    assert_eq!(index.view(&[key(1)], 1, 0).cached_blocks(&server), 0);
    let late = index.apply_snapshot(&server, Incarnation::new(4), [key(1)], 9, |_| true);
    assert_eq!(late, SyncStatus::Stale);
}

#[test]
fn segments_of_other_homes_are_not_indexed() {
    let index = CacheIndex::default();
    let keys = [key(1), key(2)];
    index.apply_snapshot(&host("server-a"), Incarnation::new(1), keys, 0, |k| *k == key(2));
    assert_eq!(index.len(), 1);
}

#[test]
fn only_contiguous_leading_blocks_count_as_cached() {
    let index = CacheIndex::default();
    index.add_cached(&host("server-a"), &[key(0), key(1), key(3)]);
    index.add_cached(&host("server-b"), &[key(1), key(2), key(3)]);
    let view = index.view(&[key(0), key(1), key(2), key(3)], 1, 0);
    assert_eq!(view.cached_blocks(&host("server-a")), 2);
    assert_eq!(view.cached_blocks(&host("server-b")), 0);
}

#[test]
fn rows_are_bounded_and_recently_used_rows_stay() {
    const MAX_ROWS: usize = 320;
    let index = CacheIndex::with_max_rows(MAX_ROWS);
    let server = host("server-a");
    index.add_cached(&server, &[key(1)]);
    for number in 0..10_000_u32 {
        let digest = *blake3::hash(&number.to_le_bytes()).as_bytes();
        index.add_cached(&server, &[ChainKey::new(digest)]);
        assert!(index.len() <= MAX_ROWS);
        assert_eq!(index.view(&[key(1)], 1, 0).cached_blocks(&server), 1);
    }
}

#[test]
fn a_block_with_a_malformed_checksum_is_dropped() {
    let index = CacheIndex::default();
    let malformed = CachedBlock { checksum: "short".to_owned(), ..block(key(1), &host("store-a")) };
    index.add_block(&malformed, u64::MAX);
    assert!(index.is_empty());
}
