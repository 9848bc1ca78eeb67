//! Reports of the blocks that stores and engines hold.

use crate::blocks::sharing::SharingScope;
use crate::eligibility::AllowedRegions;
use crate::request::SegmentId;
use protocol::ids::{ModelName, Region};
use serde::{Deserialize, Serialize};
use std::fmt;

/// The salt under which engines and stores look up blocks. Blocks under different salts never
/// match.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct CacheSalt(String);

impl CacheSalt {
    /// Builds the salt of a model's weight version. The scope in which blocks are shared is part of
    /// the salt, and so are allowed regions, which the blocks must not leave. Names contain neither
    /// `/` nor `,`, so salts of different requests differ.
    pub fn new(
        model: &ModelName,
        weight_version: u64,
        scope: &SharingScope,
        allowed: &AllowedRegions,
    ) -> Self {
        match (scope, allowed.regions()) {
            (SharingScope::Shared(None), None) => Self(format!("{weight_version}/{model}")),
            (_, None) => Self(format!("{weight_version}/{model}/{scope}")),
            (_, Some(regions)) => {
                let regions: Vec<&str> = regions.iter().map(Region::as_str).collect();
                Self(format!("{weight_version}/{model}/{scope}/{}", regions.join(",")))
            }
        }
    }

    /// Wraps a salt that a store or an engine reported.
    pub fn from_report(text: &str) -> Self {
        Self(text.to_owned())
    }

    /// Returns whether the salt belongs to weights of a model older than a version.
    pub fn is_older(&self, model: &ModelName, weight_version: u64) -> bool {
        let mut fields = self.0.split('/');
        let made = fields.next().and_then(|digits| digits.parse::<u64>().ok());
        made.is_some_and(|made| made < weight_version) && fields.next() == Some(model.as_str())
    }

    /// Returns the salt as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for CacheSalt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Identifies a block by its salt and segment.
pub type BlockKey = (CacheSalt, SegmentId);

/// A change reported by a store or an engine.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum BlockChange {
    /// The holder has the block, with this number of tokens.
    Stored(BlockKey, u64),
    /// The holder no longer has the block.
    Dropped(BlockKey),
}

/// The answer to one query for changes.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct BlockReport {
    /// Differs after every restart of the reporting process.
    pub boot_epoch: u64,
    /// Whether earlier changes are missing from the reports.
    pub has_gap: bool,
    /// The changes, in order.
    pub changes: Vec<BlockChange>,
}
