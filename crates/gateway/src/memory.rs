//! The account of a gateway's memory: what others can make it hold, within the memory of its host.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The share of the host's memory that the account may give. The rest is for the program's own state
/// and for what the allocator keeps beside what is held.
const ACCOUNT_SHARE: f64 = 0.55;
/// The bytes of a megabyte.
const MEGABYTE_BYTES: f64 = 1_000_000.0;
/// The parts into which the account is divided for what is set aside.
const PARTS: usize = 16;
/// The size up to which an answer is always held, in bytes, so that large answers leave room for
/// small ones.
const MIN_ANSWER_BYTES: usize = 16 * 1024;
/// The size up to which a caller's body is small, in bytes.
pub const SMALL_BODY_BYTES: usize = 64 * 1024;

/// What memory is held for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Purpose {
    /// Bodies of callers' requests of up to [`SMALL_BODY_BYTES`].
    SmallBodies,
    /// Larger bodies of callers' requests.
    LargeBodies,
    /// Answers of servers.
    Answers,
    /// Answers to the gateway's own calls, and messages of other gateways.
    Calls,
    /// Connections that are carried for other gateways.
    Tunnels,
    /// Connections of all listeners, with their buffers.
    Connections,
    /// The parsed heads of requests.
    Heads,
}

impl Purpose {
    /// All purposes.
    pub const ALL: [Self; 7] = [
        Self::SmallBodies,
        Self::LargeBodies,
        Self::Answers,
        Self::Calls,
        Self::Tunnels,
        Self::Connections,
        Self::Heads,
    ];

    /// Returns what a caller's body of a size is held as.
    pub const fn body(bytes: usize) -> Self {
        if bytes <= SMALL_BODY_BYTES { Self::SmallBodies } else { Self::LargeBodies }
    }

    /// Returns the purpose's name in metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::SmallBodies => "small_bodies",
            Self::LargeBodies => "large_bodies",
            Self::Answers => "answers",
            Self::Calls => "calls",
            Self::Tunnels => "tunnels",
            Self::Connections => "connections",
            Self::Heads => "heads",
        }
    }

    /// Returns the parts of the account that are set aside for the purpose.
    const fn set_aside_parts(self) -> usize {
        match self {
            Self::SmallBodies | Self::Calls => 2,
            Self::Answers => 4,
            Self::Tunnels => 1,
            Self::LargeBodies | Self::Connections | Self::Heads => 0,
        }
    }
}

/// How much is held for each purpose. What is set aside for a purpose is not given to another one,
/// whether it is held or not.
#[derive(Clone, Debug)]
pub struct Ledger {
    size_bytes: usize,
    held_bytes: [usize; Purpose::ALL.len()],
}

impl Ledger {
    /// Creates a ledger of which nothing is held.
    pub const fn new(size_bytes: usize) -> Self {
        Self { size_bytes, held_bytes: [0; Purpose::ALL.len()] }
    }

    /// Returns how much may be held in all, in bytes.
    pub const fn size_bytes(&self) -> usize {
        self.size_bytes
    }

    /// Returns how much is held for a purpose, in bytes.
    pub const fn held_bytes(&self, purpose: Purpose) -> usize {
        self.held_bytes[purpose as usize]
    }

    /// Returns how much is held in all, in bytes.
    pub fn total_bytes(&self) -> usize {
        self.held_bytes.iter().sum()
    }

    /// Returns how much is set aside for a purpose, in bytes.
    pub const fn set_aside_bytes(&self, purpose: Purpose) -> usize {
        self.size_bytes / PARTS * purpose.set_aside_parts()
    }

    /// Returns how much more may be held for a purpose, in bytes.
    pub fn free_bytes(&self, purpose: Purpose) -> usize {
        let others = Purpose::ALL.into_iter().filter(|other| *other != purpose);
        let kept_for_others: usize =
            others.map(|other| self.held_bytes(other).max(self.set_aside_bytes(other))).sum();
        let held = self.held_bytes(purpose);
        let shared = self.size_bytes.saturating_sub(kept_for_others + held);
        shared.max(self.set_aside_bytes(purpose).saturating_sub(held))
    }

    /// Holds bytes if there is room for them; returns whether there was.
    pub fn try_hold(&mut self, purpose: Purpose, bytes: usize) -> bool {
        let is_free = bytes <= self.free_bytes(purpose);
        if is_free {
            self.hold(purpose, bytes);
        }
        is_free
    }

    /// Holds bytes that are in memory already.
    pub const fn hold(&mut self, purpose: Purpose, bytes: usize) {
        self.held_bytes[purpose as usize] += bytes;
    }

    /// Gives bytes back.
    pub const fn give_back(&mut self, purpose: Purpose, bytes: usize) {
        self.held_bytes[purpose as usize] -= bytes;
    }
}

/// The account that all tasks of a gateway share.
#[derive(Debug)]
pub struct MemoryAccount {
    ledger: Mutex<Ledger>,
    refused_bodies: AtomicU64,
}

impl MemoryAccount {
    /// Creates an account of a size in bytes, of which nothing is held.
    pub const fn new(size_bytes: usize) -> Self {
        Self { ledger: Mutex::new(Ledger::new(size_bytes)), refused_bodies: AtomicU64::new(0) }
    }

    /// Creates the account of a gateway whose host gives it some megabytes.
    pub const fn for_host(memory_mb: f64) -> Self {
        Self::new((memory_mb * MEGABYTE_BYTES * ACCOUNT_SHARE) as usize)
    }

    /// Returns a copy of the ledger.
    pub fn ledger(&self) -> Ledger {
        self.lock().clone()
    }

    /// Records that a body has found no room.
    pub fn record_refused_body(&self) {
        self.refused_bodies.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns how many bodies have found no room since the start.
    pub fn refused_bodies(&self) -> u64 {
        self.refused_bodies.load(Ordering::Relaxed)
    }

    /// Returns the size of the largest answer that may be held for a purpose when nothing else is, in
    /// bytes. It leaves as much for others.
    pub fn max_answer_bytes(&self, purpose: Purpose) -> u64 {
        (Ledger::new(self.lock().size_bytes()).free_bytes(purpose) / 2) as u64
    }

    fn lock(&self) -> MutexGuard<'_, Ledger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The memory that one body, answer or connection holds, until it is dropped.
#[derive(Debug)]
pub struct MemoryShare {
    account: Arc<MemoryAccount>,
    purpose: Purpose,
    bytes: usize,
}

impl MemoryShare {
    /// Creates an empty share.
    pub const fn new(account: Arc<MemoryAccount>, purpose: Purpose) -> Self {
        Self { account, purpose, bytes: 0 }
    }

    /// Returns the size of the share, in bytes.
    pub const fn bytes(&self) -> usize {
        self.bytes
    }

    /// Grows the share to a size if there is room for it; returns whether there was.
    pub fn try_grow(&mut self, bytes: usize) -> bool {
        let growth_bytes = bytes.saturating_sub(self.bytes);
        let is_held = self.account.lock().try_hold(self.purpose, growth_bytes);
        if is_held {
            self.bytes += growth_bytes;
        }
        is_held
    }

    /// Sets the size of the share to what is in memory already; returns whether the account allows
    /// it. An answer may hold as much as the others leave free, so that one alone may hold half, and
    /// any number of them less than the whole.
    pub fn resize(&mut self, bytes: usize) -> bool {
        if bytes <= self.bytes {
            self.shrink(bytes);
            return true;
        }
        let mut ledger = self.account.lock();
        ledger.hold(self.purpose, bytes - self.bytes);
        self.bytes = bytes;
        bytes <= MIN_ANSWER_BYTES || bytes <= ledger.free_bytes(self.purpose)
    }

    /// Gives back what is beyond a size.
    pub fn shrink(&mut self, bytes: usize) {
        let surplus_bytes = self.bytes.saturating_sub(bytes);
        if surplus_bytes > 0 {
            self.account.lock().give_back(self.purpose, surplus_bytes);
            self.bytes -= surplus_bytes;
        }
    }
}

impl Drop for MemoryShare {
    fn drop(&mut self) {
        self.shrink(0);
    }
}
