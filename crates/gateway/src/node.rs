//! The state shared by all tasks of a gateway.

mod eras;

use crate::clock::{Clock, SuspensionDetector};
use crate::connection_limits::ConnectionLimits;
use crate::crashes::CrashExchange;
use crate::drain::Drain;
use crate::gateways::Source;
use crate::limits::GrantCalls;
use crate::memory::MemoryAccount;
use crate::metrics::Metrics;
use crate::peers::{PeerUpdate, StreamExchange, TermsExchange};
use crate::pool::Pool;
use crate::routing_state::RoutingState;
use crate::settings::GatewaySettings;
use crate::shares::Shares;
use crate::software_history::HistoryQueries;
use crate::tunnel::Tunnels;
use crate::unreadable::LoggedRecords;
use dispatch::choice::GatewayContext;
use dispatch::configuration::Configuration;
use dispatch::era::{EraTracker, IgnoredEra};
use dispatch::evacuations::Evacuations;
use dispatch::hedging::Hedging;
use dispatch::registry::ServerId;
use dispatch::retirement::{FetchPermit, Retirements, Withheld};
use dispatch::retry_share::{BudgetBounds, RetryShare};
use dispatch::routes::RouteTable;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use tokio::sync::{Notify, watch};

/// The configuration in force with its derived route table.
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
    /// Builds the route table of a configuration.
    pub fn new(configuration: Configuration, record: Vec<u8>) -> Self {
        let routes = RouteTable::new(&configuration);
        Self { configuration, routes, record }
    }
}

/// The shared state of a gateway.
#[derive(Debug)]
pub struct Node {
    /// The settings at the start of the process.
    pub settings: GatewaySettings,
    /// The clock.
    pub clock: Clock,
    /// Finds out when the process was suspended.
    pub suspensions: SuspensionDetector,
    /// The gateway's failure domain, regions and prefill rate, for decisions.
    pub context: GatewayContext,
    /// Counters and latencies.
    pub metrics: Arc<Metrics>,
    /// The connections to servers.
    pub pool: Pool,
    /// The account of the memory that others make the gateway hold.
    pub memory: Arc<MemoryAccount>,
    /// The open connections of all listeners.
    pub connection_limits: ConnectionLimits,
    /// The start of this process as Unix milliseconds, which identifies its incarnation.
    pub incarnation: u64,
    /// Woken when a target weight version changes, or a server joins or reports other weights.
    pub weights_changed: Notify,
    /// Counts the changes at the target weight versions and their times, and at the evacuations.
    pub target_changes: watch::Sender<u64>,
    /// Woken when there may be changes for followers.
    pub state_changed: Notify,
    /// Woken when the outbox holds an update for other gateways.
    pub update_queued: Notify,
    /// Woken when a server may have free capacity, for example after an attempt.
    pub capacity_freed: Notify,
    /// Woken when a server fails its health check.
    pub server_unresponsive: Notify,
    /// The exchange of stream records with other gateways.
    pub stream_exchange: StreamExchange,
    /// The requests that wait for the history of software versions.
    pub history_queries: HistoryQueries,
    /// The exchange of evidence on crashes with other gateways.
    pub crash_exchange: CrashExchange,
    /// The exchange of servers' terms with other gateways.
    pub terms_exchange: TermsExchange,
    /// The calls to holders of limited servers.
    pub grant_calls: GrantCalls,
    /// The connections to servers that this gateway carries for others.
    pub tunnels: Tunnels,
    /// Whether this gateway reads the store itself.
    pub reads_store: AtomicBool,
    in_force: Mutex<Option<Arc<InForce>>>,
    state: Mutex<RoutingState>,
    /// The era of the platform's store; not locked while `state` is.
    eras: watch::Sender<EraTracker>,
    /// The reasons for ignoring an era that have been logged.
    logged_eras: Mutex<BTreeSet<IgnoredEra>>,
    /// The records that cannot be read and have been logged.
    logged_records: Mutex<LoggedRecords>,
    outbox: Mutex<PeerUpdate>,
    /// The servers whose paths are being verified.
    being_verified: Mutex<BTreeSet<ServerId>>,
    seeds: Mutex<Vec<SocketAddr>>,
    drain: OnceLock<Drain>,
    /// Whether requests end now because the process is about to exit.
    is_ending: watch::Sender<bool>,
    fetch_permit: Mutex<FetchPermit>,
    /// The lead of the servers' clock over the node's clock, in milliseconds; zero while unknown.
    server_clock_lead_ms: AtomicU64,
}

impl Node {
    /// Creates the initial state of a gateway.
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
        let mut state = RoutingState::new(settings.host.clone(), RetryShare::new(bounds));
        state.evacuations = Evacuations::new(settings.regions.keys().cloned());
        state.hedging = Hedging::new(settings.hedging.extra_share);
        state.blocks.retirements =
            Retirements::default().with_allowed_ms(settings.bounds.weights_ms);
        if platform::policies::has_fair_shares(&settings.policies) {
            state.shares = Some(Shares::new(settings.host.clone()));
        }
        let memory = MemoryAccount::for_host(settings.memory_mb);
        Self {
            context,
            clock: Clock::new(),
            suspensions: SuspensionDetector::default(),
            metrics: Arc::new(Metrics::new()),
            pool: Pool::new(),
            connection_limits: ConnectionLimits::for_process(memory.ledger().size_bytes()),
            memory: Arc::new(memory),
            incarnation: crate::clock::unix_ms(),
            weights_changed: Notify::new(),
            target_changes: watch::Sender::new(0),
            state_changed: Notify::new(),
            update_queued: Notify::new(),
            capacity_freed: Notify::new(),
            server_unresponsive: Notify::new(),
            stream_exchange: StreamExchange::default(),
            history_queries: HistoryQueries::default(),
            crash_exchange: CrashExchange::default(),
            terms_exchange: TermsExchange::default(),
            grant_calls: GrantCalls::default(),
            tunnels: Tunnels::default(),
            reads_store: AtomicBool::new(true),
            outbox: Mutex::new(PeerUpdate::default()),
            being_verified: Mutex::default(),
            in_force: Mutex::new(None),
            state: Mutex::new(state),
            eras: watch::Sender::new(EraTracker::default()),
            logged_eras: Mutex::new(BTreeSet::new()),
            logged_records: Mutex::default(),
            seeds: Mutex::new(settings.seeds.clone().unwrap_or_default()),
            drain: OnceLock::new(),
            is_ending: watch::Sender::new(false),
            fetch_permit: Mutex::default(),
            server_clock_lead_ms: AtomicU64::new(0),
            settings,
        }
    }

    /// Returns whether late requests may be hedged.
    pub fn hedges_late(&self) -> bool {
        self.settings.hedging.extra_share > 0.0
    }

    /// Returns the current time of the node's clock.
    pub fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }

    /// Locks the routing state. The guard must not be held across an await.
    pub fn state(&self) -> MutexGuard<'_, RoutingState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the configuration in force; `None` before the first.
    pub fn in_force(&self) -> Option<Arc<InForce>> {
        self.in_force.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Puts a configuration in force if it is newer than the current one; returns whether it is.
    pub fn put_in_force(&self, next: InForce) -> bool {
        let mut in_force = self.in_force.lock().unwrap_or_else(PoisonError::into_inner);
        let version = |held: &Arc<InForce>| held.configuration.version;
        if in_force.as_ref().is_some_and(|held| version(held) >= next.configuration.version) {
            return false;
        }
        *in_force = Some(Arc::new(next));
        true
    }

    /// Starts to drain, or goes on with the drain that has started.
    pub fn start_draining(&self, drain: Drain) -> Drain {
        *self.drain.get_or_init(|| drain)
    }

    /// Ends all requests in progress.
    pub fn end_requests(&self) {
        self.is_ending.send_replace(true);
    }

    /// Returns whether requests in progress end.
    pub fn is_ending(&self) -> bool {
        *self.is_ending.borrow()
    }

    /// Waits until requests in progress end.
    pub async fn ending(&self) {
        let mut is_ending = self.is_ending.subscribe();
        // The sender lives as long as the node.
        drop(is_ending.wait_for(|is_ending| *is_ending).await);
    }

    /// Returns whether a request with a deadline is accepted now.
    pub fn accepts_until(&self, deadline_at_ms: u64) -> bool {
        self.drain.get().is_none_or(|drain| drain.accepts(deadline_at_ms, self.now_ms()))
    }

    /// Returns whether the process drains.
    pub fn is_draining(&self) -> bool {
        self.drain.get().is_some()
    }

    /// Returns where this gateway reads the stores' content: at the relay of its failure domain, which
    /// surely runs, or at the gateway that probably becomes it.
    pub fn source(&self) -> Source {
        let state = self.state();
        if state.gateways.is_small() || state.relays.is_relay() {
            return Source::Stores;
        }
        let relay = state.relays.relay().and_then(|relay| state.gateways.address_of(relay));
        relay.map_or_else(|| state.gateways.source(&self.settings.failure_domain), Source::Gateway)
    }

    /// Returns the seeds: peer addresses of a few gateways, which may be outdated.
    pub fn seeds(&self) -> Vec<SocketAddr> {
        self.seeds.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Applies those changed settings that take effect without a restart: the seeds.
    pub fn reload(&self, settings: &GatewaySettings) {
        let seeds = settings.seeds.clone().unwrap_or_default();
        *self.seeds.lock().unwrap_or_else(PoisonError::into_inner) = seeds;
    }

    /// Locks the servers whose paths are being verified.
    pub fn being_verified(&self) -> MutexGuard<'_, BTreeSet<ServerId>> {
        self.being_verified.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the records that cannot be read and have been logged.
    pub fn logged_records(&self) -> MutexGuard<'_, LoggedRecords> {
        self.logged_records.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds to the update in the outbox and wakes its sender.
    pub fn queue_update(&self, add: impl FnOnce(&mut PeerUpdate)) {
        add(&mut self.outbox.lock().unwrap_or_else(PoisonError::into_inner));
        self.update_queued.notify_one();
    }

    /// Takes the update out of the outbox.
    pub fn take_outbox(&self) -> PeerUpdate {
        std::mem::take(&mut self.outbox.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Records that the store has been read up to now.
    pub fn record_store_read(&self) {
        self.record_store_age(0);
    }

    /// Records that a peer sent the store's state of `age_ms` ago, after that state was applied.
    pub fn record_store_age(&self, age_ms: u64) {
        let now_ms = self.now_ms();
        let read_ms = self.suspensions.written_since_ms(now_ms).saturating_sub(age_ms).max(1);
        let must_retire = self.fetch_permit().must_retire(now_ms);
        if must_retire {
            self.state().blocks.retirements.retire_superseded();
        }
        self.fetch_permit().record_state(read_ms);
    }

    /// Locks the permission to fetch cached blocks. Nothing else may be locked while it is.
    pub fn fetch_permit(&self) -> MutexGuard<'_, FetchPermit> {
        self.fetch_permit.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the time on the servers' clock from an answer. The answer was in transit for a
    /// while, so the largest lead observed is the most accurate.
    pub fn record_server_clock(&self, clock_ms: f64) {
        let lead_ms = (clock_ms as u64).saturating_sub(self.now_ms());
        self.server_clock_lead_ms.fetch_max(lead_ms, Ordering::Relaxed);
    }

    /// Converts a time of the node's clock to the servers' clock; `None` while the lead of that
    /// clock is unknown.
    pub fn to_servers_clock_ms(&self, at_ms: u64) -> Option<u64> {
        let lead_ms = self.server_clock_lead_ms.load(Ordering::Relaxed);
        (lead_ms > 0).then_some(at_ms + lead_ms)
    }

    /// Checks whether a request that is placed now may name cached blocks. Must not be called while
    /// the routing state is locked.
    ///
    /// # Errors
    ///
    /// Returns why it may not.
    pub fn check_fetch(&self, now_ms: u64) -> Result<(), Withheld> {
        if self.settings.listen.peers.is_none() {
            return self.fetch_permit().check_alone(now_ms);
        }
        let eras = self.eras();
        self.fetch_permit().check(&eras, now_ms)
    }

    /// Returns the age of the store's cached state; `None` before the first read.
    pub fn store_age_ms(&self) -> Option<u64> {
        let read_ms = self.fetch_permit().state_read_ms()?;
        Some(self.now_ms().saturating_sub(read_ms))
    }
}
