//! The services text, which the operators publish to all entry hosts.

pub mod shape;

use protocol::ids::{
    ConfigVersion, FailureDomain, ModelName, OrganisationId, Region, ServiceName, WeightVersion,
};
use serde::{Deserialize, Serialize};

/// A services text.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServicesText {
    /// The regions and the links between them.
    pub regions: Vec<RegionEntry>,
    /// The organisations whose requests are served.
    pub organisations: Vec<OrganisationEntry>,
    /// The services, in any order.
    pub services: Vec<ServiceEntry>,
}

/// A region.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RegionEntry {
    /// The region's name.
    pub name: Region,
    /// The failure domains of the region.
    pub domains: Vec<FailureDomain>,
    /// The bandwidth of the link to the other regions in each direction, in bits per second.
    pub link_bits_per_s: u64,
    /// The one-way delay to the other regions, in milliseconds.
    pub link_delay_ms: f64,
}

/// An organisation.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct OrganisationEntry {
    /// The organisation's name.
    pub name: OrganisationId,
    /// The BLAKE3 digests, in hexadecimal, of the organisation's bearer keys.
    pub key_digests: Vec<String>,
    /// The organisation's weight in fair sharing.
    #[serde(default = "default_share")]
    pub share: u32,
}

const fn default_share() -> u32 {
    1
}

/// A service.
///
/// Serde cannot deny unknown fields beside a flattened one; the check against
/// [`shape::SERVICES_TEXT`] reports them.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ServiceEntry {
    /// The service's name.
    pub name: ServiceName,
    /// The services that this service depends on.
    #[serde(default)]
    pub depends_on: Vec<ServiceName>,
    /// The kind of the service, with the settings of that kind.
    #[serde(flatten)]
    pub kind: ServiceKind,
}

/// The kind of a service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum ServiceKind {
    /// Servers that run a model.
    Model(ModelService),
    /// Servers that execute orders and return their outcomes.
    Order(OrderService),
    /// Store hosts that cache KV blocks.
    Store(StoreService),
}

/// Settings of a model service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ModelService {
    /// The model that callers request.
    pub model: ModelName,
    /// The weight version that new requests use.
    pub weight_version: WeightVersion,
    /// The store service that caches the model's KV blocks, if any.
    #[serde(rename = "kept_work")]
    pub block_store: Option<ServiceName>,
    /// Whether servers check fencing tokens.
    pub fencing: Fencing,
    /// The size of KV cache per token, in bytes.
    pub kv_bytes_per_token: u64,
    /// The deadline for the first token, in milliseconds.
    pub first_token_deadline_ms: u64,
    /// The typical time between two tokens, in milliseconds.
    pub token_gap_ms: u64,
}

/// Whether servers check fencing tokens.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Fencing {
    /// Servers refuse a command with a stale fencing token.
    Checked,
    /// Servers execute every command.
    Ignored,
}

/// Settings of an order service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct OrderService {
    /// The calls that the service offers.
    pub calls: Vec<CallEntry>,
    /// The deadline of a call, in milliseconds.
    pub deadline_ms: u64,
    /// The path that returns the outcome of an order, with `{key}` for the idempotency key.
    pub outcome_path: Option<String>,
}

/// A call of an order service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CallEntry {
    /// The HTTP method.
    pub method: String,
    /// The path within the service; `*` as the last segment matches any remainder.
    pub path: String,
    /// Whether the call is idempotent and may be sent more than once.
    pub idempotent: bool,
}

/// Settings of a store service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct StoreService {
    /// The expiry time of a cached block after its last use, in seconds.
    pub expiry_s: u64,
    /// The throughput of a store host, in bytes per second.
    pub bytes_per_s: u64,
}

/// A services text with the version under which it was accepted.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct VersionedServices {
    /// The version.
    pub version: ConfigVersion,
    /// The text.
    pub services: ServicesText,
}
