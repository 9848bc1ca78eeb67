//! The running stand-ins of a site.

use super::{ServerEntry, SiteConfig, SiteError};
use crate::engine::Engine;
use crate::host_list::HostListService;
use crate::log_service::LogService;
use crate::order_service::{Ledger, OrderServer};
use crate::store::StoreHost;
use crate::weight_store::WeightStore;
use clients::wire::host_list::HostEntry;
use protocol::ids::{HostName, Incarnation, ServiceName};
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt::Display;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

/// The running stand-ins of a site.
pub struct Site {
    /// The log.
    pub log: LogService,
    /// The host list.
    pub host_list: HostListService,
    /// The inference engines.
    pub engines: BTreeMap<HostName, Engine>,
    /// The store hosts.
    pub stores: BTreeMap<HostName, StoreHost>,
    /// The order servers.
    pub order_servers: BTreeMap<HostName, OrderServer>,
    /// The orders that the order services executed.
    pub ledgers: BTreeMap<ServiceName, Arc<Ledger>>,
    /// The weight store that the engines share.
    pub weight_store: Arc<WeightStore>,
}

/// The bound addresses of a site.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct SiteAddresses {
    /// The log.
    pub log: SocketAddr,
    /// The host list.
    pub host_list: SocketAddr,
    /// The inference engines.
    pub engines: BTreeMap<HostName, SocketAddr>,
    /// The store hosts.
    pub stores: BTreeMap<HostName, SocketAddr>,
    /// The order servers.
    pub order_servers: BTreeMap<HostName, SocketAddr>,
}

impl Site {
    /// Starts every stand-in; the host list starts last and lists the others at once.
    ///
    /// # Errors
    ///
    /// Returns the error of the first stand-in that cannot bind its address.
    pub async fn start(config: SiteConfig) -> Result<Self, SiteError> {
        let mut hosts: Vec<HostEntry> =
            config.entry_hosts.iter().map(super::EntryHost::host_entry).collect();
        let weight_store = WeightStore::new();
        let mut engines = BTreeMap::new();
        for entry in config.engines {
            let started = Engine::start(entry.config.clone(), Arc::clone(&weight_store)).await;
            let engine = started.map_err(|error| bind_error(&entry.host, error))?;
            hosts.push(entry.host_entry(engine.address(), engine.incarnation()));
            engines.insert(entry.host, engine);
        }
        let mut stores = BTreeMap::new();
        for entry in config.stores {
            let started = StoreHost::start(entry.config.clone()).await;
            let store = started.map_err(|error| bind_error(&entry.host, error))?;
            hosts.push(host_entry(&entry, store.address()));
            stores.insert(entry.host, store);
        }
        let mut ledgers: BTreeMap<ServiceName, Arc<Ledger>> = BTreeMap::new();
        let mut order_servers = BTreeMap::new();
        for entry in config.order_servers {
            let ledger = ledgers.entry(entry.service.clone()).or_default();
            let started = OrderServer::start(entry.config.clone(), Arc::clone(ledger)).await;
            let server = started.map_err(|error| bind_error(&entry.host, error))?;
            hosts.push(host_entry(&entry, server.address()));
            order_servers.insert(entry.host, server);
        }
        let log = LogService::start(config.log).await.map_err(|e| bind_error(&"the log", e))?;
        let host_list = HostListService::start(config.host_list, hosts)
            .await
            .map_err(|error| bind_error(&"the host list", error))?;
        Ok(Self { log, host_list, engines, stores, order_servers, ledgers, weight_store })
    }

    /// Returns the bound addresses.
    pub fn addresses(&self) -> SiteAddresses {
        let engines = self.engines.iter().map(|(host, server)| (host.clone(), server.address()));
        let stores = self.stores.iter().map(|(host, server)| (host.clone(), server.address()));
        let servers =
            self.order_servers.iter().map(|(host, server)| (host.clone(), server.address()));
        SiteAddresses {
            log: self.log.address(),
            host_list: self.host_list.address(),
            engines: engines.collect(),
            stores: stores.collect(),
            order_servers: servers.collect(),
        }
    }
}

/// Returns the host list entry of a server whose incarnation never changes.
fn host_entry<C>(entry: &ServerEntry<C>, address: SocketAddr) -> HostEntry {
    entry.host_entry(address, Incarnation::new(1))
}

fn bind_error(what: &impl Display, error: io::Error) -> SiteError {
    SiteError::Bind { what: what.to_string(), error }
}
