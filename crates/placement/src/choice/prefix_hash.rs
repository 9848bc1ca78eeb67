//! Baseline policy: the rendezvous winner for the prompt's first segment.

use super::context::ChoiceContext;
use super::{Choice, Routes};
use crate::rendezvous;
use settings::process::PlacementPolicy;

/// # Panics
///
/// Panics if `routes` is empty; the caller ensures that it is not.
pub(super) fn choose<'a>(context: &ChoiceContext<'a>, routes: &Routes<'a>) -> Choice {
    let key = context.request.home_key.as_bytes();
    let winner = rendezvous::winner(key, routes, |route| route.candidate.host.as_str().as_bytes());
    super::baseline(PlacementPolicy::PrefixHash, context, *winner.unwrap_or(&routes[0]))
}
