//! State that placement decides from: load and cached blocks.

use placement::export::StorePressure;
use placement::index::CacheIndex;
use placement::load::LoadTable;
use placement::single_flight::SingleFlight;
use protocol::ids::{HostName, WeightVersion};
use std::collections::{HashMap, HashSet};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// The tables that placement decides from.
#[derive(Debug, Default)]
pub(crate) struct PlacementState {
    pub(crate) loads: LoadTable,
    pub(crate) index: CacheIndex,
    pub(crate) transfers: Mutex<SingleFlight>,
    pressure: Mutex<StorePressure>,
    round_robin_index: AtomicU64,
    unreachable: Mutex<HashSet<HostName>>,
    versions: Mutex<HashMap<HostName, WeightVersion>>,
}

impl PlacementState {
    /// Creates empty tables.
    pub(crate) fn new() -> Self {
        Self::default()
    }

    /// Returns the next index for the round-robin policy.
    pub(crate) fn next_round_robin_index(&self) -> u64 {
        self.round_robin_index.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns the transfers in progress.
    pub(crate) fn lock_transfers(&self) -> MutexGuard<'_, SingleFlight> {
        self.transfers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the export thresholds of the store hosts that refused writes.
    pub(crate) fn lock_pressure(&self) -> MutexGuard<'_, StorePressure> {
        self.pressure.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that a server refused a connection.
    pub(crate) fn mark_unreachable(&self, server: &HostName) {
        self.lock_unreachable().insert(server.clone());
    }

    /// Records that a server answered.
    pub(crate) fn mark_reachable(&self, server: &HostName) {
        self.lock_unreachable().remove(server);
    }

    /// Returns whether a server refused its last connection.
    pub(crate) fn is_unreachable(&self, server: &HostName) -> bool {
        self.lock_unreachable().contains(server)
    }

    /// Records the weight version that a server reports.
    pub(crate) fn record_version(&self, server: &HostName, version: &WeightVersion) {
        let mut versions = self.versions.lock().unwrap_or_else(PoisonError::into_inner);
        if versions.get(server) != Some(version) {
            versions.insert(server.clone(), version.clone());
        }
    }

    /// Returns the weight version that a server reported last.
    pub(crate) fn version(&self, server: &HostName) -> Option<WeightVersion> {
        let versions = self.versions.lock().unwrap_or_else(PoisonError::into_inner);
        versions.get(server).cloned()
    }

    fn lock_unreachable(&self) -> MutexGuard<'_, HashSet<HostName>> {
        self.unreachable.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
