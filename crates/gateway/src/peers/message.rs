//! The messages between gateways.

use crate::block_log::BlockEvent;
use crate::gateways::GatewayRecord;
use crate::target_weights::TargetReport;
use admission::peer_sums::SumsReport;
use dispatch::cold::ColdReport;
use dispatch::era::StoreEra;
use dispatch::evacuations::EvacuationReport;
use dispatch::load::{LoadDigest, SlowdownRows};
use dispatch::registry::{EntryPosition, RegistryStatus, ServerEntry, ServerId};
use dispatch::streams::{StreamKey, StreamRecord};
use protocol::ids::{FailureDomain, HostName, Incarnation, ModelName};
use protocol::msgpack;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The path of a snapshot.
pub const SNAPSHOT_PATH: &str = "/peers/snapshot";
/// The path that receives updates.
pub const UPDATE_PATH: &str = "/peers/news";

/// The state that a gateway has read from the store.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Snapshot {
    /// The age of the state, in milliseconds.
    pub age_ms: u64,
    /// The record of the configuration in force.
    pub configuration: Option<Vec<u8>>,
    /// The newest target weight version of each model.
    pub weights: BTreeMap<ModelName, u64>,
    /// The servers.
    pub servers: Vec<(ServerEntry, RegistryStatus)>,
    /// The gateways.
    pub gateways: Vec<GatewayRecord>,
    /// The era of the store, if known; it follows the encoded message.
    #[serde(skip)]
    pub store_era: Option<StoreEra>,
    /// The end of what was read of the servers' entries; it follows the era.
    #[serde(skip)]
    pub servers_until: Option<EntryPosition>,
    /// The target weight versions with their times; they follow the position. Builds before them
    /// name only the newest versions, in `weights`.
    #[serde(skip)]
    pub targets: Option<TargetReport>,
    /// The evacuations; they follow the target weight versions, in one value with `cold`. `None` from
    /// builds that know none.
    #[serde(skip)]
    pub evacuations: Option<EvacuationReport>,
    /// What is known of cold servers.
    #[serde(skip)]
    pub cold: Vec<ColdReport>,
}

/// The path of a report on target weight versions.
pub const TARGETS_PATH: &str = "/peers/targets";

/// The path on which a follower polls for changes.
pub const FOLLOW_PATH: &str = "/peers/follow";

/// The position of a follower: the state that it already has.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct FollowRequest {
    /// The incarnation of the followed gateway that sent this position.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// The version of the configuration.
    pub configuration: u64,
    /// The generation of the followed gateway's registry.
    pub servers: u64,
    /// The number of the next change in the followed gateway's block log.
    pub blocks: u64,
}

/// The changes since a follower's position.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FollowAnswer {
    /// The follower's next position.
    pub next: FollowRequest,
    /// The age of the state, in milliseconds.
    pub age_ms: u64,
    /// The record of a newer configuration.
    pub configuration: Option<Vec<u8>>,
    /// The newest target weight version of each model.
    pub weights: BTreeMap<ModelName, u64>,
    /// The servers, if any changed.
    pub servers: Option<Vec<(ServerEntry, RegistryStatus)>>,
    /// Whether `blocks` holds the complete state instead of changes.
    #[serde(rename = "is_whole")]
    pub is_complete: bool,
    /// The changes of cached blocks.
    pub blocks: Vec<BlockEvent>,
    /// The oldest weight version of each model whose cached blocks may still be used.
    pub oldest_used: Vec<(ModelName, u64)>,
    /// The time on the servers' clock, in milliseconds, if known.
    pub servers_clock_ms: Option<u64>,
    /// The era of the store, if known; it follows the encoded message.
    #[serde(skip)]
    pub store_era: Option<StoreEra>,
    /// The end of what was read of the servers' entries; it follows the era.
    #[serde(skip)]
    pub servers_until: Option<EntryPosition>,
    /// The target weight versions with their times; they follow the position.
    #[serde(skip)]
    pub targets: Option<TargetReport>,
    /// The evacuations; they follow the target weight versions, in one value with `cold`. `None` from
    /// builds that know none.
    #[serde(skip)]
    pub evacuations: Option<EvacuationReport>,
    /// What is known of cold servers.
    #[serde(skip)]
    pub cold: Vec<ColdReport>,
}

/// An update that a gateway sends to all others as events occur.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct PeerUpdate {
    /// Earlier versions of the program send the contents of aborted requests here. The field stays
    /// empty, as fields are identified by their position.
    #[serde(rename = "broken")]
    pub aborted: Vec<[u8; 16]>,
    /// Servers that load weights, with the time for which they get no requests, in milliseconds.
    pub occupied: Vec<(ServerId, u64)>,
    /// The oldest weight version of each model whose cached blocks may still be used.
    pub oldest_used: Vec<(ModelName, u64)>,
    /// Servers that have loaded weights.
    pub loaded: Vec<(ServerId, ModelName, u64)>,
    /// Incarnations of servers that announced that they leave. The field is omitted while it is
    /// empty, because earlier versions of the program do not accept it.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub leaving: Vec<(ServerId, Incarnation)>,
    /// The era of the store, if it has risen; it follows the encoded message.
    #[serde(skip)]
    pub store_era: Option<StoreEra>,
}

impl PeerUpdate {
    /// Returns whether there is nothing to send.
    pub fn is_empty(&self) -> bool {
        self.aborted.is_empty()
            && self.occupied.is_empty()
            && self.oldest_used.is_empty()
            && self.loaded.is_empty()
            && self.leaving.is_empty()
            && self.store_era.is_none()
    }
}

/// A datagram on streams.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum StreamMessage {
    /// Records of streams.
    Records(Vec<StreamRecord>),
    /// Asks for a stream's record.
    Query(StreamKey),
    /// Answers a query without a record.
    Unknown(StreamKey),
}

/// A datagram on load besides reports.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum DigestMessage {
    /// The load of all gateways, from the relay of the failure domain.
    Digest(LoadDigest),
}

/// A datagram on the slowdowns of servers, for gateways whose records say that they read it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum SlowdownMessage {
    /// What a gateway heard, or as a relay its failure domain.
    Samples {
        /// The sender.
        host: HostName,
        /// Its failure domain.
        domain: FailureDomain,
        /// The means of the samples.
        rows: SlowdownRows,
    },
    /// The estimates of the relay of the failure domain.
    Estimates(SlowdownRows),
}

/// A datagram on the recent work that gateways admitted; only for gateways that read them.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum WorkMessage {
    /// The work of one or several gateways.
    Sums(SumsReport),
}

/// Encodes a message.
///
/// # Panics
///
/// Panics if a message type has no MessagePack form; the first test of the type would show that.
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    rmp_serde::to_vec(message).expect("messages have a MessagePack form")
}

/// Encodes a message and values that follow it, one after the other. Earlier builds, which know fewer
/// values or none, ignore the rest.
///
/// # Panics
///
/// Panics as [`encode`] does.
pub fn encode_with<T: Serialize, V: Serialize>(message: &T, first: &V) -> Vec<u8> {
    encode_with_two(message, first, &())
}

/// Encodes a message and two values that follow it.
///
/// # Panics
///
/// Panics as [`encode`] does.
pub fn encode_with_two<T: Serialize, V: Serialize, W: Serialize>(
    message: &T,
    first: &V,
    second: &W,
) -> Vec<u8> {
    [encode(message), encode(first), encode(second)].concat()
}

/// Encodes a message and three values that follow it.
///
/// # Panics
///
/// Panics as [`encode`] does.
pub fn encode_with_three<T: Serialize, V: Serialize, W: Serialize, X: Serialize>(
    message: &T,
    first: &V,
    second: &W,
    third: &X,
) -> Vec<u8> {
    [encode_with_two(message, first, second), encode(third)].concat()
}

/// Encodes a message and four values that follow it.
///
/// # Panics
///
/// Panics as [`encode`] does.
pub fn encode_with_four<T, V, W, X, Y>(
    message: &T,
    first: &V,
    second: &W,
    third: &X,
    fourth: &Y,
) -> Vec<u8>
where
    T: Serialize,
    V: Serialize,
    W: Serialize,
    X: Serialize,
    Y: Serialize,
{
    [encode_with_three(message, first, second, third), encode(fourth)].concat()
}

/// Decodes a message and the value that follows it, or the default if none does.
pub fn decode_with<T: DeserializeOwned, V: DeserializeOwned + Default>(
    bytes: &[u8],
) -> Option<(T, V)> {
    let (message, first, ()) = decode_with_two(bytes)?;
    Some((message, first))
}

/// Decodes a message and the two values that follow it, or the defaults of those that are missing.
pub fn decode_with_two<T, V, W>(bytes: &[u8]) -> Option<(T, V, W)>
where
    T: DeserializeOwned,
    V: DeserializeOwned + Default,
    W: DeserializeOwned + Default,
{
    let (message, first, second, (), ()) = decode_with_four(bytes)?;
    Some((message, first, second))
}

/// Decodes a message and the three values that follow it, or the defaults of those that are missing.
pub fn decode_with_three<T, V, W, X>(bytes: &[u8]) -> Option<(T, V, W, X)>
where
    T: DeserializeOwned,
    V: DeserializeOwned + Default,
    W: DeserializeOwned + Default,
    X: DeserializeOwned + Default,
{
    let (message, first, second, third, ()) = decode_with_four(bytes)?;
    Some((message, first, second, third))
}

/// Decodes a message and the four values that follow it, or the defaults of those that are missing.
pub fn decode_with_four<T, V, W, X, Y>(mut bytes: &[u8]) -> Option<(T, V, W, X, Y)>
where
    T: DeserializeOwned,
    V: DeserializeOwned + Default,
    W: DeserializeOwned + Default,
    X: DeserializeOwned + Default,
    Y: DeserializeOwned + Default,
{
    let message = msgpack::decode_next(&mut bytes).ok()?;
    let first = msgpack::decode_next(&mut bytes).unwrap_or_default();
    let second = msgpack::decode_next(&mut bytes).unwrap_or_default();
    let third = msgpack::decode_next(&mut bytes).unwrap_or_default();
    Some((message, first, second, third, msgpack::decode_next(&mut bytes).unwrap_or_default()))
}

/// Decodes a message; `None` if another version of the program encoded it in another form.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    msgpack::decode(bytes).ok()
}
