//! The state that routing decisions read and change.

use crate::block_log::{BlockEvent, BlockLog};
use crate::cold::ColdServers;
use crate::gateways::Gateways;
use crate::shares::Shares;
use dispatch::blocks::BlockIndex;
use dispatch::choice::{Closed, ClosedReason};
use dispatch::crashes::Crashes;
use dispatch::eligibility::{AllowedRegions, Eligibility};
use dispatch::evacuations::Evacuations;
use dispatch::hedging::Hedging;
use dispatch::limits::{Asks, GrantTable, Urgency};
use dispatch::load::Loads;
use dispatch::paths::Paths;
use dispatch::pauses::Pauses;
use dispatch::registry::{Registry, ServerEntry};
use dispatch::relays::RelayChoice;
use dispatch::retry_share::RetryShare;
use dispatch::streams::StreamTable;
use dispatch::target_versions::{TargetTable, TargetVersions};
use dispatch::terms::{TermsTable, is_full};
use dispatch::waiting::WaitQueue;
use protocol::ids::{FailureDomain, HostName, ModelName, Region};
use std::collections::{BTreeMap, HashMap};

/// How a record of the store was found.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Found {
    /// In a listing, or at a peer: it may have been written long before.
    Listed,
    /// It was appended while this gateway read the log.
    Appended {
        /// A time before which it was not appended, if reading showed one.
        not_before_ms: Option<u64>,
    },
}

impl Found {
    /// Returns the name in logs and counters.
    pub const fn as_str(self) -> &'static str {
        match self {
            Found::Listed => "listed",
            Found::Appended { .. } => "appended",
        }
    }
}

/// The state that routing decisions read and change.
#[derive(Debug)]
pub struct RoutingState {
    /// The servers.
    pub registry: Registry,
    /// The failure domains that operators evacuate.
    pub evacuations: Evacuations,
    /// The servers' loads.
    pub loads: Loads,
    /// The links to the servers.
    pub paths: Paths,
    /// The pauses that servers asked for.
    pub pauses: Pauses,
    /// The terms that servers name.
    pub terms: TermsTable,
    /// The grants that this gateway gives as a holder of limited servers.
    pub grants: GrantTable,
    /// The refusals of holders.
    pub asks: Asks,
    /// The servers that are cold.
    pub cold: ColdServers,
    /// The retry budgets.
    pub retry_share: RetryShare,
    /// How long requests usually take, and the extra attempts at late ones.
    pub hedging: Hedging,
    /// Requests that crash servers.
    pub crashes: Crashes,
    /// The cached blocks of the block stores and engines.
    pub blocks: BlockIndex,
    /// The target weight versions of each model.
    pub weights: TargetTable,
    /// When this gateway last noticed that a rollout leader commands servers.
    pub last_rollout_sign_ms: Option<u64>,
    /// The latest changes of cached blocks, for followers.
    pub block_log: BlockLog,
    /// The gateways.
    pub gateways: Gateways,
    /// The gateway that gathers the load reports of the failure domain.
    pub relays: RelayChoice,
    /// The prompts that wait for free capacity.
    pub wait_queue: WaitQueue,
    /// The admission of requests; `None` if the installation does not share servers fairly.
    pub shares: Option<Shares>,
    /// What began the streams that callers may take up again.
    pub streams: StreamTable,
}

impl RoutingState {
    /// Creates the state of the gateway on a host, which knows of nothing yet.
    pub fn new(host: HostName, retry_share: RetryShare) -> Self {
        Self {
            registry: Registry::new(),
            evacuations: Evacuations::default(),
            loads: Loads::new(),
            paths: Paths::new(),
            pauses: Pauses::new(),
            terms: TermsTable::new(),
            grants: GrantTable::new(),
            asks: Asks::new(),
            cold: ColdServers::default(),
            retry_share,
            hedging: Hedging::new(0.0),
            crashes: Crashes::new(),
            blocks: BlockIndex::new(),
            block_log: BlockLog::default(),
            weights: TargetTable::default(),
            last_rollout_sign_ms: None,
            relays: RelayChoice::new(host.clone()),
            gateways: Gateways::new(host),
            wait_queue: WaitQueue::new(),
            shares: None,
            streams: StreamTable::new(),
        }
    }

    /// Returns the newest target weight version of each model.
    pub fn target_versions(&self) -> BTreeMap<ModelName, u64> {
        let newest = |versions: &TargetVersions| versions.newest().unwrap_or(0);
        self.weights.models().map(|(model, versions)| (model.clone(), newest(versions))).collect()
    }

    /// Applies a change at a block store or an engine, and logs it for followers; returns whether
    /// the store must be listed again.
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

    /// Checks whether a server may take another attempt of this gateway. A server with a limit may
    /// take it only once its holder grants that.
    ///
    /// # Errors
    ///
    /// Returns why it takes none, and until when.
    pub fn check_open(
        &self,
        entry: &ServerEntry,
        urgency: Urgency,
        now_ms: u64,
    ) -> Result<(), Closed> {
        let in_flight_since = |since_ms| self.loads.in_flight_since(&entry.id, since_ms);
        let paused = self.pauses.check(&entry.id, entry.incarnation, in_flight_since, now_ms);
        paused.map_err(|until_ms| Closed { reason: ClosedReason::Paused, until_ms })?;
        self.check_room(entry, urgency, now_ms)?;
        self.check_cold(entry, urgency, now_ms)?;
        let terms = self.terms.terms(&entry.id, entry.incarnation);
        if !terms.needs_grants() {
            return Ok(());
        }
        let until_ms = self.asks.refused_until_ms(&entry.id, entry.incarnation, urgency, now_ms);
        let is_limited = terms.limit.is_some();
        let reason = if is_limited { ClosedReason::Limited } else { ClosedReason::Full };
        until_ms.map_or(Ok(()), |until_ms| Err(Closed { reason, until_ms }))
    }

    /// Checks whether a cold server's holder refused this gateway.
    fn check_cold(&self, entry: &ServerEntry, urgency: Urgency, now_ms: u64) -> Result<(), Closed> {
        if self.cold.limit_of(entry, now_ms).is_none() {
            return Ok(());
        }
        let ServerEntry { id, incarnation, .. } = entry;
        let until_ms = self.cold.asks.refused_until_ms(id, *incarnation, urgency, now_ms);
        let reason = ClosedReason::Cold;
        until_ms.map_or(Ok(()), |until_ms| Err(Closed { reason, until_ms }))
    }

    /// Checks whether a brittle server has room; others queue what they cannot run.
    fn check_room(&self, entry: &ServerEntry, urgency: Urgency, now_ms: u64) -> Result<(), Closed> {
        /// The delay after which a full server may have room, in milliseconds.
        const FULL_MS: u64 = 100;
        let ServerEntry { id, incarnation, .. } = entry;
        if self.terms.terms(id, *incarnation).max_refusals.is_none() {
            return Ok(());
        }
        let full_until = |until_ms| Err(Closed { reason: ClosedReason::Full, until_ms });
        if let Some(until_ms) = self.terms.refused_until_ms(id, *incarnation, now_ms) {
            return full_until(until_ms);
        }
        let load = self.loads.view(id, now_ms);
        let is_queueing = load.header.is_some_and(|header| header.waiting > 0);
        let in_flight = load.in_flight as f64 * self.gateway_ratio();
        if is_queueing || is_full(in_flight, entry.slots, urgency) {
            return full_until(now_ms + FULL_MS);
        }
        Ok(())
    }

    /// Returns the decision which targets may receive a request with some allowed regions.
    pub const fn eligibility<'a>(
        &'a self,
        allowed: &'a AllowedRegions,
        regions: &'a HashMap<FailureDomain, Region>,
    ) -> Eligibility<'a> {
        Eligibility::new(allowed, regions, &self.evacuations)
    }

    /// Returns whether a server may take an attempt that only shortens the time of a request. Those
    /// that are cold, limited or brittle are spared it, and those that take no attempt now.
    pub fn takes_hedge(&self, entry: &ServerEntry, urgency: Urgency, now_ms: u64) -> bool {
        let terms = self.terms.terms(&entry.id, entry.incarnation);
        !terms.needs_grants()
            && !self.is_cold(entry, now_ms)
            && self.check_open(entry, urgency, now_ms).is_ok()
    }

    /// Returns whether a server names a limit.
    pub fn is_limited(&self, entry: &ServerEntry) -> bool {
        self.terms.terms(&entry.id, entry.incarnation).limit.is_some()
    }

    /// Returns whether a server is cold.
    pub fn is_cold(&self, entry: &ServerEntry, now_ms: u64) -> bool {
        self.cold.limit_of(entry, now_ms).is_some()
    }

    /// Returns whether a holder bounds the requests to a server, so that checks spare it.
    pub fn is_bounded(&self, entry: &ServerEntry, now_ms: u64) -> bool {
        self.is_limited(entry) || self.is_cold(entry, now_ms)
    }

    /// Returns whether a server asked for a pause that has not ended.
    pub fn is_paused(&self, entry: &ServerEntry, now_ms: u64) -> bool {
        self.pauses.until_ms(&entry.id, entry.incarnation, now_ms).is_some()
    }

    /// Returns the ratio of all gateways to those whose load is reported, this one included in
    /// both; at least 1.
    pub fn gateway_ratio(&self) -> f64 {
        let reporting = self.loads.reporting_gateways().saturating_add(1);
        (self.gateways.count() as f64 / reporting as f64).max(1.0)
    }
}
