//! State that all parts of a gateway share.

use crate::block_log::{BlockEvent, BlockLog};
use crate::clock::{self, Clock};
use crate::gateways::{Gateways, Source};
use crate::metrics::Metrics;
use crate::peers::News;
use crate::pool::Pool;
use crate::settings::GatewaySettings;
use dispatch::blocks::BlockIndex;
use dispatch::choice::GatewayContext;
use dispatch::configuration::Configuration;
use dispatch::crashes::Crashes;
use dispatch::load::Loads;
use dispatch::registry::Registry;
use dispatch::retry_share::{BudgetBounds, RetryShare};
use dispatch::rollout::TargetVersions;
use dispatch::routes::RouteTable;
use dispatch::waiting::WaitQueue;
use protocol::ids::ModelName;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::Notify;

/// The age of what is known of the store up to which kept parts are fetched, in milliseconds.
/// Longer than most outages of the store, short against the time that freed memory is missed.
pub const FETCH_KNOWLEDGE_MS: u64 = 6_000;
/// The time after the start in which weights may have been named before it, in milliseconds.
const START_MS: u64 = 2_500;
/// How long before the start such weights count as named, in milliseconds, until the steward's
/// record tells.
const BEFORE_START_MS: u64 = 5_000;

/// The configuration in force with what is derived from it.
#[derive(Debug)]
pub struct InForce {
    /// The configuration.
    pub configuration: Configuration,
    /// Its routes by host.
    pub routes: RouteTable,
    /// The record's bytes, for peers that cannot read the store.
    pub record: Vec<u8>,
}

impl InForce {
    /// Derives what a configuration needs to serve.
    pub fn new(configuration: Configuration, record: Vec<u8>) -> Self {
        let routes = RouteTable::new(&configuration);
        Self { configuration, routes, record }
    }
}

/// Everything that decisions read and change.
#[derive(Debug)]
pub struct RoutingState {
    /// The servers.
    pub registry: Registry,
    /// Their loads.
    pub loads: Loads,
    /// What may be sent again.
    pub retry_share: RetryShare,
    /// Requests that crash servers.
    pub crashes: Crashes,
    /// What the stores keep.
    pub blocks: BlockIndex,
    /// The weights named for each model.
    pub weights: BTreeMap<ModelName, TargetVersions>,
    /// The latest changes of what the stores keep.
    pub block_log: BlockLog,
    /// The gateways.
    pub gateways: Gateways,
    /// The prompts that wait for room.
    pub wait_queue: WaitQueue,
}

impl RoutingState {
    /// Returns the newest weight versions without their times.
    pub fn named_versions(&self) -> BTreeMap<ModelName, u64> {
        let newest = |named: &TargetVersions| named.newest().unwrap_or(0);
        self.weights.iter().map(|(model, named)| (model.clone(), newest(named))).collect()
    }

    /// Notes weights that were named; says whether they are newer than all before. What was named
    /// before the first read counts as named some time ago.
    pub fn note_weights(&mut self, model: ModelName, version: u64, now_ms: u64) -> bool {
        let before_ms = if now_ms < clock::START_MS + START_MS { BEFORE_START_MS } else { 0 };
        let since_ms = now_ms.saturating_sub(before_ms);
        self.weights.entry(model).or_default().add(version, since_ms)
    }

    /// Applies what happened at a store of kept blocks or an engine; says whether the store must be
    /// listed anew.
    pub fn apply_blocks(&mut self, event: BlockEvent, now_ms: u64) -> bool {
        let must_list = match &event {
            BlockEvent::Reported(store, report) => self.blocks.apply(*store, report),
            BlockEvent::Forgotten(store) => {
                self.blocks.forget_store(*store);
                false
            }
            BlockEvent::EngineReported(engine, report) => {
                self.blocks.apply_engine(*engine, report, now_ms);
                false
            }
            BlockEvent::EngineForgotten(engine) => {
                self.blocks.forget_engine(*engine);
                false
            }
        };
        self.block_log.push(event);
        must_list
    }

    /// Returns how many gateways each one stands for whose sends are known.
    pub fn gateway_ratio(&self) -> f64 {
        let known = self.loads.reporting_gateways().saturating_add(1);
        (self.gateways.count() as f64 / known as f64).max(1.0)
    }
}

/// A gateway's state.
#[derive(Debug)]
pub struct Node {
    /// What it was told at its start.
    pub settings: GatewaySettings,
    /// Its clock.
    pub clock: Clock,
    /// Where it stands.
    pub context: GatewayContext,
    /// Counters and latencies.
    pub metrics: Arc<Metrics>,
    /// Connections to servers.
    pub pool: Pool,
    /// The start of this process, as Unix milliseconds; tells a host's lives apart.
    pub life: u64,
    /// Woken when weights are named or servers report other weights.
    pub weights_changed: Notify,
    /// Woken when followers have something to learn.
    pub has_learnt: Notify,
    /// Woken when there is news for other gateways.
    pub has_news: Notify,
    /// Woken when a send ends and a server may have room.
    pub capacity_freed: Notify,
    /// Woken when a server falls silent.
    pub server_unresponsive: Notify,
    in_force: Mutex<Option<Arc<InForce>>>,
    state: Mutex<RoutingState>,
    news: Mutex<News>,
    seeds: Mutex<Vec<SocketAddr>>,
    is_draining: AtomicBool,
    /// When the process ends at the latest; zero while it is not to end.
    ends_ms: AtomicU64,
    store_read_ms: AtomicU64,
    /// The servers' clock ahead of the node's, in milliseconds; zero while unknown.
    servers_ahead_ms: AtomicU64,
}

impl Node {
    /// Creates the state of a gateway that knows nothing yet.
    pub fn new(settings: GatewaySettings) -> Self {
        let bounds = BudgetBounds {
            ratio: settings.bounds.retry_ratio,
            slack: settings.bounds.retry_slack,
            window_ms: (settings.bounds.retry_window_s * 1_000.0) as u64,
        };
        let context = GatewayContext {
            domain: settings.failure_domain.clone(),
            regions: settings.regions.clone(),
            prefill_tokens_per_ms: settings.prefill_tokens_per_ms,
        };
        let state = RoutingState {
            registry: Registry::new(),
            loads: Loads::new(),
            retry_share: RetryShare::new(bounds),
            crashes: Crashes::new(),
            blocks: BlockIndex::new(),
            block_log: BlockLog::default(),
            weights: BTreeMap::new(),
            gateways: Gateways::new(settings.host.clone()),
            wait_queue: WaitQueue::new(),
        };
        Self {
            context,
            clock: Clock::new(),
            metrics: Arc::new(Metrics::new()),
            pool: Pool::new(),
            life: crate::clock::unix_ms(),
            weights_changed: Notify::new(),
            has_learnt: Notify::new(),
            has_news: Notify::new(),
            capacity_freed: Notify::new(),
            server_unresponsive: Notify::new(),
            news: Mutex::new(News::default()),
            in_force: Mutex::new(None),
            state: Mutex::new(state),
            seeds: Mutex::new(settings.seeds.clone().unwrap_or_default()),
            is_draining: AtomicBool::new(false),
            ends_ms: AtomicU64::new(0),
            store_read_ms: AtomicU64::new(0),
            servers_ahead_ms: AtomicU64::new(0),
            settings,
        }
    }

    /// Returns the clock's time.
    pub fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }

    /// Locks what decisions read and change; never held across an await.
    pub fn state(&self) -> MutexGuard<'_, RoutingState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the configuration in force; `None` before the first.
    pub fn in_force(&self) -> Option<Arc<InForce>> {
        self.in_force.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Puts a configuration in force if it is newer than the one that is.
    pub fn put_in_force(&self, next: InForce) -> bool {
        let mut in_force = self.in_force.lock().unwrap_or_else(PoisonError::into_inner);
        let version = |held: &Arc<InForce>| held.configuration.version;
        if in_force.as_ref().is_some_and(|held| version(held) >= next.configuration.version) {
            return false;
        }
        *in_force = Some(Arc::new(next));
        true
    }

    /// Notes that the process is to end at a time at the latest.
    pub fn start_draining(&self, ends_ms: u64) {
        self.ends_ms.store(ends_ms, Ordering::Relaxed);
        self.is_draining.store(true, Ordering::Relaxed);
    }

    /// Says whether the process may end before a time.
    pub fn ends_before(&self, at_ms: u64) -> bool {
        self.is_draining() && self.ends_ms.load(Ordering::Relaxed) < at_ms
    }

    /// Says whether the process is to end.
    pub fn is_draining(&self) -> bool {
        self.is_draining.load(Ordering::Relaxed)
    }

    /// Says where this gateway learns what the stores say.
    pub fn source(&self) -> Source {
        self.state().gateways.source(&self.settings.failure_domain)
    }

    /// Returns the peers' addresses of a few gateways, which may be stale.
    pub fn seeds(&self) -> Vec<SocketAddr> {
        self.seeds.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Takes over what of changed settings needs no new process.
    pub fn reload(&self, settings: &GatewaySettings) {
        let seeds = settings.seeds.clone().unwrap_or_default();
        *self.seeds.lock().unwrap_or_else(PoisonError::into_inner) = seeds;
    }

    /// Adds news for other gateways.
    pub fn queue_update(&self, add: impl FnOnce(&mut News)) {
        add(&mut self.news.lock().unwrap_or_else(PoisonError::into_inner));
        self.has_news.notify_one();
    }

    /// Takes the news that has gathered.
    pub fn take_news(&self) -> News {
        std::mem::take(&mut self.news.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Notes that the store told everything up to now.
    pub fn note_store_read(&self) {
        self.note_store_age(0);
    }

    /// Notes that a peer told everything that the store said up to some time ago.
    pub fn note_store_age(&self, age_ms: u64) {
        let read_ms = self.now_ms().saturating_sub(age_ms).max(1);
        self.store_read_ms.fetch_max(read_ms, Ordering::Relaxed);
    }

    /// Notes the time on the servers' clock as an answer told it. The answer was under way for a
    /// while, so the greatest lead seen is the closest.
    pub fn note_servers_clock(&self, clock_ms: f64) {
        let ahead_ms = (clock_ms as u64).saturating_sub(self.now_ms());
        self.servers_ahead_ms.fetch_max(ahead_ms, Ordering::Relaxed);
    }

    /// Returns a time of the node's clock on the servers' clock; `None` while that is unknown.
    pub fn to_servers_clock_ms(&self, at_ms: u64) -> Option<u64> {
        let ahead_ms = self.servers_ahead_ms.load(Ordering::Relaxed);
        (ahead_ms > 0).then_some(at_ms + ahead_ms)
    }

    /// Says whether what is known of the store is recent enough to fetch kept parts: the steward
    /// waits as long before it frees parts behind a gateway that it cannot reach.
    pub fn may_fetch(&self) -> bool {
        self.store_age_ms().is_some_and(|age_ms| age_ms < FETCH_KNOWLEDGE_MS)
    }

    /// Returns how old the knowledge of the store is; `None` before the first read.
    pub fn store_age_ms(&self) -> Option<u64> {
        let read_ms = self.store_read_ms.load(Ordering::Relaxed);
        (read_ms > 0).then(|| self.now_ms().saturating_sub(read_ms))
    }
}
