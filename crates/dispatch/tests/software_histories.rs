//! The history of software versions: what a return without a record may conclude from it.

mod common;

use common::id;
use dispatch::era::StoreEra;
use dispatch::registry::SoftwareVersion;
use dispatch::software_history::{
    FORGET_AFTER_MS, RELIANCE_MS, SoftwareHistory, SoftwareTracker, UnknownOrigin,
};
use dispatch::streams::{RECORD_TTL_MS, StreamOrigin};
use protocol::ids::ServiceName;
use quickcheck::Gen;
use std::collections::{BTreeMap, BTreeSet};

const ERA: StoreEra = StoreEra::new(1);

fn origin(version: u64) -> StreamOrigin {
    StreamOrigin { service: id("notes"), software: SoftwareVersion::new(format!("v{version}")) }
}

fn origins(versions: &[u64]) -> BTreeSet<StreamOrigin> {
    versions.iter().map(|version| origin(*version)).collect()
}

#[test]
fn a_version_is_certain_without_a_record_only_if_no_other_served() {
    let find = |versions: &[u64], complete_in, registered: &[u64]| {
        let history = SoftwareHistory { versions: origins(versions), complete_in };
        history.only_origin(ERA, origins(registered), &id("notes"), |_| true)
    };
    assert_eq!(find(&[1], Some(ERA), &[1]), Ok(origin(1)));
    assert_eq!(find(&[1], Some(ERA), &[]), Ok(origin(1)));
    assert_eq!(find(&[1, 2], Some(ERA), &[1]), Err(UnknownOrigin::SeveralVersions));
    assert_eq!(find(&[1], Some(ERA), &[2]), Err(UnknownOrigin::SeveralVersions));
    assert_eq!(find(&[1], None, &[1]), Err(UnknownOrigin::HistoryIncomplete));
    assert_eq!(find(&[1], Some(StoreEra::new(0)), &[1]), Err(UnknownOrigin::HistoryIncomplete));
    assert_eq!(find(&[], Some(ERA), &[]), Err(UnknownOrigin::HistoryIncomplete));
}

#[test]
fn only_services_that_may_have_begun_a_stream_count() {
    let desk = StreamOrigin { service: id("desk"), software: SoftwareVersion::new("v2") };
    let versions = [origin(1), desk].into_iter().collect();
    let history = SoftwareHistory { versions, complete_in: Some(ERA) };
    let find = |may_have_begun: fn(&ServiceName) -> bool| {
        history.only_origin(ERA, [], &id("notes"), may_have_begun)
    };
    assert_eq!(find(|service| service.as_str() == "notes"), Ok(origin(1)));
    assert_eq!(find(|_| true), Err(UnknownOrigin::SeveralVersions));
}

#[test]
fn a_version_counts_for_a_while_after_its_last_entry() {
    let mut tracker = SoftwareTracker::new();
    tracker.start(1_000);
    tracker.see(origin(1), 1_000);
    tracker.see(origin(2), 1_000);
    tracker.see(origin(2), 50_000);
    assert_eq!(tracker.expired(999 + FORGET_AFTER_MS), origins(&[]));
    assert_eq!(tracker.expired(1_000 + FORGET_AFTER_MS), origins(&[1]));
    // Entries before a listing were missed.
    tracker.start(60_000);
    assert_eq!(tracker.expired(59_999 + FORGET_AFTER_MS), origins(&[]));
    assert_eq!(tracker.expired(60_000 + FORGET_AFTER_MS), origins(&[1, 2]));
}

#[test]
fn a_version_that_was_not_seen_for_a_while_is_recorded_again() {
    let mut tracker = SoftwareTracker::new();
    tracker.start(1_000);
    assert_eq!(tracker.unrecorded(&origins(&[1]), 1_000), origins(&[1]));
    tracker.see(origin(1), 1_000);
    assert_eq!(tracker.unrecorded(&origins(&[1]), 999 + RELIANCE_MS), origins(&[]));
    assert_eq!(tracker.unrecorded(&origins(&[1]), 1_000 + RELIANCE_MS), origins(&[1]));
    let history = SoftwareHistory { versions: origins(&[1, 2]), complete_in: Some(ERA) };
    let mut started = SoftwareTracker::new();
    started.start(1_000);
    started.load(&history, ERA, &origins(&[1]), 1_000);
    assert_eq!(started.unrecorded(&origins(&[1, 2]), 1_000), origins(&[2]));
}

/// The rules that the histories are played with.
#[derive(Clone, Copy, Debug)]
struct Rules {
    /// A gateway lists the servers of a version only after the history holds it.
    records_before_use: bool,
    /// A return reads the history, in place of what the gateway read before.
    reads_after_return: bool,
    /// A history that may not reach back far enough proves nothing.
    needs_complete: bool,
    /// A history of an era before proves nothing.
    needs_era: bool,
    /// A version is forgotten only once its streams have ended.
    forgets_late: bool,
    /// A version that was not seen for a while is recorded again.
    records_again: bool,
    /// A version is deleted only if the history has not changed since.
    deletes_unchanged: bool,
}

const ALL: Rules = Rules {
    records_before_use: true,
    reads_after_return: true,
    needs_complete: true,
    needs_era: true,
    forgets_late: true,
    records_again: true,
    deletes_unchanged: true,
};

const STEP_MS: u64 = 250;
const HEARTBEAT_MS: u64 = 1_250;
const READ_INTERVAL_MS: u64 = 1_000;
const MAX_DELAY_MS: u64 = 3_000;

/// Draws a number below a limit; arbitrary numbers would often be zero.
fn below(draws: &mut Gen, limit: u64) -> u64 {
    const BYTES: [u8; 256] = {
        let mut bytes = [0; 256];
        let mut index = 0;
        while index < bytes.len() {
            bytes[index] = index as u8;
            index += 1;
        }
        bytes
    };
    let bytes: [u8; 4] = std::array::from_fn(|_| *draws.choose(&BYTES).unwrap_or(&0));
    u64::from(u32::from_le_bytes(bytes)) % limit
}

#[derive(Clone, Debug)]
struct Server {
    version: u64,
    /// When it leaves.
    leaves_ms: u64,
    is_listed: bool,
}

/// The store: the log of the servers' entries with server and version, and the history.
#[derive(Clone, Debug)]
struct Store {
    era: u32,
    first: usize,
    /// An entry; without a version the server was removed.
    entries: Vec<(usize, Option<u64>)>,
    history: SoftwareHistory,
    history_end: u64,
}

impl Store {
    fn era(&self) -> StoreEra {
        StoreEra::new(self.era)
    }

    fn newest(&self) -> BTreeMap<usize, u64> {
        let mut newest = BTreeMap::new();
        for (server, version) in &self.entries {
            match version {
                Some(version) => newest.insert(*server, *version),
                None => newest.remove(server),
            };
        }
        newest
    }

    fn record(&mut self, versions: BTreeSet<StreamOrigin>) {
        self.history_end += u64::from(!versions.is_empty());
        self.history.versions.extend(versions);
    }
}

#[derive(Debug)]
struct Gateway {
    /// When it starts; later than now while it is down.
    starts_ms: u64,
    /// Until when it stands still, or reaches neither the store nor peers.
    cut_until_ms: u64,
    next: Option<(u32, usize)>,
    recorded_era: u32,
    next_read_ms: u64,
    tracker: SoftwareTracker,
    servers: BTreeMap<usize, u64>,
    /// Versions that are used before the history holds them, without that rule.
    late: BTreeSet<StreamOrigin>,
    history: SoftwareHistory,
    /// The streams whose records it holds.
    records: BTreeSet<usize>,
}

impl Gateway {
    fn new(starts_ms: u64) -> Self {
        Self {
            starts_ms,
            cut_until_ms: 0,
            next: None,
            recorded_era: 0,
            next_read_ms: starts_ms,
            tracker: SoftwareTracker::new(),
            servers: BTreeMap::new(),
            late: BTreeSet::new(),
            history: SoftwareHistory::default(),
            records: BTreeSet::new(),
        }
    }

    fn runs(&self, now_ms: u64) -> bool {
        self.starts_ms <= now_ms
    }

    fn is_connected(&self, now_ms: u64) -> bool {
        self.runs(now_ms) && self.cut_until_ms <= now_ms
    }
}

#[derive(Debug)]
struct Stream {
    version: u64,
    began_ms: u64,
}

/// A deletion that the store executes later.
struct Deletion {
    at_ms: u64,
    versions: BTreeSet<StreamOrigin>,
    end: u64,
    era: u32,
}

#[derive(Clone, Copy, Debug)]
enum Event {
    /// Another version is installed.
    Install(u64),
    /// Another version is installed, with what may follow.
    Release(u64),
    /// The servers of a version leave.
    Leave(u64),
    EndAllGateways,
    /// A gateway ends and starts again.
    Restart(usize),
    /// A gateway stands still.
    Cut(usize),
    /// The store returns from the last copy.
    Restore,
}

struct World {
    rules: Rules,
    now_ms: u64,
    store: Store,
    copy: Store,
    servers: Vec<Server>,
    gateways: Vec<Gateway>,
    streams: Vec<Stream>,
    deletions: Vec<Deletion>,
    /// What happens when.
    planned: Vec<(u64, Event)>,
    /// One in so many steps may bring a disruption.
    rarity: u64,
    /// The version that releases install.
    version: u64,
    went_on: usize,
    refused: usize,
    mixed: usize,
}

impl World {
    fn new(rules: Rules, draws: &mut Gen) -> Self {
        let store = Store {
            era: 1,
            first: 0,
            entries: Vec::new(),
            history: SoftwareHistory::default(),
            history_end: 0,
        };
        let gateways = 2 + below(draws, 3) as usize;
        let mut world = Self {
            rules,
            now_ms: 100_000,
            copy: store.clone(),
            store,
            servers: Vec::new(),
            gateways: (0..gateways).map(|_| Gateway::new(100_000)).collect(),
            streams: Vec::new(),
            deletions: Vec::new(),
            planned: vec![(110_000 + below(draws, 20_000), Event::Release(2))],
            rarity: [600, 6_000, 60_000][below(draws, 3) as usize],
            version: 1,
            went_on: 0,
            refused: 0,
            mixed: 0,
        };
        if below(draws, 3) == 0 {
            // Gateways of an earlier build were there before, and a version that has just left.
            world.streams.extend((0..4).map(|_| Stream { version: 9, began_ms: 95_000 }));
            world.store.entries.extend([(99, Some(9)), (99, None)]);
            world.store.first = 2;
        }
        world.start_servers(2);
        world.copy = world.store.clone();
        world
    }

    fn start_servers(&mut self, count: usize) {
        for _ in 0..count {
            self.servers.push(Server {
                version: self.version,
                leaves_ms: u64::MAX,
                is_listed: true,
            });
            self.store.entries.push((self.servers.len() - 1, Some(self.version)));
        }
    }

    /// Installs another version; the servers of the one before leave some time later. Returns when.
    fn install(&mut self, version: u64, draws: &mut Gen) -> u64 {
        self.version = version;
        let leaves_ms = self.now_ms + below(draws, 20_000);
        for server in &mut self.servers {
            server.leaves_ms = server.leaves_ms.min(leaves_ms);
        }
        self.start_servers(2);
        leaves_ms
    }

    /// Installs another version. In some cases the one before returns for a moment when it is about
    /// to be forgotten, or the store loses the release.
    fn release(&mut self, version: u64, draws: &mut Gen) {
        let old = self.version;
        let before = self.store.clone();
        let leaves_ms = self.install(version, draws);
        let later = |draws: &mut Gen, at_ms: u64| at_ms + below(draws, 5_000);
        match below(draws, 3) {
            0 => {
                let returns_ms = later(draws, leaves_ms + FORGET_AFTER_MS - 2_000);
                self.planned.push((returns_ms, Event::Install(old)));
                self.planned.push((later(draws, returns_ms), Event::Leave(old)));
                self.planned.push((later(draws, returns_ms), Event::EndAllGateways));
                self.planned.push((later(draws, leaves_ms), Event::Restart(1)));
                self.planned.push((returns_ms - below(draws, 2) * STEP_MS, Event::Cut(0)));
            }
            1 => {
                self.copy = before;
                let restored_ms = later(draws, self.now_ms);
                self.planned.push((restored_ms, Event::Restore));
                self.planned.push((later(draws, self.now_ms), Event::Leave(version)));
                self.planned.push((later(draws, self.now_ms), Event::EndAllGateways));
            }
            _ => {}
        }
    }

    fn leave(&mut self, version: u64) {
        for server in self.servers.iter_mut().filter(|server| server.version == version) {
            server.leaves_ms = self.now_ms;
        }
    }

    /// Returns the store to the copy, unless that is from before the first gateway wrote, which
    /// docs/design/streams.md leaves open.
    fn restore(&mut self) {
        if self.copy.history == SoftwareHistory::default() {
            return;
        }
        self.store = Store { era: self.store.era + 1, ..self.copy.clone() };
        for (index, server) in self.servers.iter().enumerate() {
            self.store.entries.push((index, server.is_listed.then_some(server.version)));
        }
    }

    fn end_all_gateways(&mut self, draws: &mut Gen) {
        (0..self.gateways.len()).for_each(|index| self.restart(index, draws));
    }

    fn restart(&mut self, index: usize, draws: &mut Gen) {
        self.gateways[index] = Gateway::new(self.now_ms + 500 + below(draws, 3_000));
    }

    fn carry_out_plans(&mut self, draws: &mut Gen) {
        let now_ms = self.now_ms;
        let due: Vec<_> = self.planned.extract_if(.., |(at_ms, _)| *at_ms <= now_ms).collect();
        for (_, event) in due {
            match event {
                Event::Install(version) => drop(self.install(version, draws)),
                Event::Release(version) => self.release(version, draws),
                Event::Leave(version) => self.leave(version),
                Event::EndAllGateways => self.end_all_gateways(draws),
                Event::Restart(index) => self.restart(index, draws),
                Event::Cut(index) => self.gateways[index].cut_until_ms = self.now_ms + 6_000,
                Event::Restore => self.restore(),
            }
        }
    }

    fn write_entries(&mut self) {
        let beats = self.now_ms % HEARTBEAT_MS < STEP_MS;
        for (index, server) in self.servers.iter_mut().enumerate() {
            if server.leaves_ms <= self.now_ms && server.is_listed {
                server.is_listed = false;
                self.store.entries.push((index, None));
            } else if server.is_listed && beats {
                self.store.entries.push((index, Some(server.version)));
            }
        }
    }

    fn delete_versions(&mut self) {
        let now_ms = self.now_ms;
        let is_due = |deletion: &mut Deletion| deletion.at_ms <= now_ms;
        for deletion in self.deletions.extract_if(.., is_due) {
            let is_unchanged = self.store.history_end == deletion.end;
            if self.store.era == deletion.era && (is_unchanged || !self.rules.deletes_unchanged) {
                self.store.history.versions.retain(|held| !deletion.versions.contains(held));
                self.store.history_end += 1;
            }
        }
    }

    /// Reads the store as a gateway does.
    fn read(&mut self, index: usize, draws: &mut Gen) {
        let (rules, now_ms) = (self.rules, self.now_ms);
        let store = &mut self.store;
        let gateway = &mut self.gateways[index];
        gateway.next_read_ms = now_ms + READ_INTERVAL_MS;
        store.record(std::mem::take(&mut gateway.late));
        let end = store.entries.len();
        let next = gateway.next.filter(|(era, next)| *era == store.era && *next >= store.first);
        gateway.next = Some((store.era, end));
        let seen;
        let mut lacking;
        if let Some((_, from)) = next {
            let history_end = store.history_end;
            let entries = &store.entries[from..];
            seen = entries.iter().filter_map(|(_, version)| version.map(origin)).collect();
            lacking = gateway.tracker.unrecorded(&seen, now_ms);
            if !rules.records_again {
                lacking.retain(|origin| !gateway.tracker.versions().any(|held| held == origin));
            }
            for (server, version) in entries {
                match version {
                    Some(version) => gateway.servers.insert(*server, *version),
                    None => gateway.servers.remove(server),
                };
            }
            for origin in &seen - &lacking {
                gateway.tracker.see(origin, now_ms);
            }
            let asked_ms = if rules.forgets_late { now_ms } else { now_ms + RECORD_TTL_MS };
            let expired = gateway.tracker.expired(asked_ms);
            if !expired.is_empty() {
                gateway.tracker.forget(&expired);
                let at_ms = now_ms + below(draws, 2) * below(draws, MAX_DELAY_MS);
                let era = store.era;
                self.deletions.push(Deletion { at_ms, versions: expired, end: history_end, era });
            }
        } else {
            gateway.tracker.start(now_ms);
            gateway.servers = store.newest();
            seen = gateway.servers.values().map(|version| origin(*version)).collect();
            gateway.tracker.load(&store.history, store.era(), &seen, now_ms);
            lacking = &seen - &store.history.versions;
            if gateway.recorded_era > 0 && gateway.recorded_era < store.era {
                lacking.extend(gateway.tracker.versions().cloned());
            }
            gateway.recorded_era = store.era;
            if store.history == SoftwareHistory::default() && store.first == 0 {
                let all = store.entries.iter().filter_map(|(_, version)| version.map(origin));
                lacking.extend(all);
                store.history.complete_in = Some(store.era());
                gateway.tracker.record_complete();
            }
        }
        for origin in &lacking {
            gateway.tracker.see(origin.clone(), now_ms);
        }
        if rules.records_before_use {
            store.record(lacking);
        } else {
            gateway.late = lacking;
        }
        if gateway.tracker.completes(now_ms) {
            store.history.complete_in = Some(store.era());
            store.history_end += 1;
            gateway.tracker.record_complete();
        }
        gateway.history = store.history.clone();
    }

    fn begin_stream(&mut self, index: usize, draws: &mut Gen) {
        let now_ms = self.now_ms;
        let gateway = &self.gateways[index];
        let versions: Vec<u64> = gateway.servers.values().copied().collect();
        if versions.is_empty() {
            return;
        }
        let version = versions[below(draws, versions.len() as u64) as usize];
        let stream = self.streams.len();
        self.streams.push(Stream { version, began_ms: now_ms });
        let is_connected = gateway.is_connected(now_ms);
        for (peer, held) in self.gateways.iter_mut().enumerate() {
            if peer == index || (is_connected && held.is_connected(now_ms)) {
                held.records.insert(stream);
            }
        }
    }

    fn return_stream(&mut self, index: usize, stream: usize) {
        let now_ms = self.now_ms;
        let gateway = &self.gateways[index];
        let is_connected = gateway.is_connected(now_ms);
        let mut peers = self.gateways.iter().filter(|peer| peer.is_connected(now_ms));
        if gateway.records.contains(&stream)
            || (is_connected && peers.any(|peer| peer.records.contains(&stream)))
        {
            self.went_on += 1;
            return;
        }
        let mut era = self.store.era();
        let mut history = if !self.rules.reads_after_return {
            gateway.history.clone()
        } else if is_connected {
            self.store.history.clone()
        } else {
            SoftwareHistory::default()
        };
        if !self.rules.reads_after_return || !self.rules.needs_era {
            era = history.complete_in.unwrap_or(era);
        }
        if !self.rules.needs_complete {
            history.complete_in = Some(era);
        }
        let registered = gateway.servers.values().map(|version| origin(*version));
        match history.only_origin(era, registered, &id("notes"), |_| true) {
            Ok(found) => {
                self.went_on += 1;
                self.mixed += usize::from(found != origin(self.streams[stream].version));
            }
            Err(_) => self.refused += 1,
        }
    }

    fn disrupt(&mut self, draws: &mut Gen) {
        let now_ms = self.now_ms;
        let index = below(draws, self.gateways.len() as u64) as usize;
        match below(draws, self.rarity) {
            0..6 => self.release(1 + below(draws, 3), draws),
            6..10 => self.end_all_gateways(draws),
            10..16 => self.restart(index, draws),
            16..28 => self.gateways[index].cut_until_ms = now_ms + below(draws, 6_000),
            // The entries are deleted up to the newest of each server.
            28..30 => self.store.first = self.store.entries.len(),
            30 => self.restore(),
            31..80 => self.copy = self.store.clone(),
            _ => {}
        }
    }

    fn play(&mut self, steps: usize, has_disruptions: bool, draws: &mut Gen) {
        for _ in 0..steps {
            self.now_ms += STEP_MS;
            if has_disruptions {
                self.disrupt(draws);
                self.carry_out_plans(draws);
            }
            self.write_entries();
            self.delete_versions();
            for index in 0..self.gateways.len() {
                let gateway = &self.gateways[index];
                if gateway.is_connected(self.now_ms) && gateway.next_read_ms <= self.now_ms {
                    self.read(index, draws);
                }
                if !self.gateways[index].runs(self.now_ms) {
                    continue;
                }
                if below(draws, 2) == 0 {
                    self.begin_stream(index, draws);
                }
                let oldest_ms = self.now_ms.saturating_sub(RECORD_TTL_MS / 2);
                let recent = self.streams.partition_point(|stream| stream.began_ms < oldest_ms);
                let streams = (self.streams.len() - recent) as u64;
                if streams > 0 {
                    let stream = recent + below(draws, streams) as usize;
                    self.return_stream(index, stream);
                }
            }
        }
    }
}

/// Plays a history with some rules.
fn play(rules: Rules, seed: u64) -> World {
    const STEPS: usize = 1_200;
    let draws = &mut Gen::from_size_and_seed(100, seed);
    let mut world = World::new(rules, draws);
    world.play(STEPS, true, draws);
    world
}

const SEEDS: std::ops::RangeInclusive<u64> = 1..=1_000;

#[test]
fn no_return_goes_on_at_another_version_than_the_one_that_began_it() {
    let (mut went_on, mut refused) = (0, 0);
    for seed in 1..=4_000 {
        let world = play(ALL, seed);
        assert_eq!(world.mixed, 0, "seed {seed}");
        went_on += world.went_on;
        refused += world.refused;
    }
    assert!(went_on > 0 && refused > 0, "{went_on} went on, {refused} refused");
}

/// Each rule is needed: without it some history mixes two versions.
#[test]
fn the_histories_find_each_missing_rule() {
    let without = [
        ("records_before_use", Rules { records_before_use: false, ..ALL }),
        ("reads_after_return", Rules { reads_after_return: false, ..ALL }),
        ("needs_complete", Rules { needs_complete: false, ..ALL }),
        ("needs_era", Rules { needs_era: false, ..ALL }),
        ("forgets_late", Rules { forgets_late: false, ..ALL }),
        ("records_again", Rules { records_again: false, ..ALL }),
        ("deletes_unchanged", Rules { deletes_unchanged: false, ..ALL }),
    ];
    let unneeded: Vec<&str> = without
        .iter()
        .filter(|(_, rules)| SEEDS.clone().all(|seed| play(*rules, seed).mixed == 0))
        .map(|(name, _)| *name)
        .collect();
    assert_eq!(unneeded, [""; 0]);
}

/// Guards against refusals while a single version serves.
#[test]
fn all_returns_go_on_after_all_gateways_ended_while_one_version_serves() {
    for seed in 1..=100 {
        let draws = &mut Gen::from_size_and_seed(100, seed);
        let mut world = World::new(ALL, draws);
        if world.store.first > 0 {
            continue;
        }
        for _ in 0..10 {
            world.play(40, false, draws);
            for gateway in &mut world.gateways {
                *gateway = Gateway::new(world.now_ms + 1_000);
            }
        }
        assert_eq!((world.mixed, world.refused), (0, 0), "seed {seed}");
        assert!(world.went_on > 0);
    }
}
