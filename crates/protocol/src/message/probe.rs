//! Probes between entry hosts, and the exchange of host records that rides on them.
//!
//! | request | answer |
//! |---|---|
//! | [`Probe`] | [`Ack`] |
//! | [`Exchange`] | [`ExchangeAnswer`] |

use super::hosts::HostRecord;
use crate::ids::{ConfigVersion, HostName, Incarnation};
use serde::{Deserialize, Serialize};

/// The largest encoded [`Probe`] or [`Ack`] that is read, in bytes.
pub const MAX_PROBE_BYTES: usize = 32 << 10;
/// The largest encoded [`Exchange`] or [`ExchangeAnswer`] that is read, in bytes.
pub const MAX_EXCHANGE_BYTES: usize = 256 << 10;
/// The most records that a [`Probe`] or an [`Ack`] holds.
pub const MAX_PROBE_RECORDS: usize = 40;
/// The most records that a [`Exchange`] or a [`ExchangeAnswer`] holds.
pub const MAX_EXCHANGE_RECORDS: usize = 320;
/// The number of buckets into which a host table is divided for comparison.
pub const BUCKETS: usize = 128;

/// Tells what an entry host has in force and whether it drains.
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

/// Asks an entry host for a sign of life and passes on recent changes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Probe {
    /// The sender's state.
    pub heartbeat: Heartbeat,
    /// Records that changed lately.
    pub records: Vec<HostRecord>,
}

/// Answers a [`Probe`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Ack {
    /// The sender's state after the probe's records were merged.
    pub heartbeat: Heartbeat,
    /// Records that changed lately.
    pub records: Vec<HostRecord>,
    /// One digest a bucket if the tables differ, else empty.
    pub bucket_digests: Vec<u32>,
}

/// Sends all records of some buckets and asks for the receiver's.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Exchange {
    /// The buckets.
    pub buckets: Vec<u8>,
    /// The sender's records in them.
    pub records: Vec<HostRecord>,
}

/// Answers a [`Exchange`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ExchangeAnswer {
    /// The receiver's records in the buckets, where they say more than the sender's.
    pub records: Vec<HostRecord>,
}
