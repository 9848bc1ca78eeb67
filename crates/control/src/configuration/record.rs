//! The records of the two configuration streams.

use protocol::ids::{ConfigVersion, LogOffset};
use serde::{Deserialize, Serialize};

/// The log's stream of configuration records.
pub const CONFIGURATION_STREAM: &str = "configuration";
/// The log's stream of configuration snapshots.
pub const SNAPSHOT_STREAM: &str = "configuration-snapshots";

/// One record of the configuration stream.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ConfigRecord {
    /// The version that the publication is based on.
    pub base: ConfigVersion,
    /// Distinguishes publications of the same text.
    pub publication_id: String,
    /// The services text as written.
    pub text: String,
}

/// The configuration in force as of one offset of the configuration stream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfigSnapshot {
    /// The version in force.
    pub version: ConfigVersion,
    /// The services text in force.
    pub text: String,
    /// The first record of the configuration stream that the snapshot does not cover.
    pub as_of: LogOffset,
}
