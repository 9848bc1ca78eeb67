//! The bytes of a block, which carry the engine's state after a piece.

use crate::answer::ModelState;
use protocol::ids::{ChainKey, WeightVersion};
use serde::{Deserialize, Serialize};

const LENGTH_BYTES: usize = 4;

/// Holds what a block's bytes say.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct BlockContent {
    /// The piece.
    pub key: ChainKey,
    /// The weight version.
    pub weight_version: WeightVersion,
    /// The tokens of the piece.
    pub tokens: u64,
    /// The length that the block's bytes are filled up to.
    pub length_bytes: usize,
    state: [u8; 16],
}

impl BlockContent {
    /// Describes a piece.
    pub fn new(
        key: ChainKey,
        weight_version: WeightVersion,
        tokens: u64,
        length_bytes: usize,
        state: ModelState,
    ) -> Self {
        Self { key, weight_version, tokens, length_bytes, state: state.to_bytes() }
    }

    /// Returns the state after the piece.
    pub fn state(&self) -> ModelState {
        ModelState::from_bytes(self.state)
    }

    /// Returns the block's bytes: the content, then filler that follows from it.
    pub fn encode(&self) -> Vec<u8> {
        let content = serde_json::to_vec(self).unwrap_or_default();
        let content_bytes = u32::try_from(content.len()).unwrap_or(u32::MAX);
        let mut bytes = content_bytes.to_le_bytes().to_vec();
        bytes.extend_from_slice(&content);
        let filled_from = bytes.len();
        bytes.resize(self.length_bytes.max(filled_from), 0);
        let mut filler = blake3::Hasher::new().update(&content).finalize_xof();
        filler.fill(&mut bytes[filled_from..]);
        bytes
    }

    /// Reads a block's bytes; returns `None` if any byte differs from what was encoded.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let (length, rest) = bytes.split_first_chunk::<LENGTH_BYTES>()?;
        let length = usize::try_from(u32::from_le_bytes(*length)).ok()?;
        let content: Self = serde_json::from_slice(rest.get(..length)?).ok()?;
        let is_whole = content.length_bytes <= bytes.len() && content.encode() == bytes;
        is_whole.then_some(content)
    }
}
