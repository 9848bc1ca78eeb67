//! Retry budgets per organisation and service, as a share of first attempts.

use protocol::ids::{OrganisationId, ServiceName};
use sharded::Sharded;
use std::collections::HashMap;

/// The number of retries that each first attempt adds to the budget.
pub const RETRIES_PER_FIRST_ATTEMPT: f64 = 0.2;
/// The initial and maximum number of retries in a budget.
pub const MAX_AVAILABLE_RETRIES: f64 = 10.0;
/// The time after which an unused budget expires, in milliseconds.
const IDLE_EXPIRY_MS: u64 = 600_000;

/// Identifies a budget.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct BudgetKey {
    /// The organisation.
    pub organisation: OrganisationId,
    /// The service.
    pub service: ServiceName,
}

/// Counters of one budget.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct BudgetCounts {
    /// First attempts.
    pub first_attempts: u64,
    /// Retries that were allowed.
    pub retries: u64,
    /// Retries that were denied.
    pub denied: u64,
}

#[derive(Debug)]
struct Budget {
    available: f64,
    counts: BudgetCounts,
    used_at_ms: u64,
}

/// Holds all budgets, sharded by key.
#[derive(Debug)]
pub struct RetryBudgets {
    shards: Sharded<HashMap<BudgetKey, Budget>>,
}

impl Default for RetryBudgets {
    fn default() -> Self {
        Self::new()
    }
}

impl RetryBudgets {
    /// Creates a table in which each budget is full.
    pub fn new() -> Self {
        Self { shards: Sharded::new(HashMap::new) }
    }

    /// Counts a first attempt.
    pub fn first_attempt(&self, key: &BudgetKey, now_ms: u64) {
        self.update(key, now_ms, |budget| {
            budget.counts.first_attempts += 1;
            budget.available =
                (budget.available + RETRIES_PER_FIRST_ATTEMPT).min(MAX_AVAILABLE_RETRIES);
        });
    }

    /// Takes one retry from a budget; returns whether one was available.
    pub fn try_take(&self, key: &BudgetKey, now_ms: u64) -> bool {
        self.update(key, now_ms, |budget| {
            if budget.available < 1.0 {
                budget.counts.denied += 1;
                return false;
            }
            budget.available -= 1.0;
            budget.counts.retries += 1;
            true
        })
    }

    /// Returns the counts of a budget.
    pub fn counts(&self, key: &BudgetKey) -> BudgetCounts {
        self.shards.lock(key).get(key).map(|budget| budget.counts).unwrap_or_default()
    }

    /// Removes budgets whose idle time has expired.
    pub fn sweep(&self, now_ms: u64) {
        self.shards.for_each(|shard| {
            shard.retain(|_, budget| now_ms.saturating_sub(budget.used_at_ms) < IDLE_EXPIRY_MS);
        });
    }

    fn update<R>(&self, key: &BudgetKey, now_ms: u64, change: impl FnOnce(&mut Budget) -> R) -> R {
        let mut shard = self.shards.lock(key);
        let budget = shard.entry(key.clone()).or_insert_with(|| Budget {
            available: MAX_AVAILABLE_RETRIES,
            counts: BudgetCounts::default(),
            used_at_ms: now_ms,
        });
        budget.used_at_ms = now_ms;
        change(budget)
    }
}
