//! The encoding of a KV block, which holds the engine's state after a segment.

use crate::answer::ModelState;
use protocol::ids::{ChainKey, WeightVersion};
use serde::{Deserialize, Serialize};

const LENGTH_PREFIX_BYTES: usize = 4;

/// The decoded content of a block.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct BlockContent {
    /// The key of the segment.
    pub key: ChainKey,
    /// The weight version that the block was computed with.
    pub weight_version: WeightVersion,
    /// The number of tokens in the segment.
    pub tokens: u64,
    /// The length to which the encoded block is padded.
    pub length_bytes: usize,
    state: [u8; 16],
}

impl BlockContent {
    /// Creates the content of a segment's block.
    pub fn new(
        key: ChainKey,
        weight_version: WeightVersion,
        tokens: u64,
        length_bytes: usize,
        state: ModelState,
    ) -> Self {
        Self { key, weight_version, tokens, length_bytes, state: state.to_bytes() }
    }

    /// Returns the state after the segment.
    pub fn state(&self) -> ModelState {
        ModelState::from_bytes(self.state)
    }

    /// Encodes the block: the content, then padding that is derived from it.
    pub fn encode(&self) -> Vec<u8> {
        let content = serde_json::to_vec(self).unwrap_or_default();
        let content_bytes = u32::try_from(content.len()).unwrap_or(u32::MAX);
        let mut bytes = content_bytes.to_le_bytes().to_vec();
        bytes.extend_from_slice(&content);
        let padding_start = bytes.len();
        bytes.resize(self.length_bytes.max(padding_start), 0);
        let mut padding = blake3::Hasher::new().update(&content).finalize_xof();
        padding.fill(&mut bytes[padding_start..]);
        bytes
    }

    /// Decodes a block; returns `None` if any byte differs from the encoding of the content.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let (length, rest) = bytes.split_first_chunk::<LENGTH_PREFIX_BYTES>()?;
        let length = usize::try_from(u32::from_le_bytes(*length)).ok()?;
        let content: Self = serde_json::from_slice(rest.get(..length)?).ok()?;
        let is_intact = content.length_bytes <= bytes.len() && content.encode() == bytes;
        is_intact.then_some(content)
    }
}
