//! The links between failure domains and between regions.

use crate::scenario::{LINK_BITS_PER_S, REGION_DELAY_MS, Scenario};
use eyre::Result;
use protocol::size::{ByteCount, BytesPerSecond};
use standins::relay::{Link, LinkConfig, Relay};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

const BITS_PER_BYTE: u64 = 8;

/// The links of a site and the relays over them.
pub struct Links {
    regions: Vec<usize>,
    within_region: Arc<Link>,
    /// Forward is the direction from the first region to the second.
    between_regions: Arc<Link>,
    relays: HashMap<(usize, SocketAddr), Relay>,
}

impl Links {
    /// Creates the links of a scenario.
    pub fn new(scenario: &Scenario) -> Self {
        let within = LinkConfig { delay_ms: scenario.domain_delay_ms, bytes_per_s: None };
        let rate = BytesPerSecond::new(LINK_BITS_PER_S / BITS_PER_BYTE);
        let between = LinkConfig { delay_ms: REGION_DELAY_MS, bytes_per_s: Some(rate) };
        Self {
            regions: scenario.domains.iter().map(|domain| domain.region).collect(),
            within_region: Link::new(within),
            between_regions: Link::new(between),
            relays: HashMap::new(),
        }
    }

    /// Maps the targets in other failure domains to the relays through which hosts of the domain
    /// `from` reach them.
    ///
    /// # Errors
    ///
    /// Returns an error if a relay cannot be started.
    pub async fn address_map(
        &mut self,
        from: usize,
        targets: &[(usize, SocketAddr)],
    ) -> Result<BTreeMap<SocketAddr, SocketAddr>> {
        let mut map = BTreeMap::new();
        for (domain, target) in targets.iter().filter(|(domain, _)| *domain != from) {
            if !self.relays.contains_key(&(from, *target)) {
                let relay = Relay::start(self.link(from, *domain), *target).await?;
                self.relays.insert((from, *target), relay);
            }
            map.insert(*target, self.relays[&(from, *target)].address());
        }
        Ok(map)
    }

    fn link(&self, from: usize, to: usize) -> Arc<Link> {
        match (self.regions[from], self.regions[to]) {
            (from, to) if from == to => Arc::clone(&self.within_region),
            (0, _) => Arc::clone(&self.between_regions),
            _ => self.between_regions.reversed(),
        }
    }

    /// Returns the bytes sent between the regions, in both directions.
    pub fn inter_region_bytes(&self) -> ByteCount {
        let counters = self.between_regions.counters();
        counters.forward_bytes + counters.backward_bytes
    }
}
