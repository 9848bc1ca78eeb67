//! Splits prompts into segments with chained keys, scoped by organisation, model and weight
//! version.

use protocol::ids::{CHAIN_KEY_BYTES, ChainKey, ModelName, OrganisationId, WeightVersion};
use protocol::size::{TEXT_BYTES_PER_TOKEN, TokenCount};
use serde::{Deserialize, Serialize};
use std::fmt;

/// The length of a full segment in tokens.
pub const SEGMENT_TOKENS: usize = 2_000;
/// The length of a full segment in bytes of text, before its end moves to a character boundary.
pub const SEGMENT_BYTES: usize = SEGMENT_TOKENS * TEXT_BYTES_PER_TOKEN;

const CHAIN_CONTEXT: &str = "camphorward 2026 prefix chain";
const HOME_CONTEXT: &str = "camphorward 2026 home of a prompt";
const SALT_CONTEXT: &str = "camphorward 2026 prefix cache salt";
const HOME_KEY_BYTES: usize = 4;
const SALT_BYTES: usize = 16;

/// Identifies the home of a prompt: a digest of the organisation and the prompt's first segment.
///
/// Every [`ChainKey`] of the prompt starts with this digest, so the key of a segment is enough to
/// find its home.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct HomeKey([u8; HOME_KEY_BYTES]);

impl HomeKey {
    /// Creates the key from a prompt's first segment, or from the full text of a shorter prompt.
    fn new(organisation: &OrganisationId, first_segment: &str) -> Self {
        let key = blake3::derive_key(HOME_CONTEXT, organisation.as_str().as_bytes());
        Self(home_prefix(blake3::keyed_hash(&key, first_segment.as_bytes()).as_bytes()))
    }

    /// Returns the home key of the prompt that a segment belongs to.
    pub fn of_segment(key: &ChainKey) -> Self {
        Self(home_prefix(key.as_bytes()))
    }

    /// Returns the digest as bytes.
    pub const fn as_bytes(&self) -> &[u8; HOME_KEY_BYTES] {
        &self.0
    }
}

impl fmt::Display for HomeKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

fn home_prefix(digest: &[u8; CHAIN_KEY_BYTES]) -> [u8; HOME_KEY_BYTES] {
    let mut bytes = [0; HOME_KEY_BYTES];
    bytes.copy_from_slice(&digest[..HOME_KEY_BYTES]);
    bytes
}

/// Describes one full segment of a prompt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Segment {
    /// The key of the segment and all segments before it.
    pub key: ChainKey,
    /// The offset of the segment's end in the prompt's text, in bytes.
    pub end_byte: usize,
}

/// Holds the segment keys of one prompt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PrefixChain {
    /// The full segments in prompt order; a shorter remainder has no key.
    pub segments: Vec<Segment>,
    /// The length of the prompt in tokens.
    pub prompt_tokens: TokenCount,
    /// The salt that isolates the organisation's entries in an engine's prefix cache.
    pub cache_salt: String,
    /// The key whose rendezvous winner among the entry hosts is the prompt's home.
    pub home_key: HomeKey,
}

impl PrefixChain {
    /// Splits a prompt into segments and computes their keys.
    pub fn new(
        organisation: &OrganisationId,
        model: &ModelName,
        weight_version: &WeightVersion,
        text: &str,
    ) -> Self {
        let scope = scope(organisation, model, weight_version);
        let home_key = HomeKey::new(organisation, &text[..segment_end(text, 0)]);
        Self {
            segments: split(&blake3::derive_key(CHAIN_CONTEXT, &scope), home_key, text),
            prompt_tokens: TokenCount::new(text.len().div_ceil(TEXT_BYTES_PER_TOKEN) as u64),
            cache_salt: salt(&scope),
            home_key,
        }
    }

    /// Returns the keys of the full segments in prompt order.
    pub fn keys(&self) -> Vec<ChainKey> {
        self.segments.iter().map(|segment| segment.key).collect()
    }
}

/// Returns the write-once name of a segment's block on a store host.
pub fn block_name(key: &ChainKey) -> String {
    format!("kv-{key}")
}

/// Concatenates the names that a key depends on, each prefixed by its length so that different
/// names never give the same bytes.
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

fn split(scope_key: &[u8; CHAIN_KEY_BYTES], home_key: HomeKey, text: &str) -> Vec<Segment> {
    let mut segments = Vec::with_capacity(text.len() / SEGMENT_BYTES);
    let mut previous = *scope_key;
    let mut start = 0;
    while text.len() - start >= SEGMENT_BYTES {
        let end_byte = segment_end(text, start);
        previous = chain_digest(scope_key, &previous, &text[start..end_byte]);
        segments.push(Segment { key: with_home_prefix(home_key, previous), end_byte });
        start = end_byte;
    }
    segments
}

fn segment_end(text: &str, start: usize) -> usize {
    text.floor_char_boundary(start + SEGMENT_BYTES)
}

fn chain_digest(
    scope_key: &[u8; CHAIN_KEY_BYTES],
    previous: &[u8; CHAIN_KEY_BYTES],
    segment: &str,
) -> [u8; CHAIN_KEY_BYTES] {
    let mut hasher = blake3::Hasher::new_keyed(scope_key);
    hasher.update(previous);
    hasher.update(segment.as_bytes());
    *hasher.finalize().as_bytes()
}

fn with_home_prefix(home_key: HomeKey, mut digest: [u8; CHAIN_KEY_BYTES]) -> ChainKey {
    digest[..HOME_KEY_BYTES].copy_from_slice(home_key.as_bytes());
    ChainKey::new(digest)
}
