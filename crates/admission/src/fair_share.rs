//! Weighted max-min fair shares of organisations while a service is overloaded.

mod decaying;
mod last_levels;
mod level;

use crate::fair_share::decaying::DecayingSum;
use crate::fair_share::last_levels::LastLevels;
use protocol::ids::OrganisationId;
use sharded::Sharded;
use std::collections::HashMap;
use std::hash::Hash;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

pub use crate::fair_share::decaying::decayed;
pub use crate::fair_share::level::{RecentWork, fair_level, fair_level_beside};

/// The fraction of an organisation's requests that may use its share, as a multiple of the fraction
/// that fits it. It is above one, because some of them are refused for other reasons.
const IN_TURN_FACTOR: f64 = 4.0;
/// How much that multiple grows with the part of its share that the organisation has not used.
const CATCH_UP_FACTOR: f64 = 10.0;
/// The least fraction of an organisation's requests that counts.
const MIN_FRACTION: f64 = 0.01;
/// How much more of its share an organisation seems to have used in a request that does not fit it, as
/// an exponent of the fraction that fits.
const OUT_OF_TURN_EXPONENT: f64 = 0.3;
/// The number of levels of urgency, of which level zero is the most urgent.
pub const URGENCY_LEVELS: usize = 3;
/// The interval between two computations of the fair level, in milliseconds.
const LEVEL_PERIOD_MS: u64 = 200;
/// The recently offered work below which an organisation is removed, in prompt tokens.
const MIN_OFFERED_TOKENS: f64 = 1.0;

/// The recently admitted work of an organisation as a fraction of its fair share.
///
/// Zero while the service is not contended, above one if the organisation exceeds its share.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct ShareUsage(f64);

impl ShareUsage {
    /// Returns the fraction.
    pub const fn value(self) -> f64 {
        self.0
    }

    /// Returns whether the organisation has used its share or more.
    pub fn is_exceeded(self) -> bool {
        self.0 >= 1.0
    }
}

/// Recent work at one time, in prompt tokens; the weight of past work halves every three seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WorkSums {
    /// The work that was requested.
    pub offered: f64,
    /// The part of that work that was admitted.
    pub admitted: f64,
}

impl WorkSums {
    /// Returns a share of the work.
    pub const fn scaled(self, share: f64) -> Self {
        Self { offered: share * self.offered, admitted: share * self.admitted }
    }

    /// Adds other sums of the same time.
    pub const fn add(&mut self, other: Self) {
        self.offered += other.offered;
        self.admitted += other.admitted;
    }
}

/// Recent work by urgency.
pub type WorkByUrgency = [WorkSums; URGENCY_LEVELS];

/// Tracks the work of each organisation on one service, sharded by organisation.
#[derive(Debug)]
pub struct FairShare<K = OrganisationId> {
    shards: Sharded<HashMap<K, Usage>>,
    peers: Mutex<PeerWork<K>>,
    /// The fair level, in work per unit of weight, as the bits of an `f64`; see [`fair_level`].
    level: AtomicU64,
    level_due_ms: AtomicU64,
    last_levels: Mutex<LastLevels>,
    /// Whether the level stays as it is.
    is_level_kept: AtomicBool,
    /// The admitted work that the servers cannot serve soon, as the bits of an `f64`.
    unserved: AtomicU64,
}

#[derive(Debug, Default)]
struct Usage {
    weight: u32,
    offered: [DecayingSum; URGENCY_LEVELS],
    admitted: [DecayingSum; URGENCY_LEVELS],
    /// The part of a request that the organisation has saved up; see [`Usage::is_in_turn`].
    credit: f64,
}

impl Usage {
    /// Returns whether the next request is among those that fit the organisation's share, if this
    /// is the fraction of its requests that does.
    ///
    /// Load pattern: sums of other hosts are up to three seconds old. When they show that an
    /// organisation with ten times its share may go on, all hosts together would admit several
    /// times its share before the sums show that.
    fn is_in_turn(&mut self, fraction: f64) -> bool {
        if fraction >= 1.0 {
            return true;
        }
        self.credit += fraction;
        let is_in_turn = self.credit >= 1.0;
        if is_in_turn {
            self.credit -= 1.0;
        }
        is_in_turn
    }

    fn sums(&self, level: usize, now_ms: u64) -> WorkSums {
        WorkSums {
            offered: self.offered[level].value(now_ms),
            admitted: self.admitted[level].value(now_ms),
        }
    }

    fn total(&self, now_ms: u64) -> WorkSums {
        let mut total = WorkSums::default();
        (0..URGENCY_LEVELS).for_each(|level| total.add(self.sums(level, now_ms)));
        total
    }
}

/// The work that other hosts reported.
#[derive(Debug)]
struct PeerWork<K> {
    organisations: HashMap<K, WorkByUrgency>,
    at_ms: u64,
    /// The hosts that report nothing, divided by those whose work is known, this one included.
    silent_ratio: f64,
}

impl<K> Default for PeerWork<K> {
    fn default() -> Self {
        Self { organisations: HashMap::new(), at_ms: 0, silent_ratio: 0.0 }
    }
}

impl<K: Hash + Eq> PeerWork<K> {
    /// Returns the work of an organisation up to a level of urgency.
    fn work_up_to(&self, organisation: &K, level: usize, now_ms: u64) -> WorkSums {
        let mut sums = WorkSums::default();
        let levels = self.organisations.get(organisation).into_iter().flatten();
        levels.take(level + 1).for_each(|work| sums.add(*work));
        let kept = decayed(1.0, now_ms.saturating_sub(self.at_ms));
        WorkSums { offered: kept * sums.offered, admitted: kept * sums.admitted }
    }
}

impl<K: Clone + Eq + Hash> Default for FairShare<K> {
    fn default() -> Self {
        Self::new()
    }
}

impl<K: Clone + Eq + Hash> FairShare<K> {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self {
            shards: Sharded::new(HashMap::new),
            peers: Mutex::default(),
            level: AtomicU64::new(f64::INFINITY.to_bits()),
            level_due_ms: AtomicU64::new(0),
            last_levels: Mutex::default(),
            is_level_kept: AtomicBool::new(false),
            unserved: AtomicU64::new(0),
        }
    }

    /// Replaces the work that other hosts reported. `silent_ratio` is the number of hosts that
    /// report nothing divided by the number of those whose work is known, this one included. Silent
    /// hosts are assumed to admit all that they are offered, as much as the known ones admit on
    /// average: a few refusals at one host do not show that the service is contended.
    pub fn set_peers(
        &self,
        organisations: HashMap<K, WorkByUrgency>,
        silent_ratio: f64,
        now_ms: u64,
    ) {
        *self.peers() = PeerWork { organisations, at_ms: now_ms, silent_ratio };
    }

    /// Sets whether this host is cut off from the others, at regular intervals. It then keeps the level
    /// from before if the service was contended.
    pub fn set_cut_off(&self, is_cut_off: bool) {
        let mut last = self.last_levels.lock().unwrap_or_else(PoisonError::into_inner);
        if !is_cut_off {
            last.record(self.level());
            self.is_level_kept.store(false, Ordering::Relaxed);
        } else if let Some(level) = last.kept() {
            self.level.store(level.to_bits(), Ordering::Relaxed);
            self.is_level_kept.store(true, Ordering::Relaxed);
        }
    }

    fn level(&self) -> f64 {
        f64::from_bits(self.level.load(Ordering::Relaxed))
    }

    /// Sets the work that was admitted and queues for so long that it should not have been. It counts
    /// as work that organisations asked for beyond what the service can serve, before any request is
    /// refused.
    pub fn set_unserved(&self, work_tokens: f64) {
        self.unserved.store(work_tokens.to_bits(), Ordering::Relaxed);
    }

    /// Counts work that an organisation requests and returns how much of its share it has used.
    ///
    /// Only admitted work that is as urgent or more urgent counts, so that an organisation's share
    /// goes to its most urgent requests first.
    pub fn record_offered(
        &self,
        organisation: &K,
        weight: u32,
        work_tokens: f64,
        urgency: usize,
        now_ms: u64,
    ) -> ShareUsage {
        self.update_level(now_ms);
        let used = self.update(organisation, weight, urgency, now_ms, |usage, urgency| {
            usage.offered[urgency].add(work_tokens, now_ms);
        });
        if used.0 <= 0.0 {
            return used;
        }
        let share = self.level() * f64::from(weight.max(1));
        let peers = self.peers().work_up_to(organisation, urgency, now_ms);
        let mut shard = self.shards.lock(organisation);
        let Some(usage) = shard.get_mut(organisation) else { return used };
        let levels = 0..=urgency.min(URGENCY_LEVELS - 1);
        let local: f64 = levels.map(|level| usage.offered[level].value(now_ms)).sum();
        let target = IN_TURN_FACTOR + CATCH_UP_FACTOR * (1.0 - used.0).max(0.0);
        let fraction = target * share / (local + peers.offered);
        if usage.is_in_turn(fraction) {
            return used;
        }
        ShareUsage(used.0.max(fraction.max(MIN_FRACTION).powf(-OUT_OF_TURN_EXPONENT)))
    }

    fn update(
        &self,
        organisation: &K,
        weight: u32,
        urgency: usize,
        now_ms: u64,
        change: impl FnOnce(&mut Usage, usize),
    ) -> ShareUsage {
        let level = self.level();
        let urgency = urgency.min(URGENCY_LEVELS - 1);
        let peers = self.peers().work_up_to(organisation, urgency, now_ms);
        let mut shard = self.shards.lock(organisation);
        let usage = shard.entry(organisation.clone()).or_default();
        usage.weight = weight.max(1);
        change(usage, urgency);
        let local = usage.admitted.iter().take(urgency + 1).map(|sum| sum.value(now_ms));
        let admitted = local.sum::<f64>() + peers.admitted;
        if admitted == 0.0 {
            return ShareUsage(0.0);
        }
        ShareUsage(admitted / (level * f64::from(usage.weight)))
    }

    /// Counts admitted work of an organisation.
    pub fn record_admitted(&self, organisation: &K, work_tokens: f64, urgency: usize, now_ms: u64) {
        let mut shard = self.shards.lock(organisation);
        let usage = shard.entry(organisation.clone()).or_default();
        usage.admitted[urgency.min(URGENCY_LEVELS - 1)].add(work_tokens, now_ms);
    }

    /// Removes admitted work that will not run, and returns how much of its share the organisation
    /// has used.
    pub fn withdraw_admitted(
        &self,
        organisation: &K,
        weight: u32,
        work_tokens: f64,
        urgency: usize,
        now_ms: u64,
    ) -> ShareUsage {
        self.update(organisation, weight, urgency, now_ms, |usage, urgency| {
            usage.admitted[urgency].remove(work_tokens, now_ms);
        })
    }

    /// Returns the recent work on this host.
    pub fn local_work(&self, now_ms: u64) -> Vec<(K, WorkByUrgency)> {
        let mut work = Vec::new();
        self.shards.for_each(|shard| {
            let levels = |usage: &Usage| std::array::from_fn(|level| usage.sums(level, now_ms));
            work.extend(shard.iter().map(|(key, usage)| (key.clone(), levels(usage))));
        });
        work
    }

    fn peers(&self) -> MutexGuard<'_, PeerWork<K>> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn update_level(&self, now_ms: u64) {
        let due_ms = self.level_due_ms.load(Ordering::Relaxed);
        if now_ms < due_ms || self.is_level_kept.load(Ordering::Relaxed) {
            return;
        }
        let next_ms = now_ms + LEVEL_PERIOD_MS;
        let updated = self.level_due_ms.compare_exchange(
            due_ms,
            next_ms,
            Ordering::Relaxed,
            Ordering::Relaxed,
        );
        if updated.is_err() {
            return;
        }
        let mut recent_work = self.recent_work(now_ms);
        let admitted: f64 = recent_work.iter().map(|work| work.admitted).sum();
        let silent = self.peers().silent_ratio * admitted;
        let unserved = f64::from_bits(self.unserved.load(Ordering::Relaxed));
        let level = fair_level_beside(&mut recent_work, unserved, silent);
        self.level.store(level.to_bits(), Ordering::Relaxed);
    }

    /// Collects the recent work of all organisations, with that of other hosts, and removes those
    /// with less than [`MIN_OFFERED_TOKENS`] on this host.
    fn recent_work(&self, now_ms: u64) -> Vec<RecentWork> {
        let peers = self.peers();
        let mut recent_work = Vec::new();
        let mut known = 0;
        self.shards.for_each(|shard| {
            shard.retain(|_, usage| usage.total(now_ms).offered >= MIN_OFFERED_TOKENS);
            recent_work.extend(shard.iter().map(|(key, usage)| {
                known += usize::from(peers.organisations.contains_key(key));
                let mut work = usage.total(now_ms);
                work.add(peers.work_up_to(key, URGENCY_LEVELS, now_ms));
                RecentWork::new(usage.weight, work)
            }));
        });
        if known < peers.organisations.len() {
            let is_elsewhere = |key: &&K| !self.shards.lock(*key).contains_key(*key);
            let elsewhere = peers.organisations.keys().filter(is_elsewhere);
            recent_work.extend(
                elsewhere
                    .map(|key| RecentWork::new(1, peers.work_up_to(key, URGENCY_LEVELS, now_ms))),
            );
        }
        recent_work
    }
}
