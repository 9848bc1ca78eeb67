//! Lookups of the cached blocks of one request's prompt.

use crate::forward::job::Job;
use crate::routing_state::RoutingState;
use dispatch::blocks::{CacheSalt, Holder, TransferContext};
use dispatch::configuration::EngineTraits;
use dispatch::eligibility::Eligibility;
use dispatch::load::{Loads, ServerTag, SessionTag};
use dispatch::registry::ServerEntry;
use dispatch::request::{Prompt, RequestSpec};
use protocol::ids::FailureDomain;
use smallvec::SmallVec;

/// Returns the engines that hold blocks of a prompt, may give them to the request and are not suspected.
pub(super) fn holders<'a>(
    state: &'a RoutingState,
    spec: &'a RequestSpec,
    eligibility: &Eligibility<'_>,
    session_server: Option<ServerTag>,
    prompt: &Prompt,
    salt: &CacheSalt,
    now_ms: u64,
) -> SmallVec<[Holder<'a>; 4]> {
    let engines = state.registry.usable(&spec.service);
    let eligible = engines.filter(|entry| eligibility.allows(&entry.domain));
    let holders = eligible.filter_map(|entry| {
        let has_session = is_session_server(session_server, entry);
        let is_holder = has_session || state.blocks.is_holder(entry.address, prompt, salt, now_ms);
        let holder = Holder { address: entry.address, domain: &entry.domain, has_session };
        (is_holder && !state.loads.is_suspected(&entry.id)).then_some(holder)
    });
    holders.collect()
}

/// Returns the server whose memory probably holds the blocks of a prompt's shared segments, because
/// the session runs there or did recently.
pub(super) fn session_server(
    state: &RoutingState,
    prompt: &Prompt,
    salt: &CacheSalt,
    now_ms: u64,
) -> Option<ServerTag> {
    state.loads.session_server(SessionTag::new(salt, prompt)?, now_ms)
}

/// Returns whether a server is the session's server.
pub(super) fn is_session_server(session_server: Option<ServerTag>, entry: &ServerEntry) -> bool {
    session_server.is_some_and(|server| server == ServerTag::new(&entry.id))
}

/// Returns how many leading segments of a prompt probably have their blocks in a server's own
/// memory.
pub(super) fn resident_blocks(
    state: &RoutingState,
    entry: &ServerEntry,
    has_session: bool,
    prompt: &Prompt,
    salt: &CacheSalt,
    now_ms: u64,
) -> usize {
    if has_session {
        return prompt.shared_segments().len();
    }
    state.blocks.resident_blocks(entry.address, prompt, salt, now_ms)
}

/// Returns the inputs that determine transfer times to the servers of a failure domain.
pub(super) fn transfer_context<'a>(
    loads: &'a Loads,
    job: &'a Job,
    engines: &EngineTraits,
    domain: &'a FailureDomain,
    gateway_ratio: f64,
    eligibility: Eligibility<'a>,
    holders: &'a [Holder<'a>],
) -> TransferContext<'a> {
    let gateway_context = &job.node.context;
    TransferContext {
        domain,
        regions: &gateway_context.regions,
        eligibility,
        engines: holders,
        engine_link_mbps: engines.link_mbps,
        token_bytes: engines.token_bytes,
        prefill_tokens_per_ms: gateway_context.prefill_tokens_per_ms,
        peer_link_use: loads.peer_link_use(),
        gateway_ratio,
    }
}
