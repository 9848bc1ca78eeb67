//! Baseline: each server in turn.

use super::scene::Scene;
use super::{Choice, Routes};
use settings::process::PlacementPolicy;

pub(super) fn choose<'a>(scene: &Scene<'a>, routes: &Routes<'a>) -> Choice {
    let index = (scene.request.round_robin_index % routes.len() as u64) as usize;
    super::baseline(PlacementPolicy::RoundRobin, scene, routes[index])
}
