//! The rollout lease: acquisition, renewal and release.

use crate::event;
use crate::node::Node;
use crate::peers;
use crate::store::{LogPosition, StoreClient, StoreError};
use crate::target_weights;
use dispatch::era::StoreEra;
use dispatch::lease::{self, Fence, HeldLease, LeaseRecord, SeenLease, TargetVersionRecord};
use dispatch::rollout;
use platform::store::ROLLOUT_LEASE_TOPIC;
use protocol::ids::LogOffset;

/// The key of the lease's records.
const LEASE_KEY: &str = "lease";
/// The interval between reads of the newest record while another gateway holds the lease, in
/// milliseconds.
const READ_INTERVAL_MS: u64 = 700;
/// The number of gateways that read the record after each rollout, so that they can take over
/// without a delay.
const STANDBYS: usize = 3;

/// This gateway's view of the rollout lease.
#[derive(Debug)]
pub struct RolloutLease {
    held: Option<HeldLease>,
    seen: Option<SeenLease>,
    /// When the current unfinished work was found.
    work_since_ms: Option<u64>,
    next_read_ms: u64,
    incarnation: u64,
    /// The era of the store to which `held` and `seen` belong.
    era: StoreEra,
}

impl RolloutLease {
    /// Creates the view of a gateway that does not hold the lease.
    pub const fn new(node: &Node) -> Self {
        Self {
            held: None,
            seen: None,
            work_since_ms: None,
            next_read_ms: 0,
            incarnation: node.incarnation,
            era: StoreEra::new(0),
        }
    }

    /// Returns whether this gateway holds the lease, valid or expired.
    pub const fn is_held(&self) -> bool {
        self.held.is_some()
    }

    /// Returns the fence for a command sent now; `None` if the lease is not held or has expired.
    pub fn fence(&self, node: &Node) -> Option<Fence> {
        self.valid(node).map(|held| held.fence)
    }

    /// Returns the lease if it is held, has not expired, and is of the store's current era.
    fn valid(&self, node: &Node) -> Option<HeldLease> {
        let era = node.eras().current();
        self.held.filter(|held| held.is_valid(node.now_ms()) && held.era == era)
    }

    /// Forgets the lease and the newest record of an earlier era.
    fn follow_era(&mut self, node: &Node) {
        let era = node.eras().current();
        if std::mem::replace(&mut self.era, era) == era {
            return;
        }
        self.seen = None;
        self.next_read_ms = 0;
        if let Some(held) = self.held.take() {
            node.metrics.count("store_eras", "lease_ended");
            event!(warn, node.now_ms(), "lease_ended_by_era", {
                "fence": held.fence.value(),
                "era": era.value(),
            });
        }
    }

    /// Returns whether the handover time from the previous rollout leader allows a command to a
    /// server.
    pub fn may_command(&self, node: &Node, commands_accepted: u64) -> bool {
        let handover_ms = node.settings.bounds.steward_turn_ms;
        self.held.is_some_and(|held| {
            let from_ms =
                rollout::may_command_at_ms(commands_accepted, held.acquired_ms, handover_ms);
            held.is_reacquired || node.now_ms() >= from_ms
        })
    }

    /// Returns when the lease expires, on the node's clock; `None` if it is not held or has
    /// expired.
    pub fn valid_until_ms(&self, node: &Node) -> Option<u64> {
        let valid = self.valid(node)?;
        Some(valid.since_ms + lease::LEASE_MS)
    }

    /// Acquires or renews the lease if that is due; returns whether commands may be sent.
    pub async fn acquire_or_renew(&mut self, node: &Node, store: &mut StoreClient) -> bool {
        self.follow_era(node);
        let now_ms = node.now_ms();
        if let Some(held) = self.held {
            if held.is_due(now_ms) {
                self.renew(node, store, held).await;
            }
            return self.fence(node).is_some();
        }
        let since_ms = *self.work_since_ms.get_or_insert(now_ms);
        if self.seen.is_none() && now_ms < self.next_read_ms {
            return false;
        }
        let (rank, is_relay, last_sign_ms) = {
            let state = node.state();
            let rank = state.gateways.rank() as u64;
            (rank, state.relays.is_relay(), state.last_rollout_sign_ms)
        };
        // The previous holder is first in order: it need not wait for its own lease to expire.
        let rank = if self.was_held_here(node) { 0 } else { rank };
        let host = &node.settings.host;
        let earliest_ms = lease::may_look_at_ms(host, rank, is_relay, since_ms, last_sign_ms);
        // The first gateways read once before that, as the record says since when it counts.
        let is_first_read = self.seen.is_none() && self.next_read_ms == 0 && rank < STANDBYS as u64;
        if !is_first_read && now_ms < earliest_ms.max(self.next_read_ms) {
            return false;
        }
        self.next_read_ms = now_ms + READ_INTERVAL_MS;
        let Ok(end) = self.read(node, store).await else { return false };
        let from_ms =
            lease::may_acquire_at_ms(self.seen.as_ref(), &node.settings.host, &node.eras());
        let is_early = node.now_ms() < earliest_ms && !self.was_held_here(node);
        if node.now_ms() < from_ms || is_early {
            self.next_read_ms = from_ms.min(node.now_ms() + READ_INTERVAL_MS);
            return false;
        }
        self.acquire(node, store, end).await
    }

    fn was_held_here(&self, node: &Node) -> bool {
        self.seen.as_ref().is_some_and(|seen| seen.record.holder == node.settings.host)
    }

    /// Releases the lease.
    pub async fn release(&mut self, node: &Node, store: &mut StoreClient) {
        self.follow_era(node);
        self.work_since_ms = None;
        let Some(held) = self.held.take() else { return };
        let written = self.write(node, store, held_end(&held), true).await;
        event!(info, node.now_ms(), "lease_released", {
            "fence": held.fence.value(),
            "written": written.is_ok(),
        });
    }

    /// Gives the lease up without a record, so that others wait until it expires: commands that got no
    /// answer may still be on their way.
    pub fn lapse(&mut self, node: &Node) {
        self.work_since_ms = None;
        let Some(held) = self.held.take() else { return };
        event!(warn, node.now_ms(), "lease_lapsed", { "fence": held.fence.value() });
    }

    /// Records that there is no work; after a rollout, the standbys read who held the lease last.
    pub async fn record_idle(&mut self, node: &Node, store: &mut StoreClient) {
        self.follow_era(node);
        let had_work = self.work_since_ms.take().is_some();
        let rank = node.state().gateways.rank();
        if had_work && rank < STANDBYS {
            // A failed read only delays the next acquisition.
            drop(self.read(node, store).await);
        }
    }

    async fn acquire(&mut self, node: &Node, store: &mut StoreClient, end: LogPosition) -> bool {
        let since_ms = node.now_ms();
        let Ok(appended) = self.write(node, store, end, false).await else { return false };
        let fence = Fence::new(end.era, LogOffset::new(appended.0));
        let local_host = &node.settings.host;
        let previous = self.seen.as_ref().map(|seen| &seen.record);
        self.held = Some(HeldLease {
            fence,
            era: end.era,
            end: LogOffset::new(appended.1),
            since_ms,
            acquired_ms: node.now_ms(),
            is_reacquired: match previous {
                Some(record) => record.holder == *local_host && record.era == end.era,
                // The record of another holder may be lost.
                None => node.eras().known().is_none(),
            },
        });
        event!(info, node.now_ms(), "lease_claimed", {
            "fence": fence.value(),
            "before": self.seen.as_ref().map(|seen| seen.record.holder.as_str()),
        });
        self.fence(node).is_some()
    }

    async fn renew(&mut self, node: &Node, store: &mut StoreClient, held: HeldLease) {
        let since_ms = node.now_ms();
        match self.write(node, store, held_end(&held), false).await {
            Ok((_, end)) => {
                self.held = Some(HeldLease { end: LogOffset::new(end), since_ms, ..held });
            }
            Err(error) => {
                event!(warn, node.now_ms(), "lease_not_renewed", {
                    "fence": held.fence.value(),
                    "age_ms": node.now_ms() - held.since_ms,
                    "error": error.to_string(),
                });
                // A renewal without an answer may have been written. The end offset is then unknown
                // until the lease is acquired again.
                let is_over = !held.is_valid(node.now_ms());
                if is_over || matches!(error, StoreError::Conflict | StoreError::EraChanged) {
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
        end: LogPosition,
        is_released: bool,
    ) -> Result<(u64, u64), StoreError> {
        let record = LeaseRecord {
            holder: node.settings.host.clone(),
            incarnation: self.incarnation,
            is_released,
            target_versions: target_version_records(node),
            era: end.era,
        };
        let history = target_weights::history_on_servers_clock(node);
        let value = peers::encode_with_two(&record, &record.era, &history);
        let (appended, _) = store.append(ROLLOUT_LEASE_TOPIC, LEASE_KEY, &value, Some(end)).await?;
        Ok((appended.offset, appended.end))
    }

    /// Reads the newest record and returns the end of the partition.
    async fn read(
        &mut self,
        node: &Node,
        store: &mut StoreClient,
    ) -> Result<LogPosition, StoreError> {
        let newest = store.newest(ROLLOUT_LEASE_TOPIC).await?;
        self.follow_era(node);
        if newest.end.era != self.era {
            return Err(StoreError::EraChanged);
        }
        let now_ms = node.now_ms();
        for (record, offset) in newest.records {
            let offset = LogOffset::new(offset);
            if self.seen.as_ref().is_some_and(|seen| seen.offset == offset) {
                continue;
            }
            let lease = record.value.as_deref().and_then(peers::decode_with_two);
            let Some((record, era, history)) = lease else { continue };
            let record = LeaseRecord { era, ..record };
            if let Some(history) = history {
                target_weights::merge_from_servers_clock(node, history, "lease");
            }
            self.seen = Some(SeenLease { record, offset, seen_ms: now_ms });
        }
        Ok(newest.end)
    }
}

fn target_version_records(node: &Node) -> Vec<TargetVersionRecord> {
    let state = node.state();
    let allowed_ms = node.settings.bounds.weights_ms;
    let newest = state.weights.models().filter_map(|(model, target)| {
        let at_ms = node.to_servers_clock_ms(target.newest_since_ms(allowed_ms)?)?;
        Some(TargetVersionRecord { model: model.clone(), version: target.newest()?, at_ms })
    });
    newest.collect()
}

/// Returns the position at which the topic must end for a lease to be renewed or released.
const fn held_end(held: &HeldLease) -> LogPosition {
    LogPosition { era: held.era, offset: held.end.value() }
}
