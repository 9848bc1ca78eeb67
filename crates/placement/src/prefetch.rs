//! Plans block imports that start before a returning request is dispatched.

use crate::choice::{BlockImport, ChoiceRequest, ClusterState, choose};
use protocol::ids::HostName;
use settings::process::PlacementPolicy;

/// Lists the imports that a returning request is likely to need.
#[derive(Clone, Debug, PartialEq)]
pub struct PrefetchPlan {
    /// The server that the request would be dispatched to now.
    pub server: HostName,
    /// The blocks to import, in prompt order.
    pub imports: Vec<BlockImport>,
}

/// Plans imports for a prompt that is expected to return, because its request waits for admission
/// or was answered with a retry delay.
///
/// Returns `None` if there is nothing to import.
pub fn plan(
    request: &ChoiceRequest<'_>,
    cluster: &ClusterState<'_>,
    budget_bytes: u64,
) -> Option<PrefetchPlan> {
    let choice = choose(PlacementPolicy::Camphorward, request, cluster).ok()?;
    let mut remaining_bytes = budget_bytes;
    let affordable = choice.imports.into_iter().take_while(|import| {
        let fits = import.copy.length_bytes <= remaining_bytes;
        remaining_bytes = remaining_bytes.saturating_sub(import.copy.length_bytes);
        fits
    });
    let imports: Vec<BlockImport> = affordable.collect();
    (!imports.is_empty()).then_some(PrefetchPlan { server: choice.server, imports })
}
