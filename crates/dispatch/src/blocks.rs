//! Kept blocks: which parts of prompts the stores hold, and what a request fetches and saves.
//!
//! Load pattern: far more sessions return than fit the engines' memory, which turns over within a
//! few seconds, so nearly every returning prompt finds its parts in a store or nowhere.

use crate::configuration::{BlockStoreTraits, Configuration};
use crate::demand::{Demand, PartId, PromptPart};
use placement::rendezvous;
use protocol::ids::{FailureDomain, OrganisationId, Region, ServiceName};
use std::collections::{HashMap, HashSet};
use std::fmt;
use std::net::SocketAddr;

/// The text under which engines and stores find parts: parts under different texts never match.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct CacheSalt(String);

impl CacheSalt {
    /// Builds the salt of a weight version, with the organisation where it shares nothing.
    pub fn new(weight_version: u64, dedicated: Option<&OrganisationId>) -> Self {
        match dedicated {
            None => Self(format!("v{weight_version}")),
            Some(organisation) => Self(format!("v{weight_version}.{organisation}")),
        }
    }

    /// Wraps a salt that a store reported.
    pub fn from_report(text: &str) -> Self {
        Self(text.to_owned())
    }

    /// Returns the weight version; `None` for a salt that no gateway built.
    pub fn weight_version(&self) -> Option<u64> {
        let digits = self.0.strip_prefix('v')?.split('.').next()?;
        digits.parse().ok()
    }

    /// Returns the salt as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for CacheSalt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Identifies a part under its salt.
pub type BlockKey = (CacheSalt, PartId);

/// A change that a store reported.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum BlockChange {
    /// The part is complete with that many tokens.
    Stored(BlockKey, u64),
    /// The part is gone.
    Dropped(BlockKey),
}

/// One answer to a question for a store's changes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BlockReport {
    /// Changes at every restart of the store.
    pub boot_epoch: u64,
    /// Whether changes before these were lost.
    pub has_gap: bool,
    /// The changes in order.
    pub changes: Vec<BlockChange>,
}

#[derive(Clone, Debug, Default)]
struct StoreState {
    boot_epoch: Option<u64>,
    parts: HashMap<BlockKey, u64>,
    /// Saves under way from this gateway: tokens and when they count as lost.
    pending: HashMap<BlockKey, (u64, u64)>,
}

/// How long a save may take before it counts as lost, in milliseconds. The largest part of the
/// sheets takes under a second on the slowest link.
const SAVE_MS: u64 = 3_000;
/// The share of a store's memory that is filled; blocks are rounded up and saves of other
/// gateways are seen late.
const FILL_SHARE: f64 = 0.97;
/// Parts shorter than this are read again rather than fetched: the transfer's delay costs more.
const LEAST_TOKENS: u64 = 64;

/// Holds what all stores keep.
#[derive(Debug, Default)]
pub struct BlockIndex {
    stores: HashMap<SocketAddr, StoreState>,
}

/// Where a request's parts come from and go to, an entry a part.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct BlockPlan {
    /// The stores to fetch from.
    pub fetch: Vec<Option<SocketAddr>>,
    /// The stores to save to.
    pub save: Vec<Option<SocketAddr>>,
    /// The tokens that come from stores.
    pub fetched_tokens: u64,
}

/// The places of the world that placement knows.
#[derive(Clone, Debug)]
pub struct Place<'a> {
    /// The server's failure domain.
    pub domain: &'a FailureDomain,
    /// The region of each failure domain.
    pub regions: &'a HashMap<FailureDomain, Region>,
}

impl Place<'_> {
    fn is_same_region(&self, other: &FailureDomain) -> bool {
        self.domain == other || self.regions.get(self.domain) == self.regions.get(other)
    }
}

impl BlockIndex {
    /// Creates an index of nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Forgets a store's content, since it restarted or cannot be reached.
    pub fn forget_store(&mut self, store: SocketAddr) {
        self.stores.remove(&store);
    }

    /// Applies a report of changes; says whether the store must be listed anew.
    pub fn apply(&mut self, store: SocketAddr, report: &BlockReport) -> bool {
        let state = self.stores.entry(store).or_default();
        if state.boot_epoch.is_some_and(|epoch| epoch != report.boot_epoch) {
            *state = StoreState::default();
        }
        state.boot_epoch = Some(report.boot_epoch);
        for change in &report.changes {
            match change {
                BlockChange::Stored(key, tokens) => {
                    state.pending.remove(key);
                    state.parts.insert(key.clone(), *tokens);
                }
                BlockChange::Dropped(key) => {
                    state.parts.remove(key);
                }
            }
        }
        report.has_gap
    }

    /// Returns the tokens that a store holds or is about to.
    pub fn used_tokens(&self, store: SocketAddr, now_ms: u64) -> u64 {
        let Some(state) = self.stores.get(&store) else { return 0 };
        let pending = state.pending.values().filter(|(_, until_ms)| *until_ms > now_ms);
        state.parts.values().sum::<u64>() + pending.map(|(tokens, _)| tokens).sum::<u64>()
    }

    /// Returns the parts that a store holds under salts of versions before a given one.
    pub fn outdated(&self, store: SocketAddr, newest: u64) -> (Option<u64>, Vec<BlockKey>) {
        let Some(state) = self.stores.get(&store) else { return (None, Vec::new()) };
        let is_old = |key: &BlockKey| key.0.weight_version().is_some_and(|made| made < newest);
        let mut parts: Vec<BlockKey> =
            state.parts.keys().filter(|key| is_old(key)).cloned().collect();
        parts.sort();
        (state.boot_epoch, parts)
    }

    /// Plans a request's transfers to and from the stores near the server that runs it.
    pub fn plan(
        &mut self,
        configuration: &Configuration,
        demand: &Demand,
        salt: &CacheSalt,
        place: &Place<'_>,
        now_ms: u64,
    ) -> BlockPlan {
        let Some(prompt) = &demand.prompt else { return BlockPlan::default() };
        let shared = prompt.shared_parts();
        let mut plan = BlockPlan::default();
        let mut seen = HashSet::new();
        for part in &prompt.parts {
            let is_shared = shared.iter().any(|other| other.id == part.id);
            if !is_shared || part.tokens < LEAST_TOKENS || !seen.insert(part.id) {
                plan.fetch.push(None);
                plan.save.push(None);
                continue;
            }
            let key = (salt.clone(), part.id);
            let fetch = self.source(configuration, &key, part, place);
            if fetch.is_some() {
                plan.fetched_tokens += part.tokens;
            }
            let save = match fetch {
                Some((_, true)) => None,
                Some((_, false)) | None => self.target(configuration, &key, part, place, now_ms),
            };
            plan.fetch.push(fetch.map(|(address, _)| address));
            plan.save.push(save);
        }
        plan
    }

    /// Returns the best store that holds a part, and whether it is in the server's region.
    fn source(
        &self,
        configuration: &Configuration,
        key: &BlockKey,
        part: &PromptPart,
        place: &Place<'_>,
    ) -> Option<(SocketAddr, bool)> {
        let holders = configuration.block_stores().filter(|(_, store)| {
            let state = self.stores.get(&store.address);
            state.is_some_and(|state| state.parts.get(key).is_some_and(|held| *held >= part.tokens))
        });
        let best = holders.min_by_key(|(_, store)| (distance(place, store), store.address))?;
        let is_near = place.is_same_region(&best.1.domain);
        Some((best.1.address, is_near))
    }

    /// Returns a store of the region with room for a part, and books the room.
    fn target(
        &mut self,
        configuration: &Configuration,
        key: &BlockKey,
        part: &PromptPart,
        place: &Place<'_>,
        now_ms: u64,
    ) -> Option<SocketAddr> {
        let near: Vec<(&ServiceName, &BlockStoreTraits)> = configuration
            .block_stores()
            .filter(|(_, store)| place.is_same_region(&store.domain))
            .filter(|(_, store)| self.has_room(store, part.tokens, now_ms))
            .collect();
        let ranked = rendezvous::ranking(&key.1.to_bytes(), near, |(name, _)| name.as_str().as_bytes());
        let (_, store) = ranked.first()?;
        let state = self.stores.get_mut(&store.address)?;
        if state.pending.get(key).is_some_and(|(_, until_ms)| *until_ms > now_ms) {
            return None;
        }
        state.pending.retain(|_, (_, until_ms)| *until_ms > now_ms);
        state.pending.insert(key.clone(), (part.tokens, now_ms + SAVE_MS));
        Some(store.address)
    }

    /// A store whose content is unknown takes nothing.
    fn has_room(&self, store: &BlockStoreTraits, tokens: u64, now_ms: u64) -> bool {
        let is_known = self.stores.get(&store.address).is_some_and(|state| state.boot_epoch.is_some());
        let limit = (store.memory_tokens as f64 * FILL_SHARE) as u64;
        is_known && self.used_tokens(store.address, now_ms) + tokens <= limit
    }
}

fn distance(place: &Place<'_>, store: &BlockStoreTraits) -> u8 {
    if *place.domain == store.domain {
        0
    } else if place.is_same_region(&store.domain) {
        1
    } else {
        2
    }
}
