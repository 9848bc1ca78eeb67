//! The records of the lease stream.

use protocol::ids::{HostName, Incarnation, LogOffset, ServiceName};
use serde::{Deserialize, Serialize};

/// The log's stream of lease records.
pub const LEASE_STREAM: &str = "leases";

/// One record of the lease stream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseRecord {
    /// The service whose servers the lease holder sends commands to.
    pub service: ServiceName,
    /// The entry host that acquires, renews or releases the lease.
    pub holder: HostName,
    /// The incarnation of the entry host.
    pub incarnation: Incarnation,
    /// Identifies this record among all those of the holder.
    #[serde(rename = "claim_id")]
    pub record_id: String,
    /// The action.
    pub action: LeaseAction,
}

/// The action of a lease record.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LeaseAction {
    /// Acquires the lease if nobody holds it.
    #[serde(rename = "claim")]
    Acquire,
    /// Extends the holder's lease, which the record at this offset granted.
    Renew(LogOffset),
    /// Releases the holder's lease, which the record at this offset granted.
    Release(LogOffset),
}
