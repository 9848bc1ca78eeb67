//! The servers that could run a request, with what it would cost them.

use crate::forward::MAX_REFUSED_GRANTS;
use crate::forward::job::Job;
use crate::forward::place::Purpose;
use crate::forward::place::blocks::{
    holders, is_session_server, resident_blocks, session_server, transfer_context,
};
use crate::routing_state::RoutingState;
use dispatch::blocks::{BlockPlan, CacheSalt, SharingScope};
use dispatch::choice::{BlockCost, Candidate};
use dispatch::configuration::EngineTraits;
use dispatch::eligibility::{AllowedRegions, Eligibility};
use dispatch::load::ServerTag;
use dispatch::registry::ServerEntry;
use dispatch::request::Prompt;
use protocol::ids::FailureDomain;
use smallvec::SmallVec;

/// The weight version to assume while no target version is recorded.
const FIRST_WEIGHT_VERSION: u64 = 1;

/// The block plan for all servers of one failure domain with the same weights, without the blocks
/// that a server holds itself.
#[derive(Debug)]
pub(super) struct DomainPlan {
    domain: FailureDomain,
    weight_version: u64,
    salt: CacheSalt,
    /// The server that probably holds the session's blocks.
    pub(super) session_server: Option<ServerTag>,
    pub(super) plan: BlockPlan,
}

pub(super) type Plans = SmallVec<[DomainPlan; 4]>;

impl DomainPlan {
    pub(super) fn is_for(&self, entry: &ServerEntry, weight_version: u64) -> bool {
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

/// Returns the weight version that a server is assumed to serve.
pub(super) fn weight_version(entry: &ServerEntry, prompt: &Prompt, newest: Option<u64>) -> u64 {
    entry.weight_versions.get(&prompt.model).copied().or(newest).unwrap_or(FIRST_WEIGHT_VERSION)
}

/// What the candidates of a request depend on, besides the state.
pub(super) struct CandidateInputs<'a> {
    pub(super) job: &'a Job,
    pub(super) purpose: Purpose,
    pub(super) engines: Option<&'a EngineTraits>,
    pub(super) newest: Option<u64>,
    pub(super) eligibility: Eligibility<'a>,
    pub(super) allowed: &'a AllowedRegions,
    pub(super) scope: &'a SharingScope,
}

pub(super) fn candidates<'a>(
    state: &'a RoutingState,
    inputs: &CandidateInputs<'a>,
    plans: &mut Plans,
    now_ms: u64,
) -> Vec<Candidate<'a>> {
    let CandidateInputs { job, purpose, engines, newest, eligibility, allowed, scope } = *inputs;
    let spec = &job.request.spec;
    let prompt = spec.prompt.as_ref();
    let usable = state.registry.usable(&spec.service);
    let may_ask = job.refused_grants < MAX_REFUSED_GRANTS;
    let untried = usable.filter(|entry| {
        eligibility.allows(&entry.domain)
            && !job.excluded.contains(&entry.id)
            && (may_ask || !state.is_cold(entry, now_ms))
            && purpose.is_open(state, entry, job, now_ms)
    });
    let mut candidates = Vec::new();
    let gateway_ratio = state.gateway_ratio();
    let oldest_usable = oldest_usable_version(state, job, now_ms);
    let mut is_any_outdated = false;
    for entry in untried.filter(|entry| job.allows_software(entry)) {
        let version = prompt.and_then(|prompt| entry.weight_versions.get(&prompt.model).copied());
        if version.is_some_and(|version| version < oldest_usable) {
            is_any_outdated = true;
            continue;
        }
        let mut has_session = false;
        let blocks = match (prompt, engines) {
            (Some(prompt), Some(engines)) => {
                let weight_version = weight_version(entry, prompt, newest);
                let existing = plans.iter().position(|plan| plan.is_for(entry, weight_version));
                let index = existing.unwrap_or_else(|| {
                    let salt = CacheSalt::new(&prompt.model, weight_version, scope, allowed);
                    let loads = &state.loads;
                    let session_server = session_server(state, prompt, &salt, now_ms);
                    let holders =
                        holders(state, spec, &eligibility, session_server, prompt, &salt, now_ms);
                    let domain = &entry.domain;
                    let context = transfer_context(
                        loads,
                        job,
                        engines,
                        domain,
                        gateway_ratio,
                        eligibility,
                        &holders,
                    );
                    let configuration = &job.request.in_force.configuration;
                    let plan = state.blocks.plan(configuration, spec, &salt, &context, now_ms);
                    let domain = entry.domain.clone();
                    plans.push(DomainPlan { domain, weight_version, salt, session_server, plan });
                    plans.len() - 1
                });
                let domain_plan = &plans[index];
                has_session = is_session_server(domain_plan.session_server, entry);
                let salt = &domain_plan.salt;
                let resident = resident_blocks(state, entry, has_session, prompt, salt, now_ms);
                domain_plan.cost(prompt, resident)
            }
            _ => BlockCost::default(),
        };
        candidates.push(Candidate {
            entry,
            load: state.loads.view(&entry.id, now_ms),
            blocks,
            weight_version: version,
            has_session,
            is_limited: state.is_limited(entry),
            cold_ms: state.cold.limit_of(entry, now_ms).map_or(0.0, |limit| limit.slowness_ms),
        });
    }
    if is_any_outdated {
        let kind = if candidates.is_empty() { "none_left" } else { "passed_over" };
        job.node.metrics.count("old_weights", kind);
    }
    candidates
}

/// Returns the oldest weight version that may still be used.
fn oldest_usable_version(state: &RoutingState, job: &Job, now_ms: u64) -> u64 {
    let prompt = job.request.spec.prompt.as_ref();
    let targets = prompt.and_then(|prompt| state.weights.get(&prompt.model));
    targets.map_or(0, |targets| targets.oldest_usable(job.node.settings.bounds.weights_ms, now_ms))
}
