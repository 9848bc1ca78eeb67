//! The blocks of a store host, written under attempts and made visible by commits.

use super::ReadFault;
use bytes::{Bytes, BytesMut};
use clients::wire::store::{BlockStatus, Commit};
use protocol::ids::WeightVersion;
use std::collections::BTreeMap;

/// TTL of a write without a commit, in milliseconds.
const UNCOMMITTED_TTL_MS: u64 = 60_000;

/// The reasons for which a commit is refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum WriteError {
    /// The name is committed already.
    Committed,
    /// Nothing was written under the attempt, or the bytes do not match the commit.
    Mismatch,
}

/// Uncommitted writes and committed blocks.
#[derive(Default)]
pub(super) struct Blocks {
    writes: BTreeMap<(String, String), Write>,
    committed: BTreeMap<String, Block>,
    now_ms: u64,
    held_bytes: u64,
}

struct Write {
    bytes: Bytes,
    written_at_ms: u64,
}

struct Block {
    bytes: Bytes,
    checksum: String,
    weight_version: WeightVersion,
    expires_at_ms: u64,
}

impl Block {
    fn status(&self, name: &str, now_ms: u64) -> BlockStatus {
        BlockStatus {
            name: name.to_owned(),
            length_bytes: self.bytes.len() as u64,
            checksum: self.checksum.clone(),
            weight_version: self.weight_version.clone(),
            expires_in_ms: self.expires_at_ms.saturating_sub(now_ms),
        }
    }
}

impl Blocks {
    /// Returns how many blocks are committed.
    pub(super) fn committed(&self) -> u64 {
        self.committed.len() as u64
    }

    /// Returns the bytes of all writes and blocks.
    pub(super) fn held_bytes(&self) -> u64 {
        self.held_bytes
    }

    /// Drops expired writes and blocks, and records the time.
    pub(super) fn expire(&mut self, now_ms: u64) {
        self.now_ms = now_ms;
        self.committed.retain(|_, block| block.expires_at_ms > now_ms);
        self.writes.retain(|_, write| write.written_at_ms + UNCOMMITTED_TTL_MS > now_ms);
        self.update_held_bytes();
    }

    fn update_held_bytes(&mut self) {
        let written = self.writes.values().map(|write| write.bytes.len() as u64);
        let committed = self.committed.values().map(|block| block.bytes.len() as u64);
        self.held_bytes = written.chain(committed).sum();
    }

    /// Stores bytes under an attempt; they stay invisible until a commit.
    pub(super) fn write(&mut self, name: &str, attempt: &str, bytes: Bytes) {
        let write = Write { bytes, written_at_ms: self.now_ms };
        self.writes.insert((name.to_owned(), attempt.to_owned()), write);
        self.update_held_bytes();
    }

    /// Makes the bytes of an attempt visible.
    pub(super) fn commit(
        &mut self,
        name: &str,
        commit: &Commit,
        now_ms: u64,
    ) -> Result<BlockStatus, WriteError> {
        if self.committed.contains_key(name) {
            return Err(WriteError::Committed);
        }
        let key = (name.to_owned(), commit.attempt_id.to_string());
        let bytes = self.writes.remove(&key).ok_or(WriteError::Mismatch)?.bytes;
        let checksum = blake3::hash(&bytes).to_hex().to_string();
        if bytes.len() as u64 != commit.length_bytes || checksum != commit.checksum {
            return Err(WriteError::Mismatch);
        }
        let weight_version = commit.weight_version.clone();
        let expires_at_ms = now_ms.saturating_add(commit.expires_in_ms);
        let block = Block { bytes, checksum, weight_version, expires_at_ms };
        let status = block.status(name, now_ms);
        self.committed.insert(name.to_owned(), block);
        Ok(status)
    }

    /// Returns the status of a committed block.
    pub(super) fn status(&self, name: &str, now_ms: u64) -> Option<BlockStatus> {
        self.committed.get(name).map(|block| block.status(name, now_ms))
    }

    /// Extends a block's expiry time; never moves it to an earlier time.
    pub(super) fn extend(
        &mut self,
        name: &str,
        expires_in_ms: u64,
        now_ms: u64,
    ) -> Option<BlockStatus> {
        let block = self.committed.get_mut(name)?;
        block.expires_at_ms = block.expires_at_ms.max(now_ms.saturating_add(expires_in_ms));
        Some(block.status(name, now_ms))
    }

    /// Returns a block's bytes, damaged according to the fault.
    pub(super) fn read(&self, name: &str, fault: ReadFault) -> Option<Bytes> {
        let bytes = self.committed.get(name)?.bytes.clone();
        let half = bytes.len() / 2;
        match fault {
            ReadFault::None => Some(bytes),
            ReadFault::Truncated => Some(bytes.slice(..half)),
            ReadFault::Swapped => Some(self.other_bytes(name).unwrap_or_default()),
            ReadFault::HalfWritten => Some(zero_from(&bytes, half)),
            ReadFault::Zeroed => Some(zero_from(&bytes, 0)),
            ReadFault::Freed => None,
        }
    }

    fn other_bytes(&self, name: &str) -> Option<Bytes> {
        let mut others = self.committed.iter().filter(|(other, _)| other.as_str() != name);
        others.next().map(|(_, block)| block.bytes.clone())
    }
}

fn zero_from(bytes: &Bytes, from: usize) -> Bytes {
    let mut damaged = BytesMut::from(&bytes[..from]);
    damaged.resize(bytes.len(), 0);
    damaged.freeze()
}
