//! State partitioned into shards that each have their own lock.

use std::hash::{BuildHasher, Hash};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// The number of shards; a power of two, so that a mask reduces a hash to the index of a shard.
pub const SHARDS: usize = 16;

/// Holds one value per shard, each under its own lock.
#[derive(Debug)]
pub struct Sharded<T, S = std::hash::RandomState> {
    shards: Vec<Mutex<T>>,
    hasher: S,
}

impl<T> Sharded<T> {
    /// Creates the shards, each with a value from `init`.
    pub fn new(init: impl Fn() -> T) -> Self {
        let shards = (0..SHARDS).map(|_| Mutex::new(init())).collect();
        Self { shards, hasher: std::hash::RandomState::new() }
    }

    /// Locks the shard of a key.
    pub fn lock<K: Hash + ?Sized>(&self, key: &K) -> MutexGuard<'_, T> {
        self.lock_at(self.hasher.hash_one(key) as usize)
    }

    /// Locks the shard of a number that is already evenly distributed, such as a byte of a digest.
    pub fn lock_at(&self, hash: usize) -> MutexGuard<'_, T> {
        lock_shard(&self.shards[hash & (SHARDS - 1)])
    }

    /// Locks each shard in turn and visits its value.
    pub fn for_each(&self, mut visit: impl FnMut(&mut T)) {
        for shard in &self.shards {
            visit(&mut lock_shard(shard));
        }
    }
}

/// Locks a shard, also after a panic of another lock holder: the data stays usable, and later
/// updates correct it.
fn lock_shard<T>(shard: &Mutex<T>) -> MutexGuard<'_, T> {
    shard.lock().unwrap_or_else(PoisonError::into_inner)
}
