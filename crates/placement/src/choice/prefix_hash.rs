//! Baseline: the server that the prompt's first piece hashes to.

use super::{Choice, ChoiceRequest, Routes, Surroundings};
use crate::rendezvous;
use settings::process::PlacementPolicy;

/// # Panics
///
/// Panics without routes; the caller has checked that there are some.
pub(super) fn choose(
    request: &ChoiceRequest<'_>,
    surroundings: &Surroundings<'_>,
    routes: &Routes<'_>,
) -> Choice {
    let key = request.home_key.as_bytes();
    let winner = rendezvous::winner(key, routes, |route| route.candidate.host.as_str().as_bytes());
    super::baseline(
        PlacementPolicy::PrefixHash,
        request,
        surroundings,
        *winner.unwrap_or(&routes[0]),
    )
}
