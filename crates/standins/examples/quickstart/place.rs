//! The places of one policy's run: links, stand-ins and daemons.

mod links;
mod services;

use crate::scenario::{
    CALLER_DELAY_MS, KV_BYTES_PER_TOKEN, PREFILL_RATE, STORE_RATE, Scenario, TOKEN_GAP_MS,
};
use camphorwardd::Daemon;
use clients::wire::host_list::HostEntry;
use eyre::Result;
use links::Links;
use protocol::ids::{HostName, Incarnation, ServiceName, WeightVersion};
use protocol::size::ByteCount;
use settings::process::{ListenSettings, PlacementPolicy, PlatformSettings, ProcessSettings};
use standins::engine::{Engine, EngineConfig, EngineCounters};
use standins::host_list::{HostListConfig, HostListService};
use standins::log_service::{LogConfig, LogService};
use standins::order_service::{Ledger, OrderConfig, OrderServer};
use standins::relay::{Link, LinkConfig, Relay};
use standins::site::{EntryHost, ServerEntry};
use standins::store::{StoreConfig, StoreHost};
use standins::weight_store::WeightStore;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

/// The failure domain that the platform's log and host list are in.
const PLATFORM_DOMAIN: usize = 0;
const HOST_LIST_LAG_MS: u64 = 500;
const KEEPALIVE_MS: u64 = 200;
const MAX_RUNNING: usize = 8;
/// The order servers and store hosts of each failure domain.
const SERVERS_PER_DOMAIN: usize = 1;
const START_POLL: Duration = Duration::from_millis(20);
/// How long daemons are given to read the servers' load once they are ready.
const SETTLE: Duration = Duration::from_millis(1_500);

/// Holds a host in its failure domain.
struct Placed<T> {
    domain: usize,
    host: ServerEntry<()>,
    server: T,
}

/// Runs the site of one policy.
pub struct Place {
    engines: Vec<Placed<Engine>>,
    daemons: Vec<Daemon>,
    callers: Vec<(usize, Relay)>,
    links: Links,
    ledger: Arc<Ledger>,
    host_list: HostListService,
    weight_version: WeightVersion,
    // Held so that they go on running.
    _log: LogService,
    _stores: Vec<Placed<StoreHost>>,
    _order_servers: Vec<Placed<OrderServer>>,
}

impl Place {
    /// Starts everything and waits until the daemons take requests.
    ///
    /// # Errors
    ///
    /// Returns what could not be started.
    pub async fn start(scenario: &Scenario, policy: PlacementPolicy) -> Result<Self> {
        let mut links = Links::new(scenario);
        let log = LogService::start(LogConfig::default()).await?;
        let ledger = Ledger::new();
        let stores = start_stores(scenario).await?;
        let order_servers = start_order_servers(scenario, &ledger).await?;
        let engines = start_engines(scenario, &mut links, &stores).await?;
        let entry_hosts = reserve_entry_hosts(scenario)?;

        let mut listed: Vec<HostEntry> = list(&engines, |engine| engine.address());
        listed.extend(list(&stores, StoreHost::address));
        listed.extend(list(&order_servers, OrderServer::address));
        listed.extend(entry_hosts.iter().map(|(_, host)| host.host_entry()));
        let host_list = HostListConfig { lag_ms: HOST_LIST_LAG_MS, ..HostListConfig::default() };
        let host_list = HostListService::start(host_list, listed).await?;

        let mut targets = addresses(&engines, |engine| engine.address());
        targets.extend(addresses(&stores, StoreHost::address));
        targets.extend(addresses(&order_servers, OrderServer::address));
        targets.extend(entry_hosts.iter().map(|(domain, host)| (*domain, host.peers)));
        targets.push((PLATFORM_DOMAIN, log.address()));
        targets.push((PLATFORM_DOMAIN, host_list.address()));
        let platform = PlatformSettings { log: log.address(), host_list: host_list.address() };
        services::publish(scenario, log.address()).await?;

        let caller_link = Link::new(LinkConfig { delay_ms: CALLER_DELAY_MS, bytes_per_s: None });
        let (mut daemons, mut callers) = (Vec::new(), Vec::new());
        for (domain, host) in &entry_hosts {
            let address_map = links.address_map(*domain, &targets).await?;
            let settings = daemon_settings(host, platform.clone(), address_map, policy);
            daemons.push(Daemon::start(settings).await?);
            let region = scenario.domains[*domain].region;
            callers.push((region, Relay::start(Arc::clone(&caller_link), host.callers).await?));
        }
        wait_until_ready(&daemons).await;
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

    /// Returns where callers reach the entry hosts of a region.
    pub fn entry_hosts(&self, region: usize) -> Vec<SocketAddr> {
        let in_region = self.callers.iter().filter(|(of, _)| *of == region);
        in_region.map(|(_, relay)| relay.address()).collect()
    }

    /// Returns the weight version of the engines.
    pub fn weight_version(&self) -> WeightVersion {
        self.weight_version.clone()
    }

    /// Kills one engine and starts it again after a while.
    ///
    /// # Errors
    ///
    /// Returns the error of binding the engine's address again.
    pub async fn kill_engine(&self, index: usize, down: Duration) -> Result<()> {
        let Some(engine) = self.engines.get(index) else {
            return Ok(());
        };
        engine.server.kill();
        tokio::time::sleep(down).await;
        engine.server.restart().await?;
        let incarnation = engine.server.incarnation();
        self.host_list.put(engine.host.host_entry(engine.server.address(), incarnation));
        Ok(())
    }

    /// Returns the counters of all engines together: prompt tokens, and those not recomputed.
    pub fn prompt_tokens(&self) -> (u64, u64) {
        let counters = self.engines.iter().map(|engine| engine.server.counters());
        counters.fold((0, 0), |(prompt, cached), counters: EngineCounters| {
            (prompt + counters.prompt_tokens, cached + counters.cached_tokens)
        })
    }

    /// Returns the bytes that crossed between the regions, both ways.
    pub fn inter_region_bytes(&self) -> ByteCount {
        self.links.inter_region_bytes()
    }

    /// Returns how often each order was executed.
    pub fn executions(&self) -> BTreeMap<String, u64> {
        self.ledger.executions_by_key()
    }

    /// Returns the sum of the daemons' counters whose names start with a prefix.
    pub fn count(&self, prefix: &str) -> u64 {
        let of_daemon = |daemon: &Daemon| {
            let counters = daemon.counters().into_iter();
            counters
                .filter(|(name, _)| name.starts_with(prefix))
                .map(|(_, count)| count)
                .sum::<u64>()
        };
        self.daemons.iter().map(of_daemon).sum()
    }

    /// Writes the counters that are not zero to the log, for a closer look.
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

async fn wait_until_ready(daemons: &[Daemon]) {
    while !daemons.iter().all(Daemon::is_ready) {
        tokio::time::sleep(START_POLL).await;
    }
    tokio::time::sleep(SETTLE).await;
}

fn daemon_settings(
    host: &EntryHost,
    platform: PlatformSettings,
    address_map: BTreeMap<SocketAddr, SocketAddr>,
    policy: PlacementPolicy,
) -> ProcessSettings {
    let EntryHost { callers, peers, operators, .. } = *host;
    ProcessSettings {
        host: host.host.clone(),
        failure_domain: host.failure_domain.clone(),
        region: host.region.clone(),
        listen: ListenSettings { callers, peers, operators },
        platform,
        seed_peers: Vec::new(),
        address_map,
        limits: settings::process::LimitSettings::default(),
        drain: settings::process::DrainSettings::default(),
        policy,
        log_level: settings::process::LogLevel::Off,
        statsd: None,
    }
}

/// Reserves three free ports for each entry host, since peers list their addresses to each other.
fn reserve_entry_hosts(scenario: &Scenario) -> Result<Vec<(usize, EntryHost)>> {
    let mut hosts = Vec::new();
    for (domain, plan) in scenario.domains.iter().enumerate() {
        for number in 0..plan.entry_hosts {
            let entry = host_entry(scenario, domain, "entry", number, "entry")?;
            let host = EntryHost {
                host: entry.host,
                incarnation: Incarnation::new(1),
                region: entry.region,
                failure_domain: entry.failure_domain,
                callers: free_address()?,
                peers: free_address()?,
                operators: free_address()?,
            };
            hosts.push((domain, host));
        }
    }
    Ok(hosts)
}

/// Finds a free port at an address of this process alone, where no outgoing connection takes it.
fn free_address() -> Result<SocketAddr> {
    const NETWORK: [u8; 2] = [127, 77];
    let [.., high, low] = std::process::id().to_be_bytes();
    let own = Ipv4Addr::new(NETWORK[0], NETWORK[1], high, low);
    Ok(std::net::TcpListener::bind((own, 0))?.local_addr()?)
}

/// Describes the server `number` of a kind in a failure domain.
fn host_entry(
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

fn list<T>(servers: &[Placed<T>], address: impl Fn(&T) -> SocketAddr) -> Vec<HostEntry> {
    let entry =
        |placed: &Placed<T>| placed.host.host_entry(address(&placed.server), Incarnation::new(1));
    servers.iter().map(entry).collect()
}

fn addresses<T>(
    servers: &[Placed<T>],
    address: impl Fn(&T) -> SocketAddr,
) -> Vec<(usize, SocketAddr)> {
    servers.iter().map(|placed| (placed.domain, address(&placed.server))).collect()
}

async fn start_stores(scenario: &Scenario) -> Result<Vec<Placed<StoreHost>>> {
    let mut stores = Vec::new();
    for domain in 0..scenario.domains.len() {
        for number in 0..SERVERS_PER_DOMAIN {
            let host = host_entry(scenario, domain, "store", number, scenario.store_service)?;
            let server = StoreHost::start(StoreConfig::default()).await?;
            stores.push(Placed { domain, host, server });
        }
    }
    Ok(stores)
}

async fn start_order_servers(
    scenario: &Scenario,
    ledger: &Arc<Ledger>,
) -> Result<Vec<Placed<OrderServer>>> {
    let mut servers = Vec::new();
    for domain in 0..scenario.domains.len() {
        for number in 0..SERVERS_PER_DOMAIN {
            let host = host_entry(scenario, domain, "order", number, scenario.order_service)?;
            let server = OrderServer::start(OrderConfig::default(), Arc::clone(ledger)).await?;
            servers.push(Placed { domain, host, server });
        }
    }
    Ok(servers)
}

async fn start_engines(
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
            let host = host_entry(scenario, domain, "engine", number, scenario.model_service)?;
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
