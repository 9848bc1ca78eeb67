//! The platform's lagging list of live and leaving hosts: `GET /hosts` answers [`HostList`].

use protocol::ids::{FailureDomain, HostName, Incarnation, Region, ServiceName};
use protocol::message::hosts::{self, EntryAddresses, HostRecord, ServerAddress};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Holds the list as of some moment.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct HostList {
    /// The moment, in milliseconds since the epoch.
    pub as_of_ms: u64,
    /// The hosts, in any order.
    pub hosts: Vec<HostEntry>,
}

/// Describes one host.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct HostEntry {
    /// The host's name.
    pub host: HostName,
    /// The host's incarnation.
    pub incarnation: Incarnation,
    /// The host's region.
    pub region: Region,
    /// The host's failure domain.
    pub failure_domain: FailureDomain,
    /// Whether the host is staying.
    pub state: HostState,
    /// What runs on the host.
    #[serde(flatten)]
    pub role: HostRole,
}

/// Says whether a host is staying.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// The host takes work.
    Live,
    /// The host finishes what it has and goes.
    Leaving,
}

/// Says what runs on a host, and where it listens.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(tag = "role", rename_all = "snake_case")]
pub enum HostRole {
    /// An entry host of this system.
    Entry {
        /// Where callers send requests.
        callers: SocketAddr,
        /// Where other entry hosts send messages.
        peers: SocketAddr,
        /// Where operators ask for status.
        operators: SocketAddr,
    },
    /// A server of a service: a model engine, an order server or a store host.
    Server {
        /// The service.
        service: ServiceName,
        /// Where the server listens.
        address: SocketAddr,
    },
}

impl From<HostEntry> for HostRecord {
    fn from(entry: HostEntry) -> Self {
        Self {
            host: entry.host,
            incarnation: entry.incarnation,
            region: entry.region,
            failure_domain: entry.failure_domain,
            leaving: entry.state == HostState::Leaving,
            refutations: 0,
            suspected_at_ms: None,
            role: entry.role.into(),
        }
    }
}

impl From<HostRole> for hosts::HostRole {
    fn from(role: HostRole) -> Self {
        match role {
            HostRole::Entry { callers, peers, operators } => {
                Self::Entry(EntryAddresses { callers, peers, operators })
            }
            HostRole::Server { service, address } => {
                Self::Server(ServerAddress { service, address })
            }
        }
    }
}
