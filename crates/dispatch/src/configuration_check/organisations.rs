//! Problems of organisations and their keys.

use crate::configuration::written::{WrittenConfiguration, WrittenOrganisation};
use crate::configuration_check::{Finding, Place, Problem, Surroundings, unknown_regions};
use std::collections::BTreeSet;

pub(super) fn check_organisations(
    configuration: &WrittenConfiguration,
    surroundings: &Surroundings<'_>,
) -> Vec<Finding> {
    let organisations = configuration.organisations.as_deref().unwrap_or_default();
    let mut findings = Vec::new();
    for (index, written) in organisations.iter().enumerate() {
        let organisation = &written.organisation;
        let earlier = &organisations[..index];
        let mut problems = Vec::new();
        if earlier.iter().any(|other| other.organisation.id == organisation.id) {
            problems.push(Problem::RepeatedName);
        }
        problems.extend(key_problems(earlier, written));
        problems.extend(unknown_regions(&organisation.allowed_regions, surroundings));
        let place = Place::Organisation(organisation.id.clone());
        findings
            .extend(problems.into_iter().map(|problem| Finding { place: place.clone(), problem }));
    }
    findings
}

fn key_problems(earlier: &[WrittenOrganisation], written: &WrittenOrganisation) -> Vec<Problem> {
    let mut problems = Vec::new();
    let keys: BTreeSet<&String> = written.keys.iter().collect();
    if keys.is_empty() {
        problems.push(Problem::NoKey);
    }
    if keys.len() < written.keys.len() {
        problems.push(Problem::RepeatedKey);
    }
    if keys.iter().any(|key| key.is_empty()) {
        problems.push(Problem::EmptyKey);
    }
    let shares = |other: &&WrittenOrganisation| other.keys.iter().any(|key| keys.contains(key));
    let others = earlier.iter().filter(shares);
    problems.extend(others.map(|other| Problem::SharedKey(other.organisation.id.clone())));
    problems
}
