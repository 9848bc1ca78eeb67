//! Limits that servers name for all gateways together, kept by grants.
//!
//! Load pattern: a server takes less than one request a second, and dozens of gateways have requests
//! for it. One gateway, the holder, grants each send to it; see `docs/design/limits.md`.

mod asks;
mod cold;
mod grants;
mod listings;

pub use crate::limits::asks::{Asks, holders};
pub use crate::limits::cold::{ColdLimit, HolderRole};
pub use crate::limits::grants::{BucketShape, Grant, GrantTable, MAX_RETRY_MS};
pub use crate::limits::listings::Listings;
pub use protocol::tags::OrganisationTag;

use serde::{Deserialize, Serialize};

/// How long a grant may be used after it was asked for, in milliseconds.
pub const GRANT_TTL_MS: u64 = 250;

/// The urgency of a request among those that a limited server cannot all take; the lowest goes
/// first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Urgency(u8);

impl Urgency {
    /// The number of levels.
    pub const LEVELS: usize = 3;

    /// Returns the urgency of a request's priority.
    pub fn new(priority: u8) -> Self {
        Self(priority.min(Self::LEVELS as u8 - 1))
    }

    /// Returns the level, below [`Urgency::LEVELS`].
    pub fn level(self) -> usize {
        usize::from(self.0).min(Self::LEVELS - 1)
    }
}
