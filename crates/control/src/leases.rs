//! Leases of stewards, told by the log alone.
//!
//! A lease runs for [`LEASE_MS`] by the log's clock from the record that grants it; the record's
//! offset is the fencing token. The holder acts for two thirds of that by its own monotonic clock,
//! counted from before it sent the record.

mod ledger;
mod record;
mod steward;

pub use ledger::{Lease, LeaseLedger, LeaseVerdict};
pub use record::{LEASE_STREAM, LeaseAction, LeaseRecord};
pub use steward::{Steward, takeover_rank};

/// How long a lease runs by the log's clock, in milliseconds.
pub const LEASE_MS: u64 = 15_000;
/// How long a holder acts by its own clock, in milliseconds.
pub const HOLD_MS: u64 = LEASE_MS * 2 / 3;
/// After how long a holder renews, in milliseconds.
pub const RENEW_AFTER_MS: u64 = LEASE_MS / 5;
/// How much longer each further rank waits before it takes over, in milliseconds.
pub const RANK_WAIT_MS: u64 = 1_000;
