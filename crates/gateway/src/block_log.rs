//! The latest changes of cached KV blocks, for gateways that follow this one.

use dispatch::blocks::BlockReport;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::net::SocketAddr;

/// The capacity of the log; a follower polls several times a second.
const MAX_ENTRIES: usize = 2_048;

/// A change at a block store or an engine.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum BlockEvent {
    /// A store reported changes.
    Reported(SocketAddr, BlockReport),
    /// A store cannot be queried, or lost its content.
    Forgotten(SocketAddr),
    /// An engine reported changes of its memory.
    EngineReported(SocketAddr, BlockReport),
    /// An engine cannot be queried.
    EngineForgotten(SocketAddr),
}

/// A bounded log of changes, numbered since the start of the process.
#[derive(Debug, Default)]
pub struct BlockLog {
    entries: VecDeque<BlockEvent>,
    /// The number that follows the last change.
    end: u64,
}

impl BlockLog {
    /// Appends a change and drops the oldest one if the log is full.
    pub fn push(&mut self, event: BlockEvent) {
        if self.entries.len() == MAX_ENTRIES {
            self.entries.pop_front();
        }
        self.entries.push_back(event);
        self.end += 1;
    }

    /// Returns the number that follows the last change.
    pub const fn end(&self) -> u64 {
        self.end
    }

    /// Returns the changes from a number on; `None` if the log no longer holds all of them.
    pub fn since(&self, from: u64) -> Option<Vec<BlockEvent>> {
        let first = self.end - self.entries.len() as u64;
        let skip = from.checked_sub(first)?;
        (from <= self.end).then(|| self.entries.iter().skip(skip as usize).cloned().collect())
    }
}
