//! How likely the prompts of an organisation return.

use protocol::ids::OrganisationId;
use sharded::Sharded;
use std::collections::HashMap;

/// The number of runs from which on older ones count half.
const FADING_RUNS: u32 = 1_000;

/// Counts runs and returns of each organisation, in shards.
#[derive(Debug)]
pub struct ReturnChances {
    shards: Sharded<HashMap<OrganisationId, Counts>>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    runs: u32,
    returns: u32,
}

impl Default for ReturnChances {
    fn default() -> Self {
        Self::new()
    }
}

impl ReturnChances {
    /// Creates a table without runs.
    pub fn new() -> Self {
        Self { shards: Sharded::new(HashMap::new) }
    }

    /// Counts a run, and whether its prompt's first piece was known before.
    pub fn add(&self, organisation: &OrganisationId, returned: bool) {
        let mut shard = self.shards.lock(organisation);
        let counts = shard.entry(organisation.clone()).or_default();
        counts.runs += 1;
        counts.returns += u32::from(returned);
        if counts.runs >= FADING_RUNS {
            counts.runs /= 2;
            counts.returns /= 2;
        }
    }

    /// Returns the share of runs that were returns; one half if nothing is known.
    pub fn chance(&self, organisation: &OrganisationId) -> f64 {
        let counts = self.shards.lock(organisation).get(organisation).copied().unwrap_or_default();
        f64::from(counts.returns + 1) / f64::from(counts.runs + 2)
    }
}
