//! Servers, stores and requests shared by the tests.
#![allow(dead_code)]

use dispatch::blocks::{DedicatedOrganisations, LinkShares};
use dispatch::choice::{ChoiceContext, GatewayContext};
use dispatch::configuration::{
    BlockStoreTraits, CallerLimits, Configuration, EngineTraits, RouteKind, Service, ServiceKind,
};
use dispatch::load::{LoadReport, Loads, Reporter};
use dispatch::registry::{ServerEntry, ServerId, SoftwareVersion};
use dispatch::request::{Prompt, PromptSegment, RequestSpec, SegmentId};
use protocol::ids::{ConfigVersion, FailureDomain, Incarnation, ModelName, Region, ServiceName};
use smallvec::SmallVec;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

/// Parses a test's constant.
pub fn id<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().unwrap()
}

pub fn server(name: &str, domain: &str, heartbeat: u64) -> ServerEntry {
    ServerEntry {
        id: ServerId::new(name),
        incarnation: Incarnation::new(1),
        heartbeat,
        service: id("notes"),
        address: id("127.0.0.1:1"),
        domain: id(domain),
        slots: 64,
        is_draining: false,
        weight_versions: BTreeMap::from([(id::<ModelName>("m"), 1)]),
        software: SoftwareVersion::new("v1"),
    }
}

pub fn regions() -> HashMap<FailureDomain, Region> {
    HashMap::from([
        (id("east-1"), id("east")),
        (id("east-2"), id("east")),
        (id("west-1"), id("west")),
    ])
}

pub fn gateway_context() -> GatewayContext {
    GatewayContext { domain: id("east-1"), regions: regions(), prefill_tokens_per_ms: 55.0 }
}

/// A choice context in which one of `gateways` gateways reports its load.
pub fn choice_context(gateways: usize) -> ChoiceContext {
    let gateway_ratio = gateways as f64;
    ChoiceContext { newest_version: Some(1), gateway_ratio, may_wait: true, spread: 0 }
}

pub fn engines() -> EngineTraits {
    EngineTraits {
        slots: 64,
        memory_tokens: 80_000,
        token_bytes: 18_432,
        link_mbps: Some(280_000.0),
        max_watchers: 12,
        models: SmallVec::from_iter([id("m")]),
    }
}

pub fn store(address: &str, domain: &str, memory_tokens: u64, link_mbps: f64) -> BlockStoreTraits {
    BlockStoreTraits {
        address: id(address),
        domain: id(domain),
        memory_tokens,
        link_mbps,
        transfer_delay_ms: 1.0,
        max_watchers: 12,
    }
}

pub fn configuration(stores: Vec<BlockStoreTraits>) -> Configuration {
    let store_services = stores.into_iter().enumerate().map(|(index, store)| {
        let name: ServiceName = id(&format!("store-{index}"));
        (name.clone(), service(name, ServiceKind::BlockStore(store)))
    });
    let notes: ServiceName = id("notes");
    let engines = service(notes.clone(), ServiceKind::Engines(engines()));
    Configuration {
        version: ConfigVersion::new(1),
        routes: Vec::new(),
        services: store_services.chain([(notes, engines)]).collect(),
        organisations_by_key: None,
        dedicated: DedicatedOrganisations::default(),
        limits: CallerLimits {
            max_header_bytes: 16_384,
            max_body_bytes: 1 << 20,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        },
    }
}

fn service(name: ServiceName, kind: ServiceKind) -> Service {
    let health_path = "/health".to_owned();
    Service { name, health_path, max_connections: 360, cold: None, kind }
}

/// A prompt of a common segment, a session's segment and a private segment.
pub fn request(session: u64, session_tokens: u64, private_tokens: u64) -> RequestSpec {
    let segment = |id, tokens| PromptSegment { id: SegmentId::new(id), tokens };
    let segments =
        [segment(1, 512), segment(session, session_tokens), segment(session << 32, private_tokens)];
    RequestSpec {
        service: id("notes"),
        kind: RouteKind::ResumableStream,
        priority: 1,
        route_priority: 1,
        organisation: None,
        body_bytes: 12_000,
        prompt: Some(Prompt {
            model: id("m"),
            input_tokens: 512 + session_tokens + private_tokens,
            output_tokens: 64,
            segments: SmallVec::from_iter(segments),
        }),
        objective_at_ms: 1_000,
        deadline_at_ms: 15_000,
    }
}

pub fn address(text: &str) -> SocketAddr {
    id(text)
}

/// Runs a function with the gateway of a host and failure domain as the reporter.
pub fn reporting<T>(
    host: &str,
    domain: &str,
    incarnation: u64,
    run: impl FnOnce(&Reporter) -> T,
) -> T {
    run(&Reporter { host: &id(host), domain: &id(domain), incarnation })
}

/// The report of a gateway's local load.
pub fn report_of(loads: &mut Loads, host: &str, incarnation: u64) -> LoadReport {
    report_at(loads, host, incarnation, 0)
}

/// The report of a gateway's local load at a time.
pub fn report_at(loads: &mut Loads, host: &str, incarnation: u64, now_ms: u64) -> LoadReport {
    reporting(host, "east-1", incarnation, |reporter| {
        loads.report(reporter, &LinkShares::new(), true, now_ms).unwrap()
    })
}
