//! The services text of a scenario.

use crate::conversation::bearer_key;
use crate::scenario::{
    KV_BYTES_PER_TOKEN, LINK_BITS_PER_S, ORGANISATION_SHARES, REGION_DELAY_MS, STORE_RATE,
    Scenario, TOKEN_GAP_MS,
};
use clients::http::HttpClient;
use clients::log::LogClient;
use control::configuration::{CONFIGURATION_STREAM, ConfigRecord};
use eyre::Result;
use protocol::ids::ConfigVersion;
use settings::services::{
    CallEntry, Fencing, ModelService, OrderService, OrganisationEntry, RegionEntry, ServiceEntry,
    ServiceKind, ServicesText, StoreService,
};
use standins::engine::EngineConfig;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

const PUBLISH_TIMEOUT: Duration = Duration::from_secs(5);
const EXPIRY_S: u64 = 600;
const FIRST_TOKEN_DEADLINE_MS: u64 = 10_000;
const ORDER_DEADLINE_MS: u64 = 2_000;

/// Publishes the services text as the first configuration.
///
/// # Errors
///
/// Returns an error if the log does not store the record.
pub async fn publish(scenario: &Scenario, log: SocketAddr) -> Result<()> {
    let record = ConfigRecord {
        base: ConfigVersion::default(),
        publication_id: "quickstart".to_owned(),
        text: serde_json::to_string_pretty(&services_text(scenario)?)?,
    };
    let log = LogClient::new(Arc::new(HttpClient::new()), log);
    log.append(CONFIGURATION_STREAM, serde_json::to_string(&record)?, PUBLISH_TIMEOUT).await?;
    Ok(())
}

fn services_text(scenario: &Scenario) -> Result<ServicesText> {
    let mut text = ServicesText::default();
    for (index, name) in scenario.regions.iter().enumerate() {
        let domains = scenario.domains.iter().filter(|domain| domain.region == index);
        text.regions.push(RegionEntry {
            name: name.parse()?,
            domains: domains.map(|domain| domain.name.parse()).collect::<Result<_, _>>()?,
            link_bits_per_s: LINK_BITS_PER_S,
            link_delay_ms: REGION_DELAY_MS,
        });
    }
    for index in 0..ORGANISATION_SHARES.len() {
        text.organisations.push(OrganisationEntry {
            name: format!("organisation-{index}").parse()?,
            key_digests: vec![blake3::hash(bearer_key(index).as_bytes()).to_hex().to_string()],
            share: 1,
        });
    }
    text.services = vec![model(scenario)?, store(scenario)?, orders(scenario)?];
    Ok(text)
}

fn model(scenario: &Scenario) -> Result<ServiceEntry> {
    let kind = ServiceKind::Model(ModelService {
        model: scenario.model.parse()?,
        weight_version: EngineConfig::default().weight_version,
        block_store: Some(scenario.store_service.parse()?),
        fencing: Fencing::Checked,
        kv_bytes_per_token: KV_BYTES_PER_TOKEN,
        first_token_deadline_ms: FIRST_TOKEN_DEADLINE_MS,
        token_gap_ms: TOKEN_GAP_MS,
    });
    let depends_on = vec![scenario.store_service.parse()?];
    Ok(ServiceEntry { name: scenario.model_service.parse()?, depends_on, kind })
}

fn store(scenario: &Scenario) -> Result<ServiceEntry> {
    let settings = StoreService { expiry_s: EXPIRY_S, bytes_per_s: STORE_RATE.value() };
    let kind = ServiceKind::Store(settings);
    Ok(ServiceEntry { name: scenario.store_service.parse()?, depends_on: Vec::new(), kind })
}

fn orders(scenario: &Scenario) -> Result<ServiceEntry> {
    let call = |method: &str, path: &str, idempotent| CallEntry {
        method: method.to_owned(),
        path: path.to_owned(),
        idempotent,
    };
    let kind = ServiceKind::Order(OrderService {
        calls: vec![
            call("POST", "/orders", false),
            call("GET", "/orders/*", true),
            call("GET", "/stock/*", true),
        ],
        deadline_ms: ORDER_DEADLINE_MS,
        outcome_path: Some("/orders/{key}".to_owned()),
    });
    Ok(ServiceEntry { name: scenario.order_service.parse()?, depends_on: Vec::new(), kind })
}
