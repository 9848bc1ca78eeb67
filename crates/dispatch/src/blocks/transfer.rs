//! Transfer times between a server and the holders of blocks.

use crate::configuration::{BlockStoreTraits, Configuration};
use crate::eligibility::Eligibility;
use protocol::ids::{FailureDomain, Region};
use smallvec::SmallVec;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

/// The factor by which a transfer to another failure domain takes longer, per the platform
/// documentation.
const CROSS_DOMAIN_FACTOR: f64 = 2.0;
/// The factor by which a transfer to another region takes longer, per the platform documentation.
const CROSS_REGION_FACTOR: f64 = 10.0;
/// The extra delay of a fetch from an engine, in milliseconds, because the engine works in steps.
const ENGINE_DELAY_MS: f64 = 6.0;
/// The location of a server, and the inputs that determine transfer times to it.
#[derive(Clone, Debug)]
pub struct TransferContext<'a> {
    /// The server's failure domain.
    pub domain: &'a FailureDomain,
    /// The region of each failure domain.
    pub regions: &'a HashMap<FailureDomain, Region>,
    /// Which stores and engines the blocks may come from and go to.
    pub eligibility: Eligibility<'a>,
    /// The engines whose memory blocks may be fetched from.
    pub engines: &'a [Holder<'a>],
    /// The bandwidth of the engines' links, in megabits per second.
    pub engine_link_mbps: Option<f64>,
    /// The bytes of a token's KV cache.
    pub token_bytes: u64,
    /// The prefill rate of an engine, in tokens per millisecond.
    pub prefill_tokens_per_ms: f64,
    /// The use of the stores' links that other gateways reported.
    pub peer_link_use: &'a LinkShares,
    /// The number of gateways divided by the number whose load is reported, this one included, as
    /// some reports may be missing.
    pub gateway_ratio: f64,
}

/// An engine that holds blocks of a prompt.
#[derive(Clone, Copy, Debug)]
pub struct Holder<'a> {
    /// Its address.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: &'a FailureDomain,
    /// Whether it runs the session or did recently, and so holds the blocks of all shared segments.
    pub has_session: bool,
}

/// The share of time that transfers occupy each store's link, in thousandths.
pub type LinkShares = BTreeMap<SocketAddr, u32>;

impl TransferContext<'_> {
    pub(super) fn is_same_region(&self, other: &FailureDomain) -> bool {
        self.domain == other || self.regions.get(self.domain) == self.regions.get(other)
    }

    /// Returns the block stores that may not be used.
    pub(super) fn ineligible_stores(
        &self,
        configuration: &Configuration,
    ) -> SmallVec<[SocketAddr; 4]> {
        let stores = configuration.block_stores().map(|(_, store)| store);
        let ineligible = stores.filter(|store| !self.eligibility.allows(&store.domain));
        ineligible.map(|store| store.address).collect()
    }

    /// Returns the share of time that all gateways use a store's link, given this gateway's own
    /// share.
    pub(super) fn link_use(&self, store: &BlockStoreTraits, local: f64) -> f64 {
        let peers = self.peer_link_use.get(&store.address).copied().unwrap_or(0);
        (local + f64::from(peers) / 1_000.0) * self.gateway_ratio
    }

    /// Returns how long a transfer occupies the store's link.
    pub(super) fn transfer_ms(&self, store: &BlockStoreTraits, tokens: u64) -> f64 {
        store.transfer_delay_ms + self.link_ms(&store.domain, store.link_mbps, tokens)
    }

    /// Returns how long a fetch from an engine's memory takes.
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
