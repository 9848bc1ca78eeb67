//! The servers that the platform's store names, with their states.

use protocol::ids::{FailureDomain, Incarnation, ModelName, ServiceName};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::net::SocketAddr;

/// How long after the store's return a missing entry may still come back, in milliseconds. The
/// platform's pages give about two seconds; half a second covers the pace of the reads.
pub const RETURN_GRACE_MS: u64 = 2_500;

/// Identifies a server as it registers itself.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct ServerId(String);

impl ServerId {
    /// Wraps an id.
    pub fn new(id: impl Into<String>) -> Self {
        Self(id.into())
    }

    /// Returns the id as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for ServerId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Describes a server as it registered itself.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ServerEntry {
    /// The server.
    pub id: ServerId,
    /// Its start; a later start is another incarnation.
    pub incarnation: Incarnation,
    /// The number of the heartbeat that wrote the entry.
    pub heartbeat: u64,
    /// Its service.
    pub service: ServiceName,
    /// Its address.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// The requests that it runs at once.
    pub slots: u32,
    /// Whether it said that it leaves.
    pub is_draining: bool,
    /// The weight version of each model that it serves.
    pub weight_versions: BTreeMap<ModelName, u64>,
}

/// Says what a record of the store means for one server.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum ServerRecord {
    /// The server wrote its entry.
    Present(ServerEntry),
    /// The entry was removed, or cannot be read and names no server to use.
    Absent(ServerId),
}

/// Says how a server stands.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum RegistryStatus {
    /// It takes new requests.
    Ready,
    /// Its entry is missing since the store was away; it takes new requests until the given time.
    Missing {
        /// When it counts as gone.
        until_ms: u64,
    },
    /// It takes no new requests.
    Leaving,
}

#[derive(Clone, Debug)]
struct RegisteredServer {
    entry: ServerEntry,
    status: RegistryStatus,
    /// The first heartbeat after the entry was removed. A late one from before the removal looks
    /// the same, so the server is back only with the next.
    back_with: Option<u64>,
}

/// Says what a change of the registry did to one server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RegistryChange {
    /// A new server or incarnation.
    Joined(ServerEntry),
    /// It takes no new requests from now on.
    Left(ServerId),
    /// The weight versions of a server changed.
    Reloaded(ServerEntry),
}

/// Holds what is known of all servers.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    servers: HashMap<ServerId, RegisteredServer>,
    /// When reads of the store last resumed after an outage.
    returned_at_ms: Option<u64>,
    is_unreachable: bool,
    /// Counts changes that matter to placement.
    generation: u64,
}

impl Registry {
    /// Creates a registry without servers.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns a number that changes with every change that matters to placement.
    pub const fn generation(&self) -> u64 {
        self.generation
    }

    /// Notes that the store could not be read.
    pub const fn store_unreachable(&mut self) {
        self.is_unreachable = true;
    }

    /// Notes that the store was read.
    pub const fn store_read(&mut self, now_ms: u64) {
        if self.is_unreachable {
            self.is_unreachable = false;
            self.returned_at_ms = Some(now_ms);
        }
    }

    /// Applies one record.
    pub fn apply(&mut self, record: ServerRecord, now_ms: u64) -> Option<RegistryChange> {
        let change = match record {
            ServerRecord::Present(entry) => self.apply_present(entry),
            ServerRecord::Absent(id) => self.apply_absent(&id, now_ms),
        };
        self.generation += u64::from(change.is_some());
        change
    }

    /// Applies a full listing of the newest records: what it does not name is absent.
    pub fn replace_all(&mut self, records: Vec<ServerRecord>, now_ms: u64) -> Vec<RegistryChange> {
        let mut listed = std::collections::HashSet::new();
        let mut changes = Vec::new();
        for record in records {
            if let ServerRecord::Present(entry) = &record {
                listed.insert(entry.id.clone());
            }
            changes.extend(self.apply(record, now_ms));
        }
        let missing: Vec<ServerId> =
            self.servers.keys().filter(|id| !listed.contains(*id)).cloned().collect();
        for id in missing {
            changes.extend(self.apply(ServerRecord::Absent(id), now_ms));
        }
        changes
    }

    /// Counts servers as gone that stayed missing after the store's return.
    pub fn expire_missing(&mut self, now_ms: u64) -> Vec<RegistryChange> {
        let mut changes = Vec::new();
        for (id, registered) in &mut self.servers {
            let RegistryStatus::Missing { until_ms } = registered.status else { continue };
            if now_ms >= until_ms && !self.is_unreachable {
                registered.status = RegistryStatus::Leaving;
                changes.push(RegistryChange::Left(id.clone()));
            }
        }
        self.generation += changes.len() as u64;
        changes
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

    /// Returns a server's entry and standing.
    pub fn get(&self, id: &ServerId) -> Option<(&ServerEntry, RegistryStatus)> {
        self.servers.get(id).map(|registered| (&registered.entry, registered.status))
    }

    /// Notes the weight version that a server itself reported.
    pub fn record_version(&mut self, id: &ServerId, model: &ModelName, version: u64) {
        if let Some(registered) = self.servers.get_mut(id) {
            let held = registered.entry.weight_versions.entry(model.clone()).or_insert(version);
            self.generation += u64::from(*held < version);
            *held = (*held).max(version);
        }
    }

    /// Notes that another server has this one's address.
    pub fn mark_removed(&mut self, id: &ServerId) -> Option<RegistryChange> {
        let registered = self.servers.get_mut(id)?;
        if registered.status == RegistryStatus::Leaving {
            return None;
        }
        registered.status = RegistryStatus::Leaving;
        self.generation += 1;
        Some(RegistryChange::Left(id.clone()))
    }

    /// Takes over what a peer knows from a later read of the store.
    pub fn merge(
        &mut self,
        servers: Vec<(ServerEntry, RegistryStatus)>,
        now_ms: u64,
    ) -> Vec<RegistryChange> {
        let mut changes = Vec::new();
        let mut listed = std::collections::HashSet::new();
        for (entry, status) in servers {
            let id = entry.id.clone();
            let incarnation = entry.incarnation;
            changes.extend(self.apply(ServerRecord::Present(entry), now_ms));
            let registered = self
                .servers
                .get(&id)
                .filter(|registered| registered.entry.incarnation == incarnation);
            if status == RegistryStatus::Leaving && registered.is_some() {
                changes.extend(self.mark_removed(&id));
            }
            listed.insert(id);
        }
        let missing: Vec<ServerId> =
            self.servers.keys().filter(|id| !listed.contains(*id)).cloned().collect();
        for id in missing {
            changes.extend(self.mark_removed(&id));
        }
        changes
    }

    /// Returns a copy of all that is known, for a peer that cannot read the store.
    pub fn snapshot(&self) -> Vec<(ServerEntry, RegistryStatus)> {
        self.servers
            .values()
            .map(|registered| (registered.entry.clone(), registered.status))
            .collect()
    }

    fn apply_present(&mut self, entry: ServerEntry) -> Option<RegistryChange> {
        let status =
            if entry.is_draining { RegistryStatus::Leaving } else { RegistryStatus::Ready };
        let Some(registered) = self.servers.get_mut(&entry.id) else {
            let change = RegistryChange::Joined(entry.clone());
            self.servers
                .insert(entry.id.clone(), RegisteredServer { entry, status, back_with: None });
            return Some(change);
        };
        if entry.incarnation < registered.entry.incarnation {
            return None;
        }
        if entry.incarnation > registered.entry.incarnation {
            *registered = RegisteredServer { entry: entry.clone(), status, back_with: None };
            return Some(RegistryChange::Joined(entry));
        }
        if entry.heartbeat < registered.entry.heartbeat {
            return None;
        }
        let was = registered.status;
        // Leaving is final for an incarnation that said so; a removed entry may come back.
        let is_draining = registered.entry.is_draining || entry.is_draining;
        let is_returning = was == RegistryStatus::Leaving && !is_draining;
        if is_returning && registered.back_with.is_none_or(|first| entry.heartbeat <= first) {
            registered.back_with.get_or_insert(entry.heartbeat);
            return None;
        }
        registered.back_with = None;
        registered.status =
            if is_draining { RegistryStatus::Leaving } else { RegistryStatus::Ready };
        // An entry may be older than what the server has answered since; weights only get newer.
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

    fn apply_absent(&mut self, id: &ServerId, now_ms: u64) -> Option<RegistryChange> {
        let registered = self.servers.get_mut(id)?;
        if registered.status != RegistryStatus::Ready {
            return None;
        }
        let returned = self.returned_at_ms.map(|at_ms| at_ms + RETURN_GRACE_MS);
        if let Some(until_ms) = returned.filter(|until_ms| now_ms < *until_ms) {
            registered.status = RegistryStatus::Missing { until_ms };
            return None;
        }
        registered.status = RegistryStatus::Leaving;
        Some(RegistryChange::Left(id.clone()))
    }
}
