//! The inputs that all costs of one choice share, computed once.

use super::{ChoiceRequest, ClusterState, Store};
use crate::index::BlockCopy;
use protocol::ids::{FailureDomain, HostName, Region};
use smallvec::SmallVec;
use std::collections::HashMap;

/// The overhead of one import on top of its transfer, in milliseconds.
const IMPORT_OVERHEAD_MS: f64 = 2.0;
/// The penalty for a server in a failure domain where the request failed before, in milliseconds.
const FAILED_DOMAIN_PENALTY_MS: f64 = 2_000.0;
const MS_PER_S: f64 = 1_000.0;

/// Names the copy of a block with the shortest import time.
#[derive(Clone, Copy, Debug)]
pub(super) struct Import<'a> {
    pub(super) copy: &'a BlockCopy,
    pub(super) time_ms: f64,
}

#[derive(Debug)]
struct RegionImports<'a> {
    region: &'a Region,
    by_segment: Vec<Option<Import<'a>>>,
}

/// Holds a request, the state of the cluster and the values derived from both.
#[derive(Debug)]
pub(super) struct ChoiceContext<'a> {
    pub(super) request: &'a ChoiceRequest<'a>,
    pub(super) cluster: &'a ClusterState<'a>,
    imports: SmallVec<[RegionImports<'a>; 2]>,
    failed_domains: SmallVec<[&'a FailureDomain; 2]>,
}

impl<'a> ChoiceContext<'a> {
    pub(super) fn new(request: &'a ChoiceRequest<'a>, cluster: &'a ClusterState<'a>) -> Self {
        let stores: HashMap<&HostName, &Store> =
            cluster.stores.iter().map(|store| (&store.host, store)).collect();
        let regions = cluster.paths.iter().map(|path| &path.region);
        let imports = regions.map(|region| {
            let importable = cluster.view.importable.iter();
            let by_segment = importable.map(|copies| fastest(copies, &stores, region)).collect();
            RegionImports { region, by_segment }
        });
        Self {
            request,
            cluster,
            imports: imports.collect(),
            failed_domains: failed_domains(request, cluster),
        }
    }

    /// Returns the imports from a segment on, up to the first segment that no store of the region
    /// holds a block of.
    pub(super) fn imports(
        &self,
        region: &Region,
        from_segment: usize,
    ) -> impl Iterator<Item = &Import<'a>> {
        let imports = self.imports.iter().find(|imports| imports.region == region);
        let by_segment = imports.map(|imports| imports.by_segment.as_slice()).unwrap_or_default();
        by_segment.iter().skip(from_segment).map_while(Option::as_ref)
    }

    /// Returns the penalty for a server of a failure domain.
    pub(super) fn failed_domain_penalty_ms(&self, domain: &FailureDomain) -> f64 {
        if self.failed_domains.contains(&domain) { FAILED_DOMAIN_PENALTY_MS } else { 0.0 }
    }
}

/// Returns the copy with the shortest import time among the stores of a region.
///
/// Copies in other regions are left out, so imports never cross the link.
fn fastest<'a>(
    copies: &'a [BlockCopy],
    stores: &HashMap<&HostName, &Store>,
    region: &Region,
) -> Option<Import<'a>> {
    let imports = copies.iter().filter_map(|copy| {
        let store = stores.get(&copy.store).filter(|store| store.region == *region)?;
        let bytes = copy.length_bytes.saturating_add(store.pending_bytes);
        let transfer_ms = bytes as f64 * MS_PER_S / store.bytes_per_s.max(1) as f64;
        Some(Import { copy, time_ms: IMPORT_OVERHEAD_MS + transfer_ms })
    });
    imports.min_by(|a, b| a.time_ms.total_cmp(&b.time_ms))
}

fn failed_domains<'a>(
    request: &ChoiceRequest<'_>,
    cluster: &ClusterState<'a>,
) -> SmallVec<[&'a FailureDomain; 2]> {
    let excluded = request
        .excluded
        .iter()
        .filter_map(|host| cluster.candidates.iter().find(|candidate| candidate.host == *host));
    excluded.map(|candidate| &candidate.failure_domain).collect()
}
