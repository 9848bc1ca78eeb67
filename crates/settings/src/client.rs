//! Settings of the operators' command line.

pub mod shape;

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The addresses that the operators' command line connects to.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ClientSettings {
    /// The platform's append-only log.
    pub log: Option<SocketAddr>,
    /// Operators' listeners of some entry hosts, from which the others are discovered.
    pub nodes: Vec<SocketAddr>,
    /// Maps addresses to the addresses under which this process reaches them.
    pub address_map: BTreeMap<SocketAddr, SocketAddr>,
}
