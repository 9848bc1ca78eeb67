//! Choosing a server for a request and what travels with it.

mod kept;

use crate::forward::job::Job;
use crate::forward::place::kept::{
    block_place, holders, is_at, resident_parts, salt, session_server,
};
use crate::node::{Node, RoutingState};
use dispatch::blocks::{BlockPlan, CacheSalt};
use dispatch::choice::{self, BlockCost, Candidate, ChoiceContext, Chosen, NoServer};
use dispatch::configuration::EngineTraits;
use dispatch::load::{AttemptCost, AttemptId, ServerTag, SessionTag};
use dispatch::registry::ServerEntry;
use dispatch::request::{Prompt, RequestSpec};
use dispatch::rollout::TargetVersions;
use protocol::ids::FailureDomain;
use smallvec::SmallVec;

/// How long a plain service may stay silent after a send before it is suspected, in milliseconds.
/// Orders take 60 ms at the median and under 450 ms at the longest.
const PLAIN_SILENCE_MS: u64 = 500;
/// The same for engines, besides the time that reading the prompt takes.
const ENGINE_SILENCE_MS: u64 = 500;
/// How often the reading time counts in an engine's silence: others may be read first.
const ENGINE_SILENCE_READS: f64 = 3.0;
/// The least time given to fetches, in milliseconds.
const LEAST_FETCH_MS: u64 = 250;
/// The most time given to fetches, in milliseconds. The steward waits longer before it frees.
pub const MOST_FETCH_MS: u64 = 900;
/// The version of weights that none was named for yet.
const FIRST_WEIGHTS: u64 = 1;
/// The work of a plain request, in milliseconds.
const PLAIN_SERVICE_MS: f64 = 60.0;

/// A server chosen for one send.
#[derive(Debug)]
pub struct Placed {
    /// The server.
    pub entry: ServerEntry,
    /// The choice and its inputs.
    pub chosen: Chosen,
    /// The gateways whose sends were known, this one included.
    pub known_gateways: usize,
    /// The send in the server's load.
    pub flight: AttemptId,
    /// What only model engines are told.
    pub engine: Option<EnginePlan>,
}

/// What a model engine is told besides the request.
#[derive(Debug)]
pub struct EnginePlan {
    /// The text under which parts are cached.
    pub salt: CacheSalt,
    /// The weights that must run it.
    pub weight_version: u64,
    /// Where parts come from and go to.
    pub blocks: BlockPlan,
    /// When unfinished fetches are discarded, on the servers' clock.
    pub fetch_until: Option<u64>,
    /// When the request is taken back if it still waits, as newer weights are named.
    pub taken_back_at_ms: Option<u64>,
    /// The rank in the engine's queue.
    pub rank: u8,
}

/// Chooses a server and books the send.
///
/// # Errors
///
/// Says why no server can run the request.
pub fn place(job: &Job) -> Result<Placed, NoServer> {
    let node = &job.node;
    let now_ms = node.now_ms();
    let request = &job.request;
    let demand = &request.demand;
    let configuration = &request.in_force.configuration;
    let engines = configuration.services.get(&demand.service).and_then(|found| found.engines());
    let mut knowledge = node.state();
    let may_wait = choice::may_wait(request.arrived_ms, demand.deadline_at_ms, now_ms);
    if may_wait
        && choice::needs_free_capacity(demand)
        && !knowledge.wait_queue.is_first(job.ticket(), demand, now_ms)
    {
        return Err(NoServer::NoFreeCapacity);
    }
    let newest = demand
        .prompt
        .as_ref()
        .and_then(|prompt| knowledge.weights.get(&prompt.model).and_then(TargetVersions::newest));
    let mut plans = Plans::new();
    let mut candidates = candidates(&knowledge, job, engines, newest, &mut plans, now_ms);
    let spread = rand::random();
    if engines.is_some() {
        choice::sample(&mut candidates, knowledge.gateways.count(), spread);
    }
    let moment = ChoiceContext {
        newest_version: newest,
        gateway_ratio: knowledge.gateway_ratio(),
        may_wait,
        spread,
    };
    let known_gateways = knowledge.loads.reporting_gateways().saturating_add(1);
    let chosen = choice::choose(&node.context, demand, engines, &moment, &candidates)?;
    let entry = candidates
        .iter()
        .find(|candidate| candidate.entry.id == chosen.server)
        .map(|candidate| candidate.entry.clone())
        .ok_or(NoServer::NoneUsable)?;
    let engine = match (&demand.prompt, engines) {
        (Some(prompt), Some(engines)) => {
            let weight_version = weight_version(&entry, prompt, newest);
            let salt = salt(job, &prompt.model, weight_version);
            let knowledge = &mut *knowledge;
            let stands_for = knowledge.gateway_ratio();
            let place = block_place(&knowledge.loads, job, engines, &entry.domain, stands_for, &[]);
            let planned = plans.into_iter().find(|planned| planned.is_for(&entry, weight_version));
            let planned = planned.ok_or(NoServer::NoneUsable)?;
            let has_session = is_at(planned.session_server, &entry);
            let mut blocks = planned.plan;
            let resident = resident_parts(knowledge, &entry, has_session, prompt, &salt, now_ms);
            blocks.use_resident(&prompt.segments, resident);
            // A server does not fetch from itself.
            for source in &mut blocks.fetch {
                *source = source.filter(|address| *address != entry.address);
            }
            let fetch_until = fetch_until(node, demand, now_ms);
            if fetch_until.is_none() {
                blocks.fetch.fill(None);
            }
            knowledge.blocks.book(configuration, demand, &salt, &place, &blocks, now_ms);
            let rank = demand.engine_priority();
            let allowed_ms = node.settings.bounds.weights_ms;
            let named = knowledge.weights.get(&prompt.model);
            let taken_back_at_ms =
                named.and_then(|named| named.abort_at_ms(weight_version, allowed_ms));
            Some(EnginePlan { salt, weight_version, blocks, fetch_until, taken_back_at_ms, rank })
        }
        _ => None,
    };
    let weight = weight(job, demand.prompt.as_ref(), engines, engine.as_ref());
    let flight = knowledge.loads.sent(&entry.id, weight, now_ms);
    Ok(Placed { entry, chosen, known_gateways, flight, engine })
}

/// A plan that serves all servers of one failure domain with the same weights, but for what a server
/// holds itself.
#[derive(Debug)]
struct Planned {
    domain: FailureDomain,
    weight_version: u64,
    salt: CacheSalt,
    /// Where the session's parts probably are.
    session_server: Option<ServerTag>,
    plan: BlockPlan,
}

type Plans = SmallVec<[Planned; 4]>;

impl Planned {
    fn is_for(&self, entry: &ServerEntry, weight_version: u64) -> bool {
        self.domain == entry.domain && self.weight_version == weight_version
    }

    fn cost(&self, prompt: &Prompt, resident: usize) -> BlockCost {
        if resident > 0 {
            let mut plan = self.plan.clone();
            plan.use_resident(&prompt.segments, resident);
            return block_cost(&plan, prompt);
        }
        block_cost(&self.plan, prompt)
    }
}

fn block_cost(plan: &BlockPlan, prompt: &Prompt) -> BlockCost {
    BlockCost {
        prefill_tokens: prompt.input_tokens.saturating_sub(plan.fetched_tokens),
        recomputed_tokens: plan.recomputed_tokens,
        uncacheable_tokens: plan.uncacheable_tokens,
        fetch_ms: plan.fetch_ms,
    }
}

/// Returns the weights that a server is taken to have.
fn weight_version(entry: &ServerEntry, prompt: &Prompt, newest: Option<u64>) -> u64 {
    entry.weight_versions.get(&prompt.model).copied().or(newest).unwrap_or(FIRST_WEIGHTS)
}

fn candidates<'a>(
    knowledge: &'a RoutingState,
    job: &'a Job,
    engines: Option<&EngineTraits>,
    newest: Option<u64>,
    plans: &mut Plans,
    now_ms: u64,
) -> Vec<Candidate<'a>> {
    let demand = &job.request.demand;
    let prompt = demand.prompt.as_ref();
    let usable = knowledge.registry.usable(&demand.service);
    let untried = usable.filter(|entry| !job.excluded.contains(&entry.id));
    let mut candidates = Vec::new();
    let stands_for = knowledge.gateway_ratio();
    let oldest_usable = oldest_usable_weights(knowledge, job, now_ms);
    for entry in untried {
        let version = prompt.and_then(|prompt| entry.weight_versions.get(&prompt.model).copied());
        if version.is_some_and(|version| version < oldest_usable) {
            continue;
        }
        let mut has_session = false;
        let blocks = match (prompt, engines) {
            (Some(prompt), Some(engines)) => {
                let weight_version = weight_version(entry, prompt, newest);
                let known = plans.iter().position(|plan| plan.is_for(entry, weight_version));
                let index = known.unwrap_or_else(|| {
                    let salt = salt(job, &prompt.model, weight_version);
                    let loads = &knowledge.loads;
                    let session_server = session_server(knowledge, prompt, &salt, now_ms);
                    let holders = holders(knowledge, demand, session_server, prompt, &salt, now_ms);
                    let domain = &entry.domain;
                    let place = block_place(loads, job, engines, domain, stands_for, &holders);
                    let configuration = &job.request.in_force.configuration;
                    let plan = knowledge.blocks.plan(configuration, demand, &salt, &place, now_ms);
                    let domain = entry.domain.clone();
                    plans.push(Planned { domain, weight_version, salt, session_server, plan });
                    plans.len() - 1
                });
                let planned = &plans[index];
                has_session = is_at(planned.session_server, entry);
                let salt = &planned.salt;
                let resident = resident_parts(knowledge, entry, has_session, prompt, salt, now_ms);
                planned.cost(prompt, resident)
            }
            _ => BlockCost::default(),
        };
        candidates.push(Candidate {
            entry,
            load: knowledge.loads.view(&entry.id, now_ms),
            blocks,
            weight_version: version,
            has_session,
        });
    }
    candidates
}

/// Returns the oldest weights that may still be used.
fn oldest_usable_weights(knowledge: &RoutingState, job: &Job, now_ms: u64) -> u64 {
    let prompt = job.request.demand.prompt.as_ref();
    let named = prompt.and_then(|prompt| knowledge.weights.get(&prompt.model));
    named.map_or(0, |named| named.oldest_usable(job.node.settings.bounds.weights_ms, now_ms))
}

fn weight(
    job: &Job,
    prompt: Option<&Prompt>,
    engines: Option<&EngineTraits>,
    engine: Option<&EnginePlan>,
) -> AttemptCost {
    let (Some(prompt), Some(_)) = (prompt, engines) else {
        return AttemptCost {
            service_ms: PLAIN_SERVICE_MS,
            memory_tokens: 0,
            response_timeout_ms: PLAIN_SILENCE_MS,
            session: None,
        };
    };
    let fetched = engine.map_or(0, |plan| plan.blocks.fetched_tokens);
    let read_tokens = prompt.input_tokens.saturating_sub(fetched) as f64;
    let read_ms = read_tokens / job.node.context.prefill_tokens_per_ms;
    AttemptCost {
        service_ms: read_ms,
        memory_tokens: prompt.run_tokens(),
        response_timeout_ms: ENGINE_SILENCE_MS + (ENGINE_SILENCE_READS * read_ms) as u64,
        session: engine.and_then(|plan| SessionTag::new(&plan.salt, prompt)),
    }
}

/// Returns when a request's fetches are discarded, on the servers' clock: by then reading the
/// prompt still meets the objective. `None` if nothing may be fetched.
fn fetch_until(node: &Node, demand: &RequestSpec, now_ms: u64) -> Option<u64> {
    /// The part of the time to the objective that fetches may take.
    const FETCH_SHARE: f64 = 0.5;
    let to_objective_ms = demand.objective_at_ms.saturating_sub(now_ms) as f64;
    let fetch_ms = ((FETCH_SHARE * to_objective_ms) as u64).clamp(LEAST_FETCH_MS, MOST_FETCH_MS);
    node.may_fetch().then(|| node.to_servers_clock_ms(now_ms + fetch_ms)).flatten()
}
