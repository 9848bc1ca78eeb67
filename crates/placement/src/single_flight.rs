//! Imports and exports of one piece, each done once at a time.

use protocol::ids::{AttemptId, ChainKey, HostName};
use smallvec::SmallVec;
use std::collections::HashMap;

/// Names a transfer that is done once at a time.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Transfer {
    /// A server reads a piece's block into its memory.
    Import {
        /// The server.
        server: HostName,
        /// The piece.
        key: ChainKey,
    },
    /// A piece is written to a store host.
    Export {
        /// The piece.
        key: ChainKey,
    },
}

/// Says what an attempt that needs a transfer does.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Role {
    /// It does the transfer, and reports its end.
    Leader,
    /// It waits until the leader reports, or until a moment at which it asks again.
    Waiter {
        /// When to ask again.
        until_ms: u64,
    },
}

/// Lists the attempts that waited for a transfer.
pub type Waiters = SmallVec<[AttemptId; 4]>;

#[derive(Debug)]
struct Flight {
    leader: AttemptId,
    until_ms: u64,
    waiters: Waiters,
}

/// Holds the transfers under way.
#[derive(Debug, Default)]
pub struct SingleFlight {
    flights: HashMap<Transfer, Flight>,
}

impl SingleFlight {
    /// Creates a table without transfers.
    pub fn new() -> Self {
        Self::default()
    }

    /// Joins a transfer. The first attempt leads it for up to `bound_ms`; after that the leader
    /// counts as dead and the next attempt that asks takes its place.
    pub fn join(
        &mut self,
        transfer: Transfer,
        attempt_id: &AttemptId,
        bound_ms: u64,
        now_ms: u64,
    ) -> Role {
        let until_ms = now_ms.saturating_add(bound_ms);
        let flight = self.flights.entry(transfer).or_insert_with(|| Flight {
            leader: attempt_id.clone(),
            until_ms,
            waiters: Waiters::new(),
        });
        if flight.until_ms <= now_ms {
            flight.leader = attempt_id.clone();
            flight.until_ms = until_ms;
            flight.waiters.retain(|waiter| waiter != attempt_id);
        }
        if flight.leader == *attempt_id {
            return Role::Leader;
        }
        if !flight.waiters.contains(attempt_id) {
            flight.waiters.push(attempt_id.clone());
        }
        Role::Waiter { until_ms: flight.until_ms }
    }

    /// Ends a transfer and returns who waited for it; nobody if another attempt leads it by now.
    pub fn finish(&mut self, transfer: &Transfer, attempt_id: &AttemptId) -> Waiters {
        if self.flights.get(transfer).is_none_or(|flight| flight.leader != *attempt_id) {
            return Waiters::new();
        }
        self.flights.remove(transfer).map_or_else(Waiters::new, |flight| flight.waiters)
    }

    /// Drops transfers whose leader is dead; waiters ask again at their own moment.
    pub fn expire(&mut self, now_ms: u64) {
        self.flights.retain(|_, flight| flight.until_ms > now_ms);
    }

    /// Returns the number of transfers under way.
    pub fn len(&self) -> usize {
        self.flights.len()
    }

    /// Tells whether no transfer is under way.
    pub fn is_empty(&self) -> bool {
        self.flights.is_empty()
    }
}
