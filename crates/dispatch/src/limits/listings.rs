//! Whether a gateway has been the first holder of a server for long enough that no other gateway is
//! still asked as the first one.

use crate::limits::asks::holders;
use crate::registry::ServerId;
use protocol::ids::{FailureDomain, HostName};
use std::collections::VecDeque;

/// The gap between observations after which this gateway may have missed changes, in milliseconds.
const MAX_GAP_MS: u64 = 2_000;
/// The maximum number of listings that are kept; with more, no holder counts as settled.
const MAX_LISTINGS: usize = 16;

type Listing = Vec<(HostName, FailureDomain)>;

/// The listings of the gateways in the last seconds.
#[derive(Debug, Default)]
pub struct Listings {
    /// The listings, the oldest first, each with the time since which it holds.
    recent: VecDeque<(u64, Listing)>,
    observed_ms: u64,
    /// Since when observations have no gap, and there was no doubt.
    since_ms: u64,
    /// How long a change of the listed gateways takes to reach all of them, in milliseconds.
    settle_ms: u64,
}

impl Listings {
    /// Creates a history without listings.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes the listing of all gateways, this one included, in any order, and how long a change of
    /// it takes to reach all of them. Returns whether this gateway has been unable to observe for a
    /// while.
    pub fn observe<'a>(
        &mut self,
        gateways: impl Iterator<Item = (&'a HostName, &'a FailureDomain)>,
        settle_ms: u64,
        now_ms: u64,
    ) -> bool {
        self.settle_ms = settle_ms;
        let mut listing: Listing =
            gateways.map(|(host, domain)| (host.clone(), domain.clone())).collect();
        listing.sort_unstable();
        let has_gap = self.has_gap(now_ms);
        if self.recent.is_empty() || has_gap {
            self.recent.clear();
            self.since_ms = now_ms;
        }
        self.observed_ms = now_ms;
        if self.recent.back().is_none_or(|(_, newest)| *newest != listing) {
            self.recent.push_back((now_ms, listing));
        }
        // A listing counts until the one after it has settled.
        while self.recent.get(1).is_some_and(|(since_ms, _)| *since_ms + settle_ms <= now_ms) {
            self.recent.pop_front();
        }
        if self.recent.len() > MAX_LISTINGS {
            self.recent.pop_front();
            self.since_ms = now_ms;
        }
        has_gap
    }

    /// Notes that the listing of the gateways may be outdated; returns as [`Listings::observe`].
    pub fn doubt(&mut self, now_ms: u64) -> bool {
        let has_gap = self.has_gap(now_ms);
        (self.observed_ms, self.since_ms) = (now_ms, now_ms);
        has_gap
    }

    fn has_gap(&self, now_ms: u64) -> bool {
        !self.recent.is_empty() && now_ms > self.observed_ms + MAX_GAP_MS
    }

    /// Returns whether a gateway has been the first holder of a server for long enough.
    pub fn is_settled_first(&self, host: &HostName, server: &ServerId, now_ms: u64) -> bool {
        let is_observed = now_ms >= self.since_ms + self.settle_ms;
        is_observed
            && now_ms <= self.observed_ms + MAX_GAP_MS
            && !self.recent.is_empty()
            && self.recent.iter().all(|(_, listing)| {
                let listed: Vec<_> = listing.iter().map(|(host, domain)| (host, domain)).collect();
                holders(server, &listed).first() == Some(&host)
            })
    }
}
