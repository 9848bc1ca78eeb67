//! The prefix cache: pieces in limited memory, evicted least recently used first.

use crate::answer::ModelState;
use clients::wire::engine::{KvChange, KvEvent, KvEvents, KvSnapshot};
use protocol::ids::{ChainKey, Incarnation, WeightVersion};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;
use tokio::time::Instant;

/// How many cache events are remembered.
const MAX_EVENTS: usize = 50_000;

/// Holds one cached piece.
#[derive(Clone, Debug)]
pub(super) struct CachedPiece {
    /// The weight version that the piece was computed with.
    pub(super) weight_version: WeightVersion,
    /// The organisation's salt; `None` for an imported piece that no request has used yet, whose
    /// key alone keeps it apart.
    pub(super) cache_salt: Option<String>,
    /// The state after the piece.
    pub(super) state: ModelState,
    /// The tokens of the piece.
    pub(super) tokens: u64,
}

/// Says how cache events are published.
#[derive(Clone, Copy, Debug)]
pub(super) struct EventPolicy {
    /// How late events appear.
    pub(super) lag: Duration,
    /// Every so many events one is lost; zero for none.
    pub(super) lost_every: u64,
}

/// Holds the cached pieces and the events about them.
pub(super) struct PrefixCache {
    size_tokens: u64,
    held_tokens: u64,
    pieces: HashMap<ChainKey, (u64, CachedPiece)>,
    by_use: BTreeMap<u64, ChainKey>,
    uses: u64,
    policy: EventPolicy,
    events: VecDeque<(Instant, KvEvent)>,
    next_event: u64,
}

impl PrefixCache {
    /// Creates an empty cache.
    pub(super) fn new(size_tokens: u64, policy: EventPolicy) -> Self {
        Self {
            size_tokens,
            held_tokens: 0,
            pieces: HashMap::new(),
            by_use: BTreeMap::new(),
            uses: 0,
            policy,
            events: VecDeque::new(),
            next_event: 0,
        }
    }

    /// Returns a piece if it is cached for the version and salt, and marks it as used.
    pub(super) fn use_piece(
        &mut self,
        key: &ChainKey,
        version: &WeightVersion,
        salt: &str,
    ) -> Option<CachedPiece> {
        self.uses += 1;
        let (used_at, piece) = self.pieces.get_mut(key)?;
        if piece.weight_version != *version || piece.cache_salt.as_ref().is_some_and(|s| s != salt)
        {
            return None;
        }
        piece.cache_salt.get_or_insert_with(|| salt.to_owned());
        self.by_use.remove(used_at);
        *used_at = self.uses;
        self.by_use.insert(self.uses, *key);
        Some(piece.clone())
    }

    /// Returns whether a piece is cached for the version and salt.
    pub(super) fn holds(&self, key: &ChainKey, version: &WeightVersion, salt: &str) -> bool {
        self.pieces.get(key).is_some_and(|(_, piece)| {
            piece.weight_version == *version && piece.cache_salt.as_ref().is_none_or(|s| s == salt)
        })
    }

    /// Returns a piece for export.
    pub(super) fn piece(&self, key: &ChainKey) -> Option<CachedPiece> {
        self.pieces.get(key).map(|(_, piece)| piece.clone())
    }

    /// Adds a piece, evicting others to make room.
    pub(super) fn insert(&mut self, key: ChainKey, piece: CachedPiece) {
        if piece.tokens > self.size_tokens {
            return;
        }
        self.drop_piece(&key, false);
        while self.held_tokens + piece.tokens > self.size_tokens {
            let Some((_, oldest)) = self.by_use.first_key_value() else {
                break;
            };
            let oldest = *oldest;
            self.drop_piece(&oldest, true);
        }
        self.uses += 1;
        self.held_tokens += piece.tokens;
        self.by_use.insert(self.uses, key);
        self.pieces.insert(key, (self.uses, piece));
        self.publish(key, KvChange::Stored);
    }

    /// Evicts everything.
    pub(super) fn clear(&mut self) {
        let keys: Vec<ChainKey> = self.by_use.values().copied().collect();
        for key in keys {
            self.drop_piece(&key, true);
        }
    }

    fn drop_piece(&mut self, key: &ChainKey, publish: bool) {
        let Some((used_at, piece)) = self.pieces.remove(key) else {
            return;
        };
        self.by_use.remove(&used_at);
        self.held_tokens -= piece.tokens;
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

    /// Lists the cached pieces.
    pub(super) fn snapshot(&self, incarnation: Incarnation) -> KvSnapshot {
        let keys = self.by_use.values().copied().collect();
        KvSnapshot { incarnation, keys, next_event: self.next_event }
    }

    /// Returns the visible events from a number on.
    pub(super) fn events(&self, incarnation: Incarnation, from: u64) -> KvEvents {
        let now = Instant::now();
        let visible = self.events.iter().take_while(|(visible_at, _)| *visible_at <= now);
        let events: Vec<KvEvent> =
            visible.map(|(_, event)| *event).filter(|event| event.number >= from).collect();
        let next_event = events.last().map_or(from, |event| event.number + 1);
        KvEvents { incarnation, events, next_event }
    }
}
