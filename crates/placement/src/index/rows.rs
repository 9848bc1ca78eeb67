//! Rows of one shard, bounded by evicting the least recently used ones.

use super::CHECKSUM_BYTES;
use super::servers::{Slot, StoreSlot};
use protocol::ids::ChainKey;
use smallvec::SmallVec;
use std::collections::HashMap;
use std::hash::{BuildHasherDefault, Hasher};

/// Holds the locations of one segment's block: in the memory of servers and on store hosts.
#[derive(Debug, Default)]
pub(super) struct Row {
    pub(super) servers: SmallVec<[Slot; 4]>,
    pub(super) blocks: SmallVec<[Block; 1]>,
}

/// Holds one committed block.
#[derive(Clone, Copy, Debug)]
pub(super) struct Block {
    pub(super) store: StoreSlot,
    pub(super) length_bytes: u64,
    pub(super) checksum: [u8; CHECKSUM_BYTES],
    pub(super) expires_at_ms: u64,
}

impl Row {
    pub(super) fn add_server(&mut self, slot: Slot) {
        if !self.servers.contains(&slot) {
            self.servers.push(slot);
        }
    }

    pub(super) fn remove_server(&mut self, slot: Slot) {
        self.servers.retain(|server| *server != slot);
    }

    pub(super) fn add_block(&mut self, added: Block) {
        self.remove_block(added.store);
        self.blocks.push(added);
    }

    pub(super) fn remove_block(&mut self, store: StoreSlot) {
        self.blocks.retain(|block| block.store != store);
    }

    /// Drops outdated server entries and expired blocks; returns whether any entry remains.
    pub(super) fn expire(&mut self, now_ms: u64, is_current: impl Fn(Slot) -> bool) -> bool {
        self.servers.retain(|slot| is_current(*slot));
        self.blocks.retain(|block| block.expires_at_ms > now_ms);
        !(self.servers.is_empty() && self.blocks.is_empty())
    }
}

type Generation = HashMap<ChainKey, Row, BuildHasherDefault<KeyHasher>>;

/// Holds rows in two generations: an access moves a row to the young generation. When that is full,
/// the old generation is dropped and the young one takes its place.
#[derive(Debug)]
pub(super) struct RowMap {
    young: Generation,
    old: Generation,
    max_young: usize,
}

impl RowMap {
    pub(super) fn with_max_rows(max_rows: usize) -> Self {
        Self {
            young: Generation::default(),
            old: Generation::default(),
            max_young: (max_rows / 2).max(1),
        }
    }

    pub(super) fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    /// Returns a row and marks it as used.
    pub(super) fn touch(&mut self, key: &ChainKey) -> Option<&mut Row> {
        if let Some(row) = self.old.remove(key) {
            self.insert(*key, row);
        }
        self.young.get_mut(key)
    }

    /// Returns a row, which is created if needed, and marks it as used.
    pub(super) fn row(&mut self, key: &ChainKey) -> &mut Row {
        if !self.young.contains_key(key) {
            let row = self.old.remove(key).unwrap_or_default();
            self.insert(*key, row);
        }
        self.young.entry(*key).or_default()
    }

    pub(super) fn sweep(&mut self, mut keep: impl FnMut(&mut Row) -> bool) {
        self.young.retain(|_, row| keep(row));
        self.old.retain(|_, row| keep(row));
    }

    fn insert(&mut self, key: ChainKey, row: Row) {
        if self.young.len() >= self.max_young {
            self.old = std::mem::take(&mut self.young);
        }
        self.young.insert(key, row);
    }
}

/// Uses the last eight bytes of a key as its hash, because keys are already digests.
#[derive(Debug, Default)]
pub(super) struct KeyHasher(u64);

impl Hasher for KeyHasher {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        let mut last = [0; 8];
        let count = bytes.len().min(last.len());
        last[..count].copy_from_slice(&bytes[bytes.len() - count..]);
        self.0 ^= u64::from_le_bytes(last);
    }
}
