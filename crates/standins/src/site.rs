//! A site of stand-ins, configured by a file in JSON with comments.

mod running;

pub use running::{Site, SiteAddresses};

use crate::engine::EngineConfig;
use crate::host_list::HostListConfig;
use crate::log_service::LogConfig;
use crate::order_service::OrderConfig;
use crate::store::StoreConfig;
use clients::wire::host_list::{HostEntry, HostRole, HostState};
use jsonc_parser::ParseOptions;
use protocol::ids::{FailureDomain, HostName, Incarnation, Region, ServiceName};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use thiserror::Error;

/// The configuration of all stand-ins of a site.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct SiteConfig {
    /// The log.
    pub log: LogConfig,
    /// The host list.
    pub host_list: HostListConfig,
    /// The inference engines.
    pub engines: Vec<ServerEntry<EngineConfig>>,
    /// The store hosts.
    pub stores: Vec<ServerEntry<StoreConfig>>,
    /// The order servers.
    pub order_servers: Vec<ServerEntry<OrderConfig>>,
    /// The entry hosts for the host list; their daemons are started separately from the site.
    pub entry_hosts: Vec<EntryHost>,
}

/// A server of a service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServerEntry<C> {
    /// The host's name.
    pub host: HostName,
    /// The host's region.
    pub region: Region,
    /// The host's failure domain.
    pub failure_domain: FailureDomain,
    /// The service.
    pub service: ServiceName,
    /// The server's own settings.
    pub config: C,
}

/// An entry host.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct EntryHost {
    /// The host's name.
    pub host: HostName,
    /// The host's incarnation.
    #[serde(default)]
    pub incarnation: Incarnation,
    /// The host's region.
    pub region: Region,
    /// The host's failure domain.
    pub failure_domain: FailureDomain,
    /// The address for requests of callers.
    pub callers: SocketAddr,
    /// The address for messages of other entry hosts.
    pub peers: SocketAddr,
    /// The address for status requests of operators.
    pub operators: SocketAddr,
}

/// The reasons for which a site file is rejected or a site cannot be started.
#[derive(Debug, Error)]
pub enum SiteError {
    /// The text is not JSON with comments.
    #[error("the site file is not JSON with comments: {0}")]
    Syntax(String),
    /// A field is missing, unknown or malformed.
    #[error("the site file does not describe a site: {0}")]
    Content(#[from] serde_json::Error),
    /// A stand-in could not bind its address.
    #[error("{what} could not bind its address: {error}")]
    Bind {
        /// The stand-in.
        what: String,
        /// The cause.
        error: std::io::Error,
    },
}

impl SiteConfig {
    /// Parses the text of a site file.
    ///
    /// # Errors
    ///
    /// Returns a [`SiteError`] for text that is not JSON with comments or has invalid content.
    pub fn parse(text: &str) -> Result<Self, SiteError> {
        let value = jsonc_parser::parse_to_serde_value(text, &ParseOptions::default())
            .map_err(|error| SiteError::Syntax(error.to_string()))?
            .ok_or_else(|| SiteError::Syntax("the text is empty".to_owned()))?;
        Ok(serde_json::from_value(value)?)
    }
}

impl<C> ServerEntry<C> {
    /// Returns the entry for the host list.
    pub fn host_entry(&self, address: SocketAddr, incarnation: Incarnation) -> HostEntry {
        HostEntry {
            host: self.host.clone(),
            incarnation,
            region: self.region.clone(),
            failure_domain: self.failure_domain.clone(),
            state: HostState::Live,
            role: HostRole::Server { service: self.service.clone(), address },
        }
    }
}

impl EntryHost {
    /// Returns the entry for the host list.
    pub fn host_entry(&self) -> HostEntry {
        HostEntry {
            host: self.host.clone(),
            incarnation: self.incarnation,
            region: self.region.clone(),
            failure_domain: self.failure_domain.clone(),
            state: HostState::Live,
            role: HostRole::Entry {
                callers: self.callers,
                peers: self.peers,
                operators: self.operators,
            },
        }
    }
}
