//! Checks right before a request is written to a connection: what placement knew may have changed
//! while the connection was opened.

use crate::callers::CallerRequest;
use crate::forward::outcome::NotRun;
use crate::forward::place::Placed;
use crate::limits::Permit;
use crate::node::Node;

/// Checks whether the server still takes requests and may receive this one. While the connection was
/// opened it may have left, asked for a pause or become cold, its domain may have been evacuated, and
/// another configuration may have come into force. Transfers of blocks from and to where they may not
/// be any more are removed.
///
/// # Errors
///
/// Returns why the request is not sent.
pub fn may_send(
    node: &Node,
    request: &CallerRequest,
    placed: &mut Placed,
    permit: Permit,
) -> Result<(), NotRun> {
    let allowed = request.allowed_regions(node);
    let scope = request.sharing_scope(node);
    let entry = &placed.entry;
    let state = node.state();
    let now_ms = node.now_ms();
    let is_usable = state.registry.is_usable(&entry.id, entry.incarnation);
    let is_permitted =
        permit.is_valid(now_ms) && (permit.is_for_cold() || !state.is_cold(entry, now_ms));
    if !is_usable || !is_permitted || state.is_paused(entry, now_ms) {
        return Err(NotRun::Closed);
    }
    let eligibility = state.eligibility(&allowed, &node.context.regions);
    // The blocks' salt and the peer that carries the connection were chosen for the same regions.
    let listed = state.registry.get(&entry.id).map_or(&entry.domain, |(listed, _)| &listed.domain);
    let is_eligible = eligibility.allows(&entry.domain) && eligibility.allows(listed);
    if allowed != placed.allowed || !is_eligible {
        return Err(NotRun::Ineligible);
    }
    let Some(plan) = &mut placed.engine else { return Ok(()) };
    if plan.scope != scope {
        return Err(NotRun::OtherScope);
    }
    let stores = || request.in_force.configuration.block_stores().map(|(_, store)| store);
    let has_removed = plan.blocks.retain_transfers(|address| {
        let engines = || state.registry.usable(&request.spec.service);
        let engine = || engines().find(|engine| engine.address == address);
        let store = stores().find(|store| store.address == address);
        let domain = store.map(|store| &store.domain);
        let domain = domain.or_else(|| engine().map(|engine| &engine.domain));
        domain.is_some_and(|domain| eligibility.allows(domain))
    });
    drop(state);
    if has_removed {
        node.metrics.count("fetches_withheld", "ineligible");
    }
    Ok(())
}

/// Returns whether no request may be sent any more to the weights for which the server was chosen.
pub fn has_old_weights(node: &Node, request: &CallerRequest, placed: &Placed) -> bool {
    let Some((plan, prompt)) = placed.engine.as_ref().zip(request.spec.prompt.as_ref()) else {
        return false;
    };
    let state = node.state();
    let allowed_ms = node.settings.bounds.weights_ms;
    state.weights.get(&prompt.model).is_some_and(|targets| {
        plan.weight_version < targets.oldest_usable(allowed_ms, node.now_ms())
    })
}
