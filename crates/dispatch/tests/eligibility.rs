//! Which failure domains may receive a request: allowed regions, evacuations, and gateways that have
//! just started.

mod common;

use common::{configuration, id, regions};
use dispatch::blocks::{CacheSalt, DedicatedOrganisations, SharingScope};
use dispatch::configuration::{Organisation, Route, RouteKind};
use dispatch::eligibility::{AllowedRegions, Eligibility, Ineligible, may_carry};
use dispatch::era::StoreEra;
use dispatch::evacuations::{EvacuationRecord, Evacuations};
use dispatch::registry::EntryPosition;
use protocol::ids::{FailureDomain, ModelName, OrganisationId, Region};
use smallvec::SmallVec;

fn list(regions: &[&str]) -> SmallVec<[Region; 2]> {
    regions.iter().map(|region| id(region)).collect()
}

fn allowed(route: &[&str], organisation: &[&str]) -> AllowedRegions {
    AllowedRegions::new(&list(route), &list(organisation))
}

const fn at(offset: u64) -> EntryPosition {
    EntryPosition { era: StoreEra::new(1), offset }
}

fn evacuate(
    evacuations: &mut Evacuations,
    domain: &str,
    offset: u64,
    is_evacuated: bool,
    now_ms: u64,
) {
    let record = EvacuationRecord { domain: id(domain), position: at(offset), is_evacuated };
    evacuations.record(&record, now_ms);
}

fn check(
    allowed: &AllowedRegions,
    evacuations: &Evacuations,
    domain: &str,
) -> Result<(), Ineligible> {
    Eligibility::new(allowed, &regions(), evacuations).check(&id(domain))
}

#[test]
fn a_domain_is_eligible_where_both_lists_allow_its_region() {
    let mut evacuations = Evacuations::default();
    evacuations.read_to(at(0), 0);
    let cases: [(&[&str], &[&str], bool, bool); 7] = [
        (&[], &[], true, true),
        (&["east"], &[], true, false),
        (&[], &["west"], false, true),
        (&["east", "west"], &["west", "west"], false, true),
        (&["west"], &["east"], false, false),
        (&["mars"], &[], false, false),
        (&["mars", "east"], &["east"], true, false),
    ];
    for (route, organisation, east, west) in cases {
        let allowed = allowed(route, organisation);
        let is_eligible = |domain| check(&allowed, &evacuations, domain).is_ok();
        assert_eq!((is_eligible("east-1"), is_eligible("west-1")), (east, west), "{allowed:?}");
        // Nobody knows the region of this domain.
        assert_eq!(is_eligible("nowhere-1"), route.is_empty() && organisation.is_empty());
    }
}

#[test]
fn nothing_is_eligible_before_the_evacuations_are_known() {
    let mut evacuations = Evacuations::default();
    let all = AllowedRegions::default();
    assert_eq!(check(&all, &evacuations, "east-1"), Err(Ineligible::Unlisted));
    // A record shows one evacuation, not all.
    evacuate(&mut evacuations, "west-1", 3, true, 0);
    assert_eq!(check(&all, &evacuations, "east-1"), Err(Ineligible::Unlisted));
    // The state of an earlier build counts only while the store cannot be read.
    evacuations.record_earlier_build();
    assert_eq!(check(&all, &evacuations, "east-1"), Err(Ineligible::Unlisted));
    evacuations.record_store_failure();
    evacuations.record_earlier_build();
    assert_eq!(check(&all, &evacuations, "east-1"), Ok(()));
    assert_eq!(check(&all, &evacuations, "west-1"), Err(Ineligible::Evacuated));
}

#[test]
fn a_listing_that_lacks_unreadable_records_ends_no_evacuation() {
    let mut evacuations = Evacuations::default();
    evacuate(&mut evacuations, "east-1", 3, true, 0);
    evacuations.list_incomplete(&[], 0);
    assert!(evacuations.is_known() && evacuations.is_evacuated(&id("east-1")));
    evacuations.list(&[], at(9), 0);
    assert!(!evacuations.is_evacuated(&id("east-1")));
}

#[test]
fn the_end_of_an_evacuation_is_dated_and_passed_on_by_its_age() {
    let domain: FailureDomain = id("east-1");
    let mut evacuations = Evacuations::default();
    evacuate(&mut evacuations, "east-1", 3, true, 1_000);
    assert_eq!(evacuations.ended_ms(&domain), None);
    evacuate(&mut evacuations, "east-1", 4, false, 2_000);
    assert_eq!(evacuations.ended_ms(&domain), Some(2_000));
    let mut other = Evacuations::default();
    other.merge(&evacuations.report(2_500), 90_000);
    assert_eq!(other.ended_ms(&domain), Some(89_500));
}

#[test]
fn domains_that_the_installation_names_always_find_room() {
    let mut evacuations = Evacuations::new([id("east-1")]);
    for index in 0..1_000 {
        evacuate(&mut evacuations, &format!("junk-{index}"), index, true, 0);
    }
    evacuate(&mut evacuations, "east-1", 1_000, true, 0);
    assert!(evacuations.is_evacuated(&id("east-1")));
    assert!(evacuations.in_force().count() < 100);
}

#[test]
fn a_body_passes_through_allowed_regions_and_the_gateways_own() {
    let may = |allowed: &AllowedRegions, peer: &str| {
        may_carry(allowed, &regions(), &id("east-1"), &id(peer))
    };
    let west = allowed(&["west"], &[]);
    assert!(may(&west, "east-2") && may(&west, "east-1") && may(&west, "west-1"));
    assert!(!may(&west, "nowhere-1"));
    let east = allowed(&["east"], &[]);
    assert!(!may(&east, "west-1"));
    assert!(may(&AllowedRegions::default(), "west-1"));
}

/// Salts without a list stay as they were, and every salt tells the weights that made its blocks.
#[test]
fn the_salt_names_the_allowed_regions_in_order() {
    let model: ModelName = id("m");
    let dedicated = DedicatedOrganisations::new(["acme", "zeta"].map(id).into());
    let shared = SharingScope::Shared(None);
    let acme = dedicated.scope(Some(&id("acme")));
    let others = dedicated.scope(None);
    let salt = |scope, allowed| CacheSalt::new(&model, 3, scope, &allowed);
    let salts = [
        salt(&shared, allowed(&[], &[])),
        salt(&acme, allowed(&[], &[])),
        salt(&others, allowed(&[], &[])),
        salt(&shared, allowed(&["west", "east"], &[])),
        salt(&shared, allowed(&["east", "west"], &["west", "east", "west"])),
        salt(&acme, allowed(&[], &["east"])),
        salt(&others, allowed(&[], &["east"])),
    ];
    let texts = [
        "3/m",
        "3/m/acme",
        "3/m/~556a9f63015ac64f",
        "3/m//east,west",
        "3/m//east,west",
        "3/m/acme/east",
        "3/m/~556a9f63015ac64f/east",
    ];
    assert_eq!(salts.each_ref().map(CacheSalt::as_str), texts);
    assert!(salts.iter().all(|salt| salt.is_older(&model, 4) && !salt.is_older(&model, 3)));
}

fn route(name: &str, path_prefix: &str, regions: &[&str]) -> Route {
    Route {
        name: name.to_owned(),
        authority: "shop.example".to_owned(),
        path_prefix: path_prefix.to_owned(),
        kind: RouteKind::Safe,
        services: SmallVec::new(),
        timeout_ms: 1_000,
        objective_ms: 500,
        priority: 1,
        max_attempts: 1,
        is_public: false,
        event_gap_ms: None,
        allowed_regions: list(regions),
    }
}

/// A configuration may come into force between placement and the send.
#[test]
fn the_configuration_in_force_decides_for_requests_read_before_it() {
    let acme: OrganisationId = id("acme");
    let held = list(&["east"]);
    let mut newer = configuration(Vec::new());
    let regions = |newer: &_, route: &Route| {
        let allowed = AllowedRegions::in_configuration(newer, route, Some((&acme, &held[..])));
        allowed.regions().map(<[Region]>::to_vec)
    };
    let read = route("status", "/status/", &["east"]);
    // Neither the route nor the organisation is there any more.
    assert_eq!(regions(&newer, &read), Some(vec![id("east")]));
    newer.routes = vec![route("other", "/status/", &["west"])];
    assert_eq!(regions(&newer, &read), Some(vec![]));
    newer.routes.push(route("status", "/state/", &["east", "west"]));
    assert_eq!(regions(&newer, &read), Some(vec![id("east")]));
    let organisation = Organisation {
        id: acme.clone(),
        priority: None,
        is_dedicated: false,
        allowed_regions: list(&["west"]),
    };
    newer.organisations_by_key = Some([("key".to_owned(), organisation)].into());
    assert_eq!(regions(&newer, &read), Some(vec![id("west")]));
}
