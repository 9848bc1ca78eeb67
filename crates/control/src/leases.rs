//! Leases of rollout leaders, determined by the log alone.
//!
//! A lease is valid for [`LEASE_MS`] by the log's clock, from the record that grants it. The offset
//! of that record is the fencing token. The holder acts for two thirds of that time by its own
//! monotonic clock, counted from before it sent the record.

mod client;
mod ledger;
mod record;

pub use client::{LeaseClient, takeover_rank};
pub use ledger::{Lease, LeaseLedger, LeaseVerdict};
pub use record::{LEASE_STREAM, LeaseAction, LeaseRecord};

/// The duration of a lease by the log's clock, in milliseconds.
pub const LEASE_MS: u64 = 15_000;
/// How long a holder may act by its own clock, in milliseconds.
pub const HOLD_MS: u64 = LEASE_MS * 2 / 3;
/// The interval after which a holder renews, in milliseconds.
pub const RENEW_AFTER_MS: u64 = LEASE_MS / 5;
/// The additional delay of each further rank before it takes over, in milliseconds.
pub const RANK_DELAY_MS: u64 = 1_000;
