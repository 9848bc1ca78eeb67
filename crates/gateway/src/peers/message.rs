//! Messages between gateways.

use crate::block_log::BlockEvent;
use crate::gateways::GatewayRecord;
use dispatch::registry::{RegistryStatus, ServerEntry, ServerId};
use protocol::ids::ModelName;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The path of a snapshot.
pub const SNAPSHOT_PATH: &str = "/peers/snapshot";
/// The path that takes news.
pub const NEWS_PATH: &str = "/peers/news";

/// What a gateway knows from the store.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Snapshot {
    /// How old it is, in milliseconds.
    pub age_ms: u64,
    /// The record of the configuration in force.
    pub configuration: Option<Vec<u8>>,
    /// The newest weight version named for each model.
    pub weights: BTreeMap<ModelName, u64>,
    /// The servers.
    pub servers: Vec<(ServerEntry, RegistryStatus)>,
    /// The gateways.
    pub gateways: Vec<GatewayRecord>,
}

/// The path of what a follower does not know yet.
pub const FOLLOW_PATH: &str = "/peers/follow";

/// What a follower knows already.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct FollowRequest {
    /// The life of the gateway that it follows, when it last learnt from it.
    pub life: u64,
    /// The version of the configuration.
    pub configuration: u64,
    /// The generation of the registry of the gateway that it follows.
    pub servers: u64,
    /// The number of the next change of kept blocks.
    pub blocks: u64,
}

/// What a follower learns.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FollowAnswer {
    /// What it knows from now on.
    pub next: FollowRequest,
    /// How old it is, in milliseconds.
    pub age_ms: u64,
    /// The record of a newer configuration.
    pub configuration: Option<Vec<u8>>,
    /// The newest weight version named for each model.
    pub weights: BTreeMap<ModelName, u64>,
    /// The servers, if something changed.
    pub servers: Option<Vec<(ServerEntry, RegistryStatus)>>,
    /// Whether the changes of kept blocks start from nothing.
    pub is_whole: bool,
    /// The changes of kept blocks.
    pub blocks: Vec<BlockEvent>,
    /// The oldest weight version of each model whose kept parts may still be used.
    pub oldest_used: Vec<(ModelName, u64)>,
    /// The time on the servers' clock, in milliseconds, if known.
    pub servers_clock_ms: Option<u64>,
}

/// What a gateway tells all others as it happens.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct News {
    /// Requests whose send broke off with its server.
    #[serde(rename = "broken")]
    pub aborted: Vec<[u8; 16]>,
    /// Servers that load weights, with the time for which they take no requests, in milliseconds.
    pub occupied: Vec<(ServerId, u64)>,
    /// The oldest weight version of each model whose kept parts may still be used.
    pub oldest_used: Vec<(ModelName, u64)>,
    /// Servers that have loaded weights.
    pub loaded: Vec<(ServerId, ModelName, u64)>,
}

impl News {
    /// Says whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.aborted.is_empty()
            && self.occupied.is_empty()
            && self.oldest_used.is_empty()
            && self.loaded.is_empty()
    }
}

/// Writes a message.
///
/// # Panics
///
/// Panics if a message type has no MessagePack form, which its first test shows.
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    rmp_serde::to_vec(message).expect("messages have a MessagePack form")
}

/// Reads a message; `None` if another version of the program wrote it in another form.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    rmp_serde::from_slice(bytes).ok()
}
