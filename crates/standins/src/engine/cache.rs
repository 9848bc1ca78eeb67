//! The prefix cache: KV blocks in limited memory, with LRU eviction.

use crate::answer::ModelState;
use clients::wire::engine::{KvChange, KvEvent, KvEvents, KvSnapshot};
use protocol::ids::{ChainKey, Incarnation, WeightVersion};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;
use tokio::time::Instant;

/// Maximum number of retained cache events.
const MAX_EVENTS: usize = 50_000;

/// One cached block.
#[derive(Clone, Debug)]
pub(super) struct CachedBlock {
    /// The weight version that the block was computed with.
    pub(super) weight_version: WeightVersion,
    /// The organisation's salt; `None` for an imported block that no request has used yet, which
    /// only its key separates from those of other organisations.
    pub(super) cache_salt: Option<String>,
    /// The state after the segment.
    pub(super) state: ModelState,
    /// The number of tokens in the segment.
    pub(super) tokens: u64,
}

/// How cache events are published.
#[derive(Clone, Copy, Debug)]
pub(super) struct EventPolicy {
    /// The delay before an event becomes visible.
    pub(super) lag: Duration,
    /// One in this many events is dropped; zero drops none.
    pub(super) lost_every: u64,
}

/// The cached blocks and the events about them.
pub(super) struct PrefixCache {
    capacity_tokens: u64,
    used_tokens: u64,
    blocks: HashMap<ChainKey, (u64, CachedBlock)>,
    by_last_use: BTreeMap<u64, ChainKey>,
    use_count: u64,
    policy: EventPolicy,
    events: VecDeque<(Instant, KvEvent)>,
    next_event: u64,
}

impl PrefixCache {
    /// Creates an empty cache.
    pub(super) fn new(capacity_tokens: u64, policy: EventPolicy) -> Self {
        Self {
            capacity_tokens,
            used_tokens: 0,
            blocks: HashMap::new(),
            by_last_use: BTreeMap::new(),
            use_count: 0,
            policy,
            events: VecDeque::new(),
            next_event: 0,
        }
    }

    /// Returns a block if it is cached for the version and salt, and marks it as used.
    pub(super) fn use_block(
        &mut self,
        key: &ChainKey,
        version: &WeightVersion,
        salt: &str,
    ) -> Option<CachedBlock> {
        self.use_count += 1;
        let (last_use, block) = self.blocks.get_mut(key)?;
        if block.weight_version != *version || block.cache_salt.as_ref().is_some_and(|s| s != salt)
        {
            return None;
        }
        block.cache_salt.get_or_insert_with(|| salt.to_owned());
        self.by_last_use.remove(last_use);
        *last_use = self.use_count;
        self.by_last_use.insert(self.use_count, *key);
        Some(block.clone())
    }

    /// Returns whether a block is cached for the version and salt.
    pub(super) fn contains(&self, key: &ChainKey, version: &WeightVersion, salt: &str) -> bool {
        self.blocks.get(key).is_some_and(|(_, block)| {
            block.weight_version == *version && block.cache_salt.as_ref().is_none_or(|s| s == salt)
        })
    }

    /// Returns a block for export.
    pub(super) fn block(&self, key: &ChainKey) -> Option<CachedBlock> {
        self.blocks.get(key).map(|(_, block)| block.clone())
    }

    /// Adds a block, evicting others to free capacity.
    pub(super) fn insert(&mut self, key: ChainKey, block: CachedBlock) {
        if block.tokens > self.capacity_tokens {
            return;
        }
        self.drop_block(&key, false);
        while self.used_tokens + block.tokens > self.capacity_tokens {
            let Some((_, oldest)) = self.by_last_use.first_key_value() else {
                break;
            };
            let oldest = *oldest;
            self.drop_block(&oldest, true);
        }
        self.use_count += 1;
        self.used_tokens += block.tokens;
        self.by_last_use.insert(self.use_count, key);
        self.blocks.insert(key, (self.use_count, block));
        self.publish(key, KvChange::Stored);
    }

    /// Evicts all blocks.
    pub(super) fn clear(&mut self) {
        let keys: Vec<ChainKey> = self.by_last_use.values().copied().collect();
        for key in keys {
            self.drop_block(&key, true);
        }
    }

    fn drop_block(&mut self, key: &ChainKey, publish: bool) {
        let Some((last_use, block)) = self.blocks.remove(key) else {
            return;
        };
        self.by_last_use.remove(&last_use);
        self.used_tokens -= block.tokens;
        if publish {
            self.publish(*key, KvChange::Evicted);
        }
    }

    fn publish(&mut self, key: ChainKey, change: KvChange) {
        let number = self.next_event;
        self.next_event += 1;
        let lost_every = self.policy.lost_every;
        if lost_every > 0 && number % lost_every == lost_every - 1 {
            return;
        }
        let visible_at = Instant::now() + self.policy.lag;
        self.events.push_back((visible_at, KvEvent { number, key, change }));
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }

    /// Returns a snapshot of the cached blocks.
    pub(super) fn snapshot(&self, incarnation: Incarnation) -> KvSnapshot {
        let keys = self.by_last_use.values().copied().collect();
        KvSnapshot { incarnation, keys, next_event: self.next_event }
    }

    /// Returns the visible events from event number `from` on.
    pub(super) fn events(&self, incarnation: Incarnation, from: u64) -> KvEvents {
        let now = Instant::now();
        let visible = self.events.iter().take_while(|(visible_at, _)| *visible_at <= now);
        let events: Vec<KvEvent> =
            visible.map(|(_, event)| *event).filter(|event| event.number >= from).collect();
        let next_event = events.last().map_or(from, |event| event.number + 1);
        KvEvents { incarnation, events, next_event }
    }
}
