//! The platform's store, as far as retirements need it.

use dispatch::era::StoreEra;
use std::collections::{BTreeMap, VecDeque};

/// How long a lease lasts, and how much later others may acquire it, in milliseconds.
pub const LEASE_MS: u64 = 2_000;
pub const LEASE_OVER_MS: u64 = 2_400;
/// The number of copies that are kept, one a second.
pub const COPIES: usize = 12;

/// What is lost when the store returns from a copy.
#[derive(Clone, Debug, Default)]
pub struct Content {
    /// The registered gateways.
    pub gateways: BTreeMap<usize, u64>,
    pub retired: u64,
    pub end: u64,
    pub target: u64,
    /// The holder of the lease, its incarnation, and when its last record was written.
    pub lease: Option<(usize, u64, u64)>,
}

#[derive(Debug, Default)]
pub struct Store {
    pub era: u32,
    pub down_until_ms: u64,
    pub slow_until_ms: u64,
    pub content: Content,
    copies: VecDeque<Content>,
}

/// A call to the store.
#[derive(Clone, Copy, Debug)]
pub enum Call {
    Register,
    List,
    ReadState,
    /// Acquires or renews the lease.
    Lease {
        expired_ms: u64,
    },
    /// Lists for a rollout leader.
    LeaderList,
    Retire {
        version: u64,
        end: Option<u64>,
    },
}

#[derive(Clone, Debug)]
pub enum Answer {
    Failed,
    Done,
    Listed { gateways: Vec<usize>, retired: u64, end: u64 },
    State { target: u64, age_ms: u64, retired: u64 },
}

impl Store {
    pub fn new() -> Self {
        let content = Content { target: 1, ..Content::default() };
        Self { era: 1, content, ..Self::default() }
    }

    pub fn era(&self) -> StoreEra {
        StoreEra::new(self.era)
    }

    pub fn keep_copy(&mut self) {
        self.copies.push_front(self.content.clone());
        self.copies.truncate(COPIES);
    }

    /// Returns from one of the copies.
    pub fn restore(&mut self, index: usize) {
        if let Some(copy) = self.copies.get(index) {
            self.content = copy.clone();
            self.copies.clear();
        }
        self.era += 1;
    }

    pub fn execute(&mut self, gateway: usize, life: u64, call: Call, now_ms: u64) -> Answer {
        if now_ms < self.down_until_ms {
            return Answer::Failed;
        }
        let content = &mut self.content;
        match call {
            Call::Register => {
                content.gateways.insert(gateway, content.end);
                content.end += 1;
                Answer::Done
            }
            Call::List | Call::LeaderList => Answer::Listed {
                gateways: content.gateways.keys().copied().collect(),
                retired: content.retired,
                end: content.end,
            },
            Call::ReadState => Answer::State { target: content.target, age_ms: 0, retired: 0 },
            Call::Lease { expired_ms } => {
                let is_free = match content.lease {
                    Some((holder, held_life, at_ms)) => {
                        (holder, held_life) == (gateway, life) || now_ms >= at_ms + LEASE_OVER_MS
                    }
                    None => true,
                };
                if !is_free || now_ms < expired_ms {
                    return Answer::Failed;
                }
                content.lease = Some((gateway, life, now_ms));
                Answer::Done
            }
            Call::Retire { version, end } => {
                if end.is_some_and(|end| end != content.end) {
                    return Answer::Failed;
                }
                content.retired = content.retired.max(version);
                content.end += 1;
                Answer::Done
            }
        }
    }
}
