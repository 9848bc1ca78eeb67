//! Whether the log of the servers' entries lists a server, from records and snapshots that may arrive
//! out of order.

use crate::era::StoreEra;
use crate::registry::ServerEntry;
use serde::{Deserialize, Serialize};

/// How long an entry that may be from a copy of the store must stay listed to show that its server
/// runs, in milliseconds. Entries lapse after three heartbeats of silence, at most some 4 s.
pub const COPIED_ENTRY_MS: u64 = 6_000;

/// The status of a server in the registry.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum RegistryStatus {
    /// It takes new requests.
    Ready,
    /// Its entry has been missing since an outage of the store. It takes new requests until the
    /// given time.
    Missing {
        /// When it counts as removed.
        until_ms: u64,
    },
    /// It takes no new requests.
    Leaving,
}

/// A position in the log of the servers' entries: of a record, or the end of what was read.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct EntryPosition {
    /// The era of the store.
    pub era: StoreEra,
    /// The offset.
    pub offset: u64,
}

impl EntryPosition {
    pub(super) const fn next(self) -> Self {
        Self { offset: self.offset + 1, ..self }
    }

    /// Returns whether this position is known to be at or after another one; those of different eras
    /// cannot be compared.
    fn is_at_or_after(self, other: Option<Self>) -> bool {
        other.is_some_and(|other| other.era == self.era && other.offset <= self.offset)
    }
}

/// Where an entry was read.
#[derive(Clone, Copy, Debug)]
pub(super) enum Origin {
    /// The log, at this position.
    Record(EntryPosition),
    /// The snapshot of a peer that has read the log up to this position, if it gives one.
    Snapshot(Option<EntryPosition>),
    /// The snapshot of a peer for which the log does not list the server.
    Unlisted,
}

#[derive(Clone, Debug)]
pub(super) struct RegisteredServer {
    pub(super) entry: ServerEntry,
    pub(super) status: RegistryStatus,
    /// The position up to which the log was read when the entry was missing; `None` if it was not
    /// the log that showed that. Later records show that the server has returned.
    pub(super) removed_until: Option<EntryPosition>,
    /// The end of a record after the removal that may be from before it. If the server runs, it
    /// writes another one.
    doubtful_until: Option<EntryPosition>,
    /// The heartbeat of the first entry after the removal that cannot be ordered. It may be from
    /// before the removal, so the server returns only with a later one.
    returning_heartbeat: Option<u64>,
    /// When the server returns if its entry, which may be from a copy of the store, is listed until
    /// then.
    pub(super) returns_ms: Option<u64>,
}

impl RegisteredServer {
    pub(super) const fn new(entry: ServerEntry, status: RegistryStatus) -> Self {
        Self {
            entry,
            status,
            removed_until: None,
            doubtful_until: None,
            returning_heartbeat: None,
            returns_ms: None,
        }
    }

    /// Returns whether the log lists a server again that was missing from it, but not removed.
    pub(super) fn is_listed_again(&self, origin: Origin) -> bool {
        match origin {
            Origin::Record(position) | Origin::Snapshot(Some(position)) => {
                Some(position) >= self.removed_until
            }
            Origin::Snapshot(None) => true,
            Origin::Unlisted => false,
        }
    }

    /// Returns whether a removed server has returned, given an entry that was read after that.
    /// Records from `copy_until` on were written in the present era of the store.
    pub(super) fn has_returned(
        &mut self,
        heartbeat: u64,
        origin: Origin,
        copy_until: Option<EntryPosition>,
        now_ms: u64,
    ) -> bool {
        let (Origin::Record(position) | Origin::Snapshot(Some(position))) = origin else {
            let first = *self.returning_heartbeat.get_or_insert(heartbeat);
            return matches!(origin, Origin::Snapshot(None)) && heartbeat > first;
        };
        let is_record = matches!(origin, Origin::Record(_));
        let is_next_era = self.removed_until.is_some_and(|until| until.era < position.era);
        if position.is_at_or_after(self.removed_until)
            || (is_record && position.is_at_or_after(self.doubtful_until))
            || (is_record && is_next_era && position.is_at_or_after(copy_until))
        {
            return true;
        }
        // After a step back of the store the entry may be from the copy.
        if is_next_era {
            self.returns_ms.get_or_insert(now_ms + COPIED_ENTRY_MS);
        }
        if is_record {
            self.doubtful_until = self.doubtful_until.max(Some(position.next()));
        }
        false
    }

    /// Records that the log, read up to a position if it is known, does not list the server.
    pub(super) fn record_absence(&mut self, until: Option<EntryPosition>) {
        self.removed_until = self.removed_until.max(until);
        self.end_doubts();
    }

    pub(super) const fn end_doubts(&mut self) {
        (self.doubtful_until, self.returning_heartbeat, self.returns_ms) = (None, None, None);
    }
}
