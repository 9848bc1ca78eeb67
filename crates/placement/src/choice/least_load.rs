//! Baseline policy: the server with the lowest load.

use super::context::ChoiceContext;
use super::{Choice, Route, Routes};
use settings::process::PlacementPolicy;

/// # Panics
///
/// Panics if `routes` is empty; the caller ensures that it is not.
pub(super) fn choose<'a>(context: &ChoiceContext<'a>, routes: &Routes<'a>) -> Choice {
    let load = |route: &Route<'_>| {
        let cluster = context.cluster;
        let estimate = cluster.loads.estimate(&route.candidate.host, cluster.now_ms);
        (estimate.queue_ms, estimate.attempts)
    };
    let mut best = routes[0];
    let mut best_load = load(&best);
    for route in &routes[1..] {
        let route_load = load(route);
        if route_load < best_load {
            (best, best_load) = (*route, route_load);
        }
    }
    super::baseline(PlacementPolicy::LeastLoad, context, best)
}
