//! Choice of the server that runs a request, or of the reason why none can.
//!
//! Load patterns: bursts of arrivals at one gateway; long prompts ahead of short ones; a quarter of
//! the servers offline while the registry still lists them; weights being replaced.

mod sample;

pub use crate::choice::sample::sample;

use crate::blocks::RECOMPUTE_MS_PER_TOKEN;
use crate::configuration::EngineTraits;
use crate::eligibility::Ineligible;
use crate::load::{Health, LoadView, SlowdownView};
use crate::registry::{ServerEntry, ServerId};
use crate::request::{Prompt, RequestSpec};
use protocol::ids::{FailureDomain, Region};
use std::collections::HashMap;

/// The round-trip time to another failure domain, in milliseconds, per the data sheets.
const CROSS_DOMAIN_RTT_MS: f64 = 3.0;
/// The round-trip time to another region, in milliseconds, per the data sheets.
const CROSS_REGION_RTT_MS: f64 = 25.0;
/// The cost of a kilobyte sent between failure domains, in milliseconds of waiting. This traffic is
/// billed by volume; a kilobyte costs about as much as recomputing 30 tokens.
const CROSS_DOMAIN_MS_PER_KILOBYTE: f64 = 2.0;
/// The cost of a plain server's load once half of its slots are in use, in milliseconds per request
/// in flight.
const PLAIN_BUSY_MS: f64 = 20.0;
/// The expected service time of a plain request, in milliseconds.
pub const PLAIN_SERVICE_MS: f64 = 60.0;
/// The answer bytes per generated token.
const ANSWER_BYTES_PER_TOKEN: f64 = 64.0;
/// The answer bytes of a plain request.
const PLAIN_ANSWER_BYTES: f64 = 1_000.0;
/// The penalty for older weights once a newer version is requested, in milliseconds of waiting.
const OLD_WEIGHTS_MS: f64 = 400.0;
/// The penalty for an avoided server, in milliseconds of waiting.
const AVOIDED_MS: f64 = 1_500.0;
/// The penalty for a suspected server, in milliseconds of waiting.
const SUSPECTED_MS: f64 = 8_000.0;
/// The delay that one request in flight adds to the next one's first token, in milliseconds. Per
/// the data sheets an engine takes 0.1 ms more per step, over some dozens of steps.
const RUNNING_MS: f64 = 4.0;
/// The penalty for exceeding a server's memory, in milliseconds: the newest run is preempted and
/// its prompt prefilled again.
const PREEMPTION_MS: f64 = 600.0;
/// The cost of computing a segment that cannot be cached, in milliseconds per token: the next
/// request of the session recomputes it.
const UNCACHEABLE_MS_PER_TOKEN: f64 = 0.02;
/// The size from which on a prompt waits for free capacity, in tokens of prompt and output. Short
/// interactive prompts stay below it.
const LONG_PROMPT_TOKENS: u64 = 5_000;
/// The share of a server's memory that long prompts may fill.
const LONG_PROMPT_SHARE: f64 = 0.8;
/// The penalty for a server that named a limit, in milliseconds of waiting. Grants keep the limit;
/// the penalty makes use of free servers first.
const LIMITED_MS: f64 = 20.0;
/// How much earlier the server that ran the session last is expected to finish, in milliseconds.
const AFFINITY_MS: f64 = 25.0;

/// The share of a request's time to its deadline that it may wait for free capacity at a gateway.
/// After that a server's queue is the better place, because the remaining time still suffices to
/// serve it there.
const WAIT_SHARE: f64 = 0.25;

/// Returns whether a request may still wait for free capacity, given its arrival and deadline.
pub fn may_wait(arrived_ms: u64, deadline_at_ms: u64, now_ms: u64) -> bool {
    let waited_ms = now_ms.saturating_sub(arrived_ms) as f64;
    waited_ms < WAIT_SHARE * deadline_at_ms.saturating_sub(arrived_ms) as f64
}

/// Returns whether a request may have to wait for free capacity. Short prompts are dispatched at
/// once.
pub fn needs_free_capacity(request: &RequestSpec) -> bool {
    request.prompt.as_ref().is_some_and(|prompt| prompt.run_tokens() >= LONG_PROMPT_TOKENS)
}

/// The gateway's location, and what it assumes about engines.
#[derive(Clone, Debug)]
pub struct GatewayContext {
    /// The gateway's failure domain.
    pub domain: FailureDomain,
    /// The region of each failure domain.
    pub regions: HashMap<FailureDomain, Region>,
    /// The prefill rate of an engine, in tokens per millisecond.
    pub prefill_tokens_per_ms: f64,
}

/// The inputs of a choice besides the request and the servers.
#[derive(Clone, Copy, Debug)]
pub struct ChoiceContext {
    /// The newest weight version requested for the model.
    pub newest_version: Option<u64>,
    /// The number of gateways divided by the number whose load is reported, this one included.
    pub gateway_ratio: f64,
    /// Whether the request may wait for free capacity at the gateway.
    pub may_wait: bool,
    /// Breaks ties.
    pub spread: u64,
}

/// A server that could run the request.
#[derive(Clone, Debug)]
pub struct Candidate<'a> {
    /// The server.
    pub entry: &'a ServerEntry,
    /// Its load.
    pub load: LoadView,
    /// The cost of the prompt on this server, given the cached blocks.
    pub blocks: BlockCost,
    /// The weight version that it serves; `None` for requests without a model.
    pub weight_version: Option<u64>,
    /// Whether a request of the same session runs there or did recently.
    pub has_session: bool,
    /// Whether it named a limit.
    pub is_limited: bool,
    /// How much longer a request takes there because it is cold, in milliseconds.
    pub cold_ms: f64,
}

/// The cost of a prompt on one candidate, given the cached blocks.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct BlockCost {
    /// The prompt tokens that it prefills.
    pub prefill_tokens: u64,
    /// The tokens among these that belong to shared segments.
    pub recomputed_tokens: u64,
    /// The tokens of shared segments that no store in its region has free capacity for.
    pub uncacheable_tokens: u64,
    /// The expected time of the fetches, in milliseconds.
    pub fetch_ms: f64,
}

/// The chosen server, with the inputs that decided.
#[derive(Clone, Debug, PartialEq)]
pub struct Chosen {
    /// The server.
    pub server: ServerId,
    /// The cost of the choice, in milliseconds of waiting.
    pub cost_ms: f64,
    /// The expected time to the first byte, in milliseconds.
    pub first_byte_ms: f64,
    /// The number of servers that were compared.
    pub candidates: usize,
    /// The health of the chosen server.
    pub health: Health,
    /// How long work was assumed to take on its machine; `None` if the server named nothing lately.
    pub slowdown: Option<SlowdownView>,
}

/// Why a server takes no request of this gateway now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClosedReason {
    /// It asked for a pause, or takes only a few requests after one.
    Paused,
    /// It named a limit that is used up.
    Limited,
    /// It is brittle and has no room.
    Full,
    /// It is cold and bears no more for now.
    Cold,
}

/// A server that takes no request of this gateway now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Closed {
    /// Why.
    pub reason: ClosedReason,
    /// When it may take one.
    pub until_ms: u64,
}

/// The reason why no server runs a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NoServer {
    /// The registry lists no usable server of the service.
    NoneUsable,
    /// The request exceeds the memory of every server.
    TooLarge,
    /// A long prompt would preempt running requests on every server; it waits for free capacity.
    NoFreeCapacity,
    /// No server of the service takes a request of this gateway now; the first of them to do so.
    Closed(Closed),
    /// No server of the service may receive the request.
    Ineligible(Ineligible),
}

/// Chooses the server with the lowest cost.
///
/// # Errors
///
/// Returns the reason why no server can run the request.
pub fn choose(
    gateway_context: &GatewayContext,
    request: &RequestSpec,
    engines: Option<&EngineTraits>,
    choice_context: &ChoiceContext,
    candidates: &[Candidate<'_>],
) -> Result<Chosen, NoServer> {
    if let (Some(engines), Some(prompt)) = (engines, &request.prompt)
        && prompt.run_tokens() > engines.memory_tokens
    {
        return Err(NoServer::TooLarge);
    }
    if let (Some(engines), Some(prompt)) = (engines, &request.prompt)
        && choice_context.may_wait
        && !has_free_capacity(choice_context, engines, prompt, candidates)
    {
        return Err(NoServer::NoFreeCapacity);
    }
    let offset = choice_context.spread as usize % candidates.len().max(1);
    let rotated = candidates[offset..].iter().chain(&candidates[..offset]);
    let costed = rotated.map(|candidate| {
        (
            cost_ms(gateway_context, request, engines, choice_context.newest_version, candidate),
            candidate,
        )
    });
    let best = costed.min_by(|(left, _), (right, _)| left.total_cmp(right));
    let Some((cost_ms, candidate)) = best else {
        return Err(NoServer::NoneUsable);
    };
    Ok(Chosen {
        server: candidate.entry.id.clone(),
        cost_ms,
        first_byte_ms: first_byte_ms(gateway_context, candidate),
        candidates: candidates.len(),
        health: candidate.load.health,
        slowdown: candidate.load.slowdown,
    })
}

/// Returns whether some healthy server can take a prompt and still has memory for short prompts.
///
/// Load pattern: long prompts fill every server. Each short prompt then preempts a long one, whose
/// prompt is prefilled again.
fn has_free_capacity(
    choice_context: &ChoiceContext,
    engines: &EngineTraits,
    prompt: &Prompt,
    candidates: &[Candidate<'_>],
) -> bool {
    if prompt.run_tokens() < LONG_PROMPT_TOKENS || candidates.is_empty() {
        return true;
    }
    let reported: f64 =
        candidates.iter().map(|candidate| candidate.load.memory_tokens as f64).sum();
    // Gateways that do not report are assumed to use the servers as much as those that do.
    let unreported = (choice_context.gateway_ratio - 1.0) * reported / candidates.len() as f64;
    let limit = LONG_PROMPT_SHARE * engines.memory_tokens as f64;
    candidates.iter().any(|candidate| {
        let held = candidate.load.memory_tokens;
        let needed_tokens = held as f64 + prompt.run_tokens() as f64 + unreported;
        candidate.load.health == Health::Good && (held == 0 || needed_tokens <= limit)
    })
}

/// Returns the expected time to the first byte, based on the local load and that of the peers.
fn first_byte_ms(gateway_context: &GatewayContext, candidate: &Candidate<'_>) -> f64 {
    let prefill_ms = candidate.blocks.prefill_tokens as f64 / gateway_context.prefill_tokens_per_ms;
    let slowdown = candidate.load.slowdown_factor();
    candidate.load.unstarted_ms * slowdown
        + prefill_ms * slowdown
        + candidate.blocks.fetch_ms
        + RUNNING_MS * candidate.load.in_flight as f64 * slowdown
}

fn cost_ms(
    gateway_context: &GatewayContext,
    request: &RequestSpec,
    engines: Option<&EngineTraits>,
    newest_version: Option<u64>,
    candidate: &Candidate<'_>,
) -> f64 {
    let load = &candidate.load;
    let mut cost_ms = first_byte_ms(gateway_context, candidate);
    cost_ms += RECOMPUTE_MS_PER_TOKEN * candidate.blocks.recomputed_tokens as f64;
    cost_ms += UNCACHEABLE_MS_PER_TOKEN * candidate.blocks.uncacheable_tokens as f64;
    let slowdown = load.slowdown_factor();
    if let Some(header) = load.header {
        cost_ms += RUNNING_MS * f64::from(header.running) * slowdown;
        cost_ms += waiting_ms(gateway_context, engines) * f64::from(header.waiting) * slowdown;
    }
    if engines.is_none() {
        // The work itself costs the same on all servers but for their slowdowns.
        cost_ms += PLAIN_SERVICE_MS * (slowdown - 1.0);
    }
    if engines.is_none() && load.in_flight >= candidate.entry.slots as usize / 2 {
        cost_ms += PLAIN_BUSY_MS * load.in_flight as f64 * slowdown;
    }
    if let (Some(engines), Some(prompt)) = (engines, &request.prompt)
        && load.memory_tokens.saturating_add(prompt.run_tokens()) > engines.memory_tokens
    {
        cost_ms += PREEMPTION_MS;
    }
    cost_ms += network_ms(gateway_context, request, &candidate.entry.domain);
    if candidate.weight_version < newest_version {
        cost_ms += OLD_WEIGHTS_MS;
    }
    if candidate.has_session {
        cost_ms -= AFFINITY_MS;
    }
    if candidate.is_limited {
        cost_ms += LIMITED_MS;
    }
    cost_ms += candidate.cold_ms;
    cost_ms
        + match load.health {
            Health::Good => 0.0,
            Health::Avoided => AVOIDED_MS,
            Health::Suspected => SUSPECTED_MS,
        }
}

/// Returns the delay that one waiting request at a server adds for the next: the prefill of a short
/// prompt on an engine, the work of a plain request elsewhere.
fn waiting_ms(gateway_context: &GatewayContext, engines: Option<&EngineTraits>) -> f64 {
    /// The typical length of a waiting prompt, in tokens.
    const WAITING_TOKENS: f64 = 1_500.0;
    /// The typical work of a waiting plain request, in milliseconds.
    const WAITING_PLAIN_MS: f64 = 15.0;
    match engines {
        Some(_) => WAITING_TOKENS / gateway_context.prefill_tokens_per_ms,
        None => WAITING_PLAIN_MS,
    }
}

fn network_ms(
    gateway_context: &GatewayContext,
    request: &RequestSpec,
    domain: &FailureDomain,
) -> f64 {
    if *domain == gateway_context.domain {
        return 0.0;
    }
    let answer_bytes = request
        .prompt
        .as_ref()
        .map_or(PLAIN_ANSWER_BYTES, |prompt| ANSWER_BYTES_PER_TOKEN * prompt.output_tokens as f64);
    let kilobytes = (request.body_bytes as f64 + answer_bytes) / 1_000.0;
    let region = |domain| gateway_context.regions.get(domain);
    let is_same_region = region(domain) == region(&gateway_context.domain);
    let round_trip_ms = if is_same_region { CROSS_DOMAIN_RTT_MS } else { CROSS_REGION_RTT_MS };
    round_trip_ms + CROSS_DOMAIN_MS_PER_KILOBYTE * kilobytes
}
