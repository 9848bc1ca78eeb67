//! What all costs of one choice have in common, worked out once.

use super::{ChoiceRequest, ClusterState, Store};
use crate::index::KeptCopy;
use protocol::ids::{FailureDomain, HostName, Region};
use smallvec::SmallVec;
use std::collections::HashMap;

/// The time that one import takes besides its transfer, in milliseconds.
const IMPORT_OVERHEAD_MS: f64 = 2.0;
/// What a server in a failure domain that failed the request before counts more, in milliseconds.
const FAILED_DOMAIN_MS: f64 = 2_000.0;
const MS_PER_S: f64 = 1_000.0;

/// Names the copy of a piece that is read soonest.
#[derive(Clone, Copy, Debug)]
pub(super) struct Import<'a> {
    pub(super) copy: &'a KeptCopy,
    pub(super) time_ms: f64,
}

#[derive(Debug)]
struct RegionImports<'a> {
    region: &'a Region,
    pieces: Vec<Option<Import<'a>>>,
}

/// Holds a request, its surroundings and what follows from both.
#[derive(Debug)]
pub(super) struct Scene<'a> {
    pub(super) request: &'a ChoiceRequest<'a>,
    pub(super) surroundings: &'a ClusterState<'a>,
    imports: SmallVec<[RegionImports<'a>; 2]>,
    failed_domains: SmallVec<[&'a FailureDomain; 2]>,
}

impl<'a> Scene<'a> {
    pub(super) fn new(request: &'a ChoiceRequest<'a>, surroundings: &'a ClusterState<'a>) -> Self {
        let stores: HashMap<&HostName, &Store> =
            surroundings.stores.iter().map(|store| (&store.host, store)).collect();
        let regions = surroundings.paths.iter().map(|path| &path.region);
        let imports = regions.map(|region| {
            let importable = surroundings.view.importable.iter();
            let pieces = importable.map(|copies| fastest(copies, &stores, region)).collect();
            RegionImports { region, pieces }
        });
        Self {
            request,
            surroundings,
            imports: imports.collect(),
            failed_domains: failed_domains(request, surroundings),
        }
    }

    /// Returns the imports from a piece on, up to the first piece that no store of the region has.
    pub(super) fn imports(
        &self,
        region: &Region,
        from_piece: usize,
    ) -> impl Iterator<Item = &Import<'a>> {
        let imports = self.imports.iter().find(|imports| imports.region == region);
        let pieces = imports.map(|imports| imports.pieces.as_slice()).unwrap_or_default();
        pieces.iter().skip(from_piece).map_while(Option::as_ref)
    }

    /// Returns what a server of a failure domain counts more.
    pub(super) fn failed_domain_ms(&self, domain: &FailureDomain) -> f64 {
        if self.failed_domains.contains(&domain) { FAILED_DOMAIN_MS } else { 0.0 }
    }
}

/// Returns the copy that is read soonest within a region; none crosses the link.
fn fastest<'a>(
    copies: &'a [KeptCopy],
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
    surroundings: &ClusterState<'a>,
) -> SmallVec<[&'a FailureDomain; 2]> {
    let excluded = request.excluded.iter().filter_map(|host| {
        surroundings.candidates.iter().find(|candidate| candidate.host == *host)
    });
    excluded.map(|candidate| &candidate.failure_domain).collect()
}
