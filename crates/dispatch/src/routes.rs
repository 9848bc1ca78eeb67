//! Lookup of a request's route, service and organisation in a configuration.

use crate::configuration::{Configuration, Organisation, Route, WeightedService};
use protocol::ids::ServiceName;
use std::collections::HashMap;

/// Finds routes by host and longest path prefix.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    /// The indices of a host's routes, those with the longest prefix first.
    by_authority: HashMap<String, Vec<usize>>,
}

impl RouteTable {
    /// Builds the table of a configuration.
    pub fn new(configuration: &Configuration) -> Self {
        let mut by_authority: HashMap<String, Vec<usize>> = HashMap::new();
        for (index, route) in configuration.routes.iter().enumerate() {
            by_authority.entry(route.authority.to_ascii_lowercase()).or_default().push(index);
        }
        for indices in by_authority.values_mut() {
            let length = |index: &usize| configuration.routes[*index].path_prefix.len();
            indices.sort_by_key(|index| std::cmp::Reverse(length(index)));
        }
        Self { by_authority }
    }

    /// Returns the route of a host and path; a port after the host is ignored.
    pub fn find<'a>(
        &self,
        configuration: &'a Configuration,
        authority: &str,
        path: &str,
    ) -> Option<&'a Route> {
        let name = authority.split(':').next().unwrap_or_default().to_ascii_lowercase();
        let indices = self.by_authority.get(&name)?;
        let mut routes = indices.iter().map(|index| &configuration.routes[*index]);
        routes.find(|route| path.starts_with(&route.path_prefix))
    }
}

/// Picks a route's service by weight; `spread` is a hash of the request.
pub fn pick_service(services: &[WeightedService], spread: u64) -> Option<&ServiceName> {
    let total: u64 = services.iter().map(|entry| u64::from(entry.weight)).sum();
    if total == 0 {
        return services.first().map(|entry| &entry.service);
    }
    let mut point = spread % total;
    for entry in services {
        let weight = u64::from(entry.weight);
        if point < weight {
            return Some(&entry.service);
        }
        point -= weight;
    }
    None
}

/// The identity of a request's caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Identity<'a> {
    /// The configuration lists no organisations, or the route needs no key and no valid one was
    /// sent.
    Anonymous,
    /// The organisation that holds the key.
    Known(&'a Organisation),
    /// The key is missing or belongs to no organisation.
    Unknown,
}

/// Returns the identity that belongs to a request's key.
pub fn identify<'a>(
    configuration: &'a Configuration,
    route: &Route,
    key: Option<&str>,
) -> Identity<'a> {
    let Some(by_key) = &configuration.organisations_by_key else {
        return Identity::Anonymous;
    };
    match key.and_then(|key| by_key.get(key)) {
        Some(organisation) => Identity::Known(organisation),
        None if route.is_public => Identity::Anonymous,
        None => Identity::Unknown,
    }
}
