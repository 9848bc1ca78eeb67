//! The holder of each lease, which all readers derive alike from the log's order and clock.

use super::LEASE_MS;
use super::record::{LeaseAction, LeaseRecord};
use protocol::ids::{HostName, Incarnation, LogOffset, ServiceName};
use std::collections::BTreeMap;
use std::mem;

/// One lease.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Lease {
    /// The holder.
    pub holder: HostName,
    /// The holder's incarnation.
    pub incarnation: Incarnation,
    /// The ID of the record that granted the lease.
    pub record_id: String,
    /// The record's offset: the fencing token.
    pub offset: LogOffset,
    /// When the log stored the record, by the log's clock.
    pub granted_at_ms: u64,
    /// When this node read the record, by its own clock.
    pub read_at_ms: u64,
    /// Whether the holder released the lease.
    pub released: bool,
}

/// The verdict on one lease record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LeaseVerdict {
    /// The lease was granted or extended.
    Granted,
    /// The lease was released.
    Released,
    /// The record conflicts with the state of the lease.
    Refused,
    /// The verdict depends on records that this reader has missed, or the record was read before.
    Undecided,
    /// The record cannot be decoded.
    Malformed,
}

/// The newest lease of each service.
#[derive(Clone, Debug)]
pub struct LeaseLedger {
    complete: bool,
    started_ms: u64,
    next: LogOffset,
    services: BTreeMap<ServiceName, ServiceLease>,
}

#[derive(Clone, Debug, Default)]
struct ServiceLease {
    /// Whether the records read determine the newest lease, so that all such readers agree on it.
    determined: bool,
    newest: Option<Lease>,
    /// Records read before the newest lease was determined.
    undecided: Vec<(LeaseAction, Lease)>,
    last_appended_at_ms: Option<u64>,
    last_read_ms: Option<u64>,
}

impl LeaseLedger {
    /// Creates a ledger that starts at the oldest retained record.
    pub fn new(first_retained: LogOffset, now_ms: u64) -> Self {
        let complete = first_retained == LogOffset::default();
        let services = BTreeMap::new();
        Self { complete, started_ms: now_ms, next: first_retained, services }
    }

    /// Returns the offset of the next record to read.
    pub fn next(&self) -> LogOffset {
        self.next
    }

    /// Returns the newest lease of a service, which may have expired.
    pub fn lease(&self, service: &ServiceName) -> Option<&Lease> {
        self.services.get(service).filter(|state| state.determined)?.newest.as_ref()
    }

    /// Returns whether this reader has determined who holds a service's lease, or that nobody does.
    pub fn is_determined(&self, service: &ServiceName) -> bool {
        self.services.get(service).map_or(self.complete, |state| state.determined)
    }

    /// Returns since when, by this node's clock, no record of a service has been read.
    pub fn idle_since_ms(&self, service: &ServiceName) -> u64 {
        let state = self.services.get(service);
        let last = state.and_then(|state| state.last_read_ms);
        last.map_or(self.started_ms, |last_ms| last_ms.max(self.started_ms))
    }

    /// Applies the record at an offset; readers that determined the lease reach the same verdict.
    ///
    /// A record before the next offset is skipped. A record after it resets the ledger, because the
    /// records in between are missing. `appended_at_ms` is by the log's clock, `now_ms` by this
    /// node's.
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
            self.reset(now_ms);
        }
        self.next = LogOffset::new(offset.value() + 1);
        let Ok(record) = serde_json::from_str::<LeaseRecord>(value) else {
            return LeaseVerdict::Malformed;
        };
        let initial = ServiceLease { determined: self.complete, ..ServiceLease::default() };
        let state = self.services.entry(record.service.clone()).or_insert(initial);
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
        state.last_read_ms = Some(now_ms);
        state.try_determine(action, appended_at_ms);
        state.apply(action, lease)
    }

    /// Discards the state of all leases, because records were missed.
    fn reset(&mut self, now_ms: u64) {
        *self = Self { complete: false, ..Self::new(self.next, now_ms) };
    }
}

impl ServiceLease {
    /// Determines the newest lease if the record shows the state before it.
    ///
    /// It does if it renews or releases a lease that its holder saw granted, or if it follows an
    /// idle period in which any lease must have expired.
    fn try_determine(&mut self, action: LeaseAction, appended_at_ms: u64) {
        let last_ms = self.last_appended_at_ms.replace(appended_at_ms);
        if self.determined {
            return;
        }
        if last_ms.is_some_and(|last_ms| appended_at_ms >= last_ms + LEASE_MS) {
            self.determined = true;
            self.undecided.clear();
            return;
        }
        if let LeaseAction::Renew(granted) | LeaseAction::Release(granted) = action {
            self.determine_from(granted);
        }
    }

    /// Treats the record at an offset as granted and applies the records after it.
    fn determine_from(&mut self, granted: LogOffset) {
        let Some(index) = self.undecided.iter().position(|(_, lease)| lease.offset == granted)
        else {
            return;
        };
        self.determined = true;
        let mut rest = mem::take(&mut self.undecided).into_iter().skip(index);
        self.newest = rest.next().map(|(_, lease)| lease);
        for (action, lease) in rest {
            self.apply(action, lease);
        }
    }

    fn apply(&mut self, action: LeaseAction, lease: Lease) -> LeaseVerdict {
        if !self.determined {
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
            let valid = lease.granted_at_ms < held.granted_at_ms + LEASE_MS;
            same && valid && held.offset == granted && !held.released
        })
    }

    fn release(&mut self) {
        if let Some(held) = &mut self.newest {
            held.released = true;
        }
    }
}
