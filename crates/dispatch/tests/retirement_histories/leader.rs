//! What a gateway of a history does as the rollout leader.

use dispatch::era::StoreEra;
use std::collections::BTreeSet;

#[derive(Clone, Debug, Default, PartialEq)]
pub enum Stage {
    #[default]
    Unwritten,
    /// A call to the store is under way.
    Calling,
    Written {
        written_ms: u64,
    },
    Asking {
        written_ms: u64,
        asked: BTreeSet<usize>,
        confirmed: BTreeSet<usize>,
    },
    Sent {
        free_at_ms: u64,
        frees: u32,
    },
}

#[derive(Debug, Default)]
pub struct Leading {
    /// Since when the lease counts, and its era.
    pub lease: Option<(u64, StoreEra)>,
    pub stage: Stage,
    /// The version and the era of the stage.
    pub stage_of: (u64, StoreEra),
    /// The number of the stage's round, which late answers name.
    pub round: u64,
    pub is_leasing: bool,
}

impl Leading {
    pub fn is_valid(&self, era: StoreEra, now_ms: u64) -> bool {
        self.lease.is_some_and(|(since_ms, held)| {
            held == era && now_ms < since_ms + crate::store::LEASE_MS
        })
    }

    pub fn enter(&mut self, stage: Stage) {
        self.stage = stage;
        self.round += 1;
    }
}
