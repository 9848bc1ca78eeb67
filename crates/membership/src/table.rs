//! The host table: all rows in shards, and the cached view of them.

use crate::limits::{SHARDS, VIEW_GAP_MS};
use crate::row::{Change, Row};
use crate::rumours::Rumours;
use crate::shard::{Shard, shard_of};
use crate::view::{HostView, Reachability};
use protocol::ids::{ConfigVersion, FailureDomain, HostName, Incarnation};
use protocol::message::hosts::HostRecord;
use protocol::message::probe::Heartbeat;
use protocol::rendezvous;
use std::array;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Says where records come from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Source {
    /// The platform's list.
    List,
    /// Another node's recent changes.
    Rumour,
    /// A comparison of two whole tables.
    Exchange,
}

/// Holds what a node knows of all hosts; shared between threads.
#[derive(Debug)]
pub struct HostTable {
    own: HostName,
    own_incarnation: Incarnation,
    superseded: AtomicBool,
    shards: [Mutex<Shard>; SHARDS],
    rumours: Mutex<Rumours>,
    generation: AtomicU64,
    last_exchange_ms: AtomicU64,
    cached: Mutex<Cached>,
}

/// Holds the view that was computed at one generation.
#[derive(Clone, Debug, Default)]
struct Cached {
    generation: u64,
    computed_ms: u64,
    valid_until_ms: u64,
    view: Arc<HostView>,
}

impl HostTable {
    /// Creates a table that knows only its own host.
    pub fn new(own: HostRecord, now_ms: u64) -> Self {
        let table = Self {
            own: own.host.clone(),
            own_incarnation: own.incarnation,
            superseded: AtomicBool::new(false),
            shards: array::from_fn(|_| Mutex::default()),
            rumours: Mutex::default(),
            generation: AtomicU64::new(1),
            last_exchange_ms: AtomicU64::new(0),
            cached: Mutex::default(),
        };
        table.insert_own(own, now_ms);
        table
    }

    fn insert_own(&self, own: HostRecord, now_ms: u64) {
        let name_digest = digest_of(&own.host);
        lock(&self.rumours).add(&own.host, true);
        let row = Row::new(own, name_digest, now_ms);
        lock(self.shard(name_digest)).insert(row);
    }

    /// Returns the name of the node's own host.
    pub fn own(&self) -> &HostName {
        &self.own
    }

    /// Returns the incarnation of the node's own host.
    pub fn own_incarnation(&self) -> Incarnation {
        self.own_incarnation
    }

    /// Returns whether a later incarnation of the node's own host was heard of.
    pub fn is_superseded(&self) -> bool {
        self.superseded.load(Ordering::Relaxed)
    }

    /// Returns whether any source has said that the node's own host is leaving.
    pub fn is_draining(&self) -> bool {
        let shard = lock(self.shard(digest_of(&self.own)));
        shard.row(&self.own).is_some_and(|row| row.record.leaving)
    }

    /// Marks the node's own host as leaving.
    pub fn set_draining(&self, now_ms: u64) {
        self.update(&self.own, now_ms, |row| row.contact(self.own_incarnation, true, now_ms));
    }

    /// Merges records and passes on what they change.
    pub fn merge(&self, records: &[HostRecord], source: Source, now_ms: u64) {
        for record in records {
            self.merge_one(record, source, now_ms);
        }
    }

    fn merge_one(&self, record: &HostRecord, source: Source, now_ms: u64) {
        if record.host == self.own {
            return self.merge_own(record, now_ms);
        }
        let name_digest = digest_of(&record.host);
        let mut shard = lock(self.shard(name_digest));
        if let Some(change) = shard.update(&record.host, |row| row.merge(record, now_ms)) {
            drop(shard);
            return self.note(&record.host, change);
        }
        let row = Row::new(record.clone(), name_digest, now_ms);
        if row.is_expired(now_ms) {
            return;
        }
        shard.insert(row);
        drop(shard);
        let change = if source == Source::Exchange { Change::None } else { Change::Slow };
        self.pass_on(&record.host, change);
        self.bump();
    }

    fn merge_own(&self, record: &HostRecord, now_ms: u64) {
        if record.incarnation > self.own_incarnation {
            self.superseded.store(true, Ordering::Relaxed);
            return;
        }
        self.update(&self.own, now_ms, |row| {
            let change = row.merge(record, now_ms);
            if row.refute() { Change::Urgent } else { change }
        });
    }

    /// Notes a heartbeat, which is a sign of life of its sender.
    pub fn observe_heartbeat(&self, heartbeat: &Heartbeat, now_ms: u64) {
        self.update(&heartbeat.host, now_ms, |row| {
            let change = row.contact(heartbeat.incarnation, heartbeat.draining, now_ms);
            if heartbeat.incarnation == row.record.incarnation {
                row.config_version = row.config_version.max(Some(heartbeat.config_version));
            }
            change
        });
    }

    /// Notes a host's own report.
    pub fn observe_report(
        &self,
        host: &HostName,
        incarnation: Incarnation,
        leaving: bool,
        now_ms: u64,
    ) {
        self.update(host, now_ms, |row| row.contact(incarnation, leaving, now_ms));
    }

    /// Notes that an incarnation of a host could not be reached.
    pub fn observe_failure(&self, host: &HostName, incarnation: Incarnation, now_ms: u64) {
        if *host != self.own {
            self.update(host, now_ms, |row| row.failure(incarnation, now_ms));
        }
    }

    /// Returns the configuration version that each entry host last told, where one did.
    pub fn config_versions(&self) -> Vec<(HostName, ConfigVersion)> {
        let mut versions = Vec::new();
        for shard in &self.shards {
            let shard = lock(shard);
            let told = shard.rows().filter_map(|row| Some((row, row.config_version?)));
            versions.extend(told.map(|(row, version)| (row.record.host.clone(), version)));
        }
        versions
    }

    /// Returns up to `count` hosts that are to be probed out of turn.
    pub fn doubtful(&self, count: usize) -> Vec<HostRecord> {
        let mut found = Vec::new();
        for shard in &self.shards {
            let shard = lock(shard);
            let doubtful = shard.rows().filter(|row| row.doubtful);
            found.extend(doubtful.take(count - found.len()).map(|row| row.record.clone()));
            if found.len() >= count {
                break;
            }
        }
        found
    }

    /// Returns all hosts as known now.
    pub fn view(&self, now_ms: u64) -> Arc<HostView> {
        self.view_within(0, now_ms)
    }

    /// Returns all hosts as known at most [`VIEW_GAP_MS`] ago; cheap enough for each request.
    pub fn recent_view(&self, now_ms: u64) -> Arc<HostView> {
        self.view_within(VIEW_GAP_MS, now_ms)
    }

    /// Returns a digest of all records; equal for equal tables.
    pub fn digest(&self) -> u64 {
        self.bucket_sums().iter().fold(0, |digest, sum| rendezvous::mix(digest ^ sum))
    }

    /// Returns one digest a bucket.
    pub(crate) fn bucket_digests(&self) -> Vec<u32> {
        self.bucket_sums().into_iter().map(|sum| rendezvous::mix(sum) as u32).collect()
    }

    fn bucket_sums(&self) -> Vec<u64> {
        self.shards.iter().flat_map(|shard| *lock(shard).sums()).collect()
    }

    /// Returns whether a change is waiting that others are to be told at once.
    pub(crate) fn has_urgent(&self) -> bool {
        lock(&self.rumours).has_urgent()
    }

    /// Returns whether an exchange may begin now, and notes that it does.
    pub(crate) fn may_exchange(&self, gap_ms: u64, now_ms: u64) -> bool {
        let last_ms = self.last_exchange_ms.load(Ordering::Relaxed);
        let allowed = now_ms >= last_ms.saturating_add(gap_ms);
        if allowed {
            self.last_exchange_ms.store(now_ms, Ordering::Relaxed);
        }
        allowed
    }

    /// Returns records that are to be passed on, at most `count`.
    pub(crate) fn take_rumours(&self, count: usize) -> Vec<HostRecord> {
        let hosts = lock(&self.cached).view.entry_hosts.len() as u64;
        let sends = 1 + u64::BITS - hosts.leading_zeros();
        let names = lock(&self.rumours).take(count, sends);
        names.iter().filter_map(|name| self.record(name)).collect()
    }

    /// Returns the record of a host.
    pub fn record(&self, host: &HostName) -> Option<HostRecord> {
        let shard = lock(self.shard(digest_of(host)));
        shard.row(host).map(|row| row.record.clone())
    }

    /// Returns the records in some buckets.
    pub(crate) fn records_in(&self, buckets: &[u8], now_ms: u64) -> Vec<HostRecord> {
        self.shards.iter().flat_map(|shard| lock(shard).records_in(buckets, now_ms)).collect()
    }

    fn view_within(&self, gap_ms: u64, now_ms: u64) -> Arc<HostView> {
        let generation = self.generation.load(Ordering::Acquire);
        let mut cached = lock(&self.cached);
        let current = cached.generation == generation && now_ms < cached.valid_until_ms;
        let recent = now_ms < cached.computed_ms.saturating_add(gap_ms);
        if !current && !recent {
            *cached = self.compute(generation, now_ms);
        }
        cached.view.clone()
    }

    fn compute(&self, generation: u64, now_ms: u64) -> Cached {
        let mut rows = Vec::new();
        for shard in &self.shards {
            let mut shard = lock(shard);
            shard.remove_expired(now_ms);
            rows.extend(shard.rows().cloned());
        }
        let next_change = rows.iter().filter_map(|row| row.next_change_ms(now_ms)).min();
        let view = Arc::new(HostView::from_rows(rows, &self.own, now_ms));
        let valid_until_ms = next_change.unwrap_or(u64::MAX);
        Cached { generation, computed_ms: now_ms, valid_until_ms, view }
    }

    fn update(&self, host: &HostName, now_ms: u64, apply: impl FnOnce(&mut Row) -> Change) {
        let mut shard = lock(self.shard(digest_of(host)));
        let updated = shard.update(host, |row| {
            let before = visible(row, now_ms);
            let change = apply(row);
            (before, change, visible(row, now_ms), row.record.failure_domain.clone())
        });
        drop(shard);
        let Some((before, change, after, domain)) = updated else {
            return;
        };
        if before != after {
            self.bump();
        }
        if before.0 == Reachability::Unreachable && after.0 == Reachability::Live {
            self.doubt_unreachable(&domain, now_ms);
        }
        self.note(host, change);
    }

    /// Has the unreachable hosts of a failure domain probed soon: the path there may be whole.
    fn doubt_unreachable(&self, domain: &FailureDomain, now_ms: u64) {
        for shard in &self.shards {
            lock(shard).doubt(|row| {
                let unreachable = row.reachability(now_ms) == Reachability::Unreachable;
                unreachable && row.record.failure_domain == *domain
            });
        }
    }

    fn note(&self, host: &HostName, change: Change) {
        if change != Change::None {
            self.pass_on(host, change);
            self.bump();
        }
    }

    fn pass_on(&self, host: &HostName, change: Change) {
        match change {
            Change::None => {}
            Change::Slow => lock(&self.rumours).add(host, false),
            Change::Urgent => lock(&self.rumours).add(host, true),
        }
    }

    fn bump(&self) {
        self.generation.fetch_add(1, Ordering::Release);
    }

    fn shard(&self, name_digest: u64) -> &Mutex<Shard> {
        &self.shards[shard_of(name_digest)]
    }
}

/// Returns what the view shows of a row beside its record.
fn visible(row: &Row, now_ms: u64) -> (Reachability, Option<u64>) {
    (row.reachability(now_ms), row.next_change_ms(now_ms))
}

fn digest_of(host: &HostName) -> u64 {
    rendezvous::digest(host.as_str().as_bytes())
}

/// Locks a mutex; a panic of another holder leaves rows that are still whole.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
