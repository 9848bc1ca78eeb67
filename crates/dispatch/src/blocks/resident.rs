//! The parts that engines hold in their own memory.
//!
//! Load pattern: a session returns within seconds, while an engine still holds its parts. That
//! engine reads them from nowhere, and others fetch them over its link, which is far faster than
//! those of the stores.

use crate::blocks::report::{BlockChange, BlockKey, BlockReport};
use std::collections::HashMap;
use std::net::SocketAddr;

/// How long a part counts as held after its report, in milliseconds. An engine's memory turns over
/// within a few seconds, and some reports of parts that yielded are lost.
const RESIDENT_MS: u64 = 6_000;
/// The parts remembered of one engine at most; its memory holds a few hundred.
const MAX_BLOCKS: usize = 2_048;

#[derive(Debug, Default)]
struct EngineBlocks {
    boot_epoch: u64,
    /// The tokens of each part, and when that was reported.
    blocks: HashMap<BlockKey, (u64, u64)>,
}

/// What engines were last reported to hold.
#[derive(Debug, Default)]
pub(super) struct ResidentBlocks {
    engines: HashMap<SocketAddr, EngineBlocks>,
}

impl ResidentBlocks {
    /// Applies a report. What was lost before it is not missed for long.
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

    /// Forgets an engine that cannot be asked.
    pub(super) fn forget(&mut self, engine: SocketAddr) {
        self.engines.remove(&engine);
    }

    /// Says whether an engine holds a whole part.
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
