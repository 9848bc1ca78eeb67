//! The host records that entry hosts exchange.

use crate::ids::{FailureDomain, HostName, Incarnation, Region, ServiceName};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Describes one incarnation of a host, and whether it is suspected or leaving.
///
/// A host is identified by its name and incarnation together.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HostRecord {
    /// The host's name.
    pub host: HostName,
    /// The host's incarnation.
    pub incarnation: Incarnation,
    /// The host's region.
    pub region: Region,
    /// The host's failure domain.
    pub failure_domain: FailureDomain,
    /// Whether any source has reported that this incarnation is leaving.
    pub leaving: bool,
    /// The number of times that suspicion of this incarnation was refuted.
    pub refutations: u32,
    /// The time at which the host became suspected, in milliseconds since the epoch; `None` if it
    /// is not suspected.
    pub suspected_at_ms: Option<u64>,
    /// What runs on the host.
    pub role: HostRole,
}

/// What runs on a host, and where it listens.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum HostRole {
    /// An entry host of this system.
    Entry(EntryAddresses),
    /// A server of a service.
    Server(ServerAddress),
}

/// The listeners of an entry host.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EntryAddresses {
    /// Where callers send requests.
    pub callers: SocketAddr,
    /// Where other entry hosts send messages.
    pub peers: SocketAddr,
    /// Where operators query the status.
    pub operators: SocketAddr,
}

/// The service and the listener of a server.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServerAddress {
    /// The service.
    pub service: ServiceName,
    /// Where the server listens.
    pub address: SocketAddr,
}

impl HostRole {
    /// Returns the address that only one live host can hold.
    pub const fn address(&self) -> SocketAddr {
        match self {
            Self::Entry(entry) => entry.peers,
            Self::Server(server) => server.address,
        }
    }

    /// Returns whether this is an entry host.
    pub const fn is_entry(&self) -> bool {
        matches!(self, Self::Entry(_))
    }
}
