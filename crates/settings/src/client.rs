//! The settings of the operators' command line.

pub mod shape;

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Says where the operators' command line finds the log and the entry hosts.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ClientSettings {
    /// The platform's append-only log.
    pub log: Option<SocketAddr>,
    /// Operators' listeners of some entry hosts; the others are learnt from them.
    pub nodes: Vec<SocketAddr>,
    /// Addresses that are reached under another address from here.
    pub address_map: BTreeMap<SocketAddr, SocketAddr>,
}
