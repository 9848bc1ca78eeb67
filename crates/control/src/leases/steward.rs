//! One node's part in the lease of one service.

use super::ledger::{Lease, LeaseLedger};
use super::record::{LeaseAction, LeaseRecord};
use super::{HOLD_MS, LEASE_MS, RANK_WAIT_MS, RENEW_AFTER_MS};
use membership::HostView;
use protocol::ids::{HostName, Incarnation, LogOffset, ServiceName};
use protocol::rendezvous;
use smallvec::SmallVec;

/// The number of claims whose outcome is usually open.
const USUAL_OPEN_CLAIMS: usize = 4;

/// Claims, renews and checks the lease of one service.
#[derive(Clone, Debug)]
pub struct Steward {
    service: ServiceName,
    own: HostName,
    incarnation: Incarnation,
    open: SmallVec<[OpenClaim; USUAL_OPEN_CLAIMS]>,
}

#[derive(Clone, Debug)]
struct OpenClaim {
    record_id: String,
    /// The own clock before the record was sent.
    begun_ms: u64,
}

impl Steward {
    /// Creates a node's part in a service's lease.
    pub fn new(service: ServiceName, own: HostName, incarnation: Incarnation) -> Self {
        Self { service, own, incarnation, open: SmallVec::new() }
    }

    /// Returns the fencing token if this node may give orders now.
    ///
    /// Ask again right before each order. `now_ms` is by a monotonic clock that also counts while
    /// the process is stopped.
    pub fn token(&self, ledger: &LeaseLedger, now_ms: u64) -> Option<LogOffset> {
        let lease = self.own_lease(ledger)?;
        let claim = self.open.iter().find(|claim| claim.record_id == lease.record_id)?;
        (now_ms < claim.begun_ms + HOLD_MS).then_some(lease.offset)
    }

    /// Returns the record to append now, if any, and counts from now on.
    ///
    /// `record_id` must be new. A record whose append got no answer is not sent again: the ledger
    /// tells in time whether it took effect.
    pub fn next_record(
        &mut self,
        ledger: &LeaseLedger,
        rank: usize,
        record_id: String,
        now_ms: u64,
    ) -> Option<LeaseRecord> {
        self.forget_old(now_ms);
        let action = self.next_action(ledger, rank, now_ms)?;
        self.open.push(OpenClaim { record_id: record_id.clone(), begun_ms: now_ms });
        Some(self.record(record_id, action))
    }

    /// Returns the record that gives the lease back, if this node holds it.
    pub fn release(&mut self, ledger: &LeaseLedger, record_id: String) -> Option<LeaseRecord> {
        let offset = self.own_lease(ledger)?.offset;
        self.open.clear();
        Some(self.record(record_id, LeaseAction::Release(offset)))
    }

    fn record(&self, record_id: String, action: LeaseAction) -> LeaseRecord {
        LeaseRecord {
            service: self.service.clone(),
            holder: self.own.clone(),
            incarnation: self.incarnation,
            record_id,
            action,
        }
    }

    fn next_action(&self, ledger: &LeaseLedger, rank: usize, now_ms: u64) -> Option<LeaseAction> {
        if self.sent_lately(now_ms) {
            return None;
        }
        let wait_ms = RANK_WAIT_MS * rank as u64;
        if !ledger.is_certain(&self.service) {
            // Whatever the missing records granted has run out after this silence.
            let silent_since_ms = ledger.silent_since_ms(&self.service);
            let silent = now_ms >= silent_since_ms + LEASE_MS + wait_ms;
            return silent.then_some(LeaseAction::Acquire);
        }
        match (ledger.lease(&self.service), self.token(ledger, now_ms)) {
            (_, Some(granted)) => Some(LeaseAction::Renew(granted)),
            (None, None) => Some(LeaseAction::Acquire),
            (Some(lease), None) if lease.released => Some(LeaseAction::Acquire),
            (Some(lease), None) => {
                let expired = now_ms >= lease.read_at_ms + LEASE_MS + wait_ms;
                expired.then_some(LeaseAction::Acquire)
            }
        }
    }

    fn sent_lately(&self, now_ms: u64) -> bool {
        self.open.iter().any(|claim| now_ms < claim.begun_ms + RENEW_AFTER_MS)
    }

    fn forget_old(&mut self, now_ms: u64) {
        self.open.retain(|claim| now_ms < claim.begun_ms + HOLD_MS);
    }

    fn own_lease<'a>(&self, ledger: &'a LeaseLedger) -> Option<&'a Lease> {
        let lease = ledger.lease(&self.service)?;
        let own = lease.holder == self.own && lease.incarnation == self.incarnation;
        (own && !lease.released).then_some(lease)
    }
}

/// Returns the place of an entry host among those that may take over a service's lease.
pub fn takeover_rank(view: &HostView, service: &ServiceName, own: &HostName) -> Option<usize> {
    let staying = view.usable_entry_hosts().filter(|host| !host.leaving);
    let candidates: Vec<_> = staying.map(|host| (&host.host, host.name_digest)).collect();
    let key = rendezvous::digest(service.as_str().as_bytes());
    let order = rendezvous::winners(key, candidates.len(), candidates);
    order.iter().position(|host| *host == own)
}
