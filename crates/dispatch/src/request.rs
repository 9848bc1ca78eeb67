//! What a request asks for, as decisions see it.

use crate::configuration::RouteKind;
use protocol::ids::{ModelName, OrganisationId, ServiceName};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use std::fmt;
use std::str::FromStr;
use thiserror::Error;

/// Identifies a part of a prompt.
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

/// Reports a prompt description that cannot be read.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum PromptError {
    /// An id is not hexadecimal.
    #[error("a part's id is not hexadecimal")]
    SegmentId,
    /// A number of tokens is not a number.
    #[error("a number of tokens is malformed")]
    Tokens,
}

impl FromStr for SegmentId {
    type Err = PromptError;

    fn from_str(text: &str) -> Result<Self, PromptError> {
        u64::from_str_radix(text, 16).map(Self).map_err(|_| PromptError::SegmentId)
    }
}

/// One part of a prompt; all parts before it belong to its identity.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PromptSegment {
    /// The part's id.
    pub id: SegmentId,
    /// Its length in tokens.
    pub tokens: u64,
}

/// Describes a prompt for a model engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Prompt {
    /// The model.
    pub model: ModelName,
    /// The prompt's length in tokens.
    pub input_tokens: u64,
    /// The greatest number of tokens generated.
    pub output_tokens: u64,
    /// The parts in order; the last one belongs to this request alone.
    pub segments: SmallVec<[PromptSegment; 4]>,
}

impl Prompt {
    /// Returns the parts that other requests may share.
    pub fn shared_segments(&self) -> &[PromptSegment] {
        self.segments.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// Returns the memory that the whole run takes, in tokens.
    pub const fn run_tokens(&self) -> u64 {
        self.input_tokens + self.output_tokens
    }
}

/// The engine's rank of the most urgent requests; the one before stays free.
const FIRST_ENGINE_PRIORITY: u8 = 1;
/// The engine's last rank.
const LAST_ENGINE_PRIORITY: u8 = 9;
/// The ranks of routes that are told apart within one rank of callers.
const ROUTE_PRIORITIES: u8 = 3;

/// Describes a request to be placed.
#[derive(Clone, Debug)]
pub struct RequestSpec {
    /// The service that runs it.
    pub service: ServiceName,
    /// What may be repeated.
    pub kind: RouteKind,
    /// The rank of the organisation, or else of the route; zero is the most urgent.
    pub priority: u8,
    /// The rank of the route.
    pub route_priority: u8,
    /// The organisation that asks.
    pub organisation: Option<OrganisationId>,
    /// Whether the organisation shares no kept blocks.
    pub is_dedicated: bool,
    /// The size of the request's body.
    pub body_bytes: usize,
    /// The prompt, for model engines.
    pub prompt: Option<Prompt>,
    /// When the answer is worth less, on the gateway's clock.
    pub objective_at_ms: u64,
    /// When the answer is worth nothing, on the gateway's clock.
    pub deadline_at_ms: u64,
}

impl RequestSpec {
    /// Returns the rank in an engine's queue.
    ///
    /// Load pattern: most organisations share one rank, which goes before the routes' ranks. Quick
    /// questions would then wait behind long prompts, so the route's rank decides within it.
    pub fn engine_priority(&self) -> u8 {
        let route_priority = self.route_priority.min(ROUTE_PRIORITIES - 1);
        let priority =
            self.priority.saturating_mul(ROUTE_PRIORITIES).saturating_add(route_priority);
        priority.saturating_add(FIRST_ENGINE_PRIORITY).min(LAST_ENGINE_PRIORITY)
    }
}
