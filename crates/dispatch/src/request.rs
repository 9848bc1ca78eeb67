//! The requirements of a request that the decisions depend on.

use crate::configuration::RouteKind;
use crate::limits::Urgency;
use protocol::ids::{ModelName, OrganisationId, ServiceName};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use std::fmt;
use std::str::FromStr;
use thiserror::Error;

/// Identifies a segment of a prompt.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SegmentId(u64);

impl SegmentId {
    /// Wraps an id.
    pub const fn new(id: u64) -> Self {
        Self(id)
    }

    /// Returns the id's bytes, for hashing.
    pub const fn to_bytes(self) -> [u8; 8] {
        self.0.to_le_bytes()
    }
}

impl fmt::Display for SegmentId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}", self.0)
    }
}

/// A prompt description that cannot be parsed.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum PromptError {
    /// An id is not hexadecimal.
    #[error("prompt segment id is not hexadecimal")]
    SegmentId,
    /// A token count is not a number.
    #[error("token count is not a number")]
    Tokens,
}

impl FromStr for SegmentId {
    type Err = PromptError;

    fn from_str(text: &str) -> Result<Self, PromptError> {
        u64::from_str_radix(text, 16).map(Self).map_err(|_| PromptError::SegmentId)
    }
}

/// One segment of a prompt. Its identity includes all segments before it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PromptSegment {
    /// The segment's id.
    pub id: SegmentId,
    /// Its length in tokens.
    pub tokens: u64,
}

/// Describes a prompt for an inference engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Prompt {
    /// The model.
    pub model: ModelName,
    /// The prompt's length in tokens.
    pub input_tokens: u64,
    /// The maximum number of generated tokens.
    pub output_tokens: u64,
    /// The segments in order; the last one belongs to this request alone.
    pub segments: SmallVec<[PromptSegment; 4]>,
}

impl Prompt {
    /// Returns the segments that other requests may share.
    pub fn shared_segments(&self) -> &[PromptSegment] {
        self.segments.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// Returns the memory that the request takes at most, in tokens.
    pub const fn run_tokens(&self) -> u64 {
        self.input_tokens + self.output_tokens
    }
}

/// The engine priority of the most urgent requests. Priority 0 stays unused.
const FIRST_ENGINE_PRIORITY: u8 = 1;
/// The lowest engine priority.
const LAST_ENGINE_PRIORITY: u8 = 9;
/// The number of route priorities that are distinguished within one caller priority.
const ROUTE_PRIORITIES: u8 = 3;

/// The requirements of a request to be placed.
#[derive(Clone, Debug)]
pub struct RequestSpec {
    /// The service that runs it.
    pub service: ServiceName,
    /// Whether it may be retried.
    pub kind: RouteKind,
    /// The priority of the organisation, or of the route if the organisation has none; zero is the
    /// most urgent.
    pub priority: u8,
    /// The priority of the route.
    pub route_priority: u8,
    /// The calling organisation.
    pub organisation: Option<OrganisationId>,
    /// The size of the request's body.
    pub body_bytes: usize,
    /// The prompt, for inference engines.
    pub prompt: Option<Prompt>,
    /// When the answer loses part of its value, on the gateway's clock.
    pub objective_at_ms: u64,
    /// When the answer loses all of its value, on the gateway's clock.
    pub deadline_at_ms: u64,
}

impl RequestSpec {
    /// Returns the urgency among requests that a limited server cannot all take.
    pub fn urgency(&self) -> Urgency {
        Urgency::new(self.priority)
    }

    /// Returns the priority in an engine's queue.
    ///
    /// Load pattern: most organisations share one priority, which overrides the routes' priorities.
    /// Short prompts would then wait behind long ones, so the route's priority decides among
    /// requests of equal priority.
    pub fn engine_priority(&self) -> u8 {
        let route_priority = self.route_priority.min(ROUTE_PRIORITIES - 1);
        let priority =
            self.priority.saturating_mul(ROUTE_PRIORITIES).saturating_add(route_priority);
        priority.saturating_add(FIRST_ENGINE_PRIORITY).min(LAST_ENGINE_PRIORITY)
    }
}
