//! Imports that start before a returning request is sent on.

use crate::choice::{BlockImport, ChoiceRequest, ClusterState, choose};
use protocol::ids::HostName;
use settings::process::PlacementPolicy;

/// Lists imports that are likely to be needed soon.
#[derive(Clone, Debug, PartialEq)]
pub struct PrefetchPlan {
    /// The server that the request would be sent to now.
    pub server: HostName,
    /// The pieces to import, first piece first.
    pub imports: Vec<BlockImport>,
}

/// Plans imports on a sign that a prompt returns: its request waits for admission or was told to
/// come back soon. `None` if there is nothing to import.
pub fn plan(
    request: &ChoiceRequest<'_>,
    surroundings: &ClusterState<'_>,
    budget_bytes: u64,
) -> Option<PrefetchPlan> {
    let choice = choose(PlacementPolicy::Camphorward, request, surroundings).ok()?;
    let mut left_bytes = budget_bytes;
    let affordable = choice.imports.into_iter().take_while(|import| {
        let fits = import.copy.length_bytes <= left_bytes;
        left_bytes = left_bytes.saturating_sub(import.copy.length_bytes);
        fits
    });
    let imports: Vec<BlockImport> = affordable.collect();
    (!imports.is_empty()).then_some(PrefetchPlan { server: choice.server, imports })
}
