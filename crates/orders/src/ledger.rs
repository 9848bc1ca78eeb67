//! The state of each key, derived from the records read so far.

use crate::key::{OrderDigest, OrderKey};
use crate::limits::{KeyAge, OrderLimits};
use crate::record::{Intent, OrderAnswer, Outcome, Owner, Record, Release};
use protocol::ids::{AttemptId, ServiceName};
use smallvec::SmallVec;
use std::collections::{BTreeMap, HashMap};

/// The effect of one record.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The intent is the first one that is not released, so its attempt holds the key.
    Holds,
    /// Another attempt held the key when the intent was stored. The intent never takes effect.
    Void,
    /// The key had expired when the record was stored. The record never takes effect.
    Expired,
    /// The key's creation time is in the future. The intent never takes effect.
    Future,
    /// The attempt was released or void before this intent. The intent never takes effect.
    Invalidated,
    /// The outcome of the attempt that holds the key was recorded.
    Recorded,
    /// The attempt that held the key was released, so the key is free.
    Freed,
    /// The record has no effect, or none yet.
    Unchanged,
}

/// The attempt that holds a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Holder {
    /// The attempt.
    pub attempt: AttemptId,
    /// The order service.
    pub service: ServiceName,
    /// The digest of the order's method, path and body.
    pub digest: OrderDigest,
    /// The process that may send the attempt.
    pub owner: Owner,
    /// The answer, once recorded.
    pub answer: Option<OrderAnswer>,
}

#[derive(Clone, Debug, Default)]
struct KeyState {
    holder: Option<Holder>,
    /// Attempts that can never hold the key, even if their intent is appended (again) later.
    invalidated: SmallVec<[AttemptId; 1]>,
}

/// The state of one shard of the keys, derived from the records applied so far.
///
/// The state depends only on the records and the log's clock, so all readers that have applied all
/// records of a key agree on its state.
#[derive(Clone, Debug)]
pub struct Ledger {
    limits: OrderLimits,
    keys: HashMap<OrderKey, KeyState>,
    expiries: BTreeMap<u64, Vec<OrderKey>>,
}

impl Ledger {
    /// Creates an empty ledger.
    pub fn new(limits: OrderLimits) -> Self {
        Self { limits, keys: HashMap::new(), expiries: BTreeMap::new() }
    }

    /// Returns the attempt that holds the key.
    pub fn holder(&self, key: &OrderKey) -> Option<&Holder> {
        self.keys.get(key)?.holder.as_ref()
    }

    /// Returns the number of keys in the ledger.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Returns whether the ledger holds no key.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Applies the next record of the stream.
    pub fn apply(&mut self, record: Record, appended_at_ms: u64) -> Verdict {
        let Some(key) = record.key() else { return Verdict::Unchanged };
        let age = self.limits.age(key.key, appended_at_ms);
        if age == KeyAge::Expired {
            return Verdict::Expired;
        }
        match record {
            Record::Intent(_) if age == KeyAge::Future => Verdict::Future,
            Record::Intent(intent) => self.apply_intent(intent),
            Record::Outcome(outcome) => self.apply_outcome(outcome),
            Record::Release(release) => self.apply_release(release),
            Record::Mark => Verdict::Unchanged,
        }
    }

    /// Removes every key whose window has ended at the given time of the log's clock.
    pub fn expire(&mut self, log_time_ms: u64) {
        while let Some(entry) = self.expiries.first_entry() {
            if *entry.key() >= log_time_ms {
                return;
            }
            for key in entry.remove() {
                self.keys.remove(&key);
            }
        }
    }

    fn apply_intent(&mut self, intent: Intent) -> Verdict {
        let state = self.state_mut(&intent.key);
        if state.invalidated.contains(&intent.attempt) {
            return Verdict::Invalidated;
        }
        if let Some(holder) = &state.holder {
            if holder.attempt == intent.attempt {
                return Verdict::Unchanged;
            }
            state.invalidated.push(intent.attempt);
            return Verdict::Void;
        }
        state.holder = Some(Holder {
            attempt: intent.attempt,
            service: intent.service,
            digest: intent.digest,
            owner: intent.owner,
            answer: None,
        });
        Verdict::Holds
    }

    fn apply_outcome(&mut self, outcome: Outcome) -> Verdict {
        let holder = self.keys.get_mut(&outcome.key).and_then(|state| state.holder.as_mut());
        match holder {
            Some(holder) if holder.attempt == outcome.attempt && holder.answer.is_none() => {
                holder.answer = Some(outcome.answer);
                Verdict::Recorded
            }
            _ => Verdict::Unchanged,
        }
    }

    fn apply_release(&mut self, release: Release) -> Verdict {
        let state = self.state_mut(&release.key);
        if state.invalidated.contains(&release.attempt) {
            return Verdict::Unchanged;
        }
        let was_held = state.holder.take_if(|holder| holder.attempt == release.attempt).is_some();
        state.invalidated.push(release.attempt);
        if was_held { Verdict::Freed } else { Verdict::Unchanged }
    }

    fn state_mut(&mut self, key: &OrderKey) -> &mut KeyState {
        if !self.keys.contains_key(key) {
            let expires_at_ms = self.limits.expires_at_ms(key.key);
            self.expiries.entry(expires_at_ms).or_default().push(key.clone());
        }
        self.keys.entry(key.clone()).or_default()
    }
}
