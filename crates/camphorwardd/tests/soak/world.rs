//! The site of a soak run: every path between processes runs over a link that can be partitioned.

use crate::caller;
use crate::fleet::{configuration, settings};
use crate::process::Gateway;
use standins::fleet::{Availability, Behaviour, Server, ServerKind, Store};
use standins::relay::{Link, LinkConfig, Partition, Relay};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::sync::Mutex;

pub const SERVERS: usize = 3;
const LINK: LinkConfig = LinkConfig { delay_ms: 1.0, bytes_per_s: None };

/// A server behind its link.
pub struct Member {
    pub server: Server,
    pub link: Arc<Link>,
    pub relay: Relay,
    pub service: &'static str,
    pub heartbeat: AtomicU64,
}

impl Member {
    async fn start(id: &str, kind: ServerKind, service: &'static str) -> Self {
        let server = Server::start(id, kind).await.unwrap();
        let link = Link::new(LINK);
        let relay = Relay::start(Arc::clone(&link), server.address()).await.unwrap();
        Self { server, link, relay, service, heartbeat: AtomicU64::new(0) }
    }

    /// Registers the server with its next heartbeat.
    pub fn beat(&self, store: &Store) {
        let heartbeat = self.heartbeat.fetch_add(1, Ordering::Relaxed) + 1;
        let mut entry = self.server.entry(self.service, "east-1", heartbeat, "ready");
        entry["address"] = self.relay.address().to_string().into();
        store.register(&self.server.id(), &entry);
    }
}

/// A slot for a gateway, whose process changes with kills and restarts.
pub struct GatewaySlot {
    pub host: String,
    pub store_link: Arc<Link>,
    store_relay: Relay,
    pub gateway: Mutex<Option<Gateway>>,
    /// The address for callers, independent of the process that listens.
    pub callers: Relay,
    /// The log lines of previous processes.
    pub previous_logs: std::sync::Mutex<Vec<Vec<serde_json::Value>>>,
}

pub struct World {
    pub store: Store,
    pub members: Vec<Member>,
    pub slots: Vec<GatewaySlot>,
    pub version: AtomicU64,
    pub weights: AtomicU64,
}

impl World {
    pub async fn start(gateways: usize) -> Arc<Self> {
        let store = Store::start().await.unwrap();
        let mut members = Vec::new();
        for index in 0..SERVERS {
            let desk = Member::start(&format!("desk-{index}"), ServerKind::Plain, "desk").await;
            let id = format!("engine-{index}");
            let engine = Member::start(&id, ServerKind::Engine, "notes").await;
            members.extend([desk, engine]);
        }
        members.iter().for_each(|member| member.beat(&store));
        store.put_configuration(&configuration(1, &["alpha-key"]));
        let mut slots = Vec::new();
        for index in 0..gateways {
            slots.push(GatewaySlot::start(&store, format!("gateway-{index}")).await);
        }
        let (version, weights) = (AtomicU64::new(1), AtomicU64::new(1));
        let world = Arc::new(Self { store, members, slots, version, weights });
        for slot in &world.slots {
            slot.restart().await;
        }
        world
    }

    /// Ends all faults and starts the gateways that are down.
    pub async fn heal(&self) {
        self.store.set_availability(Availability::Up);
        for member in &self.members {
            member.link.set_partition(Partition::None);
            member.server.set_behaviour(Behaviour::Serves);
            member.server.reset_streams_after(None);
            member.beat(&self.store);
            member.beat(&self.store);
        }
        for slot in &self.slots {
            slot.store_link.set_partition(Partition::None);
            slot.resume().await;
            if slot.gateway.lock().await.is_none() {
                slot.restart().await;
            }
        }
    }
}

impl GatewaySlot {
    async fn start(store: &Store, host: String) -> Self {
        let store_link = Link::new(LINK);
        let store_relay = Relay::start(Arc::clone(&store_link), store.address()).await.unwrap();
        let callers = Relay::start(Link::new(LINK), store.address()).await.unwrap();
        let previous_logs = std::sync::Mutex::new(Vec::new());
        Self { host, store_link, store_relay, gateway: Mutex::new(None), callers, previous_logs }
    }

    /// Kills the current process, if there is one, and starts a new one.
    pub async fn restart(&self) {
        self.kill().await;
        let store = self.store_relay.address().to_string();
        let gateway = Gateway::start(&settings(&self.host, &store, &[])).await;
        self.callers.set_target(gateway.callers);
        *self.gateway.lock().await = Some(gateway);
    }

    pub async fn kill(&self) {
        if let Some(mut gateway) = self.gateway.lock().await.take() {
            gateway.kill();
            self.previous_logs.lock().unwrap().push(gateway.all_lines());
        }
    }

    /// Sends SIGTERM, and starts a new process once the current one has exited; does nothing more
    /// if it was replaced meanwhile.
    pub async fn replace(&self) {
        let Some(terminating) = self.gateway.lock().await.as_ref().map(|gateway| {
            gateway.terminate();
            gateway.id()
        }) else {
            return;
        };
        loop {
            tokio::time::sleep(std::time::Duration::from_millis(50)).await;
            let mut gateway = self.gateway.lock().await;
            let Some(gateway) = gateway.as_mut().filter(|gateway| gateway.id() == terminating)
            else {
                return;
            };
            if gateway.exit_status().is_some() {
                break;
            }
        }
        self.restart().await;
    }

    pub async fn pause(&self) {
        if let Some(gateway) = self.gateway.lock().await.as_ref() {
            gateway.signal("STOP");
        }
    }

    pub async fn resume(&self) {
        if let Some(gateway) = self.gateway.lock().await.as_ref() {
            gateway.signal("CONT");
        }
    }

    /// Returns whether this gateway serves a request on a path.
    pub async fn serves(&self, path: &str) -> bool {
        let request = caller::request(path, &caller::new_id(), "", "body");
        let sent = caller::send(self.callers.address(), &request);
        let answer = tokio::time::timeout(std::time::Duration::from_secs(7), sent).await;
        answer.is_ok_and(|response| response.status == 200)
    }
}
