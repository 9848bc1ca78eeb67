//! Messages by which entry hosts relay the configuration in force.

use crate::ids::ConfigVersion;
use serde::{Deserialize, Serialize};

/// The maximum size of an encoded [`ConfigRelay`], in bytes.
pub const MAX_RELAY_BYTES: usize = 4 << 20;

/// Requests the configuration in force if it is later than the one of the sender.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfigRequest {
    /// The version in force at the sender; zero for none.
    pub known: ConfigVersion,
}

/// Answers a [`ConfigRequest`] with the configuration in force.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfigRelay {
    /// The version.
    pub version: ConfigVersion,
    /// The services text as published; empty if the requester has this version.
    pub text: String,
}
