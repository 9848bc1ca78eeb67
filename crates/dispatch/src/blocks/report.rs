//! What stores report of the parts that they keep.

use crate::request::SegmentId;
use protocol::ids::{ModelName, OrganisationId};
use serde::{Deserialize, Serialize};
use std::fmt;

/// The text under which engines and stores find parts: parts under different texts never match.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct CacheSalt(String);

impl CacheSalt {
    /// Builds the salt of a model's weight version, with the organisation where it shares nothing.
    pub fn new(model: &ModelName, weight_version: u64, dedicated: Option<&OrganisationId>) -> Self {
        match dedicated {
            None => Self(format!("{weight_version}/{model}")),
            Some(organisation) => Self(format!("{weight_version}/{model}/{organisation}")),
        }
    }

    /// Wraps a salt that a store reported.
    pub fn from_report(text: &str) -> Self {
        Self(text.to_owned())
    }

    /// Says whether the parts were made by weights of a model older than a version.
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

/// Identifies a part under its salt.
pub type BlockKey = (CacheSalt, SegmentId);

/// A change that a store reported.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum BlockChange {
    /// The part is complete with that many tokens.
    Stored(BlockKey, u64),
    /// The part is gone.
    Dropped(BlockKey),
}

/// One answer to a question for a store's changes.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct BlockReport {
    /// Changes at every restart of the store.
    pub boot_epoch: u64,
    /// Whether changes before these were lost.
    pub has_gap: bool,
    /// The changes in order.
    pub changes: Vec<BlockChange>,
}
