//! Budget of retries for each organisation and service, as a share of first tries.

use protocol::ids::{OrganisationId, ServiceName};
use sharded::Sharded;
use std::collections::HashMap;

/// The retries that each first try adds.
pub const RETRIES_PER_FIRST_TRY: f64 = 0.2;
/// The retries that an organisation has before its first try, and at most.
pub const MAX_SAVED_RETRIES: f64 = 10.0;
/// How long an unused budget is remembered, in milliseconds.
const IDLE_LIFE_MS: u64 = 600_000;

/// Names a budget.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct BudgetKey {
    /// The organisation.
    pub organisation: OrganisationId,
    /// The service.
    pub service: ServiceName,
}

/// Counts what happened under one budget.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct BudgetCounts {
    /// First tries.
    pub first_tries: u64,
    /// Retries that were allowed.
    pub retries: u64,
    /// Retries that were denied.
    pub denied: u64,
}

#[derive(Debug)]
struct Budget {
    saved: f64,
    counts: BudgetCounts,
    used_at_ms: u64,
}

/// Holds all budgets, in shards.
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

    /// Counts a first try.
    pub fn first_attempt(&self, key: &BudgetKey, now_ms: u64) {
        self.update(key, now_ms, |budget| {
            budget.counts.first_tries += 1;
            budget.saved = (budget.saved + RETRIES_PER_FIRST_TRY).min(MAX_SAVED_RETRIES);
        });
    }

    /// Takes one retry from a budget; tells whether there was one.
    pub fn try_take(&self, key: &BudgetKey, now_ms: u64) -> bool {
        self.update(key, now_ms, |budget| {
            if budget.saved < 1.0 {
                budget.counts.denied += 1;
                return false;
            }
            budget.saved -= 1.0;
            budget.counts.retries += 1;
            true
        })
    }

    /// Returns the counts of a budget.
    pub fn counts(&self, key: &BudgetKey) -> BudgetCounts {
        self.shards.lock(key).get(key).map(|budget| budget.counts).unwrap_or_default()
    }

    /// Forgets budgets that were not used for a long time.
    pub fn sweep(&self, now_ms: u64) {
        self.shards.for_each(|shard| {
            shard.retain(|_, budget| now_ms.saturating_sub(budget.used_at_ms) < IDLE_LIFE_MS);
        });
    }

    fn update<R>(&self, key: &BudgetKey, now_ms: u64, change: impl FnOnce(&mut Budget) -> R) -> R {
        let mut shard = self.shards.lock(key);
        let budget = shard.entry(key.clone()).or_insert_with(|| Budget {
            saved: MAX_SAVED_RETRIES,
            counts: BudgetCounts::default(),
            used_at_ms: now_ms,
        });
        budget.used_at_ms = now_ms;
        change(budget)
    }
}
