//! The blocks that engines hold in their own memory.
//!
//! Load pattern: a session returns within seconds, while an engine still holds its blocks. That
//! engine needs no transfer, and other engines fetch the blocks over its link, which is far faster
//! than the stores' links.

use crate::blocks::report::{BlockChange, BlockKey, BlockReport};
use std::collections::HashMap;
use std::net::SocketAddr;

/// How long a block counts as held after its report, in milliseconds. An engine's memory turns over
/// within a few seconds, and some reports of evictions are lost.
const RESIDENT_MS: u64 = 6_000;
/// The number of blocks cached per engine above which expired entries are removed. An engine's
/// memory holds a few hundred.
const MAX_BLOCKS: usize = 2_048;

#[derive(Debug, Default)]
struct EngineBlocks {
    boot_epoch: u64,
    /// The tokens of each block, and when the block was reported.
    blocks: HashMap<BlockKey, (u64, u64)>,
}

/// The blocks that engines last reported to hold.
#[derive(Debug, Default)]
pub(super) struct ResidentBlocks {
    engines: HashMap<SocketAddr, EngineBlocks>,
}

impl ResidentBlocks {
    /// Applies a report. A gap before it needs no new listing, because entries expire within
    /// seconds.
    pub(super) fn apply(&mut self, engine: SocketAddr, report: &BlockReport, now_ms: u64) {
        let held = self.engines.entry(engine).or_default();
        if held.boot_epoch != report.boot_epoch {
            *held = EngineBlocks { boot_epoch: report.boot_epoch, blocks: HashMap::new() };
        }
        for change in &report.changes {
            match change {
                BlockChange::Stored(key, tokens) => {
                    held.blocks.insert(key.clone(), (*tokens, now_ms));
                }
                BlockChange::Dropped(key) => {
                    held.blocks.remove(key);
                }
            }
        }
        if held.blocks.len() > MAX_BLOCKS {
            held.blocks.retain(|_, (_, at_ms)| now_ms < *at_ms + RESIDENT_MS);
        }
    }

    /// Discards the entries of an engine that is unreachable.
    pub(super) fn forget(&mut self, engine: SocketAddr) {
        self.engines.remove(&engine);
    }

    /// Returns whether an engine holds a complete block.
    pub(super) fn holds(
        &self,
        engine: SocketAddr,
        key: &BlockKey,
        tokens: u64,
        now_ms: u64,
    ) -> bool {
        let block = self.engines.get(&engine).and_then(|held| held.blocks.get(key));
        block.is_some_and(|(held, at_ms)| *held >= tokens && now_ms < *at_ms + RESIDENT_MS)
    }
}
