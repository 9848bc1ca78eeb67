//! The site of one policy: links, stand-ins and daemons.

mod entry_hosts;
mod links;
mod servers;
mod services;

use crate::scenario::{CALLER_DELAY_MS, Scenario};
use camphorwardd::Daemon;
use clients::wire::host_list::HostEntry;
use eyre::{Result, bail};
use links::Links;
use protocol::ids::WeightVersion;
use protocol::size::ByteCount;
use servers::{Placed, addresses, host_entries, start_engines, start_order_servers, start_stores};
use settings::process::{PlacementPolicy, PlatformSettings};
use standins::engine::{Engine, EngineConfig, EngineCounters};
use standins::host_list::{HostListConfig, HostListService};
use standins::log_service::{LogConfig, LogService};
use standins::order_service::{Ledger, OrderServer};
use standins::relay::{Link, LinkConfig, Relay};
use standins::store::StoreHost;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Index of the failure domain with the platform's log and host list.
const PLATFORM_DOMAIN: usize = 0;
const HOST_LIST_LAG_MS: u64 = 500;
/// Time limit for all daemons to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(15);
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time that ready daemons have to read the servers' load before requests start.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);

/// The running site of one policy.
pub struct PolicySite {
    engines: Vec<Placed<Engine>>,
    daemons: Vec<Daemon>,
    callers: Vec<(usize, Relay)>,
    links: Links,
    ledger: Arc<Ledger>,
    host_list: HostListService,
    weight_version: WeightVersion,
    // Held to keep them running.
    _log: LogService,
    _stores: Vec<Placed<StoreHost>>,
    _order_servers: Vec<Placed<OrderServer>>,
}

impl PolicySite {
    /// Starts everything and waits until the daemons accept requests.
    ///
    /// # Errors
    ///
    /// Returns an error if a part cannot be started or a daemon is not ready in time.
    pub async fn start(scenario: &Scenario, policy: PlacementPolicy) -> Result<Self> {
        let mut links = Links::new(scenario);
        let log = LogService::start(LogConfig::default()).await?;
        let ledger = Ledger::new();
        let stores = start_stores(scenario).await?;
        let order_servers = start_order_servers(scenario, &ledger).await?;
        let engines = start_engines(scenario, &mut links, &stores).await?;
        let entry_hosts = entry_hosts::reserve(scenario)?;

        let mut listed: Vec<HostEntry> = host_entries(&engines, |engine| engine.address());
        listed.extend(host_entries(&stores, StoreHost::address));
        listed.extend(host_entries(&order_servers, OrderServer::address));
        listed.extend(entry_hosts.iter().map(|(_, host)| host.host_entry()));
        let host_list = HostListConfig { lag_ms: HOST_LIST_LAG_MS, ..HostListConfig::default() };
        let host_list = HostListService::start(host_list, listed).await?;

        let mut targets = addresses(&engines, |engine| engine.address());
        targets.extend(addresses(&stores, StoreHost::address));
        targets.extend(addresses(&order_servers, OrderServer::address));
        targets.extend(entry_hosts.iter().map(|(domain, host)| (*domain, host.peers)));
        targets.push((PLATFORM_DOMAIN, log.address()));
        targets.push((PLATFORM_DOMAIN, host_list.address()));
        let platform = PlatformSettings::new(log.address(), host_list.address());
        services::publish(scenario, log.address()).await?;

        let caller_link = Link::new(LinkConfig { delay_ms: CALLER_DELAY_MS, bytes_per_s: None });
        let (mut daemons, mut callers) = (Vec::new(), Vec::new());
        for (domain, host) in &entry_hosts {
            let address_map = links.address_map(*domain, &targets).await?;
            let settings =
                entry_hosts::daemon_settings(host, platform.clone(), address_map, policy);
            daemons.push(Daemon::start(settings).await?);
            let region = scenario.domains[*domain].region;
            callers.push((region, Relay::start(Arc::clone(&caller_link), host.callers).await?));
        }
        wait_until_ready(&daemons).await?;
        Ok(Self {
            engines,
            daemons,
            callers,
            links,
            ledger,
            host_list,
            weight_version: EngineConfig::default().weight_version,
            _log: log,
            _stores: stores,
            _order_servers: order_servers,
        })
    }

    /// Returns the addresses under which callers reach the entry hosts of a region.
    pub fn entry_hosts(&self, region: usize) -> Vec<SocketAddr> {
        let in_region = self.callers.iter().filter(|(caller_region, _)| *caller_region == region);
        in_region.map(|(_, relay)| relay.address()).collect()
    }

    /// Returns the weight version of the engines.
    pub fn weight_version(&self) -> WeightVersion {
        self.weight_version.clone()
    }

    /// Kills one engine and restarts it after `downtime`.
    ///
    /// # Errors
    ///
    /// Returns the error of binding the engine's address again.
    pub async fn kill_engine(&self, index: usize, downtime: Duration) -> Result<()> {
        let Some(engine) = self.engines.get(index) else {
            return Ok(());
        };
        engine.server.kill();
        tokio::time::sleep(downtime).await;
        engine.server.restart().await?;
        let incarnation = engine.server.incarnation();
        self.host_list.put(engine.host.host_entry(engine.server.address(), incarnation));
        Ok(())
    }

    /// Returns the sums over all engines of the prompt tokens and of those that were cached.
    pub fn prompt_tokens(&self) -> (u64, u64) {
        let counters = self.engines.iter().map(|engine| engine.server.counters());
        counters.fold((0, 0), |(prompt, cached), counters: EngineCounters| {
            (prompt + counters.prompt_tokens, cached + counters.cached_tokens)
        })
    }

    /// Returns the bytes sent between the regions, in both directions.
    pub fn inter_region_bytes(&self) -> ByteCount {
        self.links.inter_region_bytes()
    }

    /// Returns the number of executions of each order.
    pub fn executions(&self) -> BTreeMap<String, u64> {
        self.ledger.executions_by_key()
    }

    /// Returns the sum of the daemons' counters whose names start with a prefix.
    pub fn count(&self, prefix: &str) -> u64 {
        let daemon_count = |daemon: &Daemon| {
            let counters = daemon.counters().into_iter();
            counters
                .filter(|(name, _)| name.starts_with(prefix))
                .map(|(_, count)| count)
                .sum::<u64>()
        };
        self.daemons.iter().map(daemon_count).sum()
    }

    /// Writes all non-zero counters to the log.
    pub fn log_counters(&self, policy: &str) {
        let mut sums: BTreeMap<String, u64> = BTreeMap::new();
        for (name, count) in self.daemons.iter().flat_map(Daemon::counters) {
            *sums.entry(name).or_default() += count;
        }
        sums.retain(|_, count| *count > 0);
        log::info!("{policy}: counters {sums:?}");
        for engine in &self.engines {
            log::info!("{policy}: {} {:?}", engine.host.host, engine.server.counters());
        }
    }
}

async fn wait_until_ready(daemons: &[Daemon]) -> Result<()> {
    let deadline = Instant::now() + READY_TIMEOUT;
    while !daemons.iter().all(Daemon::is_ready) {
        if Instant::now() >= deadline {
            bail!("a daemon was not ready after {} s", READY_TIMEOUT.as_secs());
        }
        tokio::time::sleep(READY_POLL_INTERVAL).await;
    }
    tokio::time::sleep(SETTLE_TIME).await;
    Ok(())
}
