//! Baseline: the server that the prompt's first piece hashes to.

use super::scene::Scene;
use super::{Choice, Routes};
use crate::rendezvous;
use settings::process::PlacementPolicy;

/// # Panics
///
/// Panics without routes; the caller has checked that there are some.
pub(super) fn choose<'a>(scene: &Scene<'a>, routes: &Routes<'a>) -> Choice {
    let key = scene.request.home_key.as_bytes();
    let winner = rendezvous::winner(key, routes, |route| route.candidate.host.as_str().as_bytes());
    super::baseline(PlacementPolicy::PrefixHash, scene, *winner.unwrap_or(&routes[0]))
}
