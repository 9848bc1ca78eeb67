//! Problems of services.

use crate::configuration::written::WrittenConfiguration;
use crate::configuration::{Service, ServiceKind};
use crate::configuration_check::{Finding, Place, Problem};

pub(super) fn check_services(configuration: &WrittenConfiguration) -> Vec<Finding> {
    let mut findings = Vec::new();
    for (index, service) in configuration.services.iter().enumerate() {
        let earlier = &configuration.services[..index];
        let mut problems = Vec::new();
        if earlier.iter().any(|other| other.name == service.name) {
            problems.push(Problem::RepeatedName);
        }
        let mut routes = configuration.routes.iter();
        let is_used = routes
            .any(|route| route.services.iter().any(|weighted| weighted.service == service.name));
        if !is_used && service.block_store().is_none() {
            problems.push(Problem::Unused);
        }
        problems.extend(size_problems(service));
        problems.extend(shared_address(earlier, service));
        let place = Place::Service(service.name.clone());
        findings
            .extend(problems.into_iter().map(|problem| Finding { place: place.clone(), problem }));
    }
    findings
}

fn size_problems(service: &Service) -> Vec<Problem> {
    let sizes = match &service.kind {
        ServiceKind::Plain => vec![],
        ServiceKind::Engines(engines) => vec![
            ("the number of slots", engines.slots == 0),
            ("the memory", engines.memory_tokens == 0),
            ("the size of a token", engines.token_bytes == 0),
            ("the number of models", engines.models.is_empty()),
        ],
        ServiceKind::BlockStore(store) => vec![
            ("the memory", store.memory_tokens == 0),
            ("the bandwidth of the link", store.link_mbps <= 0.0),
        ],
    };
    let connections = (service.block_store().is_none(), service.max_connections);
    let none = [("the number of connections", connections == (true, 0))];
    let zero = sizes.into_iter().chain(none).filter(|(_, is_zero)| *is_zero);
    let mut problems: Vec<Problem> = zero.map(|(name, _)| Problem::Zero(name)).collect();
    if let Some(slots) = service.engines().map(|engines| engines.slots)
        && (1..slots).contains(&service.max_connections)
    {
        let connections = service.max_connections;
        problems.push(Problem::FewConnections { connections, slots });
    }
    problems
}

fn shared_address(earlier: &[Service], service: &Service) -> Option<Problem> {
    let address = service.block_store()?.address;
    let is_same =
        |other: &&Service| other.block_store().is_some_and(|store| store.address == address);
    let other = earlier.iter().find(is_same)?;
    Some(Problem::SharedAddress(other.name.clone()))
}
