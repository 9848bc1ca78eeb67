//! Finds dependencies on services that are not there, and cycles.

use crate::findings::Findings;
use crate::hint;
use crate::locate::Node;
use crate::unique::Unique;
use std::collections::{BTreeMap, HashMap};

/// Holds one service's name, kind and dependencies.
struct Service<'a> {
    name: &'a str,
    kind: Option<&'a str>,
    needs: Vec<(Node<'a>, &'a str)>,
}

/// Checks what each service depends on.
pub(super) fn check(root: &Node<'_>, findings: &mut Findings) {
    let entries = root.elements_of("services");
    let services: Vec<Service<'_>> = entries.iter().filter_map(read_service).collect();
    let names: Vec<&str> = services.iter().map(|service| service.name).collect();
    let kinds: HashMap<&str, Option<&str>> =
        services.iter().map(|service| (service.name, service.kind)).collect();
    for entry in &entries {
        check_kept_work(entry, &kinds, findings);
    }
    for service in &services {
        check_needs(service, &kinds, &names, findings);
    }
    check_cycles(&services, findings);
}

fn read_service<'a>(entry: &Node<'a>) -> Option<Service<'a>> {
    let text = |field: &str| entry.field(field).and_then(|node| node.as_text());
    let needs = entry.elements_of("depends_on");
    let needs = needs.into_iter().filter_map(|need| {
        let name = need.as_text()?;
        Some((need, name))
    });
    Some(Service { name: text("name")?, kind: text("kind"), needs: needs.collect() })
}

fn check_kept_work(entry: &Node<'_>, kinds: &HashMap<&str, Option<&str>>, findings: &mut Findings) {
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

fn check_needs(
    service: &Service<'_>,
    kinds: &HashMap<&str, Option<&str>>,
    names: &[&str],
    findings: &mut Findings,
) {
    let mut seen = Unique::new("dependency");
    for (node, name) in &service.needs {
        seen.check(node, name, findings);
        if !kinds.contains_key(name) {
            let hint = hint::for_unknown_word(name, names);
            findings.add(node, format!("there is no service `{name}`"), hint);
        }
    }
}

/// Reports each cycle once, at the first of its services in the text.
fn check_cycles(services: &[Service<'_>], findings: &mut Findings) {
    let mut left: BTreeMap<usize, &Service<'_>> = services.iter().enumerate().collect();
    loop {
        remove_acyclic(&mut left);
        let Some(start) = left.keys().next().copied() else {
            return;
        };
        let cycle = walk_to_cycle(&left, start);
        report_cycle(&left, &cycle, findings);
        for index in cycle {
            left.remove(&index);
        }
    }
}

/// Removes services without a dependency among those that are left, until none is found.
fn remove_acyclic(left: &mut BTreeMap<usize, &Service<'_>>) {
    loop {
        let names: HashMap<&str, usize> = index_by_name(left);
        let before = left.len();
        left.retain(|_, service| first_need(service, &names).is_some());
        if left.len() == before {
            return;
        }
    }
}

fn index_by_name<'a>(left: &BTreeMap<usize, &Service<'a>>) -> HashMap<&'a str, usize> {
    // The first of two services with one name counts; the second is reported elsewhere.
    left.iter().rev().map(|(index, service)| (service.name, *index)).collect()
}

fn first_need<'s, 'a>(
    service: &'s Service<'a>,
    names: &HashMap<&str, usize>,
) -> Option<(&'s Node<'a>, usize)> {
    service.needs.iter().find_map(|(node, name)| names.get(name).map(|index| (node, *index)))
}

/// Follows first dependencies until a service comes again; returns the cycle, earliest first.
fn walk_to_cycle(left: &BTreeMap<usize, &Service<'_>>, start: usize) -> Vec<usize> {
    let names = index_by_name(left);
    let mut path = vec![start];
    let mut at = start;
    while let Some((_, next)) = left.get(&at).and_then(|service| first_need(service, &names)) {
        if let Some(place) = path.iter().position(|index| *index == next) {
            let mut cycle = path.split_off(place);
            let earliest = cycle.iter().enumerate().min_by_key(|(_, index)| **index);
            let turn = earliest.map_or(0, |(place, _)| place);
            cycle.rotate_left(turn);
            return cycle;
        }
        path.push(next);
        at = next;
    }
    path
}

fn report_cycle(left: &BTreeMap<usize, &Service<'_>>, cycle: &[usize], findings: &mut Findings) {
    let names = index_by_name(left);
    let first = cycle.first().and_then(|index| left.get(index)).copied();
    let Some((service, (node, _))) = first.zip(first.and_then(|one| first_need(one, &names)))
    else {
        return;
    };
    let members = cycle.iter().filter_map(|index| left.get(index)).map(|member| member.name);
    let path: Vec<&str> = members.chain([service.name]).collect();
    let hint = Some("remove one of these dependencies".to_owned());
    findings.add(node, format!("the services depend on each other: {}", path.join(" -> ")), hint);
}
