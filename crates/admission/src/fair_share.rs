//! Weighted fair shares of organisations while a service is overloaded.

mod level;

use protocol::ids::OrganisationId;
use sharded::Sharded;
use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};

pub use crate::fair_share::level::{Demand, fair_level};

/// The time in which past work counts half, in milliseconds.
const HALF_LIFE_MS: f64 = 5_000.0;
/// How often the level is worked out anew, in milliseconds.
const LEVEL_PERIOD_MS: u64 = 200;
/// The work below which an organisation is forgotten, in prompt tokens.
const FORGOTTEN_TOKENS: f64 = 1.0;

/// Gives the part of its fair share that an organisation has had lately; zero while nobody lacks
/// anything, above one past its share.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct ShareUse(f64);

impl ShareUse {
    /// Returns the part.
    pub const fn value(self) -> f64 {
        self.0
    }

    /// Tells whether the organisation has had its share or more.
    pub fn is_exceeded(self) -> bool {
        self.0 >= 1.0
    }
}

/// Follows the work of each organisation on one service, in shards by organisation.
#[derive(Debug)]
pub struct FairShare {
    shards: Sharded<HashMap<OrganisationId, Usage>>,
    /// The work for each unit of weight that nobody exceeds while others lack, as the bits of an
    /// `f64`.
    level: AtomicU64,
    level_due_ms: AtomicU64,
}

#[derive(Debug, Default)]
struct Usage {
    weight: u32,
    offered: FadingSum,
    admitted: FadingSum,
}

impl Default for FairShare {
    fn default() -> Self {
        Self::new()
    }
}

impl FairShare {
    /// Creates a table without organisations.
    pub fn new() -> Self {
        Self {
            shards: Sharded::new(HashMap::new),
            level: AtomicU64::new(f64::INFINITY.to_bits()),
            level_due_ms: AtomicU64::new(0),
        }
    }

    /// Counts work that an organisation asks for, and tells how much of its share it has had.
    pub fn offer(
        &self,
        organisation: &OrganisationId,
        weight: u32,
        work_tokens: u64,
        now_ms: u64,
    ) -> ShareUse {
        self.update_level(now_ms);
        let level = f64::from_bits(self.level.load(Ordering::Relaxed));
        let mut shard = self.shards.lock(organisation);
        let usage = shard.entry(organisation.clone()).or_default();
        usage.weight = weight.max(1);
        usage.offered.add(work_tokens as f64, now_ms);
        let admitted = usage.admitted.value(now_ms);
        if admitted == 0.0 {
            return ShareUse(0.0);
        }
        ShareUse(admitted / (level * f64::from(usage.weight)))
    }

    /// Counts work of an organisation that was admitted.
    pub fn admit(&self, organisation: &OrganisationId, work_tokens: u64, now_ms: u64) {
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
        let claimed = self.level_due_ms.compare_exchange(
            due_ms,
            next_ms,
            Ordering::Relaxed,
            Ordering::Relaxed,
        );
        if claimed.is_err() {
            return;
        }
        let level = fair_level(&mut self.demands(now_ms));
        self.level.store(level.to_bits(), Ordering::Relaxed);
    }

    /// Collects the demand of all organisations and forgets those without any.
    fn demands(&self, now_ms: u64) -> Vec<Demand> {
        let mut demands = Vec::new();
        self.shards.for_each(|shard| {
            shard.retain(|_, usage| usage.offered.value(now_ms) >= FORGOTTEN_TOKENS);
            demands.extend(shard.values().map(|usage| Demand {
                weight: f64::from(usage.weight.max(1)),
                offered: usage.offered.value(now_ms),
                admitted: usage.admitted.value(now_ms),
            }));
        });
        demands
    }
}

/// Sums work so that older work counts less.
#[derive(Debug, Default)]
struct FadingSum {
    sum: f64,
    at_ms: u64,
}

impl FadingSum {
    fn add(&mut self, amount: f64, now_ms: u64) {
        self.sum = self.value(now_ms) + amount;
        self.at_ms = self.at_ms.max(now_ms);
    }

    fn value(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.at_ms) as f64;
        self.sum * (-age_ms / HALF_LIFE_MS).exp2()
    }
}
