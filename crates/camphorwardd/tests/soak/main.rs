//! A randomised soak test: gateways as separate processes, injected faults, and invariants checked
//! from what callers and servers receive.
//!
//! CI runs the seeds of [`REGRESSIONS`] and a few more. To run it by hand:
//! `CAMPHORWARD_SOAK_SEEDS=1..50 cargo test -p camphorwardd --test soak -- --nocapture`
//!
//! `CAMPHORWARD_SOAK_LOGS` names a directory for the logs of plays that fail.
//! `CAMPHORWARD_SOAK_OTHER_PROGRAM` names the program of another build: half of the gateways start
//! with it, and each restart takes the build that the one before did not.

#[path = "../gateway/caller.rs"]
#[allow(dead_code)]
mod caller;
#[path = "../gateway/fleet.rs"]
#[allow(dead_code)]
mod fleet;
#[path = "../gateway/process.rs"]
#[allow(dead_code)]
mod process;

mod checks;
mod faults;
mod traffic;
mod world;

use crate::world::World;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::path::Path;
use std::time::Duration;

/// Seeds that have failed before, each with its cause.
const REGRESSIONS: &[(u64, &str)] = &[
    (601, "the check took servers for sound whose new entries no gateway could have read"),
    (602, "the end of a process that an overlapping restart replaced was not recorded"),
];
/// The other seeds that CI runs.
const SHORT_RUN: std::ops::Range<u64> = 1..4;
/// How long faults are injected, in seconds, unless `CAMPHORWARD_SOAK_SECONDS` is set.
const SECONDS: u64 = 6;
/// The number of gateways, unless `CAMPHORWARD_SOAK_GATEWAYS` is set.
const GATEWAYS: usize = 4;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn invariants_hold_under_faults() {
    let mut failed = Vec::new();
    for seed in seeds() {
        let violations = run_seed(seed).await;
        println!("seed {seed}: {} violations", violations.len());
        violations.iter().for_each(|violation| println!("  {violation}"));
        if !violations.is_empty() {
            failed.push(seed);
        }
    }
    assert!(failed.is_empty(), "invariants violated with the seeds {failed:?}");
}

fn seeds() -> Vec<u64> {
    let Ok(text) = std::env::var("CAMPHORWARD_SOAK_SEEDS") else {
        return REGRESSIONS.iter().map(|(seed, _)| *seed).chain(SHORT_RUN).collect();
    };
    match text.split_once("..") {
        Some((first, end)) => (first.parse().unwrap()..end.parse().unwrap()).collect(),
        None => vec![text.parse().unwrap()],
    }
}

fn setting(name: &str, default: u64) -> u64 {
    std::env::var(name).map_or(default, |text| text.parse().unwrap())
}

async fn run_seed(seed: u64) -> Vec<String> {
    let mut random = SmallRng::seed_from_u64(seed);
    let gateways = setting("CAMPHORWARD_SOAK_GATEWAYS", GATEWAYS as u64) as usize;
    let world = World::start(gateways, faults::has_places(seed)).await;
    let traffic = traffic::start(&world, seed);
    let period = Duration::from_secs(setting("CAMPHORWARD_SOAK_SECONDS", SECONDS));
    tokio::join!(
        faults::inject(&world, seed, &mut random, period),
        faults::evacuate(&world, seed, period)
    );
    world.heal().await;
    let recovered = traffic::until_served(&world).await;
    let answers = traffic.stop().await;
    let mut violations = checks::violations(&world, &answers);
    violations.extend(recovered.err());
    if let (false, Ok(logs)) = (violations.is_empty(), std::env::var("CAMPHORWARD_SOAK_LOGS")) {
        world.write_logs(&Path::new(&logs).join(seed.to_string())).await.unwrap();
    }
    violations
}
