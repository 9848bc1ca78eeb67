//! The records of the lease stream.

use protocol::ids::{HostName, Incarnation, LogOffset, ServiceName};
use serde::{Deserialize, Serialize};

/// The log's stream of lease records.
pub const LEASE_STREAM: &str = "leases";

/// Holds one record of the lease stream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseRecord {
    /// The service whose servers the holder gives orders to.
    pub service: ServiceName,
    /// The entry host that claims or releases.
    pub holder: HostName,
    /// The incarnation of the entry host.
    pub incarnation: Incarnation,
    /// Tells this record from all others of the holder.
    #[serde(rename = "claim_id")]
    pub record_id: String,
    /// What the record does.
    pub action: LeaseAction,
}

/// Says what a lease record does.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LeaseAction {
    /// Takes the lease if nobody holds it.
    #[serde(rename = "claim")]
    Acquire,
    /// Extends the holder's own lease, granted at this offset.
    Renew(LogOffset),
    /// Ends the holder's own lease, granted at this offset.
    Release(LogOffset),
}
