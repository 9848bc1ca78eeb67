//! The platform's list of live and leaving hosts, which lags: `GET /hosts` answers [`HostList`].

use protocol::ids::{FailureDomain, HostName, Incarnation, Region, ServiceName};
use protocol::message::hosts::{self, EntryAddresses, HostRecord, ServerAddress};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The list as of a point in time.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct HostList {
    /// The time, in milliseconds since the epoch.
    pub as_of_ms: u64,
    /// The hosts, in any order.
    pub hosts: Vec<HostEntry>,
}

/// One host.
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
    /// Whether the host is live or leaving.
    pub state: HostState,
    /// The role of the host.
    #[serde(flatten)]
    pub role: HostRole,
}

/// Whether a host is live or leaving.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// The host accepts requests.
    Live,
    /// The host finishes its in-flight requests and shuts down.
    Leaving,
}

/// The role of a host, with its listen addresses.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(tag = "role", rename_all = "snake_case")]
pub enum HostRole {
    /// An entry host of this system.
    Entry {
        /// The address for requests of callers.
        callers: SocketAddr,
        /// The address for messages of other entry hosts.
        peers: SocketAddr,
        /// The address for status requests of operators.
        operators: SocketAddr,
    },
    /// A server of a service: an inference engine, an order server or a store host.
    Server {
        /// The service.
        service: ServiceName,
        /// The listen address.
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
