//! A small site: the platform's store, a desired state, and gateways.

use crate::Problem;
use crate::gateway::{Gateway, settings};
use serde_json::{Value, json};
use standins::fleet::Store;
use std::time::{Duration, Instant};

/// The path of the route of resumable streams.
pub const NOTES: &str = "/puxa400/";
/// The service of the engines.
pub const SERVICE: &str = "mokume";
/// The bound `convergeMs`, and a second more.
pub const CONVERGED: Duration = Duration::from_millis(3_500);

/// What is written to the record.
pub struct Log {
    start: Instant,
    lines: Vec<String>,
}

impl Log {
    pub fn new() -> Self {
        Self { start: Instant::now(), lines: Vec::new() }
    }

    pub fn add(&mut self, text: impl AsRef<str>) {
        let seconds = self.start.elapsed().as_secs_f64();
        self.lines.push(format!("{seconds:8.3} {}", text.as_ref()));
    }

    pub fn text(&self) -> String {
        self.lines.join("\n") + "\n"
    }
}

/// A tenant with its key.
pub struct Tenant {
    pub name: &'static str,
    pub key: &'static str,
    pub is_dedicated: bool,
}

/// Returns a desired state with one route of resumable streams.
pub fn desired_state(version: u64, tenants: &[Tenant]) -> Value {
    let tenants: Vec<Value> = tenants
        .iter()
        .map(|tenant| {
            json!({ "name": tenant.name, "apiKeys": [tenant.key], "dedicated": tenant.is_dedicated })
        })
        .collect();
    json!({
        "version": version,
        "routes": [{
            "name": "maker-dossier", "host": "pule25.example", "pathPrefix": NOTES,
            "kind": "stream", "timeoutMs": 15000, "targetLatencyMs": 1000, "priority": 1,
            "service": SERVICE, "maxAttempts": 2, "public": false, "resumable": true,
            "gapAimMs": 500, "sticky": true
        }],
        "services": [{
            "name": SERVICE, "healthPath": "/health", "maxConns": 360, "engine": {
                "slots": 64, "kvCapacity": 79874, "tokenKvBytes": 18432, "linkMbps": 280000.0,
                "maxInflight": 12, "models": [{ "name": "m" }]
            }
        }],
        "limits": {
            "maxHeaderBytes": 16384, "maxBodyBytes": 1_000_000, "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000
        },
        "tenants": tenants
    })
}

/// Waits until a condition holds.
pub async fn until(what: &str, mut holds: impl FnMut() -> bool) -> Result<(), Problem> {
    const MAX_WAIT: Duration = Duration::from_secs(30);
    let start = Instant::now();
    while !holds() {
        if start.elapsed() > MAX_WAIT {
            return Err(format!("timed out waiting until {what}").into());
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    Ok(())
}

/// Starts gateways, and waits until each lists the servers and the other gateways, and is ready.
pub async fn start_gateways(
    program: &str,
    store: &Store,
    hosts: &[&str],
    servers: usize,
) -> Result<Vec<Gateway>, Problem> {
    let mut gateways = Vec::new();
    for host in hosts {
        gateways.push(Gateway::start(program, &settings(host, store.address()))?);
    }
    for gateway in &gateways {
        until("the servers are listed", || gateway.lines("server_joined").len() >= servers).await?;
        until("the gateways are listed", || {
            let lines = gateway.lines("gateways_listed");
            lines.last().is_some_and(|line| line["count"] == hosts.len())
        })
        .await?;
        until("it is in force", || !gateway.lines("configuration_in_force").is_empty()).await?;
        let ready = "GET /camphorward/ready HTTP/1.1\r\nHost: x\r\n\r\n";
        while crate::caller::exchange(gateway.ready, ready).await.status != 200 {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
    Ok(gateways)
}
