//! What a gateway believes of cold servers.

use dispatch::choice::{Closed, ClosedReason};
use dispatch::cold::ColdReport;
use dispatch::era::StoreEra;
use dispatch::limits::Urgency;
use dispatch::registry::{EntryPosition, ServerEntry, ServerId, ServerRecord, SoftwareVersion};
use gateway::cold;
use gateway::follow::apply_operator_record;
use gateway::node::Node;
use gateway::peers::Spread;
use gateway::routing_state::Found;
use gateway::settings::GatewaySettings;
use platform::frames::KeyedRecord;
use platform::store::CONFIGURATION_KEY;
use protocol::ids::Incarnation;
use serde_json::{Value, json};
use std::collections::BTreeMap;

const COLD_MS: u64 = 30_000;

/// Starts the state of a gateway with servers in two failure domains.
fn node(bounds: &Value) -> Node {
    let mut settings = json!({
        "host": "gateway-1", "address": "127.0.0.1", "failure_domain": "east-1",
        "regions": { "east-1": "east", "west-1": "west" },
        "listen": {
            "callers": "127.0.0.1:0", "ready": "127.0.0.1:0", "peers": "127.0.0.1:0",
            "metrics_port": 0
        },
        "seeds": [], "store": { "address": "127.0.0.1:1" },
        "bounds": {
            "drain_ms": 2500, "shutdown_s": 8, "retry_ratio": 0.2, "retry_slack": 54,
            "retry_window_s": 10, "steward_turn_ms": 3000, "weights_ms": 10000
        },
        "worker_threads": 1, "prefill_tokens_per_ms": 55,
        "log": { "level": "off", "max_lines_per_s": 1 }
    });
    for (name, value) in bounds.as_object().unwrap() {
        settings["bounds"][name] = value.clone();
    }
    let node = Node::new(GatewaySettings::parse(&settings.to_string()).unwrap());
    let service = |name: &str, cold_per_s: f64| {
        json!({
            "name": name, "healthPath": "/health", "maxConns": 100,
            "coldS": COLD_MS / 1_000, "coldPerS": cold_per_s
        })
    };
    let configuration = json!({
        "version": 1, "routes": [], "tenants": [],
        "services": [service("desk", 12.0), service("sturdy", 0.0)],
        "limits": {
            "maxHeaderBytes": 16384, "maxBodyBytes": 100_000, "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000
        },
    });
    let value = Some(rmp_serde::to_vec_named(&configuration).unwrap());
    let record = KeyedRecord { key: CONFIGURATION_KEY.to_owned(), value };
    apply_operator_record(&node, &record, Found::Listed, "test");
    assert!(node.in_force().is_some());
    for (offset, name) in ["east-1", "west-1", "sturdy"].into_iter().enumerate() {
        let at = EntryPosition { era: StoreEra::new(1), offset: offset as u64 };
        node.state().registry.apply(ServerRecord::Present(entry(name)), at, node.now_ms());
    }
    node
}

fn entry(name: &str) -> ServerEntry {
    let (service, domain) = if name == "sturdy" { ("sturdy", "east-1") } else { ("desk", name) };
    ServerEntry {
        id: ServerId::new(name),
        incarnation: Incarnation::new(1),
        heartbeat: 1,
        service: service.parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        domain: domain.parse().unwrap(),
        slots: 64,
        is_draining: false,
        weight_versions: BTreeMap::new(),
        software: SoftwareVersion::new("v1"),
    }
}

fn bounds() -> Value {
    json!({ "cold_factor": 1.5, "cold_slack": 5 })
}

fn is_cold(node: &Node, name: &str) -> bool {
    node.state().is_cold(&entry(name), node.now_ms())
}

fn report(name: &str) -> ColdReport {
    ColdReport {
        server: ServerId::new(name),
        incarnation: Incarnation::new(1),
        remaining_ms: COLD_MS,
        age_ms: 0,
        heartbeat: None,
        is_assumed: false,
    }
}

#[test]
fn the_servers_of_a_domain_are_cold_after_its_evacuation() {
    let node = node(&bounds());
    cold::assume_after_evacuation(
        &node,
        &mut node.state(),
        &"east-1".parse().unwrap(),
        node.now_ms(),
    );
    assert!(is_cold(&node, "east-1"));
    assert!(!is_cold(&node, "west-1"), "it was not evacuated");
    assert!(!is_cold(&node, "sturdy"), "its service bears as much when cold");
}

#[test]
fn the_end_of_an_evacuation_that_is_long_over_changes_nothing() {
    let node = node(&bounds());
    let ended_ms = node.now_ms() - COLD_MS - 1;
    cold::assume_after_evacuation(&node, &mut node.state(), &"east-1".parse().unwrap(), ended_ms);
    assert!(!is_cold(&node, "east-1"));
}

#[test]
fn a_cold_server_is_closed_while_its_holder_refuses() {
    let node = node(&bounds());
    cold::apply_reports(&node, &[report("east-1")], Spread::None);
    let (entry, now_ms) = (entry("east-1"), node.now_ms());
    let urgent = Urgency::new(0);
    assert_eq!(node.state().check_open(&entry, urgent, now_ms), Ok(()));
    let until_ms = now_ms + 20_000;
    node.state().cold.asks.refuse(&entry.id, entry.incarnation, urgent, until_ms);
    let closed = Closed { reason: ClosedReason::Cold, until_ms };
    assert_eq!(node.state().check_open(&entry, urgent, now_ms), Err(closed));
    // The limit that a server names has refusals of its own.
    assert_eq!(
        node.state().asks.refused_until_ms(&entry.id, entry.incarnation, urgent, now_ms),
        None
    );
}

/// Installations that do not enable the rule are served as before.
#[test]
fn without_both_bounds_no_server_is_cold() {
    for bounds in [json!({}), json!({ "cold_factor": 1.5 }), json!({ "cold_slack": 5 })] {
        let node = node(&bounds);
        cold::apply_reports(&node, &[report("east-1")], Spread::None);
        cold::assume_after_evacuation(
            &node,
            &mut node.state(),
            &"east-1".parse().unwrap(),
            node.now_ms(),
        );
        assert!(!is_cold(&node, "east-1") && cold::reports(&node).is_empty());
    }
}
