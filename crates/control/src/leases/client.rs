//! Acquires, renews and releases a service's lease on behalf of one node.

use super::ledger::{Lease, LeaseLedger};
use super::record::{LeaseAction, LeaseRecord};
use super::{HOLD_MS, LEASE_MS, RANK_DELAY_MS, RENEW_AFTER_MS};
use membership::HostView;
use protocol::ids::{HostName, Incarnation, LogOffset, ServiceName};
use protocol::rendezvous;
use smallvec::SmallVec;

/// The inline capacity for sent records: the usual number sent within [`HOLD_MS`].
const INLINE_SENT_RECORDS: usize = 4;

/// Acquires, renews and checks the lease of one service.
#[derive(Clone, Debug)]
pub struct LeaseClient {
    service: ServiceName,
    host: HostName,
    incarnation: Incarnation,
    sent: SmallVec<[SentRecord; INLINE_SENT_RECORDS]>,
}

#[derive(Clone, Debug)]
struct SentRecord {
    record_id: String,
    /// The time by this node's clock before the record was sent.
    started_ms: u64,
}

impl LeaseClient {
    /// Creates a node's client of a service's lease.
    pub fn new(service: ServiceName, host: HostName, incarnation: Incarnation) -> Self {
        Self { service, host, incarnation, sent: SmallVec::new() }
    }

    /// Returns the fencing token if this node may send commands now.
    ///
    /// The caller must check the token again right before each command. `now_ms` is by a monotonic
    /// clock that also advances while the process is stopped.
    pub fn token(&self, ledger: &LeaseLedger, now_ms: u64) -> Option<LogOffset> {
        let lease = self.held_lease(ledger)?;
        let sent = self.sent.iter().find(|sent| sent.record_id == lease.record_id)?;
        (now_ms < sent.started_ms + HOLD_MS).then_some(lease.offset)
    }

    /// Returns the record to append now, if any. The time that this node may act counts from now.
    ///
    /// `record_id` must be new. A record whose append got no answer is not sent again, because the
    /// ledger shows in time whether it took effect.
    pub fn next_record(
        &mut self,
        ledger: &LeaseLedger,
        rank: usize,
        record_id: String,
        now_ms: u64,
    ) -> Option<LeaseRecord> {
        self.remove_expired(now_ms);
        let action = self.next_action(ledger, rank, now_ms)?;
        self.sent.push(SentRecord { record_id: record_id.clone(), started_ms: now_ms });
        Some(self.record(record_id, action))
    }

    /// Returns the record that releases the lease, if this node holds it.
    pub fn release(&mut self, ledger: &LeaseLedger, record_id: String) -> Option<LeaseRecord> {
        let offset = self.held_lease(ledger)?.offset;
        self.sent.clear();
        Some(self.record(record_id, LeaseAction::Release(offset)))
    }

    fn record(&self, record_id: String, action: LeaseAction) -> LeaseRecord {
        LeaseRecord {
            service: self.service.clone(),
            holder: self.host.clone(),
            incarnation: self.incarnation,
            record_id,
            action,
        }
    }

    fn next_action(&self, ledger: &LeaseLedger, rank: usize, now_ms: u64) -> Option<LeaseAction> {
        if self.sent_recently(now_ms) {
            return None;
        }
        let delay_ms = RANK_DELAY_MS * rank as u64;
        if !ledger.is_determined(&self.service) {
            // Any lease granted by the missing records has expired after this idle period.
            let idle_since_ms = ledger.idle_since_ms(&self.service);
            let idle = now_ms >= idle_since_ms + LEASE_MS + delay_ms;
            return idle.then_some(LeaseAction::Acquire);
        }
        match (ledger.lease(&self.service), self.token(ledger, now_ms)) {
            (_, Some(granted)) => Some(LeaseAction::Renew(granted)),
            (None, None) => Some(LeaseAction::Acquire),
            (Some(lease), None) if lease.released => Some(LeaseAction::Acquire),
            (Some(lease), None) => {
                let expired = now_ms >= lease.read_at_ms + LEASE_MS + delay_ms;
                expired.then_some(LeaseAction::Acquire)
            }
        }
    }

    fn sent_recently(&self, now_ms: u64) -> bool {
        self.sent.iter().any(|sent| now_ms < sent.started_ms + RENEW_AFTER_MS)
    }

    fn remove_expired(&mut self, now_ms: u64) {
        self.sent.retain(|sent| now_ms < sent.started_ms + HOLD_MS);
    }

    fn held_lease<'a>(&self, ledger: &'a LeaseLedger) -> Option<&'a Lease> {
        let lease = ledger.lease(&self.service)?;
        let is_holder = lease.holder == self.host && lease.incarnation == self.incarnation;
        (is_holder && !lease.released).then_some(lease)
    }
}

/// Returns the rank of an entry host among those that may take over a service's lease.
pub fn takeover_rank(
    view: &HostView,
    service: &ServiceName,
    local_host: &HostName,
) -> Option<usize> {
    let staying = view.usable_entry_hosts().filter(|host| !host.leaving);
    let candidates: Vec<_> = staying.map(|host| (&host.host, host.name_digest)).collect();
    let key = rendezvous::digest(service.as_str().as_bytes());
    let ranked = rendezvous::winners(key, candidates.len(), candidates);
    ranked.iter().position(|host| *host == local_host)
}
