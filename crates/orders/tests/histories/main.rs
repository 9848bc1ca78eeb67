//! Checks the production decision code against an oracle under generated fault histories.

mod world;

use quickcheck::{Arbitrary, Gen};
use std::thread;
use world::{Step, World};

const HISTORIES: u64 = 12_000;
const WORKERS: u64 = 4;
const STEPS: usize = 160;

/// Runs one history and returns the violations.
fn violations(steps: &[Step]) -> Vec<String> {
    let mut world = World::new();
    steps.iter().for_each(|step| world.step(*step));
    world.settle();
    let resent = world.resend_all();
    world.settle();
    world.oracle.check_settled(&resent);
    world.oracle.violations
}

/// Shrinks a failing history until no smaller candidate fails.
fn shrunk(mut steps: Vec<Step>) -> Vec<Step> {
    while let Some(smaller) = steps.shrink().find(|smaller| !violations(smaller).is_empty()) {
        steps = smaller;
    }
    steps
}

/// Returns the first seed of a worker whose history has a violation.
fn first_failure(worker: u64, histories: u64) -> Option<(u64, Vec<Step>)> {
    let seeds = (worker..histories).step_by(WORKERS as usize);
    let history = |seed| Vec::<Step>::arbitrary(&mut Gen::from_size_and_seed(STEPS, seed));
    seeds.map(|seed| (seed, history(seed))).find(|(_, steps)| !violations(steps).is_empty())
}

/// Runs [`HISTORIES`] histories, or as many as the environment variable `ORDERS_HISTORIES` requests,
/// as in the longer runs of the design note.
#[test]
fn no_history_executes_an_order_twice_or_loses_one() {
    let requested = std::env::var("ORDERS_HISTORIES").ok().and_then(|count| count.parse().ok());
    let histories = requested.unwrap_or(HISTORIES);
    let failure = thread::scope(|scope| {
        let workers: Vec<_> = (0..WORKERS)
            .map(|worker| scope.spawn(move || first_failure(worker, histories)))
            .collect();
        workers.into_iter().filter_map(|worker| worker.join().unwrap()).min()
    });
    if let Some((seed, steps)) = failure {
        let steps = shrunk(steps);
        panic!("seed {seed}: {:?}\nby {steps:?}", violations(&steps));
    }
}
