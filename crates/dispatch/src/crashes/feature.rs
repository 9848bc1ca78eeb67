//! What requests under which servers crashed may have in common.

use crate::request::{Prompt, SegmentId};
use protocol::ids::ModelName;
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
        Self(u64::from_le_bytes(content.0) & !SEGMENT_BIT)
    }

    /// Returns the feature of requests whose prompt for a model has the segment.
    pub fn segment(model: &ModelName, segment: &SegmentId) -> Self {
        let fields: [&[u8]; 2] = [SEGMENT_DOMAIN, model.as_str().as_bytes()];
        Self(u64::from_le_bytes(hash(fields, &segment.to_bytes())) | SEGMENT_BIT)
    }

    /// Returns whether this is the feature of a segment.
    pub const fn is_segment(self) -> bool {
        self.0 & SEGMENT_BIT != 0
    }

    /// Returns the features of the shared segments of a prompt, the first [`MAX_SEGMENTS`].
    pub fn segments(prompt: &Prompt) -> impl Iterator<Item = (Self, SegmentId)> {
        let shared = prompt.shared_segments().iter().take(MAX_SEGMENTS);
        shared.map(|segment| (Self::segment(&prompt.model, &segment.id), segment.id))
    }
}

/// The maximum number of segments of a prompt that are considered.
pub const MAX_SEGMENTS: usize = 16;
/// Tells the features of segments from those of contents.
const SEGMENT_BIT: u64 = 1;
/// Keeps the hashes of segments apart from those of contents, whose paths begin with a slash.
const SEGMENT_DOMAIN: &[u8] = b"segment";

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
