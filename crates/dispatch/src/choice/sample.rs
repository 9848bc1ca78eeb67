//! The servers that are compared for one request.
//!
//! Load pattern: many gateways receive each other's load reports some hundred milliseconds late.
//! Meanwhile all of them see the same few free servers and overload them in turns. Where machines differ
//! or demand moves between failure domains, the free servers are fewer and the effect is stronger.

use crate::choice::{Candidate, GatewayContext, LONG_PROMPT_SHARE, LONG_PROMPT_TOKENS};
use crate::configuration::EngineTraits;
use crate::load::Health;
use crate::request::{Prompt, RequestSpec};
use smallvec::SmallVec;
use std::hash::{DefaultHasher, Hash, Hasher};

/// The number of gateways up to which all servers are compared: with so few, reports arrive within
/// the time of a few requests.
const MAX_UNSAMPLED_GATEWAYS: usize = 12;
/// The number of healthy servers of each failure domain that are compared when there are many
/// gateways. Two random ones are enough to find a free one, and no server is among them for many
/// requests at once.
const SAMPLED_PER_DOMAIN: usize = 2;
/// The number of healthy servers of the gateway's failure domain, of the rest of its region and of
/// other regions that are compared where servers name their slowdowns. With two of each of six domains,
/// the best of twelve is one that many gateways choose before the next reports.
const SAMPLED_BY_PLACE: [usize; 3] = [2, 1, 1];
/// The sum of these.
const SAMPLED: usize = 4;

/// Keeps a random sample of the healthy servers of each failure domain, and any server that may
/// hold the session. Keeps all servers if none is healthy.
///
/// Where servers name their slowdowns, it keeps fewer, more of them nearby, and one with room and one
/// where the least of the prompt must be computed.
pub fn sample(
    candidates: &mut Vec<Candidate<'_>>,
    gateway_context: &GatewayContext,
    request: &RequestSpec,
    engines: &EngineTraits,
    gateways: usize,
    spread: u64,
) {
    if gateways <= MAX_UNSAMPLED_GATEWAYS || !candidates.iter().any(is_good) {
        return;
    }
    candidates.sort_by_cached_key(|candidate| {
        let mut hasher = DefaultHasher::new();
        (spread, &candidate.entry.id).hash(&mut hasher);
        hasher.finish()
    });
    if candidates.iter().any(|candidate| candidate.load.slowdown.is_some()) {
        let room = request.prompt.as_ref().map(|prompt| Room::new(engines, prompt));
        return keep_by_place(candidates, gateway_context, room);
    }
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

fn is_good(candidate: &Candidate<'_>) -> bool {
    candidate.load.health == Health::Good
}

/// What a request takes of a server.
#[derive(Clone, Copy, Debug)]
struct Room {
    /// The memory that may be in use before.
    max_held_tokens: u64,
}

impl Room {
    fn new(engines: &EngineTraits, prompt: &Prompt) -> Self {
        let run_tokens = prompt.run_tokens();
        let is_long = run_tokens >= LONG_PROMPT_TOKENS;
        let share = if is_long { LONG_PROMPT_SHARE } else { 1.0 };
        let limit_tokens = (share * engines.memory_tokens as f64) as u64;
        Self { max_held_tokens: limit_tokens.saturating_sub(run_tokens) }
    }

    fn is_at(self, candidate: &Candidate<'_>) -> bool {
        let load = &candidate.load;
        load.memory_tokens <= self.max_held_tokens
            && load.in_flight < candidate.entry.slots as usize
    }
}

/// Keeps the first healthy servers of each place, servers of other places if one has too few, the first
/// one with room if none of these has, the first of those with the least to compute, and any server that
/// may hold the session. Servers with room do not come first: all gateways would choose the few that a
/// failure domain has.
fn keep_by_place(
    candidates: &mut Vec<Candidate<'_>>,
    gateway_context: &GatewayContext,
    room: Option<Room>,
) {
    let mut left = SAMPLED_BY_PLACE;
    let mut kept: SmallVec<[usize; 8]> = SmallVec::new();
    let good = candidates.iter().enumerate().filter(|(_, candidate)| is_good(candidate));
    let has_room =
        |(_, candidate): &(usize, &Candidate<'_>)| room.is_none_or(|room| room.is_at(candidate));
    for (index, candidate) in good.clone() {
        let left = &mut left[place(gateway_context, candidate)];
        if *left > 0 {
            *left -= 1;
            kept.push(index);
        }
    }
    let others = good.clone().filter(|(index, _)| !kept.contains(index));
    let filling = others.clone().take(SAMPLED - kept.len()).map(|(index, _)| index);
    let filling: SmallVec<[usize; SAMPLED]> = filling.collect();
    if !good.clone().filter(|(index, _)| kept.contains(index)).any(|one| has_room(&one)) {
        let first = others.clone().find(has_room).map(|(index, _)| index);
        kept.extend(first);
    }
    kept.extend(filling);
    let least = good.min_by_key(|(index, candidate)| (candidate.blocks.prefill_tokens, *index));
    kept.extend(least.map(|(index, _)| index));
    let mut index = 0;
    candidates.retain(|candidate| {
        index += 1;
        candidate.has_session || kept.contains(&(index - 1))
    });
}

/// Returns 0 for a server of the gateway's failure domain, 1 for one of its region, and 2 for others.
fn place(gateway_context: &GatewayContext, candidate: &Candidate<'_>) -> usize {
    let domain = &candidate.entry.domain;
    if *domain == gateway_context.domain {
        return 0;
    }
    let region = |domain| gateway_context.regions.get(domain);
    let is_same_region = region(domain) == region(&gateway_context.domain);
    if is_same_region { 1 } else { 2 }
}
