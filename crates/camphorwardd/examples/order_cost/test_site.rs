//! Seven daemons, three order servers and a log behind links with delays.

use camphorwardd::Daemon;
use clients::http::{HttpClient, build_request};
use clients::log::LogClient;
use clients::wire::host_list::{HostEntry, HostRole, HostState};
use control::configuration::{CONFIGURATION_STREAM, ConfigRecord};
use http::{HeaderValue, Method};
use protocol::ids::ConfigVersion;
use settings::process::ProcessSettings;
use standins::order_service::OrderConfig;
use standins::relay::{Link, LinkConfig, Relay};
use standins::site::{ServerEntry, Site, SiteConfig};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use uuid::Uuid;

const KEY: &str = "benchmark-key";
const CALL_TIMEOUT: Duration = Duration::from_secs(30);
const READY_POLL: Duration = Duration::from_millis(50);
const HOSTS: usize = 7;
const ORDER_SERVERS: usize = 3;
/// The number of the first host in the remote region.
const FIRST_REMOTE_HOST: usize = 5;
/// The one-way delay to the log from the local region, in milliseconds.
const LOCAL_DELAY_MS: f64 = 1.5;
/// The one-way delay to the log from the remote region, in milliseconds.
const REMOTE_DELAY_MS: f64 = 12.0;

/// One entry host.
#[derive(Clone, Debug)]
pub struct Host {
    pub callers: SocketAddr,
    pub is_remote: bool,
}

/// The site, its daemons and their links to the log.
pub struct TestSite {
    pub hosts: Vec<Host>,
    pub http: Arc<HttpClient>,
    site: Site,
    _daemons: Vec<Daemon>,
    _relays: Vec<Relay>,
}

impl TestSite {
    /// Starts the site and waits until all daemons are ready and list each other.
    pub async fn start() -> eyre::Result<Self> {
        let site = start_site().await?;
        publish(&site).await?;
        let (mut hosts, mut daemons, mut relays) = (Vec::new(), Vec::new(), Vec::new());
        for number in 0..HOSTS {
            let is_remote = number >= FIRST_REMOTE_HOST;
            let delay_ms = if is_remote { REMOTE_DELAY_MS } else { LOCAL_DELAY_MS };
            let link = Link::new(LinkConfig { delay_ms, bytes_per_s: None });
            let relay = Relay::start(link, site.log.address()).await?;
            let daemon = Daemon::start(settings(number, relay.address(), &site)?).await?;
            site.host_list.put(entry(number, &daemon)?);
            hosts.push(Host { callers: daemon.addresses().callers, is_remote });
            relays.push(relay);
            daemons.push(daemon);
        }
        while !daemons.iter().all(Daemon::is_ready) {
            tokio::time::sleep(READY_POLL).await;
        }
        // The append budget is divided by the number of live hosts, so each must list all others
        // first.
        tokio::time::sleep(Duration::from_secs(4)).await;
        let http = Arc::new(HttpClient::new());
        Ok(Self { hosts, http, site, _daemons: daemons, _relays: relays })
    }

    /// Returns the number of records appended to the orders stream so far.
    pub fn appends(&self) -> u64 {
        self.site.log.appended_records("orders")
    }

    /// Returns the number of executed orders.
    pub fn executed(&self) -> usize {
        self.site.ledgers.values().map(|ledger| ledger.executions().len()).sum()
    }
}

/// Sends one order and returns whether it was executed.
pub async fn order(http: &HttpClient, host: SocketAddr) -> bool {
    let path = "/v1/services/orders/orders";
    let body = r#"{"item":"spruce-top","grade":"AAA","stiffness_gpa":13.1}"#.into();
    let Ok(mut request) = build_request(Method::POST, host, path, "application/json", body) else {
        return false;
    };
    let headers = [
        ("authorization", format!("Bearer {KEY}")),
        ("idempotency-key", Uuid::now_v7().to_string()),
    ];
    for (name, value) in headers {
        if let Ok(value) = HeaderValue::from_str(&value) {
            request.headers_mut().insert(name, value);
        }
    }
    http.fetch(host, request, CALL_TIMEOUT).await.is_ok()
}

async fn start_site() -> eyre::Result<Site> {
    let servers = (0..ORDER_SERVERS).map(|number| -> eyre::Result<ServerEntry<OrderConfig>> {
        Ok(ServerEntry {
            host: format!("o{number}").parse()?,
            region: "r".parse()?,
            failure_domain: "d".parse()?,
            service: "orders".parse()?,
            config: OrderConfig::default(),
        })
    });
    let order_servers = servers.collect::<eyre::Result<Vec<_>>>()?;
    Ok(Site::start(SiteConfig { order_servers, ..SiteConfig::default() }).await?)
}

fn settings(number: usize, log: SocketAddr, site: &Site) -> eyre::Result<ProcessSettings> {
    let text = format!(
        r#"{{ "host": "e{number}", "failure_domain": "d", "region": "r", "log_level": "warn",
  "listen": {{ "callers": "127.0.0.1:0", "peers": "127.0.0.1:0", "operators": "127.0.0.1:0" }},
  "platform": {{ "log": "{log}", "host_list": "{}" }} }}"#,
        site.host_list.address()
    );
    settings::parse_process_settings(&text).map_err(|report| eyre::eyre!("{report}"))
}

fn entry(number: usize, daemon: &Daemon) -> eyre::Result<HostEntry> {
    let addresses = daemon.addresses();
    Ok(HostEntry {
        host: format!("e{number}").parse()?,
        incarnation: daemon.incarnation(),
        region: "r".parse()?,
        failure_domain: "d".parse()?,
        state: HostState::Live,
        role: HostRole::Entry {
            callers: addresses.callers,
            peers: addresses.peers,
            operators: addresses.operators,
        },
    })
}

async fn publish(site: &Site) -> eyre::Result<()> {
    let digest = blake3::hash(KEY.as_bytes()).to_hex();
    let text = format!(
        r#"{{ "regions": [{{ "name": "r", "domains": ["d"], "link_bits_per_s": 30000000, "link_delay_ms": 12 }}],
  "organisations": [{{ "name": "org", "key_digests": ["{digest}"] }}],
  "services": [{{ "name": "orders", "kind": "order", "deadline_ms": 5000,
    "outcome_path": "/orders/{{key}}",
    "calls": [{{ "method": "POST", "path": "/orders", "idempotent": false }}] }}] }}"#
    );
    let base = ConfigVersion::new(0);
    let record = ConfigRecord { base, publication_id: "order-cost".to_owned(), text };
    let log = LogClient::new(Arc::new(HttpClient::new()), site.log.address());
    log.append(CONFIGURATION_STREAM, serde_json::to_string(&record)?, CALL_TIMEOUT).await?;
    Ok(())
}
