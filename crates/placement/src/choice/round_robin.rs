//! Baseline: each server in turn.

use super::{Choice, ChoiceRequest, Routes, Surroundings};
use settings::process::PlacementPolicy;

pub(super) fn choose(
    request: &ChoiceRequest<'_>,
    surroundings: &Surroundings<'_>,
    routes: &Routes<'_>,
) -> Choice {
    let turn = (request.turn % routes.len() as u64) as usize;
    super::baseline(PlacementPolicy::RoundRobin, request, surroundings, routes[turn])
}
