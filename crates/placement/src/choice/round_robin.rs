//! Baseline policy: round robin over the servers.

use super::context::ChoiceContext;
use super::{Choice, Routes};
use settings::process::PlacementPolicy;

pub(super) fn choose<'a>(context: &ChoiceContext<'a>, routes: &Routes<'a>) -> Choice {
    let index = (context.request.round_robin_index % routes.len() as u64) as usize;
    super::baseline(PlacementPolicy::RoundRobin, context, routes[index])
}
