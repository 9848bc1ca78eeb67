//! A prompt cut into pieces whose keys chain over organisation, model and weight version.

use protocol::ids::{CHAIN_KEY_BYTES, ChainKey, ModelName, OrganisationId, WeightVersion};
use protocol::size::{TEXT_BYTES_PER_TOKEN, TokenCount};
use serde::{Deserialize, Serialize};
use std::fmt;

/// The length of a whole piece in tokens.
pub const SEGMENT_TOKENS: usize = 2_000;
/// The length of a whole piece in bytes of text, before the cut moves to a character boundary.
pub const SEGMENT_BYTES: usize = SEGMENT_TOKENS * TEXT_BYTES_PER_TOKEN;

const CHAIN_CONTEXT: &str = "camphorward 2026 prefix chain";
const HOME_CONTEXT: &str = "camphorward 2026 home of a prompt";
const SALT_CONTEXT: &str = "camphorward 2026 prefix cache salt";
const HOME_KEY_BYTES: usize = 4;
const SALT_BYTES: usize = 16;

/// Identifies the home of a prompt: a digest of the organisation and the prompt's first piece.
///
/// Every [`ChainKey`] of the prompt starts with it, so the home of a piece is known from the
/// piece's key alone.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct HomeKey([u8; HOME_KEY_BYTES]);

impl HomeKey {
    /// Creates the key for a prompt's first piece, or all of a prompt shorter than that.
    fn new(organisation: &OrganisationId, first_piece: &str) -> Self {
        let key = blake3::derive_key(HOME_CONTEXT, organisation.as_str().as_bytes());
        Self(leading(blake3::keyed_hash(&key, first_piece.as_bytes()).as_bytes()))
    }

    /// Returns the home key of the prompt that a piece belongs to.
    pub fn of_segment(key: &ChainKey) -> Self {
        Self(leading(key.as_bytes()))
    }

    /// Returns the digest.
    pub const fn as_bytes(&self) -> &[u8; HOME_KEY_BYTES] {
        &self.0
    }
}

impl fmt::Display for HomeKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

fn leading(digest: &[u8; CHAIN_KEY_BYTES]) -> [u8; HOME_KEY_BYTES] {
    let mut bytes = [0; HOME_KEY_BYTES];
    bytes.copy_from_slice(&digest[..HOME_KEY_BYTES]);
    bytes
}

/// Marks one whole piece of a prompt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Segment {
    /// The key of the piece and everything before it.
    pub key: ChainKey,
    /// Where the piece ends in the prompt's text, in bytes.
    pub end_byte: usize,
}

/// Holds the keys of one prompt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PrefixChain {
    /// The whole pieces, first piece first.
    pub segments: Vec<Segment>,
    /// The length of the prompt.
    pub prompt_tokens: TokenCount,
    /// The salt that keeps the organisation's entries in an engine's prefix cache apart.
    pub cache_salt: String,
    /// The key whose rendezvous winner among the entry hosts is the prompt's home.
    pub home_key: HomeKey,
}

impl PrefixChain {
    /// Cuts a prompt into pieces and computes their keys.
    pub fn new(
        organisation: &OrganisationId,
        model: &ModelName,
        weight_version: &WeightVersion,
        text: &str,
    ) -> Self {
        let scope = scope(organisation, model, weight_version);
        let home_key = HomeKey::new(organisation, &text[..piece_end(text, 0)]);
        Self {
            segments: cut(&blake3::derive_key(CHAIN_CONTEXT, &scope), home_key, text),
            prompt_tokens: TokenCount::new(text.len().div_ceil(TEXT_BYTES_PER_TOKEN) as u64),
            cache_salt: salt(&scope),
            home_key,
        }
    }

    /// Returns the keys of the whole pieces, first piece first.
    pub fn keys(&self) -> Vec<ChainKey> {
        self.segments.iter().map(|piece| piece.key).collect()
    }
}

/// Returns the write-once name of the block that keeps a piece.
pub fn block_name(key: &ChainKey) -> String {
    format!("kv-{key}")
}

/// Joins the parts that a key depends on, each behind its length so that no two joins are alike.
fn scope(organisation: &OrganisationId, model: &ModelName, version: &WeightVersion) -> Vec<u8> {
    let mut bytes = Vec::new();
    for part in [organisation.as_str(), model.as_str(), version.as_str()] {
        bytes.extend_from_slice(&(part.len() as u64).to_le_bytes());
        bytes.extend_from_slice(part.as_bytes());
    }
    bytes
}

fn salt(scope: &[u8]) -> String {
    let digest = blake3::derive_key(SALT_CONTEXT, scope);
    digest[..SALT_BYTES].iter().map(|byte| format!("{byte:02x}")).collect()
}

fn cut(scope_key: &[u8; CHAIN_KEY_BYTES], home_key: HomeKey, text: &str) -> Vec<Segment> {
    let mut segments = Vec::with_capacity(text.len() / SEGMENT_BYTES);
    let mut previous = *scope_key;
    let mut start = 0;
    while text.len() - start >= SEGMENT_BYTES {
        let end_byte = piece_end(text, start);
        previous = link(scope_key, &previous, &text[start..end_byte]);
        segments.push(Segment { key: tagged(home_key, previous), end_byte });
        start = end_byte;
    }
    segments
}

fn piece_end(text: &str, start: usize) -> usize {
    text.floor_char_boundary(start + SEGMENT_BYTES)
}

fn link(
    scope_key: &[u8; CHAIN_KEY_BYTES],
    previous: &[u8; CHAIN_KEY_BYTES],
    piece: &str,
) -> [u8; CHAIN_KEY_BYTES] {
    let mut hasher = blake3::Hasher::new_keyed(scope_key);
    hasher.update(previous);
    hasher.update(piece.as_bytes());
    *hasher.finalize().as_bytes()
}

fn tagged(home_key: HomeKey, mut digest: [u8; CHAIN_KEY_BYTES]) -> ChainKey {
    digest[..HOME_KEY_BYTES].copy_from_slice(home_key.as_bytes());
    ChainKey::new(digest)
}
