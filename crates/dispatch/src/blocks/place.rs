//! Places of servers, and how long transfers to them take.

use crate::configuration::BlockStoreTraits;
use protocol::ids::{FailureDomain, Region};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

/// How much longer a transfer to another failure domain takes, by the platform's pages.
const OTHER_DOMAIN_FACTOR: f64 = 2.0;
/// How much longer a transfer to another region takes, by the platform's pages.
const OTHER_REGION_FACTOR: f64 = 10.0;
/// A server's place and what transfers to it take.
#[derive(Clone, Debug)]
pub struct Place<'a> {
    /// The server's failure domain.
    pub domain: &'a FailureDomain,
    /// The region of each failure domain.
    pub regions: &'a HashMap<FailureDomain, Region>,
    /// The bytes of a token.
    pub token_bytes: u64,
    /// The prompt tokens that an engine reads in a millisecond.
    pub prefill_tokens_per_ms: f64,
    /// What other gateways told of their use of the stores' links.
    pub told_links: &'a LinkShares,
    /// How many gateways each known one stands for, as some may tell nothing.
    pub stands_for: f64,
}

/// The shares of the time of stores' links that transfers take, in thousandths.
pub type LinkShares = BTreeMap<SocketAddr, u32>;

impl Place<'_> {
    pub(super) fn is_same_region(&self, other: &FailureDomain) -> bool {
        self.domain == other || self.regions.get(self.domain) == self.regions.get(other)
    }

    /// The share of its time that all gateways use a store's link, by this gateway's own share.
    pub(super) fn link_use(&self, store: &BlockStoreTraits, own: f64) -> f64 {
        let told = self.told_links.get(&store.address).copied().unwrap_or(0);
        (own + f64::from(told) / 1_000.0) * self.stands_for
    }

    /// The time that a transfer holds the store's link.
    pub(super) fn transfer_ms(&self, store: &BlockStoreTraits, tokens: u64) -> f64 {
        let factor = if *self.domain == store.domain {
            1.0
        } else if self.is_same_region(&store.domain) {
            OTHER_DOMAIN_FACTOR
        } else {
            OTHER_REGION_FACTOR
        };
        let bits = (tokens * self.token_bytes * 8) as f64;
        store.transfer_delay_ms + factor * bits / (store.link_mbps * 1_000.0)
    }
}
