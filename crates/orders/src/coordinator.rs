//! Shards the ledger and executor by key, with one lock per shard.

use crate::executor::{Action, DispatchResult, Executor, LogView, Order, StatusResult, Target};
use crate::follower::{Entry, Follower, StreamPage};
use crate::key::OrderKey;
use crate::ledger::Ledger;
use crate::limits::OrderLimits;
use crate::record::{Owner, Record};
use protocol::ids::{HostName, Incarnation, LogOffset};
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::{Mutex, MutexGuard, PoisonError};

const SHARDS: usize = 16;

/// Coordinates the orders of one host with those of all other hosts through the orders stream.
#[derive(Debug)]
pub struct Coordinator {
    follower: Mutex<Follower>,
    shards: Vec<Mutex<Shard>>,
}

#[derive(Debug)]
struct Shard {
    ledger: Ledger,
    executor: Executor,
}

impl Coordinator {
    /// Creates a coordinator that starts at the beginning of the stream.
    pub fn new(limits: OrderLimits, owner: Owner) -> Self {
        Self::with_shards(limits, owner, SHARDS)
    }

    /// Creates a coordinator with the given number of shards, but at least one.
    pub fn with_shards(limits: OrderLimits, owner: Owner, shards: usize) -> Self {
        let shard = || {
            let ledger = Ledger::new(limits);
            let executor = Executor::new(limits, owner.clone());
            Mutex::new(Shard { ledger, executor })
        };
        let shards = (0..shards.max(1)).map(|_| shard()).collect();
        Self { follower: Mutex::default(), shards }
    }

    /// Returns the next offset to read from the stream.
    pub fn next(&self) -> LogOffset {
        lock(&self.follower).next()
    }

    /// Returns whether the stream has been read without a gap from a known time on.
    ///
    /// If not, no order can be executed until the committer has appended a mark.
    pub fn is_covered(&self) -> bool {
        lock(&self.follower).covered_from_ms().is_some()
    }

    /// Returns the number of open orders on this host; a drain waits until there are none.
    pub fn open_orders(&self) -> usize {
        self.shards.iter().map(|shard| lock(shard).executor.open_orders()).sum()
    }

    /// Returns the number of keys in the ledger.
    pub fn tracked_keys(&self) -> usize {
        self.shards.iter().map(|shard| lock(shard).ledger.len()).sum()
    }

    /// Replaces the set of entry hosts considered live.
    pub fn set_live_hosts(&self, live: &BTreeMap<HostName, Incarnation>) {
        for shard in &self.shards {
            lock(shard).executor.set_live_hosts(live.clone());
        }
    }

    /// Submits an order; `log_up` is true if appends are expected to succeed.
    pub fn submit(&self, order: Order, log_up: bool, now_ms: u64) -> Vec<Action> {
        let log = LogView { up: log_up, covered_from_ms: lock(&self.follower).covered_from_ms() };
        let mut shard = self.shard(&order.key);
        let Shard { ledger, executor } = &mut *shard;
        executor.submit(order, ledger, log, now_ms)
    }

    /// Applies a page of the stream. Applying a page again has no effect.
    pub fn apply(&self, page: &StreamPage, now_ms: u64) -> Applied {
        let mut follower = lock(&self.follower);
        let entries = follower.accept(page);
        let mut applied = Applied::default();
        for entry in entries {
            self.apply_entry(entry, now_ms, &mut applied);
        }
        applied
    }

    /// Handles the result of an [`Action::Dispatch`].
    pub fn dispatched(&self, target: &Target, result: DispatchResult, now_ms: u64) -> Vec<Action> {
        self.shard(&target.key).executor.dispatched(target, result, now_ms)
    }

    /// Handles the result of an [`Action::QueryOutcome`].
    pub fn status_received(
        &self,
        target: &Target,
        result: StatusResult,
        now_ms: u64,
    ) -> Vec<Action> {
        let mut shard = self.shard(&target.key);
        let Shard { ledger, executor } = &mut *shard;
        executor.status_received(target, result, ledger, now_ms)
    }

    /// Handles expired timeouts; the caller runs it a few times a second.
    pub fn tick(&self, now_ms: u64) -> Vec<Action> {
        let tick_shard = |shard: &Mutex<Shard>| {
            let mut shard = lock(shard);
            let Shard { ledger, executor } = &mut *shard;
            executor.tick(ledger, now_ms)
        };
        self.shards.iter().flat_map(tick_shard).collect()
    }

    fn apply_entry(&self, entry: Entry, now_ms: u64, applied: &mut Applied) {
        for shard in &self.shards {
            lock(shard).ledger.expire(entry.appended_at_ms);
        }
        for record in entry.records {
            if let Some(key) = record.key() {
                let mut shard = self.shard(key);
                let Shard { ledger, executor } = &mut *shard;
                let verdict = ledger.apply(record.clone(), entry.appended_at_ms);
                let covered_from_ms = entry.covered_from_ms;
                let actions = executor.applied(&record, verdict, ledger, covered_from_ms, now_ms);
                applied.actions.extend(actions);
            }
            applied.records.push(record);
        }
    }

    fn shard(&self, key: &OrderKey) -> MutexGuard<'_, Shard> {
        let mut hasher = DefaultHasher::new();
        key.hash(&mut hasher);
        let index = hasher.finish() as usize % self.shards.len();
        lock(&self.shards[index])
    }
}

/// The result of applying a page.
#[derive(Debug, Default)]
pub struct Applied {
    /// The actions to carry out.
    pub actions: Vec<Action>,
    /// The records read back from the log, which the committer confirms.
    pub records: Vec<Record>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
