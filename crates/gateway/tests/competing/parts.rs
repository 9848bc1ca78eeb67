//! The servers and requests of the service, and what organisations ask of it.

use crate::site::{FLOOD, ORGANISATIONS, SLOTS};
use dispatch::choice::{BlockCost, Candidate};
use dispatch::configuration::RouteKind;
use dispatch::load::{Health, LoadView};
use dispatch::registry::{ServerEntry, ServerId, SoftwareVersion};
use dispatch::request::RequestSpec;
use protocol::ids::Incarnation;
use std::collections::BTreeMap;

/// Returns what each organisation asks for, as a share of the service's capacity.
pub fn demand(load: f64) -> [f64; ORGANISATIONS] {
    let share = 1.0 / ORGANISATIONS as f64;
    if load < 1.0 {
        return [load * share; ORGANISATIONS];
    }
    let flood = FLOOD * share;
    let mut demand = [(load - flood) / (ORGANISATIONS - 1) as f64; ORGANISATIONS];
    demand[0] = flood;
    demand
}

/// Returns the max-min fair share of each organisation.
pub fn fair_shares(demand: &[f64; ORGANISATIONS]) -> Vec<f64> {
    let level = (0..10_000).map(|step| f64::from(step) * 0.0001);
    let total = |level: f64| demand.iter().map(|asked| asked.min(level)).sum::<f64>();
    let level = level.take_while(|level| total(*level) <= 1.0).last().unwrap();
    demand.iter().map(|asked| asked.min(level)).collect()
}

pub fn candidate<'a>((entry, seen): (&'a ServerEntry, &usize)) -> Candidate<'a> {
    let load = LoadView {
        health: Health::Good,
        unstarted_ms: 0.0,
        in_flight: *seen,
        memory_tokens: 0,
        header: None,
        slowdown: None,
    };
    Candidate {
        entry,
        load,
        blocks: BlockCost::default(),
        weight_version: None,
        has_session: false,
        is_limited: false,
        cold_ms: 0.0,
    }
}

pub fn entry(index: usize) -> ServerEntry {
    ServerEntry {
        id: ServerId::new(format!("server-{index}")),
        incarnation: Incarnation::new(1),
        heartbeat: 1,
        service: "desk".parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        domain: "domain-0".parse().unwrap(),
        slots: SLOTS as u32,
        is_draining: false,
        weight_versions: BTreeMap::new(),
        software: SoftwareVersion::new("v1"),
    }
}

pub fn spec(organisation: usize, priority: u8) -> RequestSpec {
    RequestSpec {
        service: "desk".parse().unwrap(),
        kind: RouteKind::Safe,
        priority,
        route_priority: priority,
        organisation: Some(format!("organisation-{organisation}").parse().unwrap()),
        body_bytes: 100,
        prompt: None,
        objective_at_ms: 0,
        deadline_at_ms: 0,
    }
}
