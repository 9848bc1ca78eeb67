//! A server's registration, as its record in the store gives it.

use crate::streams::StreamOrigin;
use protocol::ids::{FailureDomain, Incarnation, ModelName, ServiceName};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

/// Identifies a server, by the id that it registers with.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct ServerId(String);

impl ServerId {
    /// Wraps an id.
    pub fn new(id: impl Into<String>) -> Self {
        Self(id.into())
    }

    /// Returns the id as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for ServerId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// The version of a server's software, as opposed to that of the weights it serves. Versions have
/// no order.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct SoftwareVersion(String);

impl SoftwareVersion {
    /// Wraps a version.
    pub fn new(version: impl Into<String>) -> Self {
        Self(version.into())
    }

    /// Returns the version as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for SoftwareVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for SoftwareVersion {
    type Err = Infallible;

    fn from_str(text: &str) -> Result<Self, Infallible> {
        Ok(Self::new(text))
    }
}

/// A server's registration.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ServerEntry {
    /// The server.
    pub id: ServerId,
    /// Its incarnation; a later start has a higher one.
    pub incarnation: Incarnation,
    /// The number of the heartbeat that wrote the entry.
    pub heartbeat: u64,
    /// Its service.
    pub service: ServiceName,
    /// Its address.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// The requests that it runs at once.
    pub slots: u32,
    /// Whether it announced that it is draining.
    pub is_draining: bool,
    /// The weight version of each model that it serves.
    pub weight_versions: BTreeMap<ModelName, u64>,
    /// The version of its software.
    pub software: SoftwareVersion,
}

impl ServerEntry {
    /// Returns the origin of the streams that the server begins.
    pub fn stream_origin(&self) -> StreamOrigin {
        StreamOrigin { service: self.service.clone(), software: self.software.clone() }
    }
}

/// The meaning of one of the store's records for a server.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum ServerRecord {
    /// The server wrote its entry.
    Present(ServerEntry),
    /// The entry was removed, or cannot be parsed and lists no usable server.
    Absent(ServerId),
}
