//! Compact numbers for hosts: they keep rows small, and a new number for a server invalidates all
//! of its rows at once.

use super::rows::Block;
use super::{BlockCopy, CacheEvent, SyncStatus};
use protocol::ids::{HostName, Incarnation};
use std::collections::HashMap;

/// Identifies one server since its last snapshot; entries under an earlier number are invalid.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub(super) struct Slot(u32);

/// Identifies one store host.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(super) struct StoreSlot(u32);

/// Describes how to apply a batch of events.
#[derive(Debug)]
pub(super) struct EventBatch {
    pub(super) slot: Slot,
    pub(super) from_number: u64,
    pub(super) sync: SyncStatus,
}

#[derive(Debug)]
struct Server {
    slot: Slot,
    incarnation: Incarnation,
    next_event: u64,
    is_complete: bool,
}

/// Holds the hosts that rows refer to.
#[derive(Debug, Default)]
pub(super) struct HostTable {
    servers: HashMap<HostName, Server>,
    slots: HashMap<Slot, HostName>,
    next_slot: u32,
    stores: Vec<HostName>,
    store_slots: HashMap<HostName, StoreSlot>,
}

impl HostTable {
    /// Invalidates a server's rows before a snapshot; `None` if the snapshot is older than the
    /// state already applied.
    pub(super) fn begin_snapshot(
        &mut self,
        host: &HostName,
        incarnation: Incarnation,
        next_event: u64,
    ) -> Option<Slot> {
        if self
            .servers
            .get(host)
            .is_some_and(|server| server.is_newer_than(incarnation, next_event))
        {
            return None;
        }
        Some(self.assign_slot(Server::with_snapshot(incarnation, next_event), host))
    }

    /// Advances a server's event number; `None` if the events are of an earlier incarnation.
    pub(super) fn begin_events(
        &mut self,
        host: &HostName,
        incarnation: Incarnation,
        events: &[CacheEvent],
        next_event: u64,
    ) -> Option<EventBatch> {
        if self.servers.get(host).is_none_or(|server| server.incarnation < incarnation) {
            self.assign_slot(Server::new(incarnation), host);
        }
        let server = self.servers.get_mut(host)?;
        if server.incarnation > incarnation {
            return None;
        }
        let from_number = server.next_event;
        server.is_complete &= !has_gap(from_number, events, next_event);
        server.next_event = from_number.max(next_event);
        let sync =
            if server.is_complete { SyncStatus::Complete } else { SyncStatus::SnapshotNeeded };
        Some(EventBatch { slot: server.slot, from_number, sync })
    }

    /// Returns a server's slot, which is assigned if needed.
    pub(super) fn server_slot(&mut self, host: &HostName) -> Slot {
        match self.servers.get(host) {
            Some(server) => server.slot,
            None => self.assign_slot(Server::new(Incarnation::default()), host),
        }
    }

    pub(super) fn remove_server(&mut self, host: &HostName, incarnation: Incarnation) {
        if self.servers.get(host).is_some_and(|server| server.incarnation > incarnation) {
            return;
        }
        let next = Incarnation::new(incarnation.value().saturating_add(1));
        self.assign_slot(Server::new(next), host);
    }

    pub(super) fn is_current(&self, slot: Slot) -> bool {
        self.slots.contains_key(&slot)
    }

    pub(super) fn server_host(&self, slot: Slot) -> Option<&HostName> {
        self.slots.get(&slot)
    }

    /// Returns a store host's slot, which is assigned if needed.
    pub(super) fn store_slot(&mut self, host: &HostName) -> StoreSlot {
        if let Some(slot) = self.store_slots.get(host) {
            return *slot;
        }
        let slot = StoreSlot(self.stores.len() as u32);
        self.stores.push(host.clone());
        self.store_slots.insert(host.clone(), slot);
        slot
    }

    pub(super) fn block_copy(&self, block: &Block) -> BlockCopy {
        BlockCopy {
            store: self.stores[block.store.0 as usize].clone(),
            length_bytes: block.length_bytes,
            checksum: block.checksum,
            expires_at_ms: block.expires_at_ms,
        }
    }

    /// Assigns a new slot to a server, which invalidates all entries under its previous slot.
    fn assign_slot(&mut self, mut server: Server, host: &HostName) -> Slot {
        let slot = Slot(self.next_slot);
        self.next_slot = self.next_slot.wrapping_add(1);
        server.slot = slot;
        if let Some(before) = self.servers.insert(host.clone(), server) {
            self.slots.remove(&before.slot);
        }
        self.slots.insert(slot, host.clone());
        slot
    }
}

impl Server {
    fn new(incarnation: Incarnation) -> Self {
        Self { slot: Slot::default(), incarnation, next_event: 0, is_complete: false }
    }

    fn with_snapshot(incarnation: Incarnation, next_event: u64) -> Self {
        Self { next_event, is_complete: true, ..Self::new(incarnation) }
    }

    /// Returns whether the server's state is newer than a snapshot, by incarnation and then by
    /// event number.
    fn is_newer_than(&self, incarnation: Incarnation, next_event: u64) -> bool {
        let current = (self.incarnation, self.next_event);
        current > (incarnation, next_event)
    }
}

/// Returns whether a number is missing between the next expected one and the end of a batch.
fn has_gap(expected: u64, events: &[CacheEvent], next_event: u64) -> bool {
    let mut next = expected;
    for event in events.iter().filter(|event| event.number >= expected) {
        if event.number != next {
            return true;
        }
        next += 1;
    }
    next < next_event
}
