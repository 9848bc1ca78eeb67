//! Cached KV blocks: which prompt segments the block stores hold, and which blocks a request
//! fetches and saves.
//!
//! Load pattern: the returning sessions far exceed the engines' memory, whose content turns over
//! within a few seconds. Nearly every returning prompt therefore finds its blocks in a store or
//! nowhere.

mod link_use;
mod plan;
mod report;
mod resident;
mod sharing;
mod transfer;

pub use crate::blocks::plan::{BlockPlan, SegmentSource};
pub use crate::blocks::report::{BlockChange, BlockKey, BlockReport, CacheSalt};
pub use crate::blocks::sharing::{DedicatedDigest, DedicatedOrganisations, SharingScope};
pub use crate::blocks::transfer::{Holder, LinkShares, TransferContext};

use crate::blocks::link_use::LinkUse;
use crate::blocks::resident::ResidentBlocks;
use crate::configuration::{BlockStoreTraits, Configuration};
use crate::request::{Prompt, PromptSegment, RequestSpec};
use crate::retirement::Retirements;
use placement::rendezvous;
use protocol::ids::ModelName;
use std::collections::HashMap;
use std::net::SocketAddr;

/// The link utilisation from which on a link counts as saturated.
const MAX_LINK_USE: f64 = 0.98;
/// The longest transfer that is started, in milliseconds. A longer one would delay all transfers
/// queued behind it.
const MAX_TRANSFER_MS: f64 = 220.0;
/// The cost of recomputing a token besides the prefill time itself, in milliseconds of waiting: the
/// accelerators prefill it instead of other requests' prompts.
pub const RECOMPUTE_MS_PER_TOKEN: f64 = 0.06;

#[derive(Clone, Debug, Default)]
struct StoreState {
    link: LinkUse,
    boot_epoch: Option<u64>,
    blocks: HashMap<BlockKey, u64>,
    /// The sum of the blocks' tokens.
    tokens: u64,
    /// Saves in progress from this gateway: their tokens, and when they count as failed.
    pending: HashMap<BlockKey, (u64, u64)>,
}

/// The time after which a save counts as failed, in milliseconds. The largest segment in the data
/// sheets takes under a second on the slowest link.
const SAVE_TIMEOUT_MS: u64 = 3_000;
/// The largest share of a store's memory to fill. The rest is a margin, because stores round block
/// sizes up and saves of other gateways are reported late.
const MAX_FILL_SHARE: f64 = 0.97;
/// The highest number of tokens of a block, far above any memory, so that the sum over a store's
/// blocks does not overflow.
const MAX_BLOCK_TOKENS: u64 = u32::MAX as u64;
/// The share of fetches from engines that miss because the block was evicted before the eviction
/// was reported.
const ENGINE_MISS_SHARE: f64 = 0.1;
/// Segments shorter than this are recomputed instead of fetched: the transfer delay costs more than
/// their prefill.
const MIN_FETCH_TOKENS: u64 = 64;

/// Indexes the blocks that the stores and engines hold.
#[derive(Debug, Default)]
pub struct BlockIndex {
    stores: HashMap<SocketAddr, StoreState>,
    residents: ResidentBlocks,
    /// The blocks that may not be fetched and saved any more.
    pub retirements: Retirements,
}

impl BlockIndex {
    /// Creates an empty index.
    pub fn new() -> Self {
        Self::default()
    }

    /// Discards the cached content of a store that restarted or is unreachable.
    pub fn forget_store(&mut self, store: SocketAddr) {
        self.stores.remove(&store);
    }

    /// Applies a store's report of changes. Returns whether the store must be listed again.
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
                    let tokens = (*tokens).min(MAX_BLOCK_TOKENS);
                    let before = state.blocks.insert(key.clone(), tokens).unwrap_or(0);
                    state.tokens = state.tokens + tokens - before;
                }
                BlockChange::Dropped(key) => {
                    state.tokens -= state.blocks.remove(key).unwrap_or(0);
                }
            }
        }
        report.has_gap
    }

    /// Applies an engine's report of changes to the blocks in its memory.
    pub fn apply_engine(&mut self, engine: SocketAddr, report: &BlockReport, now_ms: u64) {
        self.residents.apply(engine, report, now_ms);
    }

    /// Discards the cached content of an engine that restarted or is unreachable.
    pub fn forget_engine(&mut self, engine: SocketAddr) {
        self.residents.forget(engine);
    }

    /// Returns whether an engine holds the block of any shared segment of a prompt.
    pub fn is_holder(
        &self,
        engine: SocketAddr,
        prompt: &Prompt,
        salt: &CacheSalt,
        now_ms: u64,
    ) -> bool {
        prompt.shared_segments().iter().any(|segment| {
            self.residents.holds(engine, &(salt.clone(), segment.id), segment.tokens, now_ms)
        })
    }

    /// Returns how many leading segments of a prompt have their blocks in an engine's own memory. A
    /// block is usable only together with all blocks before it.
    pub fn resident_blocks(
        &self,
        engine: SocketAddr,
        prompt: &Prompt,
        salt: &CacheSalt,
        now_ms: u64,
    ) -> usize {
        let is_held = |segment: &&PromptSegment| {
            self.residents.holds(engine, &(salt.clone(), segment.id), segment.tokens, now_ms)
        };
        prompt.shared_segments().iter().take_while(is_held).count()
    }

    /// Returns whether the index holds a store's content of the given boot epoch.
    pub fn is_listed(&self, store: SocketAddr, boot_epoch: u64) -> bool {
        self.stores.get(&store).is_some_and(|state| state.boot_epoch == Some(boot_epoch))
    }

    /// Returns the shares of the stores' link time that this gateway's transfers use, for reports
    /// to peers.
    pub fn local_link_shares(&self, gateway_ratio: f64, now_ms: u64) -> LinkShares {
        let shares = self.stores.iter().map(|(store, state)| {
            (*store, (1_000.0 * state.link.get(gateway_ratio, now_ms)).round() as u32)
        });
        shares.filter(|(_, thousandths)| *thousandths > 0).collect()
    }

    /// Returns the whole index of the stores, as reports that apply to an empty index.
    pub fn dump(&self) -> Vec<(SocketAddr, BlockReport)> {
        let reports = self.stores.iter().filter_map(|(store, state)| {
            let stored =
                |(key, tokens): (&BlockKey, &u64)| BlockChange::Stored(key.clone(), *tokens);
            let changes = state.blocks.iter().map(stored).collect();
            let boot_epoch = state.boot_epoch?;
            Some((*store, BlockReport { boot_epoch, has_gap: false, changes }))
        });
        reports.collect()
    }

    /// Returns the tokens that a store holds, including saves in progress.
    pub fn used_tokens(&self, store: SocketAddr, now_ms: u64) -> u64 {
        let Some(state) = self.stores.get(&store) else { return 0 };
        let pending = state.pending.values().filter(|(_, until_ms)| *until_ms > now_ms);
        state.tokens + pending.map(|(tokens, _)| tokens).sum::<u64>()
    }

    /// Returns a store's boot epoch and the blocks it holds that were computed with older weights
    /// of a model.
    pub fn outdated(
        &self,
        store: SocketAddr,
        model: &ModelName,
        newest: u64,
    ) -> (Option<u64>, Vec<BlockKey>) {
        let Some(state) = self.stores.get(&store) else { return (None, Vec::new()) };
        let is_old = |key: &&BlockKey| key.0.is_older(model, newest);
        let mut blocks: Vec<BlockKey> = state.blocks.keys().filter(is_old).cloned().collect();
        blocks.sort();
        (state.boot_epoch, blocks)
    }

    /// Plans a request's transfers between the stores and a server.
    pub fn plan(
        &self,
        configuration: &Configuration,
        request: &RequestSpec,
        salt: &CacheSalt,
        transfer_context: &TransferContext<'_>,
        now_ms: u64,
    ) -> BlockPlan {
        let mut plan = BlockPlan::default();
        let Some(prompt) = &request.prompt else { return plan };
        let shared = prompt.shared_segments().len();
        let is_retired = self.retirements.is_retired(&prompt.model, salt, now_ms);
        let ineligible = transfer_context.ineligible_stores(configuration);
        for (index, segment) in prompt.segments.iter().enumerate() {
            if index >= shared || segment.tokens < MIN_FETCH_TOKENS || is_retired {
                let is_private = index >= shared;
                plan.sources.push(if is_private {
                    SegmentSource::Private
                } else {
                    SegmentSource::Retired
                });
                plan.recomputed_tokens += if is_private { 0 } else { segment.tokens };
                plan.fetch.push(None);
                plan.segment_fetch_ms.push(0.0);
                plan.save.push(None);
                continue;
            }
            let key = (salt.clone(), segment.id);
            let source = self.source(configuration, &key, segment, transfer_context, now_ms);
            let is_cached = self.is_cached(&key, &ineligible);
            let target = if is_cached {
                Target::AlreadyCached
            } else {
                self.target(configuration, &key, segment, transfer_context, &ineligible, now_ms)
            };
            match &source {
                Some(source) => {
                    plan.fetched_tokens += segment.tokens;
                    plan.fetch_ms += source.cost_ms;
                }
                None => plan.recomputed_tokens += segment.tokens,
            }
            plan.sources.push(match (&source, target) {
                (Some(source), _) if source.is_engine => SegmentSource::Engine,
                (Some(_), _) => SegmentSource::Store,
                (None, _) if is_cached => SegmentSource::FetchTooSlow,
                (None, Target::AlreadyCached) => SegmentSource::BeingSaved,
                (None, _) => SegmentSource::Uncached,
            });
            if source.is_none() && target == Target::NoFreeCapacity {
                plan.uncacheable_tokens += segment.tokens;
            }
            plan.segment_fetch_ms.push(source.map_or(0.0, |source| source.cost_ms));
            plan.fetch.push(source.map(|source| source.address));
            plan.save.push(target.address());
        }
        plan
    }

    /// Returns whether a store that may be used holds a block.
    fn is_cached(&self, key: &BlockKey, ineligible: &[SocketAddr]) -> bool {
        let usable = self.stores.iter().filter(|(store, _)| !ineligible.contains(store));
        usable.map(|(_, state)| state).any(|state| state.blocks.contains_key(key))
    }

    /// Records the transfers of a plan that is about to be executed.
    pub fn book(
        &mut self,
        configuration: &Configuration,
        request: &RequestSpec,
        salt: &CacheSalt,
        transfer_context: &TransferContext<'_>,
        plan: &BlockPlan,
        now_ms: u64,
    ) {
        let Some(prompt) = &request.prompt else { return };
        let stores: HashMap<SocketAddr, &BlockStoreTraits> =
            configuration.block_stores().map(|(_, store)| (store.address, store)).collect();
        for (index, segment) in prompt.segments.iter().enumerate() {
            let is_resident = plan.sources[index] == SegmentSource::Resident;
            let fetched = plan.fetch[index].filter(|_| !is_resident);
            for address in [fetched, plan.save[index]].into_iter().flatten() {
                let (Some(store), Some(state)) =
                    (stores.get(&address), self.stores.get_mut(&address))
                else {
                    continue;
                };
                let transfer_ms = transfer_context.transfer_ms(store, segment.tokens);
                state.link.add(transfer_ms, transfer_context.gateway_ratio, now_ms);
            }
            let saved = plan.save[index].and_then(|address| self.stores.get_mut(&address));
            if let Some(state) = saved {
                state.pending.retain(|_, (_, until_ms)| *until_ms > now_ms);
                let key = (salt.clone(), segment.id);
                state.pending.insert(key, (segment.tokens, now_ms + SAVE_TIMEOUT_MS));
            }
        }
    }

    /// Returns the cheapest store or engine that holds a segment's block, or `None` if recomputing
    /// the segment costs less.
    fn source(
        &self,
        configuration: &Configuration,
        key: &BlockKey,
        segment: &PromptSegment,
        transfer_context: &TransferContext<'_>,
        now_ms: u64,
    ) -> Option<Source> {
        let recompute_ms = segment.tokens as f64
            * (1.0 / transfer_context.prefill_tokens_per_ms + RECOMPUTE_MS_PER_TOKEN);
        let is_worth_it = |transfer_ms: f64, cost_ms: f64| {
            transfer_ms <= MAX_TRANSFER_MS && cost_ms < recompute_ms
        };
        let eligibility = &transfer_context.eligibility;
        let stores =
            configuration.block_stores().filter(|(_, store)| eligibility.allows(&store.domain));
        let sources = stores.filter_map(|(_, store)| {
            let state = self.stores.get(&store.address)?;
            state.blocks.get(key).filter(|held| **held >= segment.tokens)?;
            let transfer_ms = transfer_context.transfer_ms(store, segment.tokens);
            let local_use = state.link.get(transfer_context.gateway_ratio, now_ms);
            let in_use = transfer_context.link_use(store, local_use).min(MAX_LINK_USE);
            let cost_ms = transfer_ms * (1.0 + queued_transfers(in_use));
            let source = Source { address: store.address, cost_ms, is_engine: false };
            is_worth_it(transfer_ms, cost_ms).then_some(source)
        });
        let engines =
            transfer_context.engines.iter().filter(|engine| eligibility.allows(engine.domain));
        let engines = engines.filter_map(|engine| {
            let holds = || self.residents.holds(engine.address, key, segment.tokens, now_ms);
            if !engine.has_session && !holds() {
                return None;
            }
            let link_mbps = transfer_context.engine_link_mbps?;
            let transfer_ms =
                transfer_context.engine_transfer_ms(engine.domain, link_mbps, segment.tokens);
            let cost_ms = transfer_ms + ENGINE_MISS_SHARE * recompute_ms;
            let source = Source { address: engine.address, cost_ms, is_engine: true };
            is_worth_it(transfer_ms, cost_ms).then_some(source)
        });
        sources.chain(engines).min_by(|left, right| left.cost_ms.total_cmp(&right.cost_ms))
    }

    /// Selects a store in the server's region with free capacity for a segment's block.
    fn target(
        &self,
        configuration: &Configuration,
        key: &BlockKey,
        segment: &PromptSegment,
        transfer_context: &TransferContext<'_>,
        ineligible: &[SocketAddr],
        now_ms: u64,
    ) -> Target {
        let is_pending = |(store, state): (&SocketAddr, &StoreState)| {
            let until_ms = state.pending.get(key).map(|(_, until_ms)| *until_ms);
            until_ms.is_some_and(|until_ms| until_ms > now_ms) && !ineligible.contains(store)
        };
        if self.stores.iter().any(is_pending) {
            return Target::AlreadyCached;
        }
        let with_capacity = configuration
            .block_stores()
            .filter(|(_, store)| !ineligible.contains(&store.address))
            .filter(|(_, store)| transfer_context.is_same_region(&store.domain))
            .filter(|(_, store)| self.has_free_capacity(store, segment.tokens, now_ms));
        match rendezvous::winner(&key.1.to_bytes(), with_capacity, |(name, _)| {
            name.as_str().as_bytes()
        }) {
            Some((_, store)) => Target::Store(store.address),
            None => Target::NoFreeCapacity,
        }
    }

    /// Returns whether a store has free capacity. A store whose content is not listed yet has none.
    fn has_free_capacity(&self, store: &BlockStoreTraits, tokens: u64, now_ms: u64) -> bool {
        let is_listed =
            self.stores.get(&store.address).is_some_and(|state| state.boot_epoch.is_some());
        let limit = (store.memory_tokens as f64 * MAX_FILL_SHARE) as u64;
        is_listed && self.used_tokens(store.address, now_ms) + tokens <= limit
    }
}

/// Returns the mean number of transfers queued ahead of a new one, for a queue with transfers of
/// equal length (M/D/1).
fn queued_transfers(in_use: f64) -> f64 {
    in_use / (2.0 * (1.0 - in_use))
}

/// A store or an engine to fetch a block from.
#[derive(Clone, Copy, Debug)]
struct Source {
    address: SocketAddr,
    is_engine: bool,
    cost_ms: f64,
}

/// The store to save a block to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Target {
    Store(SocketAddr),
    /// The block is already stored, or a save is in progress.
    AlreadyCached,
    NoFreeCapacity,
}

impl Target {
    const fn address(self) -> Option<SocketAddr> {
        match self {
            Target::Store(address) => Some(address),
            Target::AlreadyCached | Target::NoFreeCapacity => None,
        }
    }
}
