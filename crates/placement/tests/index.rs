//! The index of kept work under late, gapped, repeated and reordered events, against an oracle.

mod common;

use common::{checker, host, key};
use placement::index::{CacheEvent, KeptIndex, Sync, worst_import_ms};
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

/// Lists what may happen to servers, stores and the messages from them.
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
    /// Delivers the events of the server's outbox, some of them lost.
    Deliver {
        server: usize,
        lost: u8,
    },
    /// Delivers an old batch again.
    Repeat {
        server: usize,
        batch: usize,
    },
    Snapshot {
        server: usize,
    },
    Commit {
        store: usize,
        key: u8,
        life_ms: u16,
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
            9 => Step::Repeat { server, batch: usize::arbitrary(gen_) },
            10 => Step::Snapshot { server },
            11 => Step::Commit { store, key, life_ms: u16::arbitrary(gen_) },
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

/// Holds what is true of one server.
#[derive(Debug, Default)]
struct TrueServer {
    incarnation: u64,
    keys: BTreeSet<ChainKey>,
    next_event: u64,
    outbox: Vec<CacheEvent>,
    sent: Vec<Batch>,
}

impl TrueServer {
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

/// Runs a history on the index and beside it on what is true.
struct World {
    index: KeptIndex,
    servers: [TrueServer; SERVERS.len()],
    /// When each block that the index was told of expires.
    blocks: BTreeMap<(ChainKey, HostName), u64>,
    now_ms: u64,
}

impl World {
    fn new() -> Self {
        let index = KeptIndex::with_max_rows(10_000);
        let mut world =
            Self { index, servers: Default::default(), blocks: BTreeMap::new(), now_ms: 1_000_000 };
        (0..SERVERS.len()).for_each(|server| world.snapshot(server));
        world
    }

    fn step(&mut self, step: &Step) {
        match *step {
            Step::Store { server, key: number } => self.servers[server].change(key(number), true),
            Step::Evict { server, key: number } => self.servers[server].change(key(number), false),
            Step::Restart { server } => self.servers[server].restart(),
            Step::Deliver { server, lost } => self.deliver(server, lost),
            Step::Repeat { server, batch } => self.repeat(server, batch),
            Step::Snapshot { server } => self.snapshot(server),
            Step::Commit { store, key: number, life_ms } => {
                self.commit(store, key(number), u64::from(life_ms));
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
        if self.apply(server, &batch) == Sync::SnapshotNeeded {
            self.snapshot(server);
        }
    }

    fn repeat(&mut self, server: usize, batch: usize) {
        let sent = &self.servers[server].sent;
        if sent.is_empty() {
            return;
        }
        let batch = sent[batch % sent.len()].clone();
        if self.apply(server, &batch) == Sync::SnapshotNeeded {
            self.snapshot(server);
        }
    }

    fn apply(&self, server: usize, batch: &Batch) -> Sync {
        let name = host(SERVERS[server]);
        self.index.apply_events(&name, batch.incarnation, &batch.events, batch.next_event, |_| true)
    }

    fn snapshot(&mut self, server: usize) {
        let truth = &mut self.servers[server];
        truth.outbox.clear();
        let keys = truth.keys.iter().copied();
        let incarnation = Incarnation::new(truth.incarnation);
        let name = host(SERVERS[server]);
        self.index.apply_snapshot(&name, incarnation, keys, truth.next_event, |_| true);
    }

    fn commit(&mut self, store: usize, key: ChainKey, life_ms: u64) {
        let store = host(STORES[store]);
        let expires_at_ms = self.now_ms + life_ms;
        self.index.add_block(&block(key, &store), expires_at_ms);
        self.blocks.insert((key, store), expires_at_ms);
    }

    /// Tells whether each importable block outlives the worst case of its import, and none that
    /// does is missing.
    fn blocks_are_safe(&self) -> bool {
        let worst_ms = worst_import_ms(BLOCK_BYTES, STORE_BYTES_PER_S);
        let view = self.index.view(&all_keys(), STORE_BYTES_PER_S, self.now_ms);
        let importable: BTreeSet<(ChainKey, HostName)> = all_keys()
            .into_iter()
            .zip(&view.kept)
            .flat_map(|(key, copies)| copies.iter().map(move |copy| (key, copy.store.clone())))
            .collect();
        let safe = self.blocks.iter().filter(|(_, expiry_ms)| **expiry_ms > self.now_ms + worst_ms);
        importable == safe.map(|(block, _)| block.clone()).collect()
    }

    /// Tells whether the index knows all and only what each server holds, once it has heard all.
    fn agrees_after_delivery(&mut self) -> bool {
        (0..SERVERS.len()).for_each(|server| self.deliver(server, 0));
        all_keys().iter().all(|key| {
            let view = self.index.view(&[*key], STORE_BYTES_PER_S, self.now_ms);
            (0..SERVERS.len()).all(|server| {
                let held = view.held_pieces(&host(SERVERS[server])) == 1;
                held == self.servers[server].keys.contains(key)
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
        let mut world = World::new();
        history.iter().all(|step| {
            world.step(step);
            world.blocks_are_safe()
        })
    }
}

#[test]
fn the_index_agrees_with_the_servers_once_all_is_delivered() {
    checker(SEED, HISTORIES).quickcheck(holds as fn(Vec<Step>) -> bool);

    fn holds(history: Vec<Step>) -> bool {
        let mut world = World::new();
        history.iter().for_each(|step| world.step(step));
        world.agrees_after_delivery()
    }
}

#[test]
fn a_gap_asks_for_a_snapshot_until_one_came() {
    let index = KeptIndex::default();
    let (server, first) = (host("server-a"), Incarnation::new(1));
    let event = |number| CacheEvent { number, key: key(1), stored: true };
    assert_eq!(index.apply_snapshot(&server, first, [], 3, |_| true), Sync::Complete);
    let gapped = [event(3), event(5)];
    assert_eq!(index.apply_events(&server, first, &gapped, 6, |_| true), Sync::SnapshotNeeded);
    assert_eq!(index.apply_events(&server, first, &[event(6)], 7, |_| true), Sync::SnapshotNeeded);
    assert_eq!(index.apply_snapshot(&server, first, [], 5, |_| true), Sync::Stale);
    assert_eq!(index.apply_snapshot(&server, first, [], 7, |_| true), Sync::Complete);
    assert_eq!(index.apply_events(&server, first, &[event(7)], 8, |_| true), Sync::Complete);
}

#[test]
fn a_new_incarnation_drops_a_servers_rows_and_an_old_one_is_ignored() {
    let index = KeptIndex::default();
    let server = host("server-a");
    let held = |index: &KeptIndex| index.view(&[key(1)], 1, 0).held_pieces(&server);
    index.apply_snapshot(&server, Incarnation::new(1), [key(1)], 0, |_| true);
    assert_eq!(held(&index), 1);
    index.apply_events(&server, Incarnation::new(2), &[], 0, |_| true);
    assert_eq!(held(&index), 0);
    let late = index.apply_snapshot(&server, Incarnation::new(1), [key(1)], 9, |_| true);
    assert_eq!((late, held(&index)), (Sync::Stale, 0));
}

#[test]
fn rows_of_a_dead_server_no_longer_count() {
    let index = KeptIndex::default();
    let server = host("server-a");
    index.apply_snapshot(&server, Incarnation::new(4), [key(1)], 0, |_| true);
    index.remove_server(&server, Incarnation::new(4));
    assert_eq!(index.view(&[key(1)], 1, 0).held_pieces(&server), 0);
    let late = index.apply_snapshot(&server, Incarnation::new(4), [key(1)], 9, |_| true);
    assert_eq!(late, Sync::Stale);
}

#[test]
fn pieces_of_other_homes_are_not_kept() {
    let index = KeptIndex::default();
    let keys = [key(1), key(2)];
    index.apply_snapshot(&host("server-a"), Incarnation::new(1), keys, 0, |k| *k == key(2));
    assert_eq!(index.len(), 1);
}

#[test]
fn only_pieces_from_the_first_one_on_count_as_held() {
    let index = KeptIndex::default();
    index.add_held(&host("server-a"), &[key(0), key(1), key(3)]);
    index.add_held(&host("server-b"), &[key(1), key(2), key(3)]);
    let view = index.view(&[key(0), key(1), key(2), key(3)], 1, 0);
    assert_eq!(view.held_pieces(&host("server-a")), 2);
    assert_eq!(view.held_pieces(&host("server-b")), 0);
}

#[test]
fn rows_are_bounded_and_used_ones_stay() {
    const MAX_ROWS: usize = 320;
    let index = KeptIndex::with_max_rows(MAX_ROWS);
    let server = host("server-a");
    index.add_held(&server, &[key(1)]);
    for number in 0..10_000_u32 {
        let digest = *blake3::hash(&number.to_le_bytes()).as_bytes();
        index.add_held(&server, &[ChainKey::new(digest)]);
        assert!(index.len() <= MAX_ROWS);
        assert_eq!(index.view(&[key(1)], 1, 0).held_pieces(&server), 1);
    }
}

#[test]
fn a_block_with_a_malformed_checksum_is_dropped() {
    let index = KeptIndex::default();
    let malformed = CachedBlock { checksum: "short".to_owned(), ..block(key(1), &host("store-a")) };
    index.add_block(&malformed, u64::MAX);
    assert!(index.is_empty());
}
