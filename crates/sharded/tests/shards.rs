//! Checks that a key keeps its shard and that every shard is visited.

use sharded::{SHARDS, Sharded};

#[test]
fn a_key_finds_what_was_put_under_it() {
    let shards = Sharded::new(Vec::new);
    for key in 0..1_000 {
        shards.lock(&key).push(key);
    }
    for key in 0..1_000 {
        assert!(shards.lock(&key).contains(&key));
    }
}

#[test]
fn every_shard_is_visited_once() {
    let shards = Sharded::new(|| 0);
    for spread in 0..3 * SHARDS {
        *shards.lock_at(spread) += 1;
    }
    let mut counts = Vec::new();
    shards.for_each(|count| counts.push(*count));
    assert_eq!(counts, vec![3; SHARDS]);
}
