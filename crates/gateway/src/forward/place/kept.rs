//! What is known of the kept parts of one request's prompt.

use crate::forward::job::Job;
use crate::node::RoutingState;
use dispatch::blocks::{CacheSalt, Holder, TransferContext};
use dispatch::configuration::EngineTraits;
use dispatch::load::{Loads, ServerTag, SessionTag};
use dispatch::registry::ServerEntry;
use dispatch::request::{Prompt, RequestSpec};
use protocol::ids::{FailureDomain, ModelName};
use smallvec::SmallVec;

/// Returns the text under which a request's parts are cached.
pub(super) fn salt(job: &Job, model: &ModelName, weight_version: u64) -> CacheSalt {
    let demand = &job.request.demand;
    let dedicated = demand.organisation.as_ref().filter(|_| demand.is_dedicated);
    CacheSalt::new(model, weight_version, dedicated)
}

/// Returns the engines that hold parts of a prompt and answer.
pub(super) fn holders<'a>(
    knowledge: &'a RoutingState,
    demand: &'a RequestSpec,
    session_server: Option<ServerTag>,
    prompt: &Prompt,
    salt: &CacheSalt,
    now_ms: u64,
) -> SmallVec<[Holder<'a>; 4]> {
    let engines = knowledge.registry.usable(&demand.service);
    let holders = engines.filter_map(|entry| {
        let has_session = is_at(session_server, entry);
        let is_holder =
            has_session || knowledge.blocks.is_holder(entry.address, prompt, salt, now_ms);
        let holder = Holder { address: entry.address, domain: &entry.domain, has_session };
        (is_holder && !knowledge.loads.is_suspected(&entry.id)).then_some(holder)
    });
    holders.collect()
}

/// Returns the server whose memory probably holds a prompt's shared parts, as the session runs there
/// or did a moment ago.
pub(super) fn session_server(
    knowledge: &RoutingState,
    prompt: &Prompt,
    salt: &CacheSalt,
    now_ms: u64,
) -> Option<ServerTag> {
    knowledge.loads.session_server(SessionTag::new(salt, prompt)?, now_ms)
}

/// Says whether a session's server is this one.
pub(super) fn is_at(session_server: Option<ServerTag>, entry: &ServerEntry) -> bool {
    session_server.is_some_and(|server| server == ServerTag::new(&entry.id))
}

/// Returns the number of a prompt's first parts that a server probably holds itself.
pub(super) fn resident_parts(
    knowledge: &RoutingState,
    entry: &ServerEntry,
    has_session: bool,
    prompt: &Prompt,
    salt: &CacheSalt,
    now_ms: u64,
) -> usize {
    if has_session {
        return prompt.shared_segments().len();
    }
    knowledge.blocks.resident_blocks(entry.address, prompt, salt, now_ms)
}

/// Returns what transfers to a server of a failure domain depend on.
pub(super) fn block_place<'a>(
    loads: &'a Loads,
    job: &'a Job,
    engines: &EngineTraits,
    domain: &'a FailureDomain,
    stands_for: f64,
    holders: &'a [Holder<'a>],
) -> TransferContext<'a> {
    let standpoint = &job.node.context;
    TransferContext {
        domain,
        regions: &standpoint.regions,
        engines: holders,
        engine_link_mbps: engines.link_mbps,
        token_bytes: engines.token_bytes,
        prefill_tokens_per_ms: standpoint.prefill_tokens_per_ms,
        peer_link_use: loads.peer_link_use(),
        gateway_ratio: stands_for,
    }
}
