//! What requests under which servers crashed may have in common.

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use std::fmt;

/// Identifies a request by its content and its caller.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct ContentKey([u8; 8]);

impl ContentKey {
    /// Hashes a path, an organisation and a body.
    pub fn new(path: &str, organisation: &str, body: &[u8]) -> Self {
        Self(hash([path.as_bytes(), organisation.as_bytes()], body))
    }
}

impl fmt::Display for ContentKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

/// A feature of a request that may be the reason why servers crash under it.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Feature(u64);

impl Feature {
    /// Returns the feature of requests with the same content and caller.
    pub const fn content(content: &ContentKey) -> Self {
        Self(u64::from_le_bytes(content.0))
    }
}

/// The features of one request, sorted.
pub type Features = SmallVec<[Feature; 4]>;

/// Hashes fields, each with its length, and the rest.
fn hash(fields: [&[u8]; 2], rest: &[u8]) -> [u8; 8] {
    let mut hasher = blake3::Hasher::new();
    for field in fields {
        hasher.update(&(field.len() as u64).to_le_bytes());
        hasher.update(field);
    }
    hasher.update(rest);
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    bytes
}
