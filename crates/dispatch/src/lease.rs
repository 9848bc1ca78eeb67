//! The steward's lease: at most one gateway gives orders to servers.
//!
//! A lease is a record that was appended with a condition; its offset is the fence. Its time
//! counts from before the append, on a clock that runs while the host is suspended. Others count
//! it from when they first saw the record, so their count always ends later.

use protocol::ids::{HostName, LogOffset, ModelName};
use serde::{Deserialize, Serialize};

/// The lease's length, in milliseconds. Long enough to renew over a slow store, short enough that
/// a lost steward costs little of the time allowed for a rollout.
pub const LEASE_MS: u64 = 2_000;
/// What others wait beyond the lease, in milliseconds, for clocks that drift and orders in flight.
pub const LEASE_MARGIN_MS: u64 = 400;
/// The age from which on a holder renews, in milliseconds.
const RENEW_MS: u64 = 700;

/// The record of a lease.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// The gateway that holds the lease.
    pub holder: HostName,
    /// The start of its process, which tells its lives apart.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Whether the holder gave the lease back.
    pub is_released: bool,
    /// When the newest weights of each model were named, on the servers' clock, for gateways that
    /// start later.
    #[serde(rename = "named")]
    pub target_versions: Vec<TargetVersionRecord>,
}

/// When weights were named.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct TargetVersionRecord {
    /// The model.
    pub model: ModelName,
    /// The version.
    pub version: u64,
    /// The time on the servers' clock, in milliseconds.
    pub at_ms: u64,
}

/// A lease record as a gateway saw it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SeenLease {
    /// The record.
    pub record: LeaseRecord,
    /// Its place in the log.
    pub offset: LogOffset,
    /// When this gateway first saw it.
    pub seen_ms: u64,
}

/// The lease as its holder knows it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HeldLease {
    /// The fence of orders under this lease: the offset of its first record.
    pub fence: LogOffset,
    /// The offset after the newest record, the condition of the next one.
    pub end: LogOffset,
    /// When the newest record's append was started.
    pub since_ms: u64,
    /// When the first record was written.
    pub acquired_ms: u64,
    /// Whether this gateway held the lease last, too.
    pub is_reacquired: bool,
}

impl HeldLease {
    /// Says whether orders may be given now.
    pub const fn is_valid(&self, now_ms: u64) -> bool {
        now_ms < self.since_ms + LEASE_MS
    }

    /// Says whether the lease should be renewed now.
    pub const fn is_due(&self, now_ms: u64) -> bool {
        now_ms >= self.since_ms + RENEW_MS
    }
}

/// Says when a gateway may claim the lease, by what it saw of the newest record. Its own record
/// from before a restart holds nobody up: that process is gone.
pub fn may_acquire_at_ms(seen: Option<&SeenLease>, local: &HostName) -> u64 {
    match seen {
        None => 0,
        Some(seen) if seen.record.is_released || seen.record.holder == *local => seen.seen_ms,
        Some(seen) => seen.seen_ms + LEASE_MS + LEASE_MARGIN_MS,
    }
}
