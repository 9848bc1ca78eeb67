//! Whether a target in a failure domain may receive a request, its body or its blocks.
//!
//! Load pattern: organisations and routes whose requests may be served, cached and stored in some
//! regions only, and failure domains that operators evacuate. Everything that selects a server, a peer,
//! a source or a destination of blocks asks here, so that no path has a rule of its own.

use crate::configuration::{Configuration, Organisation, Route};
use crate::evacuations::Evacuations;
use protocol::ids::{FailureDomain, OrganisationId, Region};
use smallvec::SmallVec;
use std::collections::HashMap;

/// The regions in which a request may be served, cached and stored.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct AllowedRegions(Option<SmallVec<[Region; 2]>>);

impl AllowedRegions {
    /// Combines the lists of a route and of an organisation, of which an empty one allows all. Where
    /// both name regions, both apply; the result may allow none.
    pub fn new(route: &[Region], organisation: &[Region]) -> Self {
        let mut allowed: SmallVec<[Region; 2]> = match (route, organisation) {
            ([], []) => return Self(None),
            (list, []) | ([], list) => list.iter().cloned().collect(),
            (route, organisation) => {
                route.iter().filter(|region| organisation.contains(region)).cloned().collect()
            }
        };
        allowed.sort_unstable();
        allowed.dedup();
        Self(Some(allowed))
    }

    /// Returns the regions that a configuration allows the requests of a route and an organisation.
    /// A route is found by its name or where it leads, an organisation by its name; one that the
    /// configuration lacks is taken from an earlier version.
    pub fn in_configuration(
        configuration: &Configuration,
        route: &Route,
        organisation: Option<(&OrganisationId, &[Region])>,
    ) -> Self {
        let is_same_place = |other: &&Route| {
            other.authority == route.authority && other.path_prefix == route.path_prefix
        };
        let mut routes = configuration.routes.iter();
        let current = routes.clone().find(|other| other.name == route.name);
        let route = current.or_else(|| routes.find(is_same_place)).unwrap_or(route);
        let held = organisation.map_or(&[][..], |(id, held)| {
            let organisations = configuration.organisations_by_key.iter().flatten();
            let mut current =
                organisations.filter(|(_, other): &(_, &Organisation)| other.id == *id);
            current.next().map_or(held, |(_, current)| &current.allowed_regions[..])
        });
        Self::new(&route.allowed_regions, held)
    }

    /// Returns the regions in order; `None` if all are allowed.
    pub fn regions(&self) -> Option<&[Region]> {
        self.0.as_deref()
    }

    /// Returns whether a region is allowed. A domain whose region is unknown is in none.
    fn allows(&self, region: Option<&Region>) -> bool {
        let Some(allowed) = &self.0 else { return true };
        region.is_some_and(|region| allowed.contains(region))
    }
}

/// Why a target is not eligible.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ineligible {
    /// It is outside the allowed regions.
    Region,
    /// Its failure domain is evacuated.
    Evacuated,
    /// This gateway does not know the evacuations yet.
    Unlisted,
}

impl Ineligible {
    /// Returns the reason's name in logs and counters.
    pub const fn as_str(self) -> &'static str {
        match self {
            Ineligible::Region => "region",
            Ineligible::Evacuated => "evacuated",
            Ineligible::Unlisted => "evacuations_unknown",
        }
    }
}

/// The decision for one request at one time.
#[derive(Clone, Copy, Debug)]
pub struct Eligibility<'a> {
    allowed: &'a AllowedRegions,
    /// The region of each failure domain.
    regions: &'a HashMap<FailureDomain, Region>,
    evacuations: &'a Evacuations,
}

impl<'a> Eligibility<'a> {
    /// Combines what the decision depends on.
    pub const fn new(
        allowed: &'a AllowedRegions,
        regions: &'a HashMap<FailureDomain, Region>,
        evacuations: &'a Evacuations,
    ) -> Self {
        Self { allowed, regions, evacuations }
    }

    /// Checks whether a server, an engine or a block store of a failure domain may receive the request
    /// or its blocks, or give it blocks.
    ///
    /// # Errors
    ///
    /// Returns why it may not.
    pub fn check(&self, domain: &FailureDomain) -> Result<(), Ineligible> {
        if self.allowed.regions().is_some() && !self.allowed.allows(self.regions.get(domain)) {
            return Err(Ineligible::Region);
        }
        if !self.evacuations.is_known() {
            return Err(Ineligible::Unlisted);
        }
        if self.evacuations.is_evacuated(domain) {
            return Err(Ineligible::Evacuated);
        }
        Ok(())
    }

    /// Returns whether a target in a failure domain is eligible.
    pub fn allows(&self, domain: &FailureDomain) -> bool {
        self.check(domain).is_ok()
    }
}

/// Returns whether a gateway may carry a request's body to a server for another gateway. The host to
/// which the caller connected may read the body, so gateways of its region may too. Evacuations
/// concern servers only.
pub fn may_carry(
    allowed: &AllowedRegions,
    regions: &HashMap<FailureDomain, Region>,
    local: &FailureDomain,
    peer: &FailureDomain,
) -> bool {
    let region = regions.get(peer);
    let is_local_region = peer == local || (region.is_some() && region == regions.get(local));
    is_local_region || allowed.allows(region)
}
