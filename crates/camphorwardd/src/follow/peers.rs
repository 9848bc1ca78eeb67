//! Probes other entry hosts and exchanges host tables with them.

use crate::constants::PEER_TIMEOUT;
use crate::counters::Counter;
use crate::node::Node;
use membership::limits::{PROBE_TIMEOUT_MS, TICK_MS};
use membership::{ProbeRequest, ProbeTarget, Prober, exchange};
use protocol::ids::{HostName, Incarnation};
use protocol::message::configuration::{ConfigRelay, ConfigRequest};
use protocol::message::probe::{Ack, Exchange, ExchangeAnswer};
use rand::RngCore;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// The peers' path for probes.
pub(crate) const PROBE_PATH: &str = "/inner/probe";
/// The peers' path for the exchange of host tables.
pub(crate) const EXCHANGE_PATH: &str = "/inner/exchange";

/// The peers' path for the configuration in force.
pub(crate) const CONFIGURATION_PATH: &str = "/inner/configuration";

/// Probes peers until the daemon stops.
pub(crate) async fn follow(node: Arc<Node>) {
    let mut prober = Prober::new();
    let mut interval = tokio::time::interval(Duration::from_millis(TICK_MS));
    loop {
        interval.tick().await;
        let random = rand::rng().next_u64();
        for request in prober.tick(node.hosts.table(), node.now_ms(), random) {
            // Servers are not probed: the reads of their load show whether they can be reached.
            if let ProbeRequest::Peer(target) = request {
                tokio::spawn(probe_peer(Arc::clone(&node), target));
            }
        }
        if !node.hosts.has_hosts(node.now_ms()) {
            probe_seeds(&node);
        }
    }
}

/// Probes the peers in the settings until the host list or a peer's table is read.
fn probe_seeds(node: &Arc<Node>) {
    for address in &node.settings.seed_peers {
        let (node, address) = (Arc::clone(node), *address);
        tokio::spawn(async move { probe(&node, address, None).await });
    }
}

async fn probe_peer(node: Arc<Node>, target: ProbeTarget) {
    let probed = (target.host, target.incarnation);
    if !probe(&node, target.address, Some(&probed)).await {
        node.counters.count(Counter::ProbeFailures);
        node.hosts.table().observe_failure(&probed.0, probed.1, node.now_ms());
    }
}

/// Probes a peer; returns whether it answered.
async fn probe(
    node: &Arc<Node>,
    address: SocketAddr,
    probed: Option<&(HostName, Incarnation)>,
) -> bool {
    let table = node.hosts.table();
    let message = exchange::probe(table, node.directory().version());
    let peer = &node.clients.peer;
    let timeout = Duration::from_millis(PROBE_TIMEOUT_MS);
    let Ok(ack) = peer.call::<Ack>(address, PROBE_PATH, &message, timeout).await else {
        return false;
    };
    let probed = probed.map(|(host, incarnation)| (host, *incarnation));
    if ack.heartbeat.config_version > node.configuration.version() {
        fetch_configuration(node, address).await;
    }
    if let Some(request) = exchange::accept_ack(table, probed, &ack, node.now_ms()) {
        exchange_host_tables(node, address, &request).await;
    }
    true
}

/// Fetches a later configuration from a peer, which may reach the log when this host cannot.
pub(crate) async fn fetch_configuration(node: &Node, address: SocketAddr) {
    let request = ConfigRequest { known: node.configuration.version() };
    let answer = node.clients.peer.call(address, CONFIGURATION_PATH, &request, PEER_TIMEOUT).await;
    let relay: ConfigRelay = match answer {
        Ok(relay) => relay,
        Err(error) => {
            log::debug!("cannot fetch the configuration from the peer at {address}: {error}");
            return;
        }
    };
    match node.configuration.take_relay(&relay) {
        Ok(true) => {
            node.counters.count(Counter::ConfigsRelayed);
            log::info!("configuration version {} is in force, from a peer", relay.version);
        }
        Ok(false) => {}
        Err(error) => log::warn!("{error}"),
    }
}

async fn exchange_host_tables(node: &Node, address: SocketAddr, request: &Exchange) {
    let timeout = Duration::from_millis(PROBE_TIMEOUT_MS);
    let answer: Result<ExchangeAnswer, _> =
        node.clients.peer.call(address, EXCHANGE_PATH, request, timeout).await;
    match answer {
        Ok(answer) => exchange::accept_answer(node.hosts.table(), &answer, node.now_ms()),
        Err(error) => log::debug!("cannot exchange host tables: {error}"),
    }
}
