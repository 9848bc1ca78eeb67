//! Finds addresses that are given twice or map onto themselves.

use crate::findings::Findings;
use crate::locate::Node;
use crate::unique::Unique;
use std::collections::HashMap;
use std::net::SocketAddr;

const LISTENERS: &[&str] = &["callers", "peers", "operators"];

/// Checks that no two listeners take one address.
pub(crate) fn check_listeners(root: &Node<'_>, findings: &mut Findings) {
    let listeners = listeners(root);
    for (index, (name, node, address)) in listeners.iter().enumerate() {
        let earlier = listeners[..index].iter().find(|(_, _, other)| collide(*address, *other));
        let Some((other, _, taken)) = earlier else {
            continue;
        };
        let message = format!("{address} is taken by listen.{other}, {taken}");
        let hint = format!("give listen.{name} another port, or port 0 for any free one");
        findings.add(node, message, Some(hint));
    }
}

/// Checks that a host names no peer twice and not itself.
pub(crate) fn check_seed_peers(root: &Node<'_>, findings: &mut Findings) {
    let own = listeners(root);
    let mut seen = Unique::new("peer");
    for node in root.elements_of("seed_peers") {
        let Some(address) = address_of(&node) else {
            continue;
        };
        seen.check(&node, &address.to_string(), findings);
        if let Some((name, _, _)) = own.iter().find(|(_, _, other)| *other == address) {
            let message = format!("{address} is this host's own listen.{name}");
            findings.add(&node, message, Some("name other entry hosts".to_owned()));
        }
    }
}

/// Checks that no address leads back to itself.
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
        let Some(path) = loop_from(*from, &targets) else {
            continue;
        };
        let names: Vec<String> = path.iter().map(ToString::to_string).collect();
        let message = format!("the addresses lead back to the first: {}", names.join(" -> "));
        findings.add(node, message, Some("remove one of these entries".to_owned()));
        reported.extend(path);
    }
}

/// Returns the addresses from the first back to it, or `None` if they end or loop elsewhere.
fn loop_from(
    start: SocketAddr,
    targets: &HashMap<SocketAddr, SocketAddr>,
) -> Option<Vec<SocketAddr>> {
    let mut path = vec![start];
    let mut at = start;
    for _ in 0..targets.len() {
        at = *targets.get(&at)?;
        path.push(at);
        if at == start {
            return Some(path);
        }
    }
    None
}

fn listeners<'a>(root: &Node<'a>) -> Vec<(&'static str, Node<'a>, SocketAddr)> {
    let Some(listen) = root.field("listen") else {
        return Vec::new();
    };
    let found = LISTENERS.iter().filter_map(|name| {
        let node = listen.field(name)?;
        let address = address_of(&node)?;
        Some((*name, node, address))
    });
    found.collect()
}

fn address_of(node: &Node<'_>) -> Option<SocketAddr> {
    node.as_text()?.parse().ok()
}

/// Tells whether two listeners cannot both have their address.
fn collide(a: SocketAddr, b: SocketAddr) -> bool {
    let same_ip = a.ip() == b.ip() || a.ip().is_unspecified() || b.ip().is_unspecified();
    a.port() != 0 && a.port() == b.port() && same_ip
}
