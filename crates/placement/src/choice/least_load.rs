//! Baseline: the server with the least load.

use super::scene::Scene;
use super::{Choice, Route, Routes};
use settings::process::PlacementPolicy;

/// # Panics
///
/// Panics without routes; the caller has checked that there are some.
pub(super) fn choose<'a>(scene: &Scene<'a>, routes: &Routes<'a>) -> Choice {
    let load = |route: &Route<'_>| {
        let surroundings = scene.surroundings;
        let estimate = surroundings.loads.estimate(&route.candidate.host, surroundings.now_ms);
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
    super::baseline(PlacementPolicy::LeastLoad, scene, best)
}
