//! The latest changes of kept blocks, for gateways that follow this one.

use dispatch::blocks::BlockReport;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::net::SocketAddr;

/// The changes kept at most; a follower asks several times a second.
const MAX_ENTRIES: usize = 2_048;

/// What happened at a store or an engine.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum BlockEvent {
    /// It reported changes.
    Reported(SocketAddr, BlockReport),
    /// It cannot be asked, or lost its content.
    Forgotten(SocketAddr),
    /// An engine reported changes of its memory.
    EngineReported(SocketAddr, BlockReport),
    /// An engine cannot be asked.
    EngineForgotten(SocketAddr),
}

/// Numbers the changes since the start.
#[derive(Debug, Default)]
pub struct BlockLog {
    entries: VecDeque<BlockEvent>,
    /// The number after the last change.
    end: u64,
}

impl BlockLog {
    /// Adds a change.
    pub fn push(&mut self, event: BlockEvent) {
        if self.entries.len() == MAX_ENTRIES {
            self.entries.pop_front();
        }
        self.entries.push_back(event);
        self.end += 1;
    }

    /// Returns the number after the last change.
    pub const fn end(&self) -> u64 {
        self.end
    }

    /// Returns the changes from a number on; `None` if some are no longer kept.
    pub fn since(&self, from: u64) -> Option<Vec<BlockEvent>> {
        let first = self.end - self.entries.len() as u64;
        let skip = from.checked_sub(first)?;
        (from <= self.end).then(|| self.entries.iter().skip(skip as usize).cloned().collect())
    }
}
