//! The servers that are compared for one request.
//!
//! Load pattern: many gateways receive each other's load reports some hundred milliseconds late.
//! Meanwhile all of them see the same few free servers and overload them in turns.

use crate::choice::Candidate;
use crate::load::Health;
use smallvec::SmallVec;
use std::hash::{DefaultHasher, Hash, Hasher};

/// The number of gateways up to which all servers are compared: with so few, reports arrive within
/// the time of a few requests.
const MAX_UNSAMPLED_GATEWAYS: usize = 12;
/// The number of healthy servers of each failure domain that are compared when there are many
/// gateways. Two random ones are enough to find a free one, and no server is among them for many
/// requests at once.
const SAMPLED_PER_DOMAIN: usize = 2;

/// Keeps a random sample of the healthy servers of each failure domain, and any server that may
/// hold the session. Keeps all servers if none is healthy.
pub fn sample(candidates: &mut Vec<Candidate<'_>>, gateways: usize, spread: u64) {
    let is_good = |candidate: &Candidate<'_>| candidate.load.health == Health::Good;
    if gateways <= MAX_UNSAMPLED_GATEWAYS || !candidates.iter().any(is_good) {
        return;
    }
    candidates.sort_by_cached_key(|candidate| {
        let mut hasher = DefaultHasher::new();
        (spread, &candidate.entry.id).hash(&mut hasher);
        hasher.finish()
    });
    let mut taken = SmallVec::<[(_, usize); 8]>::new();
    candidates.retain(|candidate| {
        if candidate.has_session {
            return true;
        }
        if !is_good(candidate) {
            return false;
        }
        let domain = &candidate.entry.domain;
        let sampled = taken.iter().position(|(other, _)| *other == domain);
        let index = sampled.unwrap_or_else(|| {
            taken.push((domain, 0));
            taken.len() - 1
        });
        taken[index].1 += 1;
        taken[index].1 <= SAMPLED_PER_DOMAIN
    });
}
