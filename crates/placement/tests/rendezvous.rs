//! Properties of rendezvous hashing: when a host joins or leaves, only its own keys move.

mod common;

use common::{checker, host, key};
use placement::rendezvous::{home, stores_for_block, weight};
use protocol::ids::HostName;
use std::collections::{BTreeSet, HashMap};

const SEED: u64 = 12;

fn hosts(numbers: &BTreeSet<u8>) -> Vec<HostName> {
    numbers.iter().map(|number| host(&format!("entry-{number}"))).collect()
}

#[test]
fn a_host_that_leaves_moves_only_its_own_keys() {
    checker(SEED, 400).quickcheck(moves_only_its_keys as fn(BTreeSet<u8>, u8, Vec<u8>) -> bool);

    fn moves_only_its_keys(mut numbers: BTreeSet<u8>, leaving: u8, key: Vec<u8>) -> bool {
        numbers.insert(leaving);
        let before = hosts(&numbers);
        let removed = host(&format!("entry-{leaving}"));
        let after: Vec<HostName> =
            before.iter().filter(|host| **host != removed).cloned().collect();
        let old = home(&key, &before);
        old == Some(&removed) || home(&key, &after) == old
    }
}

#[test]
fn the_order_of_candidates_does_not_matter() {
    checker(SEED, 400).quickcheck(order_is_irrelevant as fn(BTreeSet<u8>, Vec<u8>) -> bool);

    fn order_is_irrelevant(numbers: BTreeSet<u8>, key: Vec<u8>) -> bool {
        let forward = hosts(&numbers);
        let backward: Vec<HostName> = forward.iter().rev().cloned().collect();
        home(&key, &forward) == home(&key, &backward)
    }
}

#[test]
fn the_home_is_the_first_of_the_ranking() {
    let stores = hosts(&(0..9).collect());
    let ranking = stores_for_block(&key(3), &stores);
    assert_eq!(ranking.first().copied(), home(key(3).as_bytes(), &stores));
    assert_eq!(ranking.iter().collect::<BTreeSet<_>>().len(), stores.len());
}

#[test]
fn keys_spread_over_hosts() {
    let hosts = hosts(&(0..7).collect());
    let mut counts: HashMap<&HostName, u32> = HashMap::new();
    for number in 0..7_000_u32 {
        *counts.entry(home(&number.to_le_bytes(), &hosts).unwrap()).or_default() += 1;
    }
    assert!(counts.values().all(|count| (850..1_150).contains(count)), "{counts:?}");
}

#[test]
fn weights_are_the_same_on_every_node_and_release() {
    let weights = ["entry-1", "entry-2"].map(|name| weight(b"key", name.as_bytes()));
    insta::assert_snapshot!(format!("{weights:x?}"));
}
