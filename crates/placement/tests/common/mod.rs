//! Shared test fixtures and seeded property checkers.
#![allow(dead_code)]

use placement::choice::{Candidate, RegionPath, Store};
use placement::index::{BlockCopy, CachedPrefix, ChainView};
use protocol::ids::{ChainKey, HostName};
use quickcheck::{Gen, QuickCheck};

pub const GEN_SIZE: usize = 40;

/// Returns a property checker whose cases depend only on the seed.
pub fn checker(seed: u64, tests: u64) -> QuickCheck {
    QuickCheck::new().rng(Gen::from_size_and_seed(GEN_SIZE, seed)).tests(tests)
}

pub fn host(name: &str) -> HostName {
    name.parse().unwrap()
}

pub fn key(number: u8) -> ChainKey {
    ChainKey::new([number; 32])
}

pub fn candidate(name: &str, region: &str, domain: &str) -> Candidate {
    Candidate {
        host: host(name),
        region: region.parse().unwrap(),
        failure_domain: domain.parse().unwrap(),
    }
}

pub fn store(name: &str, region: &str, bytes_per_s: u64) -> Store {
    Store { host: host(name), region: region.parse().unwrap(), bytes_per_s, pending_bytes: 0 }
}

pub fn local_path(region: &str) -> RegionPath {
    RegionPath { region: region.parse().unwrap(), delay_ms: 0.5, bits_per_s: None, wait_ms: 0.0 }
}

pub fn remote_path(region: &str, bits_per_s: u64) -> RegionPath {
    RegionPath {
        region: region.parse().unwrap(),
        delay_ms: 12.0,
        bits_per_s: Some(bits_per_s),
        wait_ms: 0.0,
    }
}

pub fn copy(store: &str, length_bytes: u64) -> BlockCopy {
    BlockCopy { store: host(store), length_bytes, checksum: [7; 32], expires_at_ms: 1_000_000 }
}

/// Returns a view from the number of leading blocks of each server and at most one copy per
/// segment.
pub fn view(cached: &[(&str, usize)], importable: &[Option<BlockCopy>]) -> ChainView {
    let cached = cached
        .iter()
        .map(|(server, blocks)| CachedPrefix { server: host(server), blocks: *blocks });
    ChainView {
        cached_prefixes: cached.collect(),
        importable: importable.iter().map(|copy| copy.iter().cloned().collect()).collect(),
    }
}
