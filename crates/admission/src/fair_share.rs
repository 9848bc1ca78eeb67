//! Weighted max-min fair shares of organisations while a service is overloaded.

mod level;

use protocol::ids::OrganisationId;
use sharded::Sharded;
use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};

pub use crate::fair_share::level::{RecentWork, fair_level};

/// The half-life of the weight of past work, in milliseconds.
const HALF_LIFE_MS: f64 = 5_000.0;
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

/// Tracks the work of each organisation on one service, sharded by organisation.
#[derive(Debug)]
pub struct FairShare {
    shards: Sharded<HashMap<OrganisationId, Usage>>,
    /// The fair level, in work per unit of weight, as the bits of an `f64`; see [`fair_level`].
    level: AtomicU64,
    level_due_ms: AtomicU64,
}

#[derive(Debug, Default)]
struct Usage {
    weight: u32,
    offered: DecayingSum,
    admitted: DecayingSum,
}

impl Default for FairShare {
    fn default() -> Self {
        Self::new()
    }
}

impl FairShare {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self {
            shards: Sharded::new(HashMap::new),
            level: AtomicU64::new(f64::INFINITY.to_bits()),
            level_due_ms: AtomicU64::new(0),
        }
    }

    /// Counts work that an organisation requests and returns how much of its share it has used.
    pub fn record_offered(
        &self,
        organisation: &OrganisationId,
        weight: u32,
        work_tokens: u64,
        now_ms: u64,
    ) -> ShareUsage {
        self.update_level(now_ms);
        let level = f64::from_bits(self.level.load(Ordering::Relaxed));
        let mut shard = self.shards.lock(organisation);
        let usage = shard.entry(organisation.clone()).or_default();
        usage.weight = weight.max(1);
        usage.offered.add(work_tokens as f64, now_ms);
        let admitted = usage.admitted.value(now_ms);
        if admitted == 0.0 {
            return ShareUsage(0.0);
        }
        ShareUsage(admitted / (level * f64::from(usage.weight)))
    }

    /// Counts admitted work of an organisation.
    pub fn record_admitted(&self, organisation: &OrganisationId, work_tokens: u64, now_ms: u64) {
        let mut shard = self.shards.lock(organisation);
        let usage = shard.entry(organisation.clone()).or_default();
        usage.admitted.add(work_tokens as f64, now_ms);
    }

    fn update_level(&self, now_ms: u64) {
        let due_ms = self.level_due_ms.load(Ordering::Relaxed);
        if now_ms < due_ms {
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
        let level = fair_level(&mut self.recent_work(now_ms));
        self.level.store(level.to_bits(), Ordering::Relaxed);
    }

    /// Collects the recent work of all organisations and removes those with less than
    /// [`MIN_OFFERED_TOKENS`].
    fn recent_work(&self, now_ms: u64) -> Vec<RecentWork> {
        let mut recent_work = Vec::new();
        self.shards.for_each(|shard| {
            shard.retain(|_, usage| usage.offered.value(now_ms) >= MIN_OFFERED_TOKENS);
            recent_work.extend(shard.values().map(|usage| RecentWork {
                weight: f64::from(usage.weight.max(1)),
                offered: usage.offered.value(now_ms),
                admitted: usage.admitted.value(now_ms),
            }));
        });
        recent_work
    }
}

/// A sum whose entries decay exponentially with their age.
#[derive(Debug, Default)]
struct DecayingSum {
    sum: f64,
    at_ms: u64,
}

impl DecayingSum {
    fn add(&mut self, amount: f64, now_ms: u64) {
        self.sum = self.value(now_ms) + amount;
        self.at_ms = self.at_ms.max(now_ms);
    }

    fn value(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.at_ms) as f64;
        self.sum * (-age_ms / HALF_LIFE_MS).exp2()
    }
}
