//! Index of kept work: which pieces servers hold in memory and stores hold as committed blocks.

mod rows;
mod servers;

use crate::index::rows::{Block, Row, RowMap};
use crate::index::servers::{HostTable, Slot};
use protocol::ids::{CHAIN_KEY_BYTES, ChainKey, HostName, Incarnation};
use protocol::message::place::CachedBlock;
use sharded::Sharded;
use smallvec::SmallVec;
use std::sync::{PoisonError, RwLock, RwLockReadGuard, RwLockWriteGuard};

/// The number of rows kept unless settings say otherwise.
pub const DEFAULT_MAX_ROWS: usize = 200_000;

/// The longest time that an import may take beyond its transfer, in milliseconds.
const IMPORT_MARGIN_MS: u64 = 2_000;
/// How much slower than its stated rate a store may deliver before an import is late.
const SLOWEST_STORE_FACTOR: u64 = 4;
const MS_PER_S: u64 = 1_000;

/// Says whether a server's rows are complete after an update.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Sync {
    /// All events up to now are applied.
    Complete,
    /// Events are missing; a snapshot of the server is to be fetched.
    SnapshotNeeded,
    /// The update is of an earlier incarnation and was dropped.
    Stale,
}

/// Holds one cache event of a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CacheEvent {
    /// The event's number; numbers of one incarnation are consecutive.
    pub number: u64,
    /// The piece.
    pub key: ChainKey,
    /// Whether the piece came into memory, rather than left it.
    pub stored: bool,
}

/// Shows what is known of one prompt's pieces.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ChainView {
    /// The servers that hold leading pieces in memory.
    pub held: SmallVec<[Held; 4]>,
    /// For each piece the blocks that may be imported now.
    pub kept: Vec<SmallVec<[KeptCopy; 1]>>,
}

impl ChainView {
    /// Returns the number of leading pieces that a server holds in memory.
    pub fn held_pieces(&self, server: &HostName) -> usize {
        self.held.iter().find(|held| held.server == *server).map_or(0, |held| held.pieces)
    }
}

/// Counts the leading pieces of a prompt in one server's memory.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Held {
    /// The server.
    pub server: HostName,
    /// The number of pieces.
    pub pieces: usize,
}

/// Describes one committed block that may be imported.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeptCopy {
    /// The store host.
    pub store: HostName,
    /// The committed length.
    pub length_bytes: u64,
    /// The committed checksum.
    pub checksum: [u8; CHECKSUM_BYTES],
    /// When the block expires, by this host's clock.
    pub expires_at_ms: u64,
}

impl KeptCopy {
    /// Returns the checksum in hexadecimal digits.
    pub fn checksum_hex(&self) -> String {
        ChainKey::new(self.checksum).to_string()
    }
}

/// The length of a block's checksum in bytes.
pub const CHECKSUM_BYTES: usize = CHAIN_KEY_BYTES;

/// Holds rows from piece to servers and blocks, in shards each under its own lock.
#[derive(Debug)]
pub struct KeptIndex {
    hosts: RwLock<HostTable>,
    rows: Sharded<RowMap>,
}

impl Default for KeptIndex {
    fn default() -> Self {
        Self::with_max_rows(DEFAULT_MAX_ROWS)
    }
}

impl KeptIndex {
    /// Creates an empty index that holds up to a number of rows; the longest unused go first.
    pub fn with_max_rows(max_rows: usize) -> Self {
        Self {
            hosts: RwLock::default(),
            rows: Sharded::new(|| RowMap::with_max_rows(max_rows / sharded::SHARDS)),
        }
    }

    /// Replaces a server's rows by what its snapshot lists, as far as this host is the home.
    pub fn apply_snapshot(
        &self,
        server: &HostName,
        incarnation: Incarnation,
        keys: impl IntoIterator<Item = ChainKey>,
        next_event: u64,
        is_home: impl Fn(&ChainKey) -> bool,
    ) -> Sync {
        let Some(slot) = self.write_hosts().begin_snapshot(server, incarnation, next_event) else {
            return Sync::Stale;
        };
        for key in keys.into_iter().filter(|key| is_home(key)) {
            self.with_row(&key, |row| row.add_server(slot));
        }
        Sync::Complete
    }

    /// Applies a server's cache events; numbers seen before are skipped.
    pub fn apply_events(
        &self,
        server: &HostName,
        incarnation: Incarnation,
        events: &[CacheEvent],
        next_event: u64,
        is_home: impl Fn(&ChainKey) -> bool,
    ) -> Sync {
        let Some(batch) = self.write_hosts().begin_events(server, incarnation, events, next_event)
        else {
            return Sync::Stale;
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

    /// Notes that a run left its prompt's pieces in a server's memory.
    pub fn add_held(&self, server: &HostName, keys: &[ChainKey]) {
        let slot = self.write_hosts().current(server);
        for key in keys {
            self.with_row(key, |row| row.add_server(slot));
        }
    }

    /// Adds a committed block that is kept until a moment of this host's clock; a block whose
    /// checksum is malformed is dropped, since no import could verify it.
    pub fn add_block(&self, block: &CachedBlock, expires_at_ms: u64) {
        let Some(checksum) = parse_checksum(&block.checksum) else {
            return;
        };
        let store = self.write_hosts().store(&block.store);
        let added = Block { store, length_bytes: block.length_bytes, checksum, expires_at_ms };
        self.with_row(&block.key, |row| row.add_block(added));
    }

    /// Drops a block that could not be imported or was found expired.
    pub fn remove_block(&self, key: &ChainKey, store: &HostName) {
        let store = self.write_hosts().store(store);
        self.update_row(key, |row| row.remove_block(store));
    }

    /// Drops the rows of a server that died or left; nothing below its next incarnation counts.
    pub fn remove_server(&self, server: &HostName, incarnation: Incarnation) {
        self.write_hosts().remove_server(server, incarnation);
    }

    /// Returns what is known of a prompt's pieces. A block counts only if what remains of its life
    /// exceeds the worst case of importing it.
    pub fn view(&self, chain: &[ChainKey], store_bytes_per_s: u64, now_ms: u64) -> ChainView {
        let hosts = self.read_hosts();
        let mut holders = Holders::default();
        let mut kept = Vec::with_capacity(chain.len());
        for (position, key) in chain.iter().enumerate() {
            let mut shard = self.rows.lock_at(shard_of(key));
            let row = shard.touch(key);
            holders.advance(position, row.as_deref(), &hosts);
            let blocks = row.map(|row| row.blocks.as_slice()).unwrap_or_default();
            let importable =
                blocks.iter().filter(|block| is_importable(block, store_bytes_per_s, now_ms));
            kept.push(importable.map(|block| hosts.copy(block)).collect());
        }
        ChainView { held: holders.into_hosts(&hosts), kept }
    }

    /// Returns the number of rows.
    pub fn len(&self) -> usize {
        let mut rows = 0;
        self.rows.for_each(|shard| rows += shard.len());
        rows
    }

    /// Tells whether there are no rows.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Drops expired blocks, servers that are gone and rows with neither.
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

/// Follows which servers hold every piece from the first one on.
#[derive(Debug, Default)]
struct Holders {
    slots: SmallVec<[(Slot, usize); 4]>,
}

impl Holders {
    fn advance(&mut self, position: usize, row: Option<&Row>, hosts: &HostTable) {
        let servers = row.map(|row| row.servers.as_slice()).unwrap_or_default();
        if position == 0 {
            let current = servers.iter().filter(|slot| hosts.is_current(**slot));
            self.slots = current.map(|slot| (*slot, 1)).collect();
            return;
        }
        for (slot, pieces) in &mut self.slots {
            if *pieces == position && servers.contains(slot) {
                *pieces += 1;
            }
        }
    }

    fn into_hosts(self, hosts: &HostTable) -> SmallVec<[Held; 4]> {
        let named = self.slots.into_iter();
        let held =
            named.map(|(slot, pieces)| Some(Held { server: hosts.server(slot)?.clone(), pieces }));
        held.flatten().collect()
    }
}

/// Returns the shard of a key by a byte that does not tell its home.
fn shard_of(key: &ChainKey) -> usize {
    key.as_bytes()[CHAIN_KEY_BYTES - 1] as usize
}

fn is_importable(block: &Block, store_bytes_per_s: u64, now_ms: u64) -> bool {
    let remaining_ms = block.expires_at_ms.saturating_sub(now_ms);
    remaining_ms > worst_import_ms(block.length_bytes, store_bytes_per_s)
}

/// Returns the longest time that the import of one block may take.
pub fn worst_import_ms(length_bytes: u64, store_bytes_per_s: u64) -> u64 {
    let slowest = (store_bytes_per_s / SLOWEST_STORE_FACTOR).max(1);
    IMPORT_MARGIN_MS.saturating_add(length_bytes.saturating_mul(MS_PER_S) / slowest)
}

fn parse_checksum(text: &str) -> Option<[u8; CHECKSUM_BYTES]> {
    text.parse::<ChainKey>().ok().map(|digest| *digest.as_bytes())
}
