//! Holding the steward's lease.

use crate::event;
use crate::node::Node;
use crate::peers;
use crate::store::{StoreClient, StoreError};
use dispatch::lease::{self, HeldLease, LeaseRecord, SeenLease, TargetVersionRecord};
use dispatch::rollout;
use platform::store::ROLLOUT_LEASE_TOPIC;
use protocol::ids::LogOffset;

/// The key of the lease's records.
const LEASE_KEY: &str = "lease";
/// How much later each further gateway claims, in milliseconds: a store's answer and a margin.
const RANK_DELAY_MS: u64 = 700;
/// The latest claim of a gateway after work was found, in milliseconds.
const MAX_DELAY_MS: u64 = 3_500;
/// How often the newest record is read while another gateway holds the lease, in milliseconds.
const READ_EVERY_MS: u64 = 700;
/// The gateways that read the record after each rollout, so that they can take over at once.
const STANDBYS: usize = 3;

/// The lease as this gateway knows it.
#[derive(Debug)]
pub struct Holding {
    held: Option<HeldLease>,
    seen: Option<SeenLease>,
    /// When work was found that nobody has finished yet.
    work_since_ms: Option<u64>,
    next_read_ms: u64,
    life: u64,
}

impl Holding {
    /// Starts without a lease.
    pub const fn new(node: &Node) -> Self {
        Self { held: None, seen: None, work_since_ms: None, next_read_ms: 0, life: node.life }
    }

    /// Says whether this gateway holds the lease, valid or not.
    pub const fn is_held(&self) -> bool {
        self.held.is_some()
    }

    /// Returns the fence for an order given now; `None` if the lease has run out.
    pub fn fence(&self, node: &Node) -> Option<LogOffset> {
        self.held.filter(|held| held.is_valid(node.now_ms())).map(|held| held.fence)
    }

    /// Says whether a server may be ordered as far as the steward before is concerned.
    pub fn may_order(&self, node: &Node, orders_accepted: u64) -> bool {
        let turn_ms = node.settings.bounds.steward_turn_ms;
        self.held.is_some_and(|held| {
            let from_ms = rollout::may_command_at_ms(orders_accepted, held.acquired_ms, turn_ms);
            held.is_reacquired || node.now_ms() >= from_ms
        })
    }

    /// Returns when the lease runs out, on the node's clock; `None` if it has.
    pub fn valid_until_ms(&self, node: &Node) -> Option<u64> {
        let valid = self.held.filter(|held| held.is_valid(node.now_ms()))?;
        Some(valid.since_ms + lease::LEASE_MS)
    }

    /// Claims or renews the lease as far as that is due; says whether orders may be given.
    pub async fn try_hold(&mut self, node: &Node, store: &mut StoreClient) -> bool {
        let now_ms = node.now_ms();
        if let Some(held) = self.held {
            if held.is_due(now_ms) {
                self.renew(node, store, held).await;
            }
            return self.fence(node).is_some();
        }
        let since_ms = *self.work_since_ms.get_or_insert(now_ms);
        // The steward before goes first: it need not wait for its own lease.
        if self.seen.is_none() && now_ms < self.next_read_ms {
            return false;
        }
        let is_first_look = self.seen.is_none() && self.next_read_ms == 0;
        let rank = match &self.seen {
            Some(seen) if seen.record.holder == node.settings.host => 0,
            _ => node.state().gateways.own_rank() as u64,
        };
        let turn_ms = since_ms + (rank * RANK_DELAY_MS).min(MAX_DELAY_MS);
        if !is_first_look && now_ms < turn_ms.max(self.next_read_ms) {
            return false;
        }
        self.next_read_ms = now_ms + READ_EVERY_MS;
        let Ok(end) = self.read(node, store).await else { return false };
        let from_ms = lease::may_acquire_at_ms(self.seen.as_ref(), &node.settings.host);
        let is_early = node.now_ms() < turn_ms && !self.was_own(node);
        if node.now_ms() < from_ms || is_early {
            self.next_read_ms = from_ms.min(node.now_ms() + READ_EVERY_MS);
            return false;
        }
        self.claim(node, store, end).await
    }

    fn was_own(&self, node: &Node) -> bool {
        self.seen.as_ref().is_some_and(|seen| seen.record.holder == node.settings.host)
    }

    /// Gives the lease back.
    pub async fn release(&mut self, node: &Node, store: &mut StoreClient) {
        self.work_since_ms = None;
        let Some(held) = self.held.take() else { return };
        let written = self.write(node, store, held.end, true).await;
        event!(info, node.now_ms(), "lease_released", {
            "fence": held.fence.value(),
            "written": written.is_ok(),
        });
    }

    /// Notes that there is no work; the next in line look who held the lease last.
    pub async fn note_idle(&mut self, node: &Node, store: &mut StoreClient) {
        let had_work = self.work_since_ms.take().is_some();
        let rank = node.state().gateways.own_rank();
        if had_work && rank < STANDBYS {
            // A failed read only means a longer wait before the next claim.
            drop(self.read(node, store).await);
        }
    }

    async fn claim(&mut self, node: &Node, store: &mut StoreClient, end: u64) -> bool {
        let since_ms = node.now_ms();
        let Ok(appended) = self.write(node, store, end, false).await else { return false };
        let fence = LogOffset::new(appended.0);
        let own = &node.settings.host;
        let before = self.seen.as_ref().map(|seen| &seen.record);
        self.held = Some(HeldLease {
            fence,
            end: LogOffset::new(appended.1),
            since_ms,
            acquired_ms: node.now_ms(),
            is_reacquired: before.is_none_or(|record| record.holder == *own),
        });
        event!(info, node.now_ms(), "lease_claimed", {
            "fence": fence.value(),
            "before": self.seen.as_ref().map(|seen| seen.record.holder.as_str()),
        });
        self.fence(node).is_some()
    }

    async fn renew(&mut self, node: &Node, store: &mut StoreClient, held: HeldLease) {
        let since_ms = node.now_ms();
        match self.write(node, store, held.end, false).await {
            Ok((_, end)) => {
                self.held = Some(HeldLease { end: LogOffset::new(end), since_ms, ..held });
            }
            Err(error) => {
                event!(warn, node.now_ms(), "lease_not_renewed", {
                    "fence": held.fence.value(),
                    "age_ms": node.now_ms() - held.since_ms,
                    "error": error.to_string(),
                });
                // A renewal without an answer may have been written: the end is not known any
                // more, and only a new claim finds it.
                let is_over = !held.is_valid(node.now_ms());
                if is_over || matches!(error, StoreError::Conflict) {
                    self.held = None;
                    self.next_read_ms = 0;
                }
            }
        }
    }

    async fn write(
        &self,
        node: &Node,
        store: &mut StoreClient,
        end: impl Into<EndOffset>,
        is_released: bool,
    ) -> Result<(u64, u64), StoreError> {
        let record = LeaseRecord {
            holder: node.settings.host.clone(),
            incarnation: self.life,
            is_released,
            target_versions: named_records(node),
        };
        let value = peers::encode(&record);
        let at = Some(end.into().0);
        let appended = store.append(ROLLOUT_LEASE_TOPIC, LEASE_KEY, &value, at).await?;
        Ok((appended.offset, appended.end))
    }

    /// Reads the newest record and returns the end of the partition.
    async fn read(&mut self, node: &Node, store: &mut StoreClient) -> Result<u64, StoreError> {
        let newest = store.newest(ROLLOUT_LEASE_TOPIC).await?;
        let now_ms = node.now_ms();
        for (record, offset) in newest.records {
            let lease = record.value.as_deref().and_then(peers::decode::<LeaseRecord>);
            let offset = LogOffset::new(offset);
            let is_known = self.seen.as_ref().is_some_and(|seen| seen.offset == offset);
            if let Some(record) = lease.filter(|_| !is_known) {
                correct_named(node, &record);
                self.seen = Some(SeenLease { record, offset, seen_ms: now_ms });
            }
        }
        Ok(newest.end)
    }
}

fn named_records(node: &Node) -> Vec<TargetVersionRecord> {
    let state = node.state();
    let newest = state.weights.iter().filter_map(|(model, named)| {
        let at_ms = node.to_servers_clock_ms(named.newest_since_ms()?)?;
        Some(TargetVersionRecord { model: model.clone(), version: named.newest()?, at_ms })
    });
    newest.collect()
}

/// Learns when weights were named that a starting gateway found named.
fn correct_named(node: &Node, record: &LeaseRecord) {
    let Some(ahead_ms) = node.to_servers_clock_ms(0) else { return };
    let mut state = node.state();
    for named in &record.target_versions {
        if let Some(versions) = state.weights.get_mut(&named.model) {
            versions.set_since_ms(named.version, named.at_ms.saturating_sub(ahead_ms));
        }
    }
}

/// The offset that a partition must end at.
struct EndOffset(u64);

impl From<u64> for EndOffset {
    fn from(end: u64) -> Self {
        Self(end)
    }
}

impl From<LogOffset> for EndOffset {
    fn from(end: LogOffset) -> Self {
        Self(end.value())
    }
}
