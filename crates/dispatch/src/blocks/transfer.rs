//! Places of servers, and how long transfers to them take.

use crate::configuration::BlockStoreTraits;
use protocol::ids::{FailureDomain, Region};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

/// How much longer a transfer to another failure domain takes, by the platform's pages.
const CROSS_DOMAIN_FACTOR: f64 = 2.0;
/// How much longer a transfer to another region takes, by the platform's pages.
const CROSS_REGION_FACTOR: f64 = 10.0;
/// What a fetch from an engine waits besides, in milliseconds: the engine works in steps.
const ENGINE_DELAY_MS: f64 = 6.0;
/// A server's place and what transfers to it take.
#[derive(Clone, Debug)]
pub struct TransferContext<'a> {
    /// The server's failure domain.
    pub domain: &'a FailureDomain,
    /// The region of each failure domain.
    pub regions: &'a HashMap<FailureDomain, Region>,
    /// The engines whose memory may be fetched from.
    pub engines: &'a [Holder<'a>],
    /// The bandwidth of the engines' links, in megabits a second.
    pub engine_link_mbps: Option<f64>,
    /// The bytes of a token.
    pub token_bytes: u64,
    /// The prompt tokens that an engine reads in a millisecond.
    pub prefill_tokens_per_ms: f64,
    /// What other gateways told of their use of the stores' links.
    pub peer_link_use: &'a LinkShares,
    /// How many gateways each known one stands for, as some may tell nothing.
    pub gateway_ratio: f64,
}

/// An engine that holds parts of a prompt.
#[derive(Clone, Copy, Debug)]
pub struct Holder<'a> {
    /// Its address.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: &'a FailureDomain,
    /// Whether it runs the session, or did a moment ago, and so holds all shared parts.
    pub has_session: bool,
}

/// The shares of the time of stores' links that transfers take, in thousandths.
pub type LinkShares = BTreeMap<SocketAddr, u32>;

impl TransferContext<'_> {
    pub(super) fn is_same_region(&self, other: &FailureDomain) -> bool {
        self.domain == other || self.regions.get(self.domain) == self.regions.get(other)
    }

    /// The share of its time that all gateways use a store's link, by this gateway's own share.
    pub(super) fn link_use(&self, store: &BlockStoreTraits, local: f64) -> f64 {
        let peers = self.peer_link_use.get(&store.address).copied().unwrap_or(0);
        (local + f64::from(peers) / 1_000.0) * self.gateway_ratio
    }

    /// The time that a transfer holds the store's link.
    pub(super) fn transfer_ms(&self, store: &BlockStoreTraits, tokens: u64) -> f64 {
        store.transfer_delay_ms + self.link_ms(&store.domain, store.link_mbps, tokens)
    }

    /// The time of a fetch from an engine's memory.
    pub(super) fn engine_transfer_ms(
        &self,
        domain: &FailureDomain,
        link_mbps: f64,
        tokens: u64,
    ) -> f64 {
        ENGINE_DELAY_MS + self.link_ms(domain, link_mbps, tokens)
    }

    fn link_ms(&self, other: &FailureDomain, link_mbps: f64, tokens: u64) -> f64 {
        let factor = if self.domain == other {
            1.0
        } else if self.is_same_region(other) {
            CROSS_DOMAIN_FACTOR
        } else {
            CROSS_REGION_FACTOR
        };
        let bits = (tokens * self.token_bytes * 8) as f64;
        factor * bits / (link_mbps * 1_000.0)
    }
}
