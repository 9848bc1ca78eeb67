//! What differs between two configurations.

use crate::configuration::written::{WrittenConfiguration, WrittenOrganisation};
use crate::configuration::{Route, Service, ServiceKind};
use crate::configuration_check::Place;
use std::collections::BTreeSet;

/// What happened to a part of a configuration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// It is new.
    Added,
    /// It is gone.
    Removed,
    /// A field has another value.
    Field {
        /// The field's name.
        name: &'static str,
        /// The value in force.
        before: String,
        /// The new value.
        after: String,
    },
    /// Keys were added or removed.
    Keys {
        /// The number of new ones.
        added: usize,
        /// The number of those that are gone.
        removed: usize,
    },
}

/// A change and its place.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Difference {
    /// What changed; routes by their position in the configuration that has them.
    pub place: Place,
    /// How.
    pub change: Change,
}

/// What stands for the value of a field that is not set.
const NO_VALUE: &str = "none";

/// Names a field and renders its value.
type Field = (&'static str, String);

/// Returns what a configuration changes of the one in force. Entries are told apart by their names, and
/// their order does not count.
pub fn differences(after: &WrittenConfiguration, before: &WrittenConfiguration) -> Vec<Difference> {
    let mut found = Vec::new();
    let routes = |configuration: &WrittenConfiguration| {
        let routes = configuration.routes.iter().enumerate();
        routes
            .map(|(index, route)| {
                (route.name.clone(), Place::Route(index, route.name.clone()), route_fields(route))
            })
            .collect()
    };
    compare(routes(after), routes(before), &mut found);
    let services = |configuration: &WrittenConfiguration| {
        let services = configuration.services.iter();
        services
            .map(|service| {
                let place = Place::Service(service.name.clone());
                (service.name.to_string(), place, service_fields(service))
            })
            .collect()
    };
    compare(services(after), services(before), &mut found);
    compare(organisations(after), organisations(before), &mut found);
    compare_keys(after, before, &mut found);
    let limits = |configuration: &WrittenConfiguration| {
        let limits = &configuration.limits;
        let fields = vec![
            field("max_header_bytes", limits.max_header_bytes),
            field("max_body_bytes", limits.max_body_bytes),
            field("header_timeout_ms", limits.header_timeout_ms),
            field("idle_timeout_ms", limits.idle_timeout_ms),
        ];
        vec![(String::new(), Place::Limits, fields)]
    };
    compare(limits(after), limits(before), &mut found);
    found
}

fn compare(
    after: Vec<(String, Place, Vec<Field>)>,
    before: Vec<(String, Place, Vec<Field>)>,
    found: &mut Vec<Difference>,
) {
    for (name, place, fields) in &after {
        let Some((.., old)) = before.iter().find(|(other, ..)| other == name) else {
            found.push(Difference { place: place.clone(), change: Change::Added });
            continue;
        };
        for (name, value) in fields {
            let held = old.iter().find(|(other, _)| other == name);
            let before = held.map_or(NO_VALUE, |(_, value)| value.as_str());
            if before != value {
                let (before, after) = (before.to_owned(), value.clone());
                let change = Change::Field { name, before, after };
                found.push(Difference { place: place.clone(), change });
            }
        }
    }
    let is_gone = |name: &String| after.iter().all(|(other, ..)| other != name);
    let gone = before.into_iter().filter(|(name, ..)| is_gone(name));
    found.extend(gone.map(|(_, place, _)| Difference { place, change: Change::Removed }));
}

fn compare_keys(
    after: &WrittenConfiguration,
    before: &WrittenConfiguration,
    found: &mut Vec<Difference>,
) {
    let list = |configuration: &WrittenConfiguration| {
        configuration.organisations.clone().unwrap_or_default()
    };
    let before = list(before);
    for WrittenOrganisation { organisation, keys } in list(after) {
        let old = before.iter().find(|old| old.organisation.id == organisation.id);
        let Some(old) = old else { continue };
        let keys: BTreeSet<&String> = keys.iter().collect();
        let old: BTreeSet<&String> = old.keys.iter().collect();
        let (added, removed) = (keys.difference(&old).count(), old.difference(&keys).count());
        if added + removed > 0 {
            let change = Change::Keys { added, removed };
            found.push(Difference { place: Place::Organisation(organisation.id), change });
        }
    }
}

fn field(name: &'static str, value: impl ToString) -> Field {
    (name, value.to_string())
}

fn route_fields(route: &Route) -> Vec<Field> {
    let services = route.services.iter();
    let services = services.map(|weighted| format!("{} x {}", weighted.service, weighted.weight));
    vec![
        field("host", &route.authority),
        field("path_prefix", &route.path_prefix),
        field("kind", format!("{:?}", route.kind)),
        names("services", services),
        field("timeout_ms", route.timeout_ms),
        field("objective_ms", route.objective_ms),
        field("priority", route.priority),
        field("max_attempts", route.max_attempts),
        field("is_public", route.is_public),
        optional("event_gap_ms", route.event_gap_ms),
        regions(&route.allowed_regions),
    ]
}

fn service_fields(service: &Service) -> Vec<Field> {
    let cold = service.cold;
    let connections = Some(service.max_connections).filter(|count| *count < u32::MAX);
    let mut fields = vec![
        field("health_path", &service.health_path),
        optional("max_connections", connections),
        optional("cold_ms", cold.map(|cold| cold.duration_ms)),
        optional("cold_per_s", cold.map(|cold| cold.rate)),
    ];
    match &service.kind {
        ServiceKind::Plain => fields.push(field("kind", "plain")),
        ServiceKind::Engines(engines) => fields.extend([
            field("kind", "engines"),
            field("slots", engines.slots),
            field("memory_tokens", engines.memory_tokens),
            field("token_bytes", engines.token_bytes),
            optional("link_mbps", engines.link_mbps),
            field("max_watchers", engines.max_watchers),
            names("models", engines.models.iter()),
        ]),
        ServiceKind::BlockStore(store) => fields.extend([
            field("kind", "block store"),
            field("address", store.address),
            field("domain", &store.domain),
            field("memory_tokens", store.memory_tokens),
            field("link_mbps", store.link_mbps),
            field("transfer_delay_ms", store.transfer_delay_ms),
            field("max_watchers", store.max_watchers),
        ]),
    }
    fields
}

fn organisations(configuration: &WrittenConfiguration) -> Vec<(String, Place, Vec<Field>)> {
    let organisations = configuration.organisations.as_deref().unwrap_or_default().iter();
    organisations
        .map(|written| {
            let organisation = &written.organisation;
            let fields = vec![
                optional("priority", organisation.priority),
                field("is_dedicated", organisation.is_dedicated),
                regions(&organisation.allowed_regions),
            ];
            let place = Place::Organisation(organisation.id.clone());
            (organisation.id.to_string(), place, fields)
        })
        .collect()
}

fn optional<T: ToString>(name: &'static str, value: Option<T>) -> Field {
    (name, value.map_or_else(|| NO_VALUE.to_owned(), |value| value.to_string()))
}

fn names<T: ToString>(name: &'static str, values: impl Iterator<Item = T>) -> Field {
    (name, format!("[{}]", values.map(|value| value.to_string()).collect::<Vec<_>>().join(", ")))
}

fn regions(regions: &[protocol::ids::Region]) -> Field {
    if regions.is_empty() {
        return field("allowed_regions", "all");
    }
    names("allowed_regions", regions.iter())
}
