//! A small site: three failure domains in two regions, engines, a store host, an order server.

use clients::http::HttpClient;
use clients::log::LogClient;
use control::configuration::{CONFIGURATION_STREAM, ConfigRecord};
use protocol::ids::{ConfigVersion, FailureDomain, HostName, ServiceName};
use standins::engine::EngineConfig;
use standins::order_service::OrderConfig;
use standins::site::{ServerEntry, Site, SiteConfig};
use standins::store::StoreConfig;
use std::sync::Arc;
use std::time::Duration;

/// The failure domains with their regions.
pub const DOMAINS: [(&str, &str); 3] = [("d1", "east"), ("d2", "east"), ("d3", "west")];
/// A bearer key of the organisation `org-a`.
pub const KEY_A: &str = "key-of-org-a";
/// A bearer key of the organisation `org-b`.
pub const KEY_B: &str = "key-of-org-b";
/// The model that the site serves.
pub const MODEL: &str = "shade-1";
/// Timeout of an append.
const APPEND_TIMEOUT: Duration = Duration::from_secs(5);

/// Starts stand-ins: two engines and a store host in `d1`, an order server in `d2`.
pub async fn start(engine: EngineConfig) -> Site {
    let engines = ["m1", "m2"].map(|host| entry(host, 0, "shade", engine.clone()));
    let stores = [entry("s1", 0, "shade-kv", StoreConfig::default())];
    let order_servers = [entry("o1", 1, "orders", OrderConfig::default())];
    let config = SiteConfig {
        engines: engines.into(),
        stores: stores.into(),
        order_servers: order_servers.into(),
        ..SiteConfig::default()
    };
    Site::start(config).await.expect("the stand-ins start")
}

/// Publishes the services text of the site.
pub async fn publish(site: &Site) {
    publish_on(site, 0).await;
}

/// Publishes the services text of the site as the successor of a version.
pub async fn publish_on(site: &Site, base: u64) {
    publish_text(site, base, &services_text()).await;
}

/// Publishes a services text as the successor of a version.
pub async fn publish_text(site: &Site, base: u64, text: &str) {
    let record = ConfigRecord {
        base: ConfigVersion::new(base),
        publication_id: format!("test-{base}"),
        text: text.to_owned(),
    };
    let log = LogClient::new(Arc::new(HttpClient::new()), site.log.address());
    let text = serde_json::to_string(&record).expect("a record is JSON");
    log.append(CONFIGURATION_STREAM, text, APPEND_TIMEOUT)
        .await
        .expect("the log accepts the record");
}

/// Returns the services text of the site.
pub fn services_text() -> String {
    let digest = |key: &str| blake3::hash(key.as_bytes()).to_hex().to_string();
    format!(
        r#"{{
  "regions": [
    {{ "name": "east", "domains": ["d1", "d2"], "link_bits_per_s": 30000000, "link_delay_ms": 12 }},
    {{ "name": "west", "domains": ["d3"], "link_bits_per_s": 30000000, "link_delay_ms": 12 }}
  ],
  "organisations": [
    {{ "name": "org-a", "key_digests": ["{}"] }},
    {{ "name": "org-b", "key_digests": ["{}"] }}
  ],
  "services": [
    {{ "name": "shade", "kind": "model", "model": "{MODEL}", "weight_version": "v1",
       "kept_work": "shade-kv", "fencing": "checked", "kv_bytes_per_token": 64,
       "first_token_deadline_ms": 30000, "token_gap_ms": 10, "depends_on": ["shade-kv"] }},
    {{ "name": "shade-kv", "kind": "store", "expiry_s": 3600, "bytes_per_s": 50000000 }},
    {{ "name": "orders", "kind": "order", "deadline_ms": 5000, "outcome_path": "/orders/{{key}}",
       "calls": [
         {{ "method": "POST", "path": "/orders", "idempotent": false }},
         {{ "method": "GET", "path": "/orders/*", "idempotent": true }},
         {{ "method": "GET", "path": "/stock/*", "idempotent": true }} ] }}
  ]
}}"#,
        digest(KEY_A),
        digest(KEY_B)
    )
}

/// Returns the entry of a server in a failure domain.
pub fn entry<C>(host: &str, domain: usize, service: &str, config: C) -> ServerEntry<C> {
    let (failure_domain, region) = DOMAINS[domain];
    ServerEntry {
        host: host.parse::<HostName>().expect("a valid name"),
        region: region.parse().expect("a valid name"),
        failure_domain: failure_domain.parse::<FailureDomain>().expect("a valid name"),
        service: service.parse::<ServiceName>().expect("a valid name"),
        config,
    }
}
