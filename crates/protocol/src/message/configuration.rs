//! Messages by which entry hosts relay the configuration in force.

use crate::ids::ConfigVersion;
use serde::{Deserialize, Serialize};

/// The largest encoded [`ConfigRelay`] that is read, in bytes.
pub const MAX_RELAY_BYTES: usize = 4 << 20;

/// Asks for the configuration in force if it is later than what the sender has.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfigRequest {
    /// The version that the sender has; zero for none.
    pub known: ConfigVersion,
}

/// Tells the configuration in force.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfigRelay {
    /// The version.
    pub version: ConfigVersion,
    /// The services text as published; empty if the asker has the version.
    pub text: String,
}
