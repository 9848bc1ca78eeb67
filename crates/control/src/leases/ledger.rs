//! Who holds each lease, which all readers decide alike from the log's order and clock.

use super::LEASE_MS;
use super::record::{LeaseAction, LeaseRecord};
use protocol::ids::{HostName, Incarnation, LogOffset, ServiceName};
use std::collections::BTreeMap;
use std::mem;

/// Describes one lease.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Lease {
    /// The holder.
    pub holder: HostName,
    /// The holder's incarnation.
    pub incarnation: Incarnation,
    /// The record that granted the lease.
    pub record_id: String,
    /// The record's offset: the fencing token.
    pub offset: LogOffset,
    /// When the log took the record, by the log's clock.
    pub granted_at_ms: u64,
    /// When this node read the record, by its own clock.
    pub read_at_ms: u64,
    /// Whether the holder gave the lease back.
    pub released: bool,
}

/// Says what became of one lease record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LeaseVerdict {
    /// The lease is granted or extended.
    Granted,
    /// The lease is given back.
    Released,
    /// Another lease stands against the record.
    Refused,
    /// Records that decide about this one are gone from the log.
    Undecided,
    /// The record cannot be read.
    Malformed,
}

/// Holds the newest lease of each service.
#[derive(Clone, Debug)]
pub struct LeaseLedger {
    complete: bool,
    started_ms: u64,
    next: LogOffset,
    services: BTreeMap<ServiceName, Known>,
}

#[derive(Clone, Debug, Default)]
struct Known {
    /// Whether every reader agrees on the newest lease.
    certain: bool,
    newest: Option<Lease>,
    /// Records that were read before anything was certain.
    undecided: Vec<(LeaseAction, Lease)>,
    last_appended_at_ms: Option<u64>,
    last_read_ms: Option<u64>,
}

impl LeaseLedger {
    /// Creates a ledger that reads on from the oldest retained record.
    pub fn new(first_retained: LogOffset, now_ms: u64) -> Self {
        let complete = first_retained == LogOffset::default();
        let services = BTreeMap::new();
        Self { complete, started_ms: now_ms, next: first_retained, services }
    }

    /// Returns the offset of the next record to read.
    pub fn next(&self) -> LogOffset {
        self.next
    }

    /// Returns the newest lease of a service, which may have run out.
    pub fn lease(&self, service: &ServiceName) -> Option<&Lease> {
        self.services.get(service).filter(|known| known.certain)?.newest.as_ref()
    }

    /// Returns whether it is known who holds a service's lease, or that nobody does.
    pub fn is_certain(&self, service: &ServiceName) -> bool {
        self.services.get(service).map_or(self.complete, |known| known.certain)
    }

    /// Returns since when, by this node's clock, no record of a service was read.
    pub fn silent_since_ms(&self, service: &ServiceName) -> u64 {
        let known = self.services.get(service);
        let last = known.and_then(|known| known.last_read_ms);
        last.map_or(self.started_ms, |last_ms| last_ms.max(self.started_ms))
    }

    /// Applies the record at an offset; readers that are certain come to the same verdict.
    ///
    /// A record before the next one is passed over; one after it makes the ledger start again, as
    /// records between are missing. `appended_at_ms` is by the log's clock, `now_ms` by this node's.
    pub fn apply(
        &mut self,
        offset: LogOffset,
        appended_at_ms: u64,
        value: &str,
        now_ms: u64,
    ) -> LeaseVerdict {
        if offset < self.next {
            return LeaseVerdict::Undecided;
        }
        if offset > self.next {
            self.forget(now_ms);
        }
        self.next = LogOffset::new(offset.value() + 1);
        let Ok(record) = serde_json::from_str::<LeaseRecord>(value) else {
            return LeaseVerdict::Malformed;
        };
        let fresh = Known { certain: self.complete, ..Known::default() };
        let known = self.services.entry(record.service.clone()).or_insert(fresh);
        let action = record.action;
        let lease = Lease {
            holder: record.holder,
            incarnation: record.incarnation,
            record_id: record.record_id,
            offset,
            granted_at_ms: appended_at_ms,
            read_at_ms: now_ms,
            released: false,
        };
        known.last_read_ms = Some(now_ms);
        known.settle(action, appended_at_ms);
        known.apply(action, lease)
    }

    /// Knows nothing any more, since records between were missed.
    fn forget(&mut self, now_ms: u64) {
        *self = Self { complete: false, ..Self::new(self.next, now_ms) };
    }
}

impl Known {
    /// Becomes certain if the record shows what came before: a lease that its holder saw granted,
    /// or a silence in which any lease ran out.
    fn settle(&mut self, action: LeaseAction, appended_at_ms: u64) {
        let last_ms = self.last_appended_at_ms.replace(appended_at_ms);
        if self.certain {
            return;
        }
        if last_ms.is_some_and(|last_ms| appended_at_ms >= last_ms + LEASE_MS) {
            self.certain = true;
            self.undecided.clear();
            return;
        }
        if let LeaseAction::Renew(granted) | LeaseAction::Release(granted) = action {
            self.settle_from(granted);
        }
    }

    /// Takes a record for granted and judges those after it.
    fn settle_from(&mut self, granted: LogOffset) {
        let Some(place) = self.undecided.iter().position(|(_, lease)| lease.offset == granted)
        else {
            return;
        };
        self.certain = true;
        let mut rest = mem::take(&mut self.undecided).into_iter().skip(place);
        self.newest = rest.next().map(|(_, lease)| lease);
        for (action, lease) in rest {
            self.apply(action, lease);
        }
    }

    fn apply(&mut self, action: LeaseAction, lease: Lease) -> LeaseVerdict {
        if !self.certain {
            self.undecided.push((action, lease));
            return LeaseVerdict::Undecided;
        }
        let allowed = match action {
            LeaseAction::Acquire => self.is_free(lease.granted_at_ms),
            LeaseAction::Renew(granted) | LeaseAction::Release(granted) => {
                self.is_held_by(&lease, granted)
            }
        };
        match (allowed, action) {
            (false, _) => LeaseVerdict::Refused,
            (true, LeaseAction::Release(_)) => {
                self.release();
                LeaseVerdict::Released
            }
            (true, _) => {
                self.newest = Some(lease);
                LeaseVerdict::Granted
            }
        }
    }

    fn is_free(&self, at_ms: u64) -> bool {
        let newest = self.newest.as_ref();
        newest.is_none_or(|held| held.released || at_ms >= held.granted_at_ms + LEASE_MS)
    }

    fn is_held_by(&self, lease: &Lease, granted: LogOffset) -> bool {
        self.newest.as_ref().is_some_and(|held| {
            let same = held.holder == lease.holder && held.incarnation == lease.incarnation;
            let runs = lease.granted_at_ms < held.granted_at_ms + LEASE_MS;
            same && runs && held.offset == granted && !held.released
        })
    }

    fn release(&mut self) {
        if let Some(held) = &mut self.newest {
            held.released = true;
        }
    }
}
