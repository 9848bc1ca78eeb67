//! The load of all gateways, as the relay of a failure domain sends it to the others there.

use crate::blocks::LinkShares;
use crate::load::peers::{InFlightLoad, LoadSums, ServerTag};
use crate::load::sessions::SessionTag;
use protocol::ids::HostName;
use serde::de::{Error, SeqAccess, Visitor};
use serde::ser::SerializeSeq;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::fmt;

/// The unit in which digests hold the memory of requests, in tokens.
const MEMORY_UNIT_TOKENS: u64 = 16;

/// Identifies a gateway in few bytes.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct GatewayTag(u32);

impl GatewayTag {
    /// Derives the tag of a gateway. If two gateways have the same tag, one of them may count its
    /// own load twice.
    pub fn new(host: &HostName) -> Self {
        let hash = blake3::hash(host.as_str().as_bytes());
        let [first, second, third, fourth, ..] = *hash.as_bytes();
        Self(u32::from_le_bytes([first, second, third, fourth]))
    }
}

/// The load of all gateways at one time, gathered by the relay of a failure domain.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct LoadDigest {
    /// The relay.
    pub host: HostName,
    /// The incarnation of the relay: the start of its process, as Unix milliseconds.
    pub incarnation: u64,
    /// The sequence number within the incarnation.
    pub number: u64,
    /// The gateways of the failure domain whose load it holds, the relay included, each with the
    /// number of its report.
    pub members: Vec<(GatewayTag, u64)>,
    /// The number of gateways whose load it holds.
    pub gateways: u32,
    /// The servers with attempts in flight.
    pub servers: ServerLoads,
    /// The use of the block stores' links.
    pub links: LinkShares,
    /// Sessions with requests in flight, and their servers.
    pub sessions: Vec<(SessionTag, ServerTag)>,
}

impl LoadDigest {
    /// Returns the number of a gateway's report that the digest covers.
    pub fn covered_report(&self, gateway: GatewayTag) -> Option<u64> {
        self.members.iter().find(|(member, _)| *member == gateway).map(|(_, number)| *number)
    }

    /// Returns the sums of the digest.
    pub(super) fn sums(&self) -> LoadSums {
        let mut sums = LoadSums::default();
        sums.add(self.gateways, &self.servers.0, &self.links);
        sums
    }
}

/// The load on each of many servers, encoded as one sequence of numbers.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ServerLoads(pub Vec<(ServerTag, InFlightLoad)>);

impl Serialize for ServerLoads {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut numbers = serializer.serialize_seq(Some(4 * self.0.len()))?;
        for (server, load) in &self.0 {
            numbers.serialize_element(server)?;
            numbers.serialize_element(&load.in_flight)?;
            numbers.serialize_element(&load.memory_tokens.div_ceil(MEMORY_UNIT_TOKENS))?;
            numbers.serialize_element(&load.unstarted_ms)?;
        }
        numbers.end()
    }
}

impl<'de> Deserialize<'de> for ServerLoads {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_seq(ServerLoadsVisitor)
    }
}

struct ServerLoadsVisitor;

impl<'de> Visitor<'de> for ServerLoadsVisitor {
    type Value = ServerLoads;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("four numbers for each server")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut numbers: A) -> Result<ServerLoads, A::Error> {
        let mut servers = Vec::new();
        while let Some(server) = numbers.next_element()? {
            let mut next =
                |name| numbers.next_element::<u64>()?.ok_or(A::Error::missing_field(name));
            let small = |value: u64| u32::try_from(value).unwrap_or(u32::MAX);
            let load = InFlightLoad {
                in_flight: small(next("in_flight")?),
                memory_tokens: next("memory_tokens")?.saturating_mul(MEMORY_UNIT_TOKENS),
                unstarted_ms: small(next("unstarted_ms")?),
            };
            servers.push((server, load));
        }
        Ok(ServerLoads(servers))
    }
}
