//! Checks for dependencies on unknown services and for dependency cycles.

use super::cycles;
use crate::findings::Findings;
use crate::hint;
use crate::locate::Node;
use crate::unique::UniqueValues;
use std::collections::HashMap;

/// The name, the kind and the dependencies of a service.
struct Service<'a> {
    name: &'a str,
    kind: Option<&'a str>,
    dependencies: Vec<(Node<'a>, &'a str)>,
}

/// Checks the dependencies of all services.
pub(super) fn check(root: &Node<'_>, findings: &mut Findings) {
    let entries = root.elements_of("services");
    let services: Vec<Service<'_>> = entries.iter().filter_map(parse_service).collect();
    let names: Vec<&str> = services.iter().map(|service| service.name).collect();
    let kinds: HashMap<&str, Option<&str>> =
        services.iter().map(|service| (service.name, service.kind)).collect();
    for entry in &entries {
        check_block_store(entry, &kinds, findings);
    }
    for service in &services {
        check_service(service, &kinds, &names, findings);
    }
    check_cycles(&services, findings);
}

fn parse_service<'a>(entry: &Node<'a>) -> Option<Service<'a>> {
    let text = |field: &str| entry.field(field).and_then(|node| node.as_text());
    let dependencies = entry.elements_of("depends_on");
    let dependencies = dependencies.into_iter().filter_map(|node| {
        let name = node.as_text()?;
        Some((node, name))
    });
    Some(Service { name: text("name")?, kind: text("kind"), dependencies: dependencies.collect() })
}

fn check_block_store(
    entry: &Node<'_>,
    kinds: &HashMap<&str, Option<&str>>,
    findings: &mut Findings,
) {
    let Some(node) = entry.field("kept_work") else {
        return;
    };
    let Some(name) = node.as_text() else {
        return;
    };
    let stores = kinds.iter().filter(|(_, kind)| **kind == Some("store"));
    let mut stores: Vec<&str> = stores.map(|(store, _)| *store).collect();
    stores.sort_unstable();
    let hint = hint::for_unknown_word(name, &stores);
    match kinds.get(name) {
        None => findings.add(&node, format!("there is no service `{name}`"), hint),
        Some(Some("store") | None) => {}
        Some(Some(kind)) => {
            let message = format!("`{name}` is of kind `{kind}`, not `store`");
            findings.add(&node, message, hint);
        }
    }
}

fn check_service(
    service: &Service<'_>,
    kinds: &HashMap<&str, Option<&str>>,
    names: &[&str],
    findings: &mut Findings,
) {
    let mut dependencies = UniqueValues::new("dependency");
    for (node, name) in &service.dependencies {
        dependencies.check(node, name, findings);
        if !kinds.contains_key(name) {
            let hint = hint::for_unknown_word(name, names);
            findings.add(node, format!("there is no service `{name}`"), hint);
        }
    }
}

/// Reports each cycle once, at its first service in the text.
fn check_cycles(services: &[Service<'_>], findings: &mut Findings) {
    // Of two services with the same name the first is used; `names` reports the second.
    let indices: HashMap<&str, usize> =
        services.iter().enumerate().rev().map(|(index, service)| (service.name, index)).collect();
    let dependencies = services.iter().map(|service| {
        service.dependencies.iter().filter_map(|(_, name)| indices.get(name).copied()).collect()
    });
    for cycle in cycles::find(dependencies.collect()) {
        report_cycle(services, &cycle, findings);
    }
}

fn report_cycle(services: &[Service<'_>], cycle: &[usize], findings: &mut Findings) {
    let names: Vec<&str> = cycle.iter().map(|index| services[*index].name).collect();
    let (Some(first), Some(next)) = (cycle.first(), names.get(1).or(names.first())) else {
        return;
    };
    let Some((node, _)) = services[*first].dependencies.iter().find(|(_, name)| name == next)
    else {
        return;
    };
    let path = [names.as_slice(), &names[..1]].concat().join(" -> ");
    let hint = Some("remove one of these dependencies".to_owned());
    findings.add(node, format!("the services depend on each other: {path}"), hint);
}
