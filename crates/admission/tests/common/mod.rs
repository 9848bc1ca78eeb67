//! Helpers that build names and seeded QuickCheck runners.
#![allow(dead_code)]

pub mod crash_simulation;

use protocol::ids::{AttemptId, HostName, OrganisationId, ServiceName};
use quickcheck::{Gen, QuickCheck};

pub const GEN_SIZE: usize = 40;

/// Returns a checker whose cases depend only on the seed.
pub fn checker(seed: u64, tests: u64) -> QuickCheck {
    QuickCheck::new().rng(Gen::from_size_and_seed(GEN_SIZE, seed)).tests(tests)
}

pub fn organisation(name: &str) -> OrganisationId {
    name.parse().unwrap()
}

pub fn service() -> ServiceName {
    "shades".parse().unwrap()
}

pub fn host(name: &str) -> HostName {
    name.parse().unwrap()
}

pub fn attempt(number: u64) -> AttemptId {
    format!("attempt-{number}").parse().unwrap()
}
