//! Choice of the server for an attempt, and the engine options that are sent with it.

mod blocks;
mod candidates;

use crate::forward::admit::{self, Servers, Unplaced};
use crate::forward::in_flight::{InFlightAttempt, TimedAttempt};
use crate::forward::job::Job;
use crate::forward::place::blocks::{is_session_server, resident_blocks, transfer_context};
use crate::forward::place::candidates::{CandidateInputs, Plans, candidates, weight_version};
use crate::node::Node;
use crate::routing_state::RoutingState;
use dispatch::backlog::Backlog;
use dispatch::blocks::{BlockPlan, CacheSalt, SharingScope};
use dispatch::choice::{self, ChoiceContext, Chosen, Closed, NoServer, PLAIN_SERVICE_MS};
use dispatch::configuration::EngineTraits;
use dispatch::eligibility::{AllowedRegions, Eligibility, Ineligible};
use dispatch::load::{AttemptCost, Health, SessionTag};
use dispatch::registry::ServerEntry;
use dispatch::request::{Prompt, RequestSpec};
use dispatch::retirement::{MAX_FETCH_MS, Withheld};
use dispatch::target_versions::TargetVersions;
use std::sync::Arc;

/// How long a server of a plain service may send nothing after an attempt was sent to it before it
/// is suspected, in milliseconds. Orders take 60 ms at the median and under 450 ms at most.
const PLAIN_RESPONSE_TIMEOUT_MS: u64 = 500;
/// The same for engines, in addition to the prefill time of the prompt.
const ENGINE_RESPONSE_TIMEOUT_MS: u64 = 500;
/// The factor by which the prefill time counts in an engine's response timeout: other prompts may
/// be prefilled first.
const ENGINE_TIMEOUT_PREFILLS: f64 = 3.0;
/// The minimum time allowed for fetches, in milliseconds.
const MIN_FETCH_MS: u64 = 250;
/// The server chosen for an attempt.
#[derive(Debug)]
pub struct Placed {
    /// The server.
    pub entry: Arc<ServerEntry>,
    /// The choice and its inputs.
    pub chosen: Chosen,
    /// The number of gateways whose load was reported, including this one.
    pub reporting_gateways: usize,
    /// The attempt in the server's load, which it leaves when dropped.
    pub in_flight: InFlightAttempt,
    /// The options for inference engines; `None` for other services.
    pub engine: Option<EnginePlan>,
    /// The allowed regions for which the server was chosen.
    pub allowed: AllowedRegions,
}

impl Placed {
    /// Returns the prompt tokens that the server prefills; `None` without a prompt or an engine.
    pub fn prefill_tokens(&self, prompt: Option<&Prompt>) -> Option<u64> {
        let (plan, prompt) = self.engine.as_ref().zip(prompt)?;
        Some(prompt.input_tokens.saturating_sub(plan.blocks.fetched_tokens))
    }
}

/// The options that are sent to an inference engine with the request.
#[derive(Debug)]
pub struct EnginePlan {
    /// The organisations that share the blocks.
    pub scope: SharingScope,
    /// The salt under which blocks are cached.
    pub salt: CacheSalt,
    /// The only weight version that may run the request.
    pub weight_version: u64,
    /// The sources and destinations of the blocks.
    pub blocks: BlockPlan,
    /// When unfinished fetches are discarded, on the servers' clock.
    pub fetch_until: Option<u64>,
    /// The priority in the engine's queue.
    pub priority: u8,
}

/// What an attempt is for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Purpose {
    /// To serve the request.
    Serve,
    /// To serve it earlier than an attempt that goes on.
    Hedge {
        /// The longest expected time to the first byte, in milliseconds.
        max_first_byte_ms: f64,
    },
}

impl Purpose {
    /// Returns whether a server takes an attempt now.
    fn is_open(self, state: &RoutingState, entry: &ServerEntry, job: &Job, now_ms: u64) -> bool {
        let urgency = job.request.spec.urgency();
        match self {
            Purpose::Serve => state.check_open(entry, urgency, now_ms).is_ok(),
            Purpose::Hedge { .. } => state.takes_hedge(entry, urgency, now_ms),
        }
    }

    fn is_met(self, chosen: &Chosen) -> bool {
        match self {
            Purpose::Serve => true,
            Purpose::Hedge { max_first_byte_ms } => {
                chosen.health == Health::Good && chosen.first_byte_ms <= max_first_byte_ms
            }
        }
    }
}

/// Chooses a server to serve a request, and records the attempt in its load.
///
/// # Errors
///
/// Returns the reason why no server can run the request, or why it is not admitted.
pub fn place(job: &Job) -> Result<Placed, Unplaced> {
    place_for(job, Purpose::Serve)
}

/// Chooses a server for a purpose, and records the attempt in its load.
///
/// # Errors
///
/// Returns the reason why no server can run the request or why it is not admitted, or
/// [`NoServer::NoneUsable`] if none is right for the purpose.
pub fn place_for(job: &Job, purpose: Purpose) -> Result<Placed, Unplaced> {
    let node = &job.node;
    let now_ms = node.now_ms();
    let request = &job.request;
    let spec = &request.spec;
    let configuration = &request.in_force.configuration;
    let engines = configuration.services.get(&spec.service).and_then(|found| found.engines());
    let may_fetch = node.check_fetch(now_ms);
    let allowed = job.allowed_regions();
    let scope = request.sharing_scope(node);
    let regions = &node.context.regions;
    let mut state = node.state();
    let may_wait = choice::may_wait(request.arrived_ms, spec.deadline_at_ms, now_ms);
    let eligibility = state.eligibility(&allowed, regions);
    check_servers(&state, spec, &eligibility)?;
    if let Some(closed) = first_to_open(&state, job, &eligibility, now_ms) {
        return Err(NoServer::Closed(closed).into());
    }
    if may_wait
        && choice::needs_free_capacity(spec)
        && !state.wait_queue.is_first(job.ticket(), spec, now_ms)
    {
        admit::admit(job, &mut state, None, now_ms)?;
        return Err(NoServer::NoFreeCapacity.into());
    }
    let newest = spec
        .prompt
        .as_ref()
        .and_then(|prompt| state.weights.get(&prompt.model).and_then(TargetVersions::newest));
    let mut plans = Plans::new();
    let inputs = CandidateInputs {
        job,
        purpose,
        engines,
        newest,
        eligibility,
        allowed: &allowed,
        scope: &scope,
    };
    let mut candidates = candidates(&state, &inputs, &mut plans, now_ms);
    let spread = rand::random();
    let backlog = state.shares.as_ref();
    let backlog = backlog.map(|_| Backlog::new(&candidates, engines, state.gateway_ratio()));
    if let Some(engines) = engines {
        let gateways = state.gateways.count();
        choice::sample(&mut candidates, &node.context, spec, engines, gateways, spread);
    }
    let choice_context = ChoiceContext {
        newest_version: newest,
        gateway_ratio: state.gateway_ratio(),
        may_wait,
        spread,
    };
    let reporting_gateways = state.loads.reporting_gateways().saturating_add(1);
    let chosen = choice::choose(&node.context, spec, engines, &choice_context, &candidates);
    let servers = Servers { engines, backlog, candidates: &candidates };
    let estimate = match &chosen {
        Ok(chosen) => admit::estimate(job, &state, &servers, Some(chosen)),
        Err(NoServer::NoFreeCapacity) => admit::estimate(job, &state, &servers, None),
        Err(_) => None,
    };
    let entry = chosen.as_ref().ok().and_then(|chosen| {
        candidates
            .iter()
            .find(|candidate| candidate.entry.id == chosen.server)
            .map(|candidate| Arc::new(candidate.entry.clone()))
    });
    if matches!(chosen, Ok(_) | Err(NoServer::NoFreeCapacity)) {
        admit::admit(job, &mut state, estimate, now_ms)?;
    }
    let chosen = chosen?;
    if !purpose.is_met(&chosen) {
        return Err(NoServer::NoneUsable.into());
    }
    let entry = entry.ok_or(NoServer::NoneUsable)?;
    let engine = match (&spec.prompt, engines) {
        (Some(prompt), Some(engines)) => {
            let allowed = &allowed;
            let inputs = EngineInputs { job, engines, prompt, newest, allowed, scope, may_fetch };
            Some(engine_plan(&mut state, inputs, &entry, plans, now_ms)?)
        }
        _ => None,
    };
    let attempt_cost = attempt_cost(job, spec.prompt.as_ref(), engines, engine.as_ref());
    let in_flight_id = state.loads.sent(&entry.id, attempt_cost, now_ms);
    let timed = estimate.map(|(estimate, work)| TimedAttempt {
        sent_ms: now_ms,
        fullness: estimate.fullness,
        work,
        deadline_at_ms: spec.deadline_at_ms,
    });
    let in_flight = InFlightAttempt::new(Arc::clone(node), Arc::clone(&entry), in_flight_id);
    let in_flight = in_flight.with_timing(timed);
    Ok(Placed { entry, chosen, reporting_gateways, in_flight, engine, allowed })
}

/// Checks whether a service has servers that take requests and may receive this one.
///
/// # Errors
///
/// Returns why it has none.
pub fn check_servers(
    state: &RoutingState,
    spec: &RequestSpec,
    eligibility: &Eligibility<'_>,
) -> Result<(), NoServer> {
    let mut result = Err(NoServer::NoneUsable);
    for entry in state.registry.usable(&spec.service) {
        match eligibility.check(&entry.domain) {
            Ok(()) => return Ok(()),
            // Servers outside the allowed regions never served the request.
            Err(Ineligible::Region) if result != Err(NoServer::NoneUsable) => {}
            Err(reason) => result = Err(NoServer::Ineligible(reason)),
        }
    }
    result
}

/// Returns the first server of the job's service to take another attempt; `None` if one does now or
/// there is none.
pub fn first_to_open(
    state: &RoutingState,
    job: &Job,
    eligibility: &Eligibility<'_>,
    now_ms: u64,
) -> Option<Closed> {
    let spec = &job.request.spec;
    let usable = state.registry.usable(&spec.service);
    let eligible = usable.filter(|entry| eligibility.allows(&entry.domain));
    let mut first: Option<Closed> = None;
    for entry in eligible.filter(|entry| job.allows_software(entry)) {
        let closed = state.check_open(entry, spec.urgency(), now_ms).err()?;
        if first.is_none_or(|first| closed.until_ms < first.until_ms) {
            first = Some(closed);
        }
    }
    first
}

/// What the options for an engine depend on, besides the state and the server.
struct EngineInputs<'a> {
    job: &'a Job,
    engines: &'a EngineTraits,
    prompt: &'a Prompt,
    /// The newest weight version requested for the model.
    newest: Option<u64>,
    allowed: &'a AllowedRegions,
    scope: SharingScope,
    /// Whether blocks may be fetched now.
    may_fetch: Result<(), Withheld>,
}

/// Returns the options for the chosen engine, and books the transfers of blocks.
///
/// # Errors
///
/// Returns an error if no plan was made for the engine's failure domain.
fn engine_plan(
    state: &mut RoutingState,
    inputs: EngineInputs<'_>,
    entry: &ServerEntry,
    plans: Plans,
    now_ms: u64,
) -> Result<EnginePlan, NoServer> {
    let EngineInputs { job, engines, prompt, newest, allowed, scope, may_fetch } = inputs;
    let (node, spec) = (&job.node, &job.request.spec);
    let weight_version = weight_version(entry, prompt, newest);
    let salt = CacheSalt::new(&prompt.model, weight_version, &scope, allowed);
    let gateway_ratio = state.gateway_ratio();
    let eligibility = Eligibility::new(allowed, &node.context.regions, &state.evacuations);
    let loads = &state.loads;
    let domain = &entry.domain;
    let context = transfer_context(loads, job, engines, domain, gateway_ratio, eligibility, &[]);
    let mut plans = plans.into_iter();
    let domain_plan = plans.find(|domain_plan| domain_plan.is_for(entry, weight_version));
    let domain_plan = domain_plan.ok_or(NoServer::NoneUsable)?;
    let has_session = is_session_server(domain_plan.session_server, entry);
    let mut blocks = domain_plan.plan;
    let resident = resident_blocks(state, entry, has_session, prompt, &salt, now_ms);
    blocks.use_resident(&prompt.segments, resident);
    // A server does not fetch from itself.
    for source in &mut blocks.fetch {
        *source = source.filter(|address| *address != entry.address);
    }
    let fetch_until = may_fetch.and_then(|()| fetch_until(node, spec, now_ms));
    if let Err(reason) = fetch_until
        && blocks.fetch.iter().any(Option::is_some)
    {
        node.metrics.count("fetches_withheld", reason.as_str());
        blocks.fetch.fill(None);
    }
    let configuration = &job.request.in_force.configuration;
    state.blocks.book(configuration, spec, &salt, &context, &blocks, now_ms);
    let (priority, fetch_until) = (spec.engine_priority(), fetch_until.ok());
    Ok(EnginePlan { scope, salt, weight_version, blocks, fetch_until, priority })
}

fn attempt_cost(
    job: &Job,
    prompt: Option<&Prompt>,
    engines: Option<&EngineTraits>,
    engine: Option<&EnginePlan>,
) -> AttemptCost {
    let (Some(prompt), Some(_)) = (prompt, engines) else {
        return AttemptCost {
            service_ms: PLAIN_SERVICE_MS,
            memory_tokens: 0,
            response_timeout_ms: PLAIN_RESPONSE_TIMEOUT_MS,
            session: None,
        };
    };
    let fetched = engine.map_or(0, |plan| plan.blocks.fetched_tokens);
    let prefill_tokens = prompt.input_tokens.saturating_sub(fetched) as f64;
    let prefill_ms = prefill_tokens / job.node.context.prefill_tokens_per_ms;
    AttemptCost {
        service_ms: prefill_ms,
        memory_tokens: prompt.run_tokens(),
        response_timeout_ms: ENGINE_RESPONSE_TIMEOUT_MS
            + (ENGINE_TIMEOUT_PREFILLS * prefill_ms) as u64,
        session: engine.and_then(|plan| SessionTag::new(&plan.salt, prompt)),
    }
}

/// Returns when a request's fetches are discarded, on the servers' clock. Prefilling the prompt
/// after that time still meets the objective.
///
/// # Errors
///
/// Returns an error if that clock is not known.
fn fetch_until(node: &Node, spec: &RequestSpec, now_ms: u64) -> Result<u64, Withheld> {
    /// The share of the time to the objective that fetches may take.
    const FETCH_SHARE: f64 = 0.5;
    let to_objective_ms = spec.objective_at_ms.saturating_sub(now_ms) as f64;
    let fetch_ms = ((FETCH_SHARE * to_objective_ms) as u64).clamp(MIN_FETCH_MS, MAX_FETCH_MS);
    node.to_servers_clock_ms(now_ms + fetch_ms).ok_or(Withheld::UnknownClock)
}
