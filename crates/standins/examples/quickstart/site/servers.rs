//! The servers of a site.

use super::links::Links;
use crate::scenario::{KV_BYTES_PER_TOKEN, PREFILL_RATE, STORE_RATE, Scenario, TOKEN_GAP_MS};
use clients::wire::host_list::HostEntry;
use eyre::Result;
use protocol::ids::{HostName, Incarnation, ServiceName};
use standins::engine::{Engine, EngineConfig};
use standins::order_service::{Ledger, OrderConfig, OrderServer};
use standins::site::ServerEntry;
use standins::store::{StoreConfig, StoreHost};
use standins::weight_store::WeightStore;
use std::net::SocketAddr;
use std::sync::Arc;

const KEEPALIVE_MS: u64 = 200;
const MAX_RUNNING: usize = 8;
/// Number of order servers and of store hosts in each failure domain.
const SERVERS_PER_DOMAIN: usize = 1;

/// A server in its failure domain.
pub struct Placed<T> {
    /// The index of the failure domain.
    pub domain: usize,
    /// The host list entry without an address.
    pub host: ServerEntry<()>,
    /// The server.
    pub server: T,
}

/// Returns the entry of server `number` of a kind in a failure domain.
///
/// # Errors
///
/// Returns an error if the scenario contains a malformed name.
pub fn server_entry(
    scenario: &Scenario,
    domain: usize,
    kind: &str,
    number: usize,
    service: &str,
) -> Result<ServerEntry<()>> {
    let plan = &scenario.domains[domain];
    let host: HostName = format!("{}-{kind}-{number}", plan.name).parse()?;
    let service: ServiceName = service.parse()?;
    Ok(ServerEntry {
        host,
        region: scenario.regions[plan.region].parse()?,
        failure_domain: plan.name.parse()?,
        service,
        config: (),
    })
}

/// Returns the host list entries of servers.
pub fn host_entries<T>(
    servers: &[Placed<T>],
    address: impl Fn(&T) -> SocketAddr,
) -> Vec<HostEntry> {
    let entry =
        |placed: &Placed<T>| placed.host.host_entry(address(&placed.server), Incarnation::new(1));
    servers.iter().map(entry).collect()
}

/// Returns the addresses of servers, with their failure domains.
pub fn addresses<T>(
    servers: &[Placed<T>],
    address: impl Fn(&T) -> SocketAddr,
) -> Vec<(usize, SocketAddr)> {
    servers.iter().map(|placed| (placed.domain, address(&placed.server))).collect()
}

/// Starts the store hosts.
///
/// # Errors
///
/// Returns the error of the first server that cannot be started.
pub async fn start_stores(scenario: &Scenario) -> Result<Vec<Placed<StoreHost>>> {
    let mut stores = Vec::new();
    for domain in 0..scenario.domains.len() {
        for number in 0..SERVERS_PER_DOMAIN {
            let host = server_entry(scenario, domain, "store", number, scenario.store_service)?;
            let server = StoreHost::start(StoreConfig::default()).await?;
            stores.push(Placed { domain, host, server });
        }
    }
    Ok(stores)
}

/// Starts the order servers, which share one ledger.
///
/// # Errors
///
/// Returns the error of the first server that cannot be started.
pub async fn start_order_servers(
    scenario: &Scenario,
    ledger: &Arc<Ledger>,
) -> Result<Vec<Placed<OrderServer>>> {
    let mut servers = Vec::new();
    for domain in 0..scenario.domains.len() {
        for number in 0..SERVERS_PER_DOMAIN {
            let host = server_entry(scenario, domain, "order", number, scenario.order_service)?;
            let server = OrderServer::start(OrderConfig::default(), Arc::clone(ledger)).await?;
            servers.push(Placed { domain, host, server });
        }
    }
    Ok(servers)
}

/// Starts the engines, which reach store hosts over the links.
///
/// # Errors
///
/// Returns the error of the first server that cannot be started.
pub async fn start_engines(
    scenario: &Scenario,
    links: &mut Links,
    stores: &[Placed<StoreHost>],
) -> Result<Vec<Placed<Engine>>> {
    let weight_store = WeightStore::new();
    let targets = addresses(stores, StoreHost::address);
    let mut engines = Vec::new();
    for domain in 0..scenario.domains.len() {
        let address_map = links.address_map(domain, &targets).await?;
        for number in 0..scenario.engines_per_domain {
            let host = server_entry(scenario, domain, "engine", number, scenario.model_service)?;
            let config = EngineConfig {
                address_map: address_map.clone(),
                prefill_rate: PREFILL_RATE,
                token_gap_ms: TOKEN_GAP_MS,
                max_running: MAX_RUNNING,
                cache_size: scenario.engine_cache,
                keepalive_ms: KEEPALIVE_MS,
                kv_bytes_per_token: KV_BYTES_PER_TOKEN,
                full_size_blocks: true,
                import_bytes_per_s: STORE_RATE,
                export_bytes_per_s: STORE_RATE,
                ..EngineConfig::default()
            };
            let server = Engine::start(config, Arc::clone(&weight_store)).await?;
            engines.push(Placed { domain, host, server });
        }
    }
    Ok(engines)
}
