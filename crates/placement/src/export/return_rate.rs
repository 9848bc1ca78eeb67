//! Estimates how likely the prompts of an organisation return.

use protocol::ids::OrganisationId;
use sharded::Sharded;
use std::collections::HashMap;

/// The number of attempts at which an organisation's counts are halved, so that older ones fade.
const MAX_COUNTED_ATTEMPTS: u32 = 1_000;

/// Counts the attempts and returning prompts of each organisation, in shards.
#[derive(Debug)]
pub struct ReturnRates {
    shards: Sharded<HashMap<OrganisationId, Counts>>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    attempts: u32,
    returns: u32,
}

impl Default for ReturnRates {
    fn default() -> Self {
        Self::new()
    }
}

impl ReturnRates {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self { shards: Sharded::new(HashMap::new) }
    }

    /// Counts an attempt, and whether its prompt's first segment had been seen before.
    pub fn add(&self, organisation: &OrganisationId, returned: bool) {
        let mut shard = self.shards.lock(organisation);
        let counts = shard.entry(organisation.clone()).or_default();
        counts.attempts += 1;
        counts.returns += u32::from(returned);
        if counts.attempts >= MAX_COUNTED_ATTEMPTS {
            counts.attempts /= 2;
            counts.returns /= 2;
        }
    }

    /// Returns the smoothed share of attempts whose prompt returned; one half without any
    /// attempt.
    pub fn rate(&self, organisation: &OrganisationId) -> f64 {
        let counts = self.shards.lock(organisation).get(organisation).copied().unwrap_or_default();
        f64::from(counts.returns + 1) / f64::from(counts.attempts + 2)
    }
}
