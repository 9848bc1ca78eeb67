//! State split into shards, each under its own lock.

use std::hash::{BuildHasher, Hash};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// The number of shards; a power of two, so that a hash is reduced by a mask.
pub const SHARDS: usize = 16;

/// Holds one value a shard, each under its own lock.
#[derive(Debug)]
pub struct Sharded<T, S = std::hash::RandomState> {
    shards: Vec<Mutex<T>>,
    hasher: S,
}

impl<T> Sharded<T> {
    /// Creates the shards from a function that makes one.
    pub fn new(make: impl Fn() -> T) -> Self {
        let shards = (0..SHARDS).map(|_| Mutex::new(make())).collect();
        Self { shards, hasher: std::hash::RandomState::new() }
    }

    /// Locks the shard of a key.
    pub fn lock<K: Hash + ?Sized>(&self, key: &K) -> MutexGuard<'_, T> {
        self.lock_at(self.hasher.hash_one(key) as usize)
    }

    /// Locks the shard of a number that is spread evenly already.
    pub fn lock_at(&self, spread: usize) -> MutexGuard<'_, T> {
        guard(&self.shards[spread & (SHARDS - 1)])
    }

    /// Locks one shard after the other and visits it.
    pub fn for_each(&self, mut visit: impl FnMut(&mut T)) {
        for shard in &self.shards {
            visit(&mut guard(shard));
        }
    }
}

/// Locks a shard; a panic of another holder leaves data that later updates correct.
fn guard<T>(shard: &Mutex<T>) -> MutexGuard<'_, T> {
    shard.lock().unwrap_or_else(PoisonError::into_inner)
}
