//! Generated histories of retirements: gateways are added, restarted, suspended and cut off, the lease
//! passes to others, weights are named twice, and the store is away or returns from a copy. No fetch
//! may begin before its block is freed and end after that.

mod gateway;
mod leader;
mod store;
mod world;

use world::{Rule, World};

const HISTORIES: u64 = 4_000;

#[test]
fn no_block_is_freed_while_it_is_fetched() {
    let (mut fetches, mut older, mut frees) = (0, 0, 0);
    for seed in 0..HISTORIES {
        let world = World::play(seed, None);
        assert_eq!(world.broken, None, "seed {seed}");
        fetches += world.fetches;
        older += world.fetches_of_older;
        frees += world.frees;
    }
    println!("{HISTORIES} histories: {fetches} fetches, {older} of older weights, {frees} frees");
    assert!(older > 10 * HISTORIES && frees > HISTORIES, "the histories show nothing");
}

#[test]
fn the_histories_find_each_rule_that_is_left_out() {
    let mut missed = Vec::new();
    for rule in Rule::ALL {
        let found = (0..HISTORIES).find(|seed| World::play(*seed, Some(rule)).broken.is_some());
        println!("{rule:?}: {found:?}");
        if found.is_none() {
            missed.push(rule);
        }
    }
    assert!(missed.is_empty(), "left out and not found: {missed:?}");
}
