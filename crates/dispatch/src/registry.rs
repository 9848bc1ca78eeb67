//! The servers listed in the platform's store, with their statuses.

mod entry;
mod presence;

pub use crate::registry::entry::{ServerEntry, ServerId, ServerRecord, SoftwareVersion};
pub use crate::registry::presence::{COPIED_ENTRY_MS, EntryPosition, RegistryStatus};

use crate::registry::presence::{Origin, RegisteredServer};
use crate::streams::StreamOrigin;
use protocol::ids::{Incarnation, ModelName, ServiceName};
use std::collections::{BTreeSet, HashMap};

/// How long after the store becomes readable again a missing entry may still return, in
/// milliseconds. The platform documentation gives about two seconds; half a second covers the
/// interval between reads.
pub const RETURN_GRACE_MS: u64 = 2_500;

/// The effect of a registry change on one server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RegistryChange {
    /// A new server or incarnation was registered, or a removed server returned.
    Joined(ServerEntry),
    /// The server no longer takes new requests.
    Left(ServerId),
    /// The weight versions of the server changed.
    Reloaded(ServerEntry),
}

/// The registered servers.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    servers: HashMap<ServerId, RegisteredServer>,
    /// When the store became readable again after its last outage.
    readable_since_ms: Option<u64>,
    is_unreachable: bool,
    /// Counts the changes that are relevant to placement.
    generation: u64,
    /// The newest incarnation of each server that announced in its answers that it leaves.
    announced: HashMap<ServerId, Incarnation>,
    /// The end of the first listing in the present era of the store.
    copy_until: Option<EntryPosition>,
    /// The end of what was read of the log, here or by a peer.
    read_until: Option<EntryPosition>,
}

impl Registry {
    /// Creates a registry without servers.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns a number that increases with every change that is relevant to placement.
    pub const fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns whether nothing was read yet, here or by a peer.
    pub fn is_blank(&self) -> bool {
        self.servers.is_empty() && self.read_until.is_none()
    }

    /// Records that the store could not be read.
    pub const fn store_unreachable(&mut self) {
        self.is_unreachable = true;
    }

    /// Records that the store was read.
    pub const fn store_read(&mut self, now_ms: u64) {
        if self.is_unreachable {
            self.is_unreachable = false;
            self.readable_since_ms = Some(now_ms);
        }
    }

    /// Records that the store has returned from a copy, which lacks the newest records until they
    /// are written again.
    pub const fn store_restored(&mut self, now_ms: u64) {
        self.readable_since_ms = Some(now_ms);
    }

    /// Returns the end of what was read of the log; `None` before the first read.
    pub const fn read_until(&self) -> Option<EntryPosition> {
        self.read_until
    }

    /// Applies one record of the log.
    pub fn apply(
        &mut self,
        record: ServerRecord,
        at: EntryPosition,
        now_ms: u64,
    ) -> Option<RegistryChange> {
        self.read_until = self.read_until.max(Some(at.next()));
        let change = match record {
            ServerRecord::Present(entry) => self.apply_present(entry, Origin::Record(at), now_ms),
            ServerRecord::Absent(id) => self.apply_absent(&id, Some(at.next()), now_ms),
        };
        self.generation += u64::from(change.is_some());
        change
    }

    /// Applies a full listing of the newest records, each with its offset, up to `end`. Servers that
    /// it does not list are absent.
    pub fn replace_all(
        &mut self,
        records: Vec<(ServerRecord, u64)>,
        end: EntryPosition,
        now_ms: u64,
    ) -> Vec<RegistryChange> {
        let mut listed = std::collections::HashSet::new();
        let mut changes = Vec::new();
        for (record, offset) in records {
            if let ServerRecord::Present(entry) = &record
                && !self.is_outdated(entry)
            {
                listed.insert(entry.id.clone());
            }
            changes.extend(self.apply(record, EntryPosition { offset, ..end }, now_ms));
        }
        self.read_until = self.read_until.max(Some(end));
        if self.copy_until.is_none_or(|until| until.era < end.era) {
            self.copy_until = Some(end);
        }
        let missing: Vec<ServerId> =
            self.servers.keys().filter(|id| !listed.contains(*id)).cloned().collect();
        for id in missing {
            changes.extend(self.apply_absent(&id, Some(end), now_ms));
        }
        self.generation += changes.len() as u64;
        changes
    }

    /// Removes servers that stayed missing after an outage of the store, and returns removed ones
    /// that stayed listed after a step back.
    pub fn expire_missing(&mut self, now_ms: u64) -> Vec<RegistryChange> {
        let mut changes = Vec::new();
        for (id, registered) in self.servers.iter_mut().filter(|_| !self.is_unreachable) {
            match registered.status {
                RegistryStatus::Missing { until_ms } if now_ms >= until_ms => {
                    registered.status = RegistryStatus::Leaving;
                    changes.push(RegistryChange::Left(id.clone()));
                }
                RegistryStatus::Leaving
                    if registered.returns_ms.is_some_and(|at_ms| now_ms >= at_ms)
                        && !registered.entry.is_draining =>
                {
                    registered.status = RegistryStatus::Ready;
                    registered.returns_ms = None;
                    changes.push(RegistryChange::Joined(registered.entry.clone()));
                }
                _ => {}
            }
        }
        self.generation += changes.len() as u64;
        changes
    }

    /// Returns the software versions of all servers that take new requests.
    pub fn software(&self) -> BTreeSet<StreamOrigin> {
        self.all_usable().map(ServerEntry::stream_origin).collect()
    }

    /// Returns the servers that take new requests of a service.
    pub fn usable<'a>(&'a self, service: &'a ServiceName) -> impl Iterator<Item = &'a ServerEntry> {
        let all = self.servers.values();
        let usable = all.filter(|registered| registered.status != RegistryStatus::Leaving);
        usable.map(|registered| &registered.entry).filter(move |entry| entry.service == *service)
    }

    /// Returns all servers that take new requests.
    pub fn all_usable(&self) -> impl Iterator<Item = &ServerEntry> {
        let all = self.servers.values();
        all.filter(|registered| registered.status != RegistryStatus::Leaving)
            .map(|registered| &registered.entry)
    }

    /// Returns a server's entry and status.
    pub fn get(&self, id: &ServerId) -> Option<(&ServerEntry, RegistryStatus)> {
        self.servers.get(id).map(|registered| (&registered.entry, registered.status))
    }

    /// Records the weight version that a server itself reported.
    pub fn record_version(&mut self, id: &ServerId, model: &ModelName, version: u64) {
        if let Some(registered) = self.servers.get_mut(id) {
            let held = registered.entry.weight_versions.entry(model.clone()).or_insert(version);
            self.generation += u64::from(*held < version);
            *held = (*held).max(version);
        }
    }

    /// Marks a server as removed, because another server has its address or it announced that it
    /// leaves.
    pub fn mark_removed(&mut self, id: &ServerId) -> Option<RegistryChange> {
        self.remove(id, None)
    }

    fn remove(&mut self, id: &ServerId, until: Option<EntryPosition>) -> Option<RegistryChange> {
        let registered = self.servers.get_mut(id)?;
        if registered.status == RegistryStatus::Leaving {
            registered.record_absence(until);
            return None;
        }
        registered.status = RegistryStatus::Leaving;
        registered.removed_until = None;
        registered.record_absence(until);
        self.generation += 1;
        Some(RegistryChange::Left(id.clone()))
    }

    /// Records that an incarnation announced in an answer that it leaves, which is final as an entry
    /// that is draining. Other incarnations of the server are not affected.
    pub fn announce_leaving(
        &mut self,
        id: &ServerId,
        incarnation: Incarnation,
    ) -> Option<RegistryChange> {
        let newest = self.announced.entry(id.clone()).or_insert(incarnation);
        *newest = (*newest).max(incarnation);
        let registered = self.servers.get_mut(id)?;
        if registered.entry.incarnation != incarnation {
            return None;
        }
        registered.entry.is_draining = true;
        self.mark_removed(id)
    }

    /// Returns whether this incarnation of a server takes new requests.
    pub fn is_usable(&self, id: &ServerId, incarnation: Incarnation) -> bool {
        self.servers.get(id).is_some_and(|registered| {
            registered.entry.incarnation == incarnation
                && registered.status != RegistryStatus::Leaving
        })
    }

    /// Returns whether an incarnation announced in an answer that it leaves.
    pub fn has_announced_leaving(&self, id: &ServerId, incarnation: Incarnation) -> bool {
        self.announced.get(id) == Some(&incarnation)
    }

    /// Merges the snapshot of a peer that has read the log up to `until`; earlier builds do not give
    /// that. An older one than what was read here removes nothing.
    pub fn merge(
        &mut self,
        servers: Vec<(ServerEntry, RegistryStatus)>,
        until: Option<EntryPosition>,
        now_ms: u64,
    ) -> Vec<RegistryChange> {
        let is_older = until.is_some() && until < self.read_until;
        self.read_until = self.read_until.max(until);
        let mut changes = Vec::new();
        let mut listed = std::collections::HashSet::new();
        for (entry, status) in servers {
            let (id, incarnation) = (entry.id.clone(), entry.incarnation);
            let is_removed = status == RegistryStatus::Leaving;
            let is_final = entry.is_draining;
            let is_listed = status == RegistryStatus::Ready;
            let origin = if is_listed { Origin::Snapshot(until) } else { Origin::Unlisted };
            let change = self.apply_present(entry, origin, now_ms);
            let is_new = matches!(change, Some(RegistryChange::Joined(_)));
            changes.extend(change);
            let registered = self.servers.get(&id);
            let is_same = registered.is_some_and(|held| held.entry.incarnation == incarnation);
            if is_removed && is_same && (is_final || is_new) {
                changes.extend(self.remove(&id, until));
            } else if is_removed && is_same && !is_older {
                changes.extend(self.apply_absent(&id, until, now_ms));
            }
            listed.insert(id);
        }
        let missing: Vec<ServerId> =
            self.servers.keys().filter(|id| !listed.contains(*id)).cloned().collect();
        for id in missing.into_iter().filter(|_| !is_older) {
            changes.extend(self.apply_absent(&id, until, now_ms));
        }
        self.generation += changes.len() as u64;
        changes
    }

    /// Returns whether an entry is of an earlier incarnation than the registered one, or from before
    /// it was missing.
    fn is_outdated(&self, entry: &ServerEntry) -> bool {
        let Some(RegisteredServer { entry: held, status, .. }) = self.servers.get(&entry.id) else {
            return false;
        };
        let is_missing = matches!(status, RegistryStatus::Missing { .. });
        entry.incarnation < held.incarnation
            || (is_missing
                && entry.incarnation == held.incarnation
                && entry.heartbeat < held.heartbeat)
    }

    /// Returns a snapshot of all servers, for a peer that cannot read the store. One that may have
    /// returned counts as missing, which shows neither that it was removed nor that it is back.
    pub fn snapshot(&self) -> Vec<(ServerEntry, RegistryStatus)> {
        let snapshot = self.servers.values().map(|registered| {
            let returns_ms = registered.returns_ms.filter(|_| !registered.entry.is_draining);
            let doubtful = returns_ms.map(|until_ms| RegistryStatus::Missing { until_ms });
            (registered.entry.clone(), doubtful.unwrap_or(registered.status))
        });
        snapshot.collect()
    }

    fn apply_present(
        &mut self,
        mut entry: ServerEntry,
        origin: Origin,
        now_ms: u64,
    ) -> Option<RegistryChange> {
        entry.is_draining |= self.has_announced_leaving(&entry.id, entry.incarnation);
        let status =
            if entry.is_draining { RegistryStatus::Leaving } else { RegistryStatus::Ready };
        let Some(registered) = self.servers.get_mut(&entry.id) else {
            let change = RegistryChange::Joined(entry.clone());
            self.servers.insert(entry.id.clone(), RegisteredServer::new(entry, status));
            return Some(change);
        };
        if entry.incarnation < registered.entry.incarnation {
            return None;
        }
        if entry.incarnation > registered.entry.incarnation {
            *registered = RegisteredServer::new(entry.clone(), status);
            return Some(RegistryChange::Joined(entry));
        }
        if entry.heartbeat < registered.entry.heartbeat {
            // A late entry is outdated but for what is final.
            registered.entry.is_draining |= entry.is_draining;
            return if entry.is_draining { self.mark_removed(&entry.id) } else { None };
        }
        let was = registered.status;
        // An incarnation that announced draining never returns; a removed entry may.
        let is_draining = registered.entry.is_draining || entry.is_draining;
        let is_back = match was {
            RegistryStatus::Ready => true,
            RegistryStatus::Missing { .. } => registered.is_listed_again(origin),
            RegistryStatus::Leaving => {
                registered.has_returned(entry.heartbeat, origin, self.copy_until, now_ms)
            }
        };
        if !is_back && !is_draining {
            return None;
        }
        registered.end_doubts();
        registered.status =
            if is_draining { RegistryStatus::Leaving } else { RegistryStatus::Ready };
        // The entry may be older than the server's own answers; weight versions only increase.
        let mut weight_versions = entry.weight_versions.clone();
        for (model, version) in &registered.entry.weight_versions {
            let newest = weight_versions.entry(model.clone()).or_insert(*version);
            *newest = (*newest).max(*version);
        }
        let reloaded = registered.entry.weight_versions != weight_versions;
        registered.entry = ServerEntry { is_draining, weight_versions, ..entry };
        match (was, registered.status) {
            (RegistryStatus::Leaving, RegistryStatus::Ready) => {
                Some(RegistryChange::Joined(registered.entry.clone()))
            }
            (RegistryStatus::Ready | RegistryStatus::Missing { .. }, RegistryStatus::Leaving) => {
                Some(RegistryChange::Left(registered.entry.id.clone()))
            }
            _ if reloaded => Some(RegistryChange::Reloaded(registered.entry.clone())),
            _ => None,
        }
    }

    fn apply_absent(
        &mut self,
        id: &ServerId,
        until: Option<EntryPosition>,
        now_ms: u64,
    ) -> Option<RegistryChange> {
        let registered = self.servers.get_mut(id)?;
        registered.record_absence(until);
        if registered.status == RegistryStatus::Leaving {
            return None;
        }
        let grace_until_ms = self.readable_since_ms.map(|at_ms| at_ms + RETURN_GRACE_MS);
        if let Some(until_ms) = grace_until_ms.filter(|until_ms| now_ms < *until_ms) {
            registered.status = RegistryStatus::Missing { until_ms };
            return None;
        }
        if matches!(registered.status, RegistryStatus::Missing { .. }) {
            return None;
        }
        registered.status = RegistryStatus::Leaving;
        Some(RegistryChange::Left(id.clone()))
    }
}
