//! Probes between entry hosts, which also carry the exchange of host records.
//!
//! | request | answer |
//! |---|---|
//! | [`Probe`] | [`Ack`] |
//! | [`Exchange`] | [`ExchangeAnswer`] |

use super::hosts::HostRecord;
use crate::ids::{ConfigVersion, HostName, Incarnation};
use serde::{Deserialize, Serialize};

/// The maximum size of an encoded [`Probe`] or [`Ack`], in bytes.
pub const MAX_PROBE_BYTES: usize = 32 << 10;
/// The maximum size of an encoded [`Exchange`] or [`ExchangeAnswer`], in bytes.
pub const MAX_EXCHANGE_BYTES: usize = 256 << 10;
/// The maximum number of records in a [`Probe`] or an [`Ack`].
pub const MAX_PROBE_RECORDS: usize = 40;
/// The maximum number of records in an [`Exchange`] or an [`ExchangeAnswer`].
pub const MAX_EXCHANGE_RECORDS: usize = 320;
/// The number of buckets into which a host table is divided for comparison.
pub const BUCKETS: usize = 128;

/// The configuration version and state of an entry host.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Heartbeat {
    /// The sender.
    pub host: HostName,
    /// The sender's incarnation.
    pub incarnation: Incarnation,
    /// The configuration version in force at the sender.
    pub config_version: ConfigVersion,
    /// A digest of the sender's host table.
    pub table_digest: u64,
    /// Whether the sender is draining.
    pub draining: bool,
}

/// Probes whether an entry host is alive and carries recent changes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Probe {
    /// The sender's state.
    pub heartbeat: Heartbeat,
    /// Recently changed records.
    pub records: Vec<HostRecord>,
}

/// Answers a [`Probe`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Ack {
    /// The sender's state after the probe's records were merged.
    pub heartbeat: Heartbeat,
    /// Recently changed records.
    pub records: Vec<HostRecord>,
    /// One digest per bucket if the tables differ, else empty.
    pub bucket_digests: Vec<u32>,
}

/// Sends all records of some buckets and requests those of the receiver.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Exchange {
    /// The buckets.
    pub buckets: Vec<u8>,
    /// The sender's records in them.
    pub records: Vec<HostRecord>,
}

/// Answers an [`Exchange`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ExchangeAnswer {
    /// The receiver's records in the buckets that supersede or extend those of the sender.
    pub records: Vec<HostRecord>,
}
