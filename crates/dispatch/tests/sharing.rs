//! Which organisations find each other's cached blocks, over generated histories of configurations.

mod common;

use common::id;
use dispatch::blocks::{CacheSalt, DedicatedOrganisations};
use dispatch::eligibility::AllowedRegions;
use protocol::ids::OrganisationId;
use quickcheck::{Arbitrary, Gen, QuickCheck};
use std::collections::{BTreeSet, HashMap};

const ORGANISATIONS: [&str; 4] = ["alpha", "beta", "gamma", "delta"];
const GATEWAYS: usize = 3;
const SEED: u64 = 0x5eed_d01c;
const TESTS: u64 = 3_000;
const STEPS: usize = 60;

#[derive(Clone, Copy, Debug)]
enum Step {
    /// A configuration makes an organisation dedicated, ordinary, or lists it no more.
    Write { organisation: usize, is_dedicated: bool },
    /// A gateway puts the newest configuration in force.
    Follow { gateway: usize },
    /// A gateway starts again and knows the newest configuration only.
    Restart { gateway: usize },
    /// A request of an organisation, or of none, uses and makes a block.
    Request { gateway: usize, organisation: Option<usize> },
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let (gateway, organisation) =
            (usize::arbitrary(g) % GATEWAYS, usize::arbitrary(g) % ORGANISATIONS.len());
        match u8::arbitrary(g) % 10 {
            0..2 => Step::Write { organisation, is_dedicated: bool::arbitrary(g) },
            2..4 => Step::Follow { gateway },
            4 => Step::Restart { gateway },
            _ => Step::Request {
                gateway,
                organisation: Some(organisation).filter(|_| u8::arbitrary(g) % 8 > 0),
            },
        }
    }
}

fn name(organisation: usize) -> OrganisationId {
    id(ORGANISATIONS[organisation])
}

/// Plays a history; returns whether all requests found only blocks that they may use.
fn keeps_dedicated_apart(steps: &[Step]) -> bool {
    let mut newest: BTreeSet<OrganisationId> = BTreeSet::new();
    let mut in_force = vec![newest.clone(); GATEWAYS];
    let mut makers: HashMap<CacheSalt, BTreeSet<Option<OrganisationId>>> = HashMap::new();
    for step in steps {
        match *step {
            Step::Write { organisation, is_dedicated: true } => {
                newest.insert(name(organisation));
            }
            Step::Write { organisation, is_dedicated: false } => {
                newest.remove(&name(organisation));
            }
            Step::Follow { gateway } | Step::Restart { gateway } => {
                in_force[gateway] = newest.clone();
            }
            Step::Request { gateway, organisation } => {
                let dedicated = &in_force[gateway];
                let organisation = organisation.map(name);
                let scope =
                    DedicatedOrganisations::new(dedicated.clone()).scope(organisation.as_ref());
                let salt = CacheSalt::new(&id("m"), 1, &scope, &AllowedRegions::default());
                let makers = makers.entry(salt).or_default();
                let is_walled = |name: &Option<OrganisationId>| {
                    name.as_ref().is_some_and(|name| dedicated.contains(name))
                };
                let others = makers.iter().filter(|maker| **maker != organisation);
                if others.clone().count() > 0
                    && (is_walled(&organisation) || others.clone().any(is_walled))
                {
                    return false;
                }
                makers.insert(organisation);
            }
        }
    }
    true
}

/// Guards against requests that find what an organisation cached before it became dedicated.
#[test]
fn blocks_of_an_organisation_that_becomes_dedicated_are_found_by_no_other() {
    let mut histories =
        QuickCheck::new().rng(Gen::from_size_and_seed(STEPS, SEED)).tests(TESTS).max_tests(TESTS);
    histories
        .quickcheck((|steps: Vec<Step>| keeps_dedicated_apart(&steps)) as fn(Vec<Step>) -> bool);
}

/// Guards against blocks that are computed again although no organisation's status has changed.
#[test]
fn the_same_dedicated_organisations_give_the_same_scopes() {
    let scope = |dedicated: &[&str], organisation: Option<&str>| {
        let names = dedicated.iter().map(|name| id(name)).collect();
        DedicatedOrganisations::new(names).scope(organisation.map(id).as_ref()).to_string()
    };
    assert_eq!(scope(&["alpha", "beta"], None), scope(&["beta", "alpha"], Some("gamma")));
    assert_eq!(scope(&["alpha", "beta"], Some("alpha")), scope(&["alpha"], Some("alpha")));
    assert_eq!(scope(&[], Some("alpha")), "");
    let shared = [&[][..], &["alpha"], &["beta"], &["alpha", "beta"], &["alphabeta"]];
    let texts: BTreeSet<String> = shared.iter().map(|names| scope(names, None)).collect();
    assert_eq!(texts.len(), shared.len());
}
