//! Cache index: the blocks that servers hold in memory and the committed blocks on store hosts.

mod rows;
mod servers;

use crate::index::rows::{Block, Row, RowMap};
use crate::index::servers::{HostTable, Slot};
use protocol::ids::{CHAIN_KEY_BYTES, ChainKey, HostName, Incarnation};
use protocol::message::place::CachedBlock;
use sharded::Sharded;
use smallvec::SmallVec;
use std::sync::{PoisonError, RwLock, RwLockReadGuard, RwLockWriteGuard};

/// The default maximum number of rows.
pub const DEFAULT_MAX_ROWS: usize = 200_000;

/// The maximum time of an import on top of its transfer, in milliseconds.
const IMPORT_MARGIN_MS: u64 = 2_000;
/// How many times slower than its configured rate a store may deliver in the worst case.
const MAX_STORE_SLOWDOWN: u64 = 4;
const MS_PER_S: u64 = 1_000;

/// The state of a server's rows after an update.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SyncStatus {
    /// All events so far are applied.
    Complete,
    /// Events are missing; the caller has to fetch a snapshot of the server.
    SnapshotNeeded,
    /// The update is outdated, by its incarnation or event number, and was dropped.
    Stale,
}

/// Holds one cache event of a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CacheEvent {
    /// The event's number; the numbers within one incarnation are consecutive.
    pub number: u64,
    /// The key of the block's segment.
    pub key: ChainKey,
    /// Whether the block was stored in memory, rather than evicted.
    pub stored: bool,
}

/// Lists the cached blocks of one prompt's segments.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ChainView {
    /// The servers that hold leading blocks in memory.
    pub cached_prefixes: SmallVec<[CachedPrefix; 4]>,
    /// For each segment, the copies of its block that may be imported now.
    pub importable: Vec<SmallVec<[BlockCopy; 1]>>,
}

impl ChainView {
    /// Returns the number of leading blocks that a server holds in memory.
    pub fn cached_blocks(&self, server: &HostName) -> usize {
        self.cached_prefixes
            .iter()
            .find(|held| held.server == *server)
            .map_or(0, |held| held.blocks)
    }
}

/// Counts the leading blocks of a prompt in one server's memory.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CachedPrefix {
    /// The server.
    pub server: HostName,
    /// The number of blocks.
    pub blocks: usize,
}

/// Describes one committed copy of a block that may be imported.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BlockCopy {
    /// The store host.
    pub store: HostName,
    /// The committed length.
    pub length_bytes: u64,
    /// The committed checksum.
    pub checksum: [u8; CHECKSUM_BYTES],
    /// When the copy expires, by this host's clock.
    pub expires_at_ms: u64,
}

impl BlockCopy {
    /// Returns the checksum in hexadecimal digits.
    pub fn checksum_hex(&self) -> String {
        ChainKey::new(self.checksum).to_string()
    }
}

/// The length of a block's checksum in bytes.
pub const CHECKSUM_BYTES: usize = CHAIN_KEY_BYTES;

/// Maps the key of a segment to the servers and store hosts that hold its block, in shards that
/// each have their own lock.
#[derive(Debug)]
pub struct CacheIndex {
    hosts: RwLock<HostTable>,
    rows: Sharded<RowMap>,
}

impl Default for CacheIndex {
    fn default() -> Self {
        Self::with_max_rows(DEFAULT_MAX_ROWS)
    }
}

impl CacheIndex {
    /// Creates an empty index with a maximum number of rows; the least recently used are evicted
    /// first.
    pub fn with_max_rows(max_rows: usize) -> Self {
        Self {
            hosts: RwLock::default(),
            rows: Sharded::new(|| RowMap::with_max_rows(max_rows / sharded::SHARDS)),
        }
    }

    /// Replaces a server's rows by the keys of its snapshot whose home is this host.
    pub fn apply_snapshot(
        &self,
        server: &HostName,
        incarnation: Incarnation,
        keys: impl IntoIterator<Item = ChainKey>,
        next_event: u64,
        is_home: impl Fn(&ChainKey) -> bool,
    ) -> SyncStatus {
        let Some(slot) = self.write_hosts().begin_snapshot(server, incarnation, next_event) else {
            return SyncStatus::Stale;
        };
        for key in keys.into_iter().filter(|key| is_home(key)) {
            self.with_row(&key, |row| row.add_server(slot));
        }
        SyncStatus::Complete
    }

    /// Applies a server's cache events, and skips the numbers that were applied before.
    pub fn apply_events(
        &self,
        server: &HostName,
        incarnation: Incarnation,
        events: &[CacheEvent],
        next_event: u64,
        is_home: impl Fn(&ChainKey) -> bool,
    ) -> SyncStatus {
        let Some(batch) = self.write_hosts().begin_events(server, incarnation, events, next_event)
        else {
            return SyncStatus::Stale;
        };
        for event in events.iter().filter(|event| event.number >= batch.from_number) {
            if event.stored && is_home(&event.key) {
                self.with_row(&event.key, |row| row.add_server(batch.slot));
            } else {
                self.update_row(&event.key, |row| row.remove_server(batch.slot));
            }
        }
        batch.sync
    }

    /// Records that an attempt left its prompt's blocks in a server's memory.
    pub fn add_cached(&self, server: &HostName, keys: &[ChainKey]) {
        let slot = self.write_hosts().server_slot(server);
        for key in keys {
            self.with_row(key, |row| row.add_server(slot));
        }
    }

    /// Adds a committed block that expires at a time of this host's clock.
    ///
    /// A block with a malformed checksum is dropped, because no import could verify it.
    pub fn add_block(&self, block: &CachedBlock, expires_at_ms: u64) {
        let Some(checksum) = parse_checksum(&block.checksum) else {
            return;
        };
        let store = self.write_hosts().store_slot(&block.store);
        let added = Block { store, length_bytes: block.length_bytes, checksum, expires_at_ms };
        self.with_row(&block.key, |row| row.add_block(added));
    }

    /// Removes a block that could not be imported or has expired.
    pub fn remove_block(&self, key: &ChainKey, store: &HostName) {
        let store = self.write_hosts().store_slot(store);
        self.update_row(key, |row| row.remove_block(store));
    }

    /// Drops the rows of a server that crashed or left, and ignores updates of this and earlier
    /// incarnations from now on.
    pub fn remove_server(&self, server: &HostName, incarnation: Incarnation) {
        self.write_hosts().remove_server(server, incarnation);
    }

    /// Returns the cached blocks of a prompt's segments.
    ///
    /// A block on a store host is listed only if it expires after the worst-case import time.
    pub fn view(&self, chain: &[ChainKey], store_bytes_per_s: u64, now_ms: u64) -> ChainView {
        let hosts = self.read_hosts();
        let mut holders = PrefixHolders::default();
        let mut copies = Vec::with_capacity(chain.len());
        for (position, key) in chain.iter().enumerate() {
            let mut shard = self.rows.lock_at(shard_of(key));
            let row = shard.touch(key);
            holders.advance(position, row.as_deref(), &hosts);
            let blocks = row.map(|row| row.blocks.as_slice()).unwrap_or_default();
            let importable =
                blocks.iter().filter(|block| is_importable(block, store_bytes_per_s, now_ms));
            copies.push(importable.map(|block| hosts.block_copy(block)).collect());
        }
        ChainView { cached_prefixes: holders.into_hosts(&hosts), importable: copies }
    }

    /// Returns the number of rows.
    pub fn len(&self) -> usize {
        let mut rows = 0;
        self.rows.for_each(|shard| rows += shard.len());
        rows
    }

    /// Returns whether the index has no rows.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Drops expired blocks, outdated server entries, and rows that are empty without them.
    pub fn sweep(&self, now_ms: u64) {
        let hosts = self.read_hosts();
        self.rows.for_each(|shard| {
            shard.sweep(|row| row.expire(now_ms, |slot| hosts.is_current(slot)));
        });
    }

    fn with_row(&self, key: &ChainKey, change: impl FnOnce(&mut Row)) {
        change(self.rows.lock_at(shard_of(key)).row(key));
    }

    fn update_row(&self, key: &ChainKey, change: impl FnOnce(&mut Row)) {
        if let Some(row) = self.rows.lock_at(shard_of(key)).touch(key) {
            change(row);
        }
    }

    fn read_hosts(&self) -> RwLockReadGuard<'_, HostTable> {
        self.hosts.read().unwrap_or_else(PoisonError::into_inner)
    }

    fn write_hosts(&self) -> RwLockWriteGuard<'_, HostTable> {
        self.hosts.write().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Tracks how many leading blocks each server holds along a prompt.
#[derive(Debug, Default)]
struct PrefixHolders {
    slots: SmallVec<[(Slot, usize); 4]>,
}

impl PrefixHolders {
    fn advance(&mut self, position: usize, row: Option<&Row>, hosts: &HostTable) {
        let servers = row.map(|row| row.servers.as_slice()).unwrap_or_default();
        if position == 0 {
            let current = servers.iter().filter(|slot| hosts.is_current(**slot));
            self.slots = current.map(|slot| (*slot, 1)).collect();
            return;
        }
        for (slot, blocks) in &mut self.slots {
            if *blocks == position && servers.contains(slot) {
                *blocks += 1;
            }
        }
    }

    fn into_hosts(self, hosts: &HostTable) -> SmallVec<[CachedPrefix; 4]> {
        let slots = self.slots.into_iter();
        let held = slots.map(|(slot, blocks)| {
            Some(CachedPrefix { server: hosts.server_host(slot)?.clone(), blocks })
        });
        held.flatten().collect()
    }
}

/// Returns the shard of a key from its last byte, which does not depend on the home; the leading
/// bytes are the same for all keys of a home.
fn shard_of(key: &ChainKey) -> usize {
    key.as_bytes()[CHAIN_KEY_BYTES - 1] as usize
}

fn is_importable(block: &Block, store_bytes_per_s: u64, now_ms: u64) -> bool {
    let remaining_ms = block.expires_at_ms.saturating_sub(now_ms);
    remaining_ms > max_import_ms(block.length_bytes, store_bytes_per_s)
}

/// Returns the worst-case time for the import of one block.
pub fn max_import_ms(length_bytes: u64, store_bytes_per_s: u64) -> u64 {
    let slowest = (store_bytes_per_s / MAX_STORE_SLOWDOWN).max(1);
    IMPORT_MARGIN_MS.saturating_add(length_bytes.saturating_mul(MS_PER_S) / slowest)
}

fn parse_checksum(text: &str) -> Option<[u8; CHECKSUM_BYTES]> {
    text.parse::<ChainKey>().ok().map(|digest| *digest.as_bytes())
}
