//! Records of what began a stream: who holds them, and what a return finds.

mod common;

use common::id;
use dispatch::registry::SoftwareVersion;
use dispatch::streams::{
    Holder, RECORD_TTL_MS, StreamKey, StreamOrigin, StreamRecord, StreamTable, holders, queried,
};
use protocol::ids::{FailureDomain, HostName};
use quickcheck::{Arbitrary, Gen};

fn origin(software: &str) -> StreamOrigin {
    StreamOrigin { service: id("notes"), software: SoftwareVersion::new(software) }
}

fn record(attempt: &str, software: &str, age_ms: u64) -> StreamRecord {
    StreamRecord { key: StreamKey::new(attempt.as_bytes()), origin: origin(software), age_ms }
}

#[test]
fn a_record_expires_by_the_age_of_its_stream() {
    let mut table = StreamTable::new();
    table.add(record("a", "v1", 0), 101_000);
    table.add(record("b", "v1", RECORD_TTL_MS - 500), 101_000);
    table.add(record("c", "v1", RECORD_TTL_MS), 101_000);
    let key = |attempt: &str| StreamKey::new(attempt.as_bytes());
    assert_eq!(table.origin(&key("a"), 101_400), Some(&origin("v1")));
    assert_eq!(table.record(&key("a"), 101_400).map(|record| record.age_ms), Some(400));
    assert_eq!(table.origin(&key("b"), 101_400), Some(&origin("v1")));
    assert_eq!(table.origin(&key("b"), 101_500), None);
    assert_eq!(table.origin(&key("c"), 101_000), None);
    assert_eq!(table.records(101_500).len(), 1);
}

#[test]
fn a_later_record_of_a_stream_changes_nothing() {
    let mut table = StreamTable::new();
    table.add(record("a", "v1", 0), 1_000);
    table.add(record("a", "v2", 0), 2_000);
    assert_eq!(table.origin(&StreamKey::new(b"a"), 2_000), Some(&origin("v1")));
}

#[test]
fn the_table_of_records_is_bounded() {
    let mut table = StreamTable::new();
    for number in 0..60_000 {
        table.add(record(&number.to_string(), "v1", 0), 1_000);
    }
    assert_eq!(table.records(1_000).len(), 50_000);
    assert_eq!(table.origin(&StreamKey::new(b"59999"), 1_000), Some(&origin("v1")));
}

/// Guards against a record with too few holders, because other gateways do not report yet.
#[test]
fn a_record_has_three_holders_although_peers_have_not_reported() {
    let domain: FailureDomain = id("east-1");
    let hosts: [HostName; 4] = std::array::from_fn(|index| id(&format!("gateway-{index}")));
    let peers: Vec<Holder<'_>> = hosts
        .iter()
        .enumerate()
        .map(|(index, host)| Holder { host, domain: &domain, is_live: index == 3 })
        .collect();
    for attempt in 0..20_u8 {
        let found = holders(&StreamKey::new(&[attempt]), &domain, &peers);
        assert_eq!((found.len(), found[0]), (3, 3));
    }
}

struct Gateway {
    host: HostName,
    domain: FailureDomain,
    is_running: bool,
    table: StreamTable,
}

/// Gateways that exchange records without losses.
struct Installation {
    gateways: Vec<Gateway>,
    now_ms: u64,
}

impl Installation {
    fn new(gateways: usize, domains: usize) -> Self {
        let gateways = (0..gateways).map(|index| Gateway {
            host: id(&format!("gateway-{index}")),
            domain: id(&format!("domain-{}", index % domains)),
            is_running: true,
            table: StreamTable::new(),
        });
        Self { gateways: gateways.collect(), now_ms: 1_000 }
    }

    fn is_small(&self) -> bool {
        self.gateways.len() <= 12
    }

    /// Returns the others as one gateway sees them, with their indices.
    fn peers(&self, local: usize) -> (Vec<usize>, Vec<Holder<'_>>) {
        let domain = &self.gateways[local].domain;
        let indices: Vec<usize> = (0..self.gateways.len()).filter(|peer| *peer != local).collect();
        let peers = indices.iter().map(|index| {
            let peer = &self.gateways[*index];
            let is_seen = self.is_small() || peer.domain == *domain;
            Holder { host: &peer.host, domain: &peer.domain, is_live: peer.is_running || !is_seen }
        });
        let peers = peers.collect();
        (indices, peers)
    }

    fn send(&mut self, from: usize, record: &StreamRecord) -> usize {
        let (indices, peers) = self.peers(from);
        let recipients: Vec<usize> = holders(&record.key, &self.gateways[from].domain, &peers)
            .into_iter()
            .map(|holder| indices[holder])
            .collect();
        let mut received = 0;
        for recipient in recipients {
            let gateway = &mut self.gateways[recipient];
            if gateway.is_running {
                gateway.table.add(record.clone(), self.now_ms);
                received += 1;
            }
        }
        received
    }

    fn begin(&mut self, at: usize, record: &StreamRecord) -> usize {
        self.gateways[at].table.add(record.clone(), self.now_ms);
        self.send(at, record)
    }

    fn crash(&mut self, index: usize) {
        self.gateways[index].is_running = false;
        self.gateways[index].table = StreamTable::new();
    }

    fn restart_gracefully(&mut self, index: usize) {
        self.gateways[index].is_running = false;
        for record in self.gateways[index].table.records(self.now_ms) {
            self.send(index, &record);
        }
        self.gateways[index].table = StreamTable::new();
        self.gateways[index].is_running = true;
    }

    fn find(&self, at: usize, key: &StreamKey) -> Option<StreamOrigin> {
        if let Some(origin) = self.gateways[at].table.origin(key, self.now_ms) {
            return Some(origin.clone());
        }
        let (indices, peers) = self.peers(at);
        let asked = queried(key, self.is_small(), &peers);
        let mut asked = asked.into_iter().map(|peer| &self.gateways[indices[peer]]);
        asked.find_map(|peer| peer.table.origin(key, self.now_ms)).cloned()
    }
}

/// Draws a number below a limit.
fn below(draws: &mut Gen, limit: usize) -> usize {
    (u64::arbitrary(draws) % limit as u64) as usize
}

/// Plays one history: a stream begins while one gateway is down, gateways crash, fewer than hold its record, and others
/// restart gracefully in any order; then its caller returns anywhere.
fn play(seed: u64) {
    let draws = &mut Gen::from_size_and_seed(100, seed);
    let domains = 1 + below(draws, 4);
    let count = 3 * domains.max(2) + below(draws, 29);
    let mut installation = Installation::new(count, domains);
    let at = below(draws, count);
    let down = below(draws, count);
    if down != at {
        installation.crash(down);
    }
    let begun = record(&format!("attempt-{seed}"), "v1", 0);
    let copies = installation.begin(at, &begun);
    assert!(copies > 0, "seed {seed}: {count} gateways, {domains} domains");
    let mut crashes = below(draws, copies);
    for _ in 0..below(draws, 2 * count) {
        installation.now_ms += below(draws, 500) as u64;
        let index = below(draws, count);
        if !installation.gateways[index].is_running {
            installation.gateways[index].is_running = true;
        } else if crashes > 0 && below(draws, 5) < 2 {
            crashes -= 1;
            installation.crash(index);
        } else {
            installation.restart_gracefully(index);
        }
    }
    let running: Vec<usize> =
        (0..count).filter(|index| installation.gateways[*index].is_running).collect();
    let returns_at = running[below(draws, running.len())];
    let found = installation.find(returns_at, &begun.key);
    assert_eq!(found, Some(origin("v1")), "seed {seed}: {count} gateways, {domains} domains");
}

#[test]
fn a_return_finds_its_record_unless_all_holders_crashed() {
    (1..=4_000).for_each(play);
}
