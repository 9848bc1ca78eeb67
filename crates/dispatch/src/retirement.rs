//! Retirement of cached blocks: which blocks a gateway may name in requests, and when the rollout
//! leader may free them.
//!
//! A block store does not know who reads from it. `docs/design/retired-blocks.md` gives the rules and
//! the cases that they cover.

mod permit;
mod retirements;

pub use crate::retirement::permit::{FetchPermit, Withheld};
pub use crate::retirement::retirements::Retirements;

/// The maximum time allowed for a request's fetches, in milliseconds.
pub const MAX_FETCH_MS: u64 = 900;
/// The transit time of a fetch request, in milliseconds, which adds to the longest fetch.
const TRANSIT_MS: u64 = 300;
/// The age of the store's cached state up to which cached blocks are fetched, in milliseconds.
/// Longer than most outages of the store, and short compared with the time for which outdated
/// blocks may occupy memory that is needed.
const MAX_STATE_AGE_MS: u64 = 6_000;
/// How much older a state may be than it counts, in milliseconds: the answer's time in transit, also
/// through the gateway that is followed.
const STATE_LAG_MS: u64 = 2_000;
/// How long a gateway fetches blocks after its last listing of what is retired began, in milliseconds:
/// the interval between listings, and some failed ones.
const LISTING_TTL_MS: u64 = 30_000;
/// The share of the time allowed for new weights after which blocks of superseded weights are fetched
/// no more. Requests leave the servers with these weights before.
const SUPERSEDED_USE_SHARE: f64 = 0.7;

/// Returns how long blocks of superseded weights are fetched, given the time that the installation
/// allows for new weights.
pub fn superseded_use_ms(allowed_ms: u64) -> u64 {
    (SUPERSEDED_USE_SHARE * allowed_ms as f64) as u64
}

/// A retirement that has been written to the store and sent to all gateways.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SentRetirement {
    /// When it was known to be in the store.
    pub written_ms: u64,
    /// When the last gateway had confirmed it, or had had the time to.
    pub answered_ms: u64,
    /// Whether all gateways confirmed.
    pub is_confirmed: bool,
    /// When the rollout leader learned of the newer weights.
    pub superseded_ms: u64,
    /// When the rollout leader first saw the current era of the store; zero if the store names none.
    pub era_since_ms: u64,
}

impl SentRetirement {
    /// Returns the time from which on no gateway can be fetching the blocks. `allowed_ms` is the time
    /// that the installation allows for new weights.
    pub fn free_at_ms(&self, allowed_ms: u64) -> u64 {
        // Gateways that registered in an earlier era only.
        let mut unused_ms = self.answered_ms;
        if self.era_since_ms > 0 {
            unused_ms = unused_ms.max(self.era_since_ms + MAX_STATE_AGE_MS + STATE_LAG_MS);
        }
        if !self.is_confirmed {
            let known_ms = self.superseded_ms + MAX_STATE_AGE_MS + STATE_LAG_MS;
            unused_ms = unused_ms.max(known_ms + superseded_use_ms(allowed_ms));
        }
        // The record of the newer weights may be lost.
        if !self.is_confirmed && self.era_since_ms >= self.superseded_ms {
            unused_ms = unused_ms.max(self.written_ms + LISTING_TTL_MS);
        }
        unused_ms + MAX_FETCH_MS + TRANSIT_MS
    }
}
