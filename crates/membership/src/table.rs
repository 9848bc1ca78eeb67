//! The host table: rows in shards, and a cached view of them.

use crate::gossip_queue::GossipQueue;
use crate::limits::{MAX_VIEW_LAG_MS, SHARDS};
use crate::row::{Change, Row};
use crate::shard::{Shard, shard_of};
use crate::view::{HostView, Reachability};
use protocol::ids::{ConfigVersion, FailureDomain, HostName, Incarnation};
use protocol::message::hosts::HostRecord;
use protocol::message::probe::Heartbeat;
use protocol::rendezvous;
use std::array;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The source of records.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Source {
    /// The platform's host list.
    List,
    /// The gossip updates in a peer's probe or answer.
    Gossip,
    /// An exchange of records after comparing complete tables.
    Exchange,
}

/// The state of all hosts as seen by one node; shared between threads.
#[derive(Debug)]
pub struct HostTable {
    local_host: HostName,
    local_incarnation: Incarnation,
    superseded: AtomicBool,
    shards: [Mutex<Shard>; SHARDS],
    gossip_queue: Mutex<GossipQueue>,
    generation: AtomicU64,
    last_exchange_ms: AtomicU64,
    cached: Mutex<CachedView>,
}

/// A view and the table generation at which it was computed.
#[derive(Clone, Debug, Default)]
struct CachedView {
    generation: u64,
    computed_ms: u64,
    valid_until_ms: u64,
    view: Arc<HostView>,
}

impl HostTable {
    /// Creates a table that holds only the local host.
    pub fn new(local_record: HostRecord, now_ms: u64) -> Self {
        let table = Self {
            local_host: local_record.host.clone(),
            local_incarnation: local_record.incarnation,
            superseded: AtomicBool::new(false),
            shards: array::from_fn(|_| Mutex::default()),
            gossip_queue: Mutex::default(),
            generation: AtomicU64::new(1),
            last_exchange_ms: AtomicU64::new(0),
            cached: Mutex::default(),
        };
        table.insert_local(local_record, now_ms);
        table
    }

    fn insert_local(&self, local_record: HostRecord, now_ms: u64) {
        let name_digest = digest_of(&local_record.host);
        lock(&self.gossip_queue).add(&local_record.host, true);
        let row = Row::new(local_record, name_digest, now_ms);
        lock(self.shard(name_digest)).insert(row);
    }

    /// Returns the name of the local host.
    pub fn local_host(&self) -> &HostName {
        &self.local_host
    }

    /// Returns the incarnation of the local host.
    pub fn local_incarnation(&self) -> Incarnation {
        self.local_incarnation
    }

    /// Returns whether a source has reported a later incarnation of the local host.
    pub fn is_superseded(&self) -> bool {
        self.superseded.load(Ordering::Relaxed)
    }

    /// Returns whether any source has marked the local host as leaving.
    pub fn is_draining(&self) -> bool {
        let shard = lock(self.shard(digest_of(&self.local_host)));
        shard.row(&self.local_host).is_some_and(|row| row.record.leaving)
    }

    /// Marks the local host as leaving.
    pub fn set_draining(&self, now_ms: u64) {
        self.update(&self.local_host, now_ms, |row| {
            row.record_contact(self.local_incarnation, true, now_ms)
        });
    }

    /// Merges records and queues the resulting changes for gossip.
    pub fn merge(&self, records: &[HostRecord], source: Source, now_ms: u64) {
        for record in records {
            self.merge_one(record, source, now_ms);
        }
    }

    fn merge_one(&self, record: &HostRecord, source: Source, now_ms: u64) {
        if record.host == self.local_host {
            return self.merge_local(record, now_ms);
        }
        let name_digest = digest_of(&record.host);
        let mut shard = lock(self.shard(name_digest));
        if let Some(change) = shard.update(&record.host, |row| row.merge(record, now_ms)) {
            drop(shard);
            return self.record_change(&record.host, change);
        }
        let row = Row::new(record.clone(), name_digest, now_ms);
        if row.is_expired(now_ms) {
            return;
        }
        shard.insert(row);
        drop(shard);
        let change = if source == Source::Exchange { Change::None } else { Change::Routine };
        self.enqueue_update(&record.host, change);
        self.advance_generation();
    }

    fn merge_local(&self, record: &HostRecord, now_ms: u64) {
        if record.incarnation > self.local_incarnation {
            self.superseded.store(true, Ordering::Relaxed);
            return;
        }
        self.update(&self.local_host, now_ms, |row| {
            let change = row.merge(record, now_ms);
            if row.refute() { Change::Urgent } else { change }
        });
    }

    /// Records a heartbeat, which counts as contact with its sender.
    pub fn observe_heartbeat(&self, heartbeat: &Heartbeat, now_ms: u64) {
        self.update(&heartbeat.host, now_ms, |row| {
            let change = row.record_contact(heartbeat.incarnation, heartbeat.draining, now_ms);
            if heartbeat.incarnation == row.record.incarnation {
                row.config_version = row.config_version.max(Some(heartbeat.config_version));
            }
            change
        });
    }

    /// Records a report that was read from a host, which counts as contact with it.
    pub fn observe_report(
        &self,
        host: &HostName,
        incarnation: Incarnation,
        leaving: bool,
        now_ms: u64,
    ) {
        self.update(host, now_ms, |row| row.record_contact(incarnation, leaving, now_ms));
    }

    /// Records that an incarnation of a host could not be reached.
    pub fn observe_failure(&self, host: &HostName, incarnation: Incarnation, now_ms: u64) {
        if *host != self.local_host {
            self.update(host, now_ms, |row| row.record_failure(incarnation, now_ms));
        }
    }

    /// Returns the highest configuration version that each entry host has sent in the heartbeats of
    /// its current incarnation; hosts without a heartbeat are left out.
    pub fn config_versions(&self) -> Vec<(HostName, ConfigVersion)> {
        let mut versions = Vec::new();
        for shard in &self.shards {
            let shard = lock(shard);
            let reported = shard.rows().filter_map(|row| Some((row, row.config_version?)));
            versions.extend(reported.map(|(row, version)| (row.record.host.clone(), version)));
        }
        versions
    }

    /// Returns up to `count` hosts whose state is unconfirmed and which are to be probed next.
    pub fn unconfirmed(&self, count: usize) -> Vec<HostRecord> {
        let mut found = Vec::new();
        for shard in &self.shards {
            let shard = lock(shard);
            let unconfirmed = shard.rows().filter(|row| row.unconfirmed);
            found.extend(unconfirmed.take(count - found.len()).map(|row| row.record.clone()));
            if found.len() >= count {
                break;
            }
        }
        found
    }

    /// Returns the current view of all hosts.
    pub fn view(&self, now_ms: u64) -> Arc<HostView> {
        self.view_within(0, now_ms)
    }

    /// Returns a view that lags behind the table by at most [`MAX_VIEW_LAG_MS`]; cheap enough to call
    /// per request.
    pub fn recent_view(&self, now_ms: u64) -> Arc<HostView> {
        self.view_within(MAX_VIEW_LAG_MS, now_ms)
    }

    /// Returns a digest of all records; equal tables have equal digests.
    pub fn digest(&self) -> u64 {
        self.bucket_sums().iter().fold(0, |digest, sum| rendezvous::mix(digest ^ sum))
    }

    /// Returns the digest of each bucket.
    pub(crate) fn bucket_digests(&self) -> Vec<u32> {
        self.bucket_sums().into_iter().map(|sum| rendezvous::mix(sum) as u32).collect()
    }

    fn bucket_sums(&self) -> Vec<u64> {
        self.shards.iter().flat_map(|shard| *lock(shard).sums()).collect()
    }

    /// Returns whether an urgent update is pending.
    pub(crate) fn has_urgent(&self) -> bool {
        lock(&self.gossip_queue).has_urgent()
    }

    /// Returns whether an exchange may start now; if so, records it as started.
    pub(crate) fn may_exchange(&self, min_interval_ms: u64, now_ms: u64) -> bool {
        let last_ms = self.last_exchange_ms.load(Ordering::Relaxed);
        let allowed = now_ms >= last_ms.saturating_add(min_interval_ms);
        if allowed {
            self.last_exchange_ms.store(now_ms, Ordering::Relaxed);
        }
        allowed
    }

    /// Returns up to `count` records with pending gossip updates.
    ///
    /// The number of times that each update is sent grows with the logarithm of the number of
    /// entry hosts.
    pub(crate) fn take_updates(&self, count: usize) -> Vec<HostRecord> {
        let hosts = lock(&self.cached).view.entry_hosts.len() as u64;
        let max_sends = 1 + u64::BITS - hosts.leading_zeros();
        let names = lock(&self.gossip_queue).take(count, max_sends);
        names.iter().filter_map(|name| self.record(name)).collect()
    }

    /// Returns the record of a host.
    pub fn record(&self, host: &HostName) -> Option<HostRecord> {
        let shard = lock(self.shard(digest_of(host)));
        shard.row(host).map(|row| row.record.clone())
    }

    /// Returns the unexpired records of the given buckets.
    pub(crate) fn records_in(&self, buckets: &[u8], now_ms: u64) -> Vec<HostRecord> {
        self.shards.iter().flat_map(|shard| lock(shard).records_in(buckets, now_ms)).collect()
    }

    fn view_within(&self, max_lag_ms: u64, now_ms: u64) -> Arc<HostView> {
        let generation = self.generation.load(Ordering::Acquire);
        let mut cached = lock(&self.cached);
        let current = cached.generation == generation && now_ms < cached.valid_until_ms;
        let recent = now_ms < cached.computed_ms.saturating_add(max_lag_ms);
        if !current && !recent {
            *cached = self.compute(generation, now_ms);
        }
        cached.view.clone()
    }

    fn compute(&self, generation: u64, now_ms: u64) -> CachedView {
        let mut rows = Vec::new();
        for shard in &self.shards {
            let mut shard = lock(shard);
            shard.remove_expired(now_ms);
            rows.extend(shard.rows().cloned());
        }
        let next_change = rows.iter().filter_map(|row| row.next_change_ms(now_ms)).min();
        let view = Arc::new(HostView::from_rows(rows, &self.local_host, now_ms));
        let valid_until_ms = next_change.unwrap_or(u64::MAX);
        CachedView { generation, computed_ms: now_ms, valid_until_ms, view }
    }

    fn update(&self, host: &HostName, now_ms: u64, apply: impl FnOnce(&mut Row) -> Change) {
        let mut shard = lock(self.shard(digest_of(host)));
        let updated = shard.update(host, |row| {
            let before = visible_state(row, now_ms);
            let change = apply(row);
            (before, change, visible_state(row, now_ms), row.record.failure_domain.clone())
        });
        drop(shard);
        let Some((before, change, after, domain)) = updated else {
            return;
        };
        if before != after {
            self.advance_generation();
        }
        if before.0 == Reachability::Unreachable && after.0 == Reachability::Live {
            self.mark_unreachable_unconfirmed(&domain, now_ms);
        }
        self.record_change(host, change);
    }

    /// Marks the unreachable hosts of a failure domain as unconfirmed.
    ///
    /// They are then probed soon, since the path to the domain may work again.
    fn mark_unreachable_unconfirmed(&self, domain: &FailureDomain, now_ms: u64) {
        for shard in &self.shards {
            lock(shard).mark_unconfirmed(|row| {
                let unreachable = row.reachability(now_ms) == Reachability::Unreachable;
                unreachable && row.record.failure_domain == *domain
            });
        }
    }

    fn record_change(&self, host: &HostName, change: Change) {
        if change != Change::None {
            self.enqueue_update(host, change);
            self.advance_generation();
        }
    }

    fn enqueue_update(&self, host: &HostName, change: Change) {
        match change {
            Change::None => {}
            Change::Routine => lock(&self.gossip_queue).add(host, false),
            Change::Urgent => lock(&self.gossip_queue).add(host, true),
        }
    }

    fn advance_generation(&self) {
        self.generation.fetch_add(1, Ordering::Release);
    }

    fn shard(&self, name_digest: u64) -> &Mutex<Shard> {
        &self.shards[shard_of(name_digest)]
    }
}

/// Returns the state of a row that the view depends on besides its record.
fn visible_state(row: &Row, now_ms: u64) -> (Reachability, Option<u64>) {
    (row.reachability(now_ms), row.next_change_ms(now_ms))
}

fn digest_of(host: &HostName) -> u64 {
    rendezvous::digest(host.as_str().as_bytes())
}

/// Locks a mutex, ignoring poisoning: rows stay consistent if another holder panics.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
