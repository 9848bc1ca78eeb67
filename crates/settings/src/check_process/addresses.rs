//! Checks for duplicate addresses and for loops in the address map.

use crate::findings::Findings;
use crate::locate::Node;
use crate::unique::UniqueValues;
use std::collections::HashMap;
use std::net::SocketAddr;

const LISTENERS: &[&str] = &["callers", "peers", "operators"];

/// Checks that no two listeners bind the same address.
pub(crate) fn check_listeners(root: &Node<'_>, findings: &mut Findings) {
    let listeners = listeners(root);
    for (index, (name, node, address)) in listeners.iter().enumerate() {
        let earlier = listeners[..index].iter().find(|(_, _, other)| conflicts(*address, *other));
        let Some((other, _, other_address)) = earlier else {
            continue;
        };
        let message = format!("{address} is already used by listen.{other}, {other_address}");
        let hint = format!("give listen.{name} another port, or port 0 for any free one");
        findings.add(node, message, Some(hint));
    }
}

/// Checks that the seed peers hold no duplicates and none of the host's own listeners.
pub(crate) fn check_seed_peers(root: &Node<'_>, findings: &mut Findings) {
    let own_listeners = listeners(root);
    let mut peers = UniqueValues::new("peer");
    for node in root.elements_of("seed_peers") {
        let Some(address) = address_of(&node) else {
            continue;
        };
        peers.check(&node, &address.to_string(), findings);
        if let Some((name, _, _)) = own_listeners.iter().find(|(_, _, other)| *other == address) {
            let message = format!("{address} is this host's own listen.{name}");
            findings.add(&node, message, Some("list other entry hosts".to_owned()));
        }
    }
}

/// Checks that following the address map from an address never returns to that address.
pub(crate) fn check_address_map(root: &Node<'_>, findings: &mut Findings) {
    let Some(map) = root.field("address_map") else {
        return;
    };
    let Some(object) = map.as_object() else {
        return;
    };
    let entries: Vec<(SocketAddr, Node<'_>, SocketAddr)> = object
        .properties
        .iter()
        .filter_map(|property| {
            let node = map.property(property);
            let target = address_of(&node)?;
            Some((property.name.as_str().parse().ok()?, node, target))
        })
        .collect();
    let targets: HashMap<SocketAddr, SocketAddr> =
        entries.iter().map(|(from, _, to)| (*from, *to)).collect();
    let mut reported: Vec<SocketAddr> = Vec::new();
    for (from, node, _) in &entries {
        if reported.contains(from) {
            continue;
        }
        let Some(path) = find_loop(*from, &targets) else {
            continue;
        };
        let names: Vec<String> = path.iter().map(ToString::to_string).collect();
        let message = format!("the addresses form a loop: {}", names.join(" -> "));
        findings.add(node, message, Some("remove one of these entries".to_owned()));
        reported.extend(path);
    }
}

/// Returns the path from `start` back to `start`, or `None` if the path ends or enters a loop that
/// does not contain `start`.
fn find_loop(
    start: SocketAddr,
    targets: &HashMap<SocketAddr, SocketAddr>,
) -> Option<Vec<SocketAddr>> {
    let mut path = vec![start];
    let mut current = start;
    for _ in 0..targets.len() {
        current = *targets.get(&current)?;
        path.push(current);
        if current == start {
            return Some(path);
        }
    }
    None
}

fn listeners<'a>(root: &Node<'a>) -> Vec<(&'static str, Node<'a>, SocketAddr)> {
    let Some(listen) = root.field("listen") else {
        return Vec::new();
    };
    let listeners = LISTENERS.iter().filter_map(|name| {
        let node = listen.field(name)?;
        let address = address_of(&node)?;
        Some((*name, node, address))
    });
    listeners.collect()
}

fn address_of(node: &Node<'_>) -> Option<SocketAddr> {
    node.as_text()?.parse().ok()
}

/// Returns whether two listeners cannot both bind their addresses.
fn conflicts(a: SocketAddr, b: SocketAddr) -> bool {
    let same_ip = a.ip() == b.ip() || a.ip().is_unspecified() || b.ip().is_unspecified();
    a.port() != 0 && a.port() == b.port() && same_ip
}
