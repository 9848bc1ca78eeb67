//! Single flight for block imports and exports: each runs at most once at a time.

use protocol::ids::{AttemptId, ChainKey, HostName};
use smallvec::SmallVec;
use std::collections::HashMap;

/// Identifies a transfer that runs at most once at a time.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Transfer {
    /// A server imports a block into its memory.
    Import {
        /// The server.
        server: HostName,
        /// The key of the block's segment.
        key: ChainKey,
    },
    /// A block is exported to a store host.
    Export {
        /// The key of the block's segment.
        key: ChainKey,
    },
}

/// The role of an attempt that needs a transfer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Role {
    /// The attempt runs the transfer and reports its end.
    Leader,
    /// The attempt waits until the leader reports the end, or joins again after a timeout.
    Waiter {
        /// When to join again.
        retry_at_ms: u64,
    },
}

/// The attempts that waited for a transfer.
pub type Waiters = SmallVec<[AttemptId; 4]>;

#[derive(Debug)]
struct InFlightTransfer {
    leader: AttemptId,
    leader_deadline_ms: u64,
    waiters: Waiters,
}

/// Holds the transfers in flight.
#[derive(Debug, Default)]
pub struct SingleFlight {
    in_flight: HashMap<Transfer, InFlightTransfer>,
}

impl SingleFlight {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Joins a transfer.
    ///
    /// The first attempt leads the transfer for up to `timeout_ms`. After that the leader counts as
    /// failed, and the next attempt that joins replaces it.
    pub fn join(
        &mut self,
        transfer: Transfer,
        attempt_id: &AttemptId,
        timeout_ms: u64,
        now_ms: u64,
    ) -> Role {
        let leader_deadline_ms = now_ms.saturating_add(timeout_ms);
        let entry = self.in_flight.entry(transfer).or_insert_with(|| InFlightTransfer {
            leader: attempt_id.clone(),
            leader_deadline_ms,
            waiters: Waiters::new(),
        });
        if entry.leader_deadline_ms <= now_ms {
            entry.leader = attempt_id.clone();
            entry.leader_deadline_ms = leader_deadline_ms;
            entry.waiters.retain(|waiter| waiter != attempt_id);
        }
        if entry.leader == *attempt_id {
            return Role::Leader;
        }
        if !entry.waiters.contains(attempt_id) {
            entry.waiters.push(attempt_id.clone());
        }
        Role::Waiter { retry_at_ms: entry.leader_deadline_ms }
    }

    /// Ends a transfer and returns the attempts that waited for it; none if another attempt has
    /// become its leader.
    pub fn finish(&mut self, transfer: &Transfer, attempt_id: &AttemptId) -> Waiters {
        if self.in_flight.get(transfer).is_none_or(|entry| entry.leader != *attempt_id) {
            return Waiters::new();
        }
        self.in_flight.remove(transfer).map_or_else(Waiters::new, |entry| entry.waiters)
    }

    /// Drops transfers whose leader timed out; their waiters join again at their retry time.
    pub fn expire(&mut self, now_ms: u64) {
        self.in_flight.retain(|_, entry| entry.leader_deadline_ms > now_ms);
    }

    /// Returns the number of transfers in flight.
    pub fn len(&self) -> usize {
        self.in_flight.len()
    }

    /// Returns whether no transfer is in flight.
    pub fn is_empty(&self) -> bool {
        self.in_flight.is_empty()
    }
}
