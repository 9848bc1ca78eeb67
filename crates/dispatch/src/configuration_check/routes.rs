//! Problems of routes.

use crate::configuration::written::WrittenConfiguration;
use crate::configuration::{Route, RouteKind, Service};
use crate::configuration_check::{Finding, Place, Problem, Surroundings, unknown_regions};
use protocol::ids::Region;

pub(super) fn check_routes(
    configuration: &WrittenConfiguration,
    surroundings: &Surroundings<'_>,
) -> Vec<Finding> {
    let mut findings = Vec::new();
    for (index, route) in configuration.routes.iter().enumerate() {
        let mut problems = Vec::new();
        problems.extend(match_problems(&configuration.routes[..index], route));
        problems.extend(service_problems(&configuration.services, route));
        problems.extend(time_problems(route));
        problems.extend(attempt_problems(route));
        problems.extend(unknown_regions(&route.allowed_regions, surroundings));
        problems.extend(caller_problems(configuration, route));
        let place = Place::Route(index, route.name.clone());
        findings
            .extend(problems.into_iter().map(|problem| Finding { place: place.clone(), problem }));
    }
    findings
}

/// Returns why no request, or not every one that is meant, finds the route.
fn match_problems(earlier: &[Route], route: &Route) -> Vec<Problem> {
    let mut problems = Vec::new();
    let is_same = |other: &Route| {
        other.authority.eq_ignore_ascii_case(&route.authority)
            && other.path_prefix == route.path_prefix
    };
    problems.extend(earlier.iter().position(is_same).map(Problem::ShadowedRoute));
    let has_same_name = |other: &Route| other.name == route.name;
    problems.extend(earlier.iter().position(has_same_name).map(Problem::RepeatedRouteName));
    let is_host = |c: char| c.is_ascii_graphic() && !matches!(c, ':' | '/');
    if route.authority.is_empty() || !route.authority.chars().all(is_host) {
        problems.push(Problem::UnmatchableHost);
    }
    if !route.path_prefix.starts_with('/') || !route.path_prefix.ends_with('/') {
        problems.push(Problem::UnmatchablePrefix);
    }
    problems
}

fn service_problems(services: &[Service], route: &Route) -> Vec<Problem> {
    let mut problems = Vec::new();
    if route.services.is_empty() {
        problems.push(Problem::NoService);
    }
    for weighted in &route.services {
        let name = &weighted.service;
        match services.iter().find(|service| service.name == *name) {
            None => problems.push(Problem::UnknownService(name.clone())),
            Some(service) if service.block_store().is_some() => {
                problems.push(Problem::StoreAsService(name.clone()));
            }
            Some(_) => {}
        }
        if weighted.weight == 0 {
            problems.push(Problem::NoWeight(name.clone()));
        }
    }
    problems
}

fn time_problems(route: &Route) -> Vec<Problem> {
    let mut problems = Vec::new();
    if route.timeout_ms == 0 {
        problems.push(Problem::NoTime("the timeout"));
    }
    if route.objective_ms == 0 {
        problems.push(Problem::NoTime("the latency objective"));
    }
    let gap = route.event_gap_ms.map(|gap_ms| ("the gap between events", gap_ms));
    let objective = ("the latency objective", route.objective_ms);
    for (name, value_ms) in [objective].into_iter().chain(gap) {
        if value_ms > route.timeout_ms {
            let limit_ms = route.timeout_ms;
            problems.push(Problem::TimeBeyond {
                name,
                value_ms,
                limit_name: "the timeout",
                limit_ms,
            });
        }
    }
    if gap.is_some() && !route.kind.is_stream() {
        problems.push(Problem::GapWithoutEvents);
    }
    problems
}

fn attempt_problems(route: &Route) -> Option<Problem> {
    match (route.max_attempts, route.kind) {
        (0, _) => Some(Problem::NoAttempt),
        (1, RouteKind::ResumableStream) => Some(Problem::ResumedByCallersOnly),
        _ => None,
    }
}

/// Returns why no organisation, or not every one, can use the route.
fn caller_problems(configuration: &WrittenConfiguration, route: &Route) -> Vec<Problem> {
    let Some(organisations) = &configuration.organisations else { return Vec::new() };
    let mut problems = Vec::new();
    if !route.is_public && organisations.iter().all(|organisation| organisation.keys.is_empty()) {
        problems.push(Problem::NobodyHasKey);
    }
    let has_common = |allowed: &[Region]| {
        allowed.is_empty()
            || route.allowed_regions.is_empty()
            || allowed.iter().any(|region| route.allowed_regions.contains(region))
    };
    let refused = organisations.iter().map(|written| &written.organisation);
    let refused = refused.filter(|organisation| !has_common(&organisation.allowed_regions));
    problems.extend(refused.map(|organisation| Problem::NoCommonRegion(organisation.id.clone())));
    problems
}
