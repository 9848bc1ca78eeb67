//! Generated histories of faults against the oracle, with the real decision code.

mod world;

use quickcheck::{Arbitrary, Gen};
use std::thread;
use world::{Step, World};

const HISTORIES: u64 = 12_000;
const LANES: u64 = 4;
const STEPS: usize = 160;

/// Runs one history and returns what it violated.
fn violations(steps: &[Step]) -> Vec<String> {
    let mut world = World::new();
    steps.iter().for_each(|step| world.step(*step));
    world.settle();
    let resent = world.resend_all();
    world.settle();
    world.oracle.check_settled(&resent);
    world.oracle.violations
}

/// Shrinks a failing history to one from which no step can be taken.
fn shrunk(mut steps: Vec<Step>) -> Vec<Step> {
    while let Some(smaller) = steps.shrink().find(|smaller| !violations(smaller).is_empty()) {
        steps = smaller;
    }
    steps
}

/// Returns the first seed of a lane whose history violates something.
fn first_failure(lane: u64, histories: u64) -> Option<(u64, Vec<Step>)> {
    let seeds = (lane..histories).step_by(LANES as usize);
    let history = |seed| Vec::<Step>::arbitrary(&mut Gen::from_size_and_seed(STEPS, seed));
    seeds.map(|seed| (seed, history(seed))).find(|(_, steps)| !violations(steps).is_empty())
}

/// Runs `ORDERS_HISTORIES` histories where that is set, for the longer runs of the design note.
#[test]
fn no_history_doubles_or_loses_an_order() {
    let asked = std::env::var("ORDERS_HISTORIES").ok().and_then(|count| count.parse().ok());
    let histories = asked.unwrap_or(HISTORIES);
    let failure = thread::scope(|scope| {
        let lanes: Vec<_> =
            (0..LANES).map(|lane| scope.spawn(move || first_failure(lane, histories))).collect();
        lanes.into_iter().filter_map(|lane| lane.join().unwrap()).min()
    });
    if let Some((seed, steps)) = failure {
        let steps = shrunk(steps);
        panic!("seed {seed}: {:?}\nby {steps:?}", violations(&steps));
    }
}
