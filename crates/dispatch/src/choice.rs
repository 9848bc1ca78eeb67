//! Choice of the server that runs a request, or of the answer when none can.
//!
//! Load patterns: clumps of arrivals at one gateway; long prompts before quick questions; a
//! quarter of the servers gone while the registry still names them; weights being replaced.

mod sample;

pub use crate::choice::sample::sample;

use crate::blocks::RECOMPUTE_MS_PER_TOKEN;
use crate::configuration::EngineTraits;
use crate::load::{Health, LoadView};
use crate::registry::{ServerEntry, ServerId};
use crate::request::{Prompt, RequestSpec};
use protocol::ids::{FailureDomain, Region};
use std::collections::HashMap;

/// The round trip to another failure domain, in milliseconds, by the sheets.
const CROSS_DOMAIN_RTT_MS: f64 = 3.0;
/// The round trip to another region, in milliseconds, by the sheets.
const CROSS_REGION_RTT_MS: f64 = 25.0;
/// What a kilobyte between failure domains costs, in milliseconds of waiting: it is paid for by
/// volume, about as much as 30 tokens that are read again.
const CROSS_DOMAIN_MS_PER_KILOBYTE: f64 = 2.0;
/// What a plain request loses to its own failure domain being busy, in milliseconds a request.
const PLAIN_BUSY_MS: f64 = 20.0;
/// The bytes of an answer for each token generated.
const ANSWER_BYTES_PER_TOKEN: f64 = 64.0;
/// The bytes of a plain answer.
const PLAIN_ANSWER_BYTES: f64 = 1_000.0;
/// What older weights cost while newer ones are named, in milliseconds of waiting.
const OLD_WEIGHTS_MS: f64 = 400.0;
/// What an avoided server costs, in milliseconds of waiting.
const AVOIDED_MS: f64 = 1_500.0;
/// What a suspected server costs, in milliseconds of waiting.
const SUSPECTED_MS: f64 = 8_000.0;
/// What one request in flight adds to the first token of the next, in milliseconds: the sheets'
/// engines take 0.1 ms more a step, over some dozens of steps.
const RUNNING_MS: f64 = 4.0;
/// What memory beyond a server's costs, in milliseconds: the newest run is preempted and read in
/// again.
const PREEMPTION_MS: f64 = 600.0;
/// What a part costs that is read and cannot be kept, in milliseconds a token: the next request of
/// its session reads it again.
const UNCACHEABLE_MS_PER_TOKEN: f64 = 0.02;
/// The prompts that wait for room, in tokens of prompt and answer. Quick questions are shorter.
const LONG_PROMPT_TOKENS: u64 = 5_000;
/// The share of a server's memory that long prompts may fill.
const LONG_PROMPT_SHARE: f64 = 0.8;
/// How much earlier the server of the same session is expected to be done, in milliseconds.
const AFFINITY_MS: f64 = 25.0;

/// The share of a request's time that it may wait for room at a gateway. After that a server's
/// queue is the better place: what is left suffices to be served there.
const WAIT_SHARE: f64 = 0.25;

/// Says whether a request that came at one time and ends at another may still wait for room.
pub fn may_wait(arrived_ms: u64, deadline_at_ms: u64, now_ms: u64) -> bool {
    let waited_ms = now_ms.saturating_sub(arrived_ms) as f64;
    waited_ms < WAIT_SHARE * deadline_at_ms.saturating_sub(arrived_ms) as f64
}

/// Says whether a request may have to wait for room: quick questions go at once.
pub fn needs_free_capacity(request: &RequestSpec) -> bool {
    request.prompt.as_ref().is_some_and(|prompt| prompt.run_tokens() >= LONG_PROMPT_TOKENS)
}

/// Where the gateway stands and what it assumes of engines.
#[derive(Clone, Debug)]
pub struct GatewayContext {
    /// The gateway's failure domain.
    pub domain: FailureDomain,
    /// The region of each failure domain.
    pub regions: HashMap<FailureDomain, Region>,
    /// The prompt tokens that an engine reads in a millisecond.
    pub prefill_tokens_per_ms: f64,
}

/// What a choice depends on besides the request and the servers.
#[derive(Clone, Copy, Debug)]
pub struct ChoiceContext {
    /// The newest weight version named for the model.
    pub newest_version: Option<u64>,
    /// How many gateways each one stands for whose sends are known.
    pub gateway_ratio: f64,
    /// Whether the request may wait for room at the gateway.
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
    /// What the stores near it save it from reading.
    pub blocks: BlockCost,
    /// The weight version that it has; `None` without a model.
    pub weight_version: Option<u64>,
    /// Whether a request of the same session went there within a few seconds.
    pub has_session: bool,
}

/// What the kept parts of a prompt mean for one candidate.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct BlockCost {
    /// The prompt tokens that it reads.
    pub prefill_tokens: u64,
    /// Of these, the ones that some server has read before.
    pub recomputed_tokens: u64,
    /// Of these, the ones that cannot be kept near it either.
    pub uncacheable_tokens: u64,
    /// The expected time of fetches, in milliseconds.
    pub fetch_ms: f64,
}

/// The server chosen, with the inputs that decided.
#[derive(Clone, Debug, PartialEq)]
pub struct Chosen {
    /// The server.
    pub server: ServerId,
    /// The cost of the choice, in milliseconds of waiting.
    pub cost_ms: f64,
    /// The expected time to the first byte, in milliseconds.
    pub first_byte_ms: f64,
    /// The servers that were compared.
    pub candidates: usize,
    /// The health of the chosen server.
    pub health: Health,
}

/// Why no server runs a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NoServer {
    /// No server of the service is known.
    NoneKnown,
    /// The request is larger than the memory of any server.
    TooLarge,
    /// A long prompt would push out what runs on every server; it waits for room.
    NoFreeCapacity,
}

/// Chooses the server with the least cost.
///
/// # Errors
///
/// Says why no server can run the request.
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
        return Err(NoServer::NoneKnown);
    };
    Ok(Chosen {
        server: candidate.entry.id.clone(),
        cost_ms,
        first_byte_ms: first_byte_ms(gateway_context, candidate),
        candidates: candidates.len(),
        health: candidate.load.health,
    })
}

/// Says whether a prompt leaves some healthy server the memory that quick questions need.
///
/// Load pattern: long prompts fill every server, and each quick question then preempts one of
/// them, whose prompt is read in again.
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
    // Gateways that told nothing are taken to use all servers as those do that did.
    let unreported = (choice_context.gateway_ratio - 1.0) * reported / candidates.len() as f64;
    let limit = LONG_PROMPT_SHARE * engines.memory_tokens as f64;
    candidates.iter().any(|candidate| {
        let held = candidate.load.memory_tokens;
        let wanted = held as f64 + prompt.run_tokens() as f64 + unreported;
        candidate.load.health == Health::Good && (held == 0 || wanted <= limit)
    })
}

/// The expected time to the first byte by the sends that are known.
fn first_byte_ms(gateway_context: &GatewayContext, candidate: &Candidate<'_>) -> f64 {
    let prefill_ms = candidate.blocks.prefill_tokens as f64 / gateway_context.prefill_tokens_per_ms;
    candidate.load.unstarted_ms
        + prefill_ms
        + candidate.blocks.fetch_ms
        + RUNNING_MS * candidate.load.in_flight as f64
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
    if let Some(header) = load.header {
        cost_ms += RUNNING_MS * f64::from(header.running);
        cost_ms += waiting_ms(gateway_context, engines) * f64::from(header.waiting);
    }
    if engines.is_none() && load.in_flight >= candidate.entry.slots as usize / 2 {
        cost_ms += PLAIN_BUSY_MS * load.in_flight as f64;
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
    cost_ms
        + match load.health {
            Health::Good => 0.0,
            Health::Avoided => AVOIDED_MS,
            Health::Suspected => SUSPECTED_MS,
        }
}

/// What one waiting request at a server costs the next: the reading of a short prompt on engines,
/// the work of a plain service elsewhere.
fn waiting_ms(gateway_context: &GatewayContext, engines: Option<&EngineTraits>) -> f64 {
    /// The typical prompt that waits, in tokens.
    const WAITING_TOKENS: f64 = 1_500.0;
    /// The typical work of a plain request that waits, in milliseconds.
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
