//! Tests that a key always maps to the same shard and that each shard is visited once.

use sharded::{SHARDS, Sharded};

#[test]
fn a_value_is_found_in_the_shard_of_its_key() {
    let shards = Sharded::new(Vec::new);
    for key in 0..1_000 {
        shards.lock(&key).push(key);
    }
    for key in 0..1_000 {
        assert!(shards.lock(&key).contains(&key));
    }
}

#[test]
fn each_shard_is_visited_once() {
    let shards = Sharded::new(|| 0);
    for hash in 0..3 * SHARDS {
        *shards.lock_at(hash) += 1;
    }
    let mut counts = Vec::new();
    shards.for_each(|count| counts.push(*count));
    assert_eq!(counts, vec![3; SHARDS]);
}
