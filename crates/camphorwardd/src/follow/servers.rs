//! Follows the load and the cache events of the model engines.

use crate::constants::{FAR_LOAD_EVERY, LOAD_INTERVAL};
use crate::counters::Counter;
use crate::hosts::Server;
use crate::node::Node;
use crate::run::is_home;
use clients::wire::engine::{KvChange, KvEvent, LoadReport};
use futures_util::future::join_all;
use placement::index::{CacheEvent, SyncStatus};
use placement::load::ReportedLoad;
use protocol::ids::HostName;
use settings::process::PlacementPolicy;
use std::collections::HashMap;
use std::sync::Arc;

/// Holds the number of the next cache event to read from each server.
type NextEvents = HashMap<HostName, u64>;

/// Reads all model engines at intervals for as long as the daemon runs.
pub(crate) async fn follow(node: Arc<Node>) {
    let mut next_events = NextEvents::new();
    for round in 0_u64.. {
        let servers = servers_of_round(&node, round);
        let reads = servers.iter().map(|server| {
            let next = next_events.get(&server.host).copied();
            read_server(&node, server, next)
        });
        let read = join_all(reads).await;
        for (server, next) in servers.iter().zip(read) {
            match next {
                Some(next) => next_events.insert(server.host.clone(), next),
                None => next_events.remove(&server.host),
            };
        }
        tokio::time::sleep(LOAD_INTERVAL).await;
    }
}

/// Servers in other regions are read less often, since the link is paid by volume.
fn servers_of_round(node: &Node, round: u64) -> Vec<Server> {
    let mut servers = model_servers(node);
    if !round.is_multiple_of(FAR_LOAD_EVERY) {
        servers.retain(|server| server.region == node.settings.region);
    }
    servers
}

fn model_servers(node: &Node) -> Vec<Server> {
    let directory = node.directory();
    let services = directory.models().map(|(name, _)| name);
    services.flat_map(|name| node.hosts.servers(name, node.now_ms())).collect()
}

/// Returns the next cache event to read; `None` asks for a snapshot.
async fn read_server(node: &Node, server: &Server, next_event: Option<u64>) -> Option<u64> {
    match node.clients.engine.load(server.address).await {
        Ok(report) => take_report(node, server, &report),
        Err(error) => {
            node.counters.count(Counter::LoadReadFailures);
            node.placement.mark_unreachable(&server.host);
            node.hosts.observe_failure(server, node.now_ms());
            log::debug!("server={} load not read: {error}", server.host);
            return None;
        }
    }
    if !follows_memory(node, server) {
        return None;
    }
    match next_event {
        Some(next) => read_events(node, server, next).await,
        None => read_snapshot(node, server).await,
    }
}

/// The homes of a server's own region decide on it; elsewhere its cache events would only load the
/// link, and be late. The baselines decide without kept work.
fn follows_memory(node: &Node, server: &Server) -> bool {
    let uses_kept_work = node.settings.policy == PlacementPolicy::Camphorward;
    uses_kept_work && server.region == node.settings.region
}

fn take_report(node: &Node, server: &Server, report: &LoadReport) {
    node.placement.mark_reachable(&server.host);
    node.placement.note_version(&server.host, &report.weight_version);
    let (incarnation, now_ms) = (report.incarnation, node.now_ms());
    node.hosts.table().observe_report(&server.host, incarnation, report.leaving, now_ms);
    let reported = ReportedLoad {
        incarnation: report.incarnation,
        running: report.running,
        queued: report.queued,
        queued_prompt_tokens: report.queued_prompt_tokens,
        prefill_tokens_per_s: report.prefill_tokens_per_s,
        as_of_ms: node.now_ms().saturating_sub(report.age_ms),
    };
    node.placement.loads.report(&server.host, reported);
}

/// Returns the next event to read; `None` asks for a snapshot.
async fn read_events(node: &Node, server: &Server, next: u64) -> Option<u64> {
    let batch = node.clients.engine.kv_events(server.address, next).await.ok()?;
    let events: Vec<CacheEvent> = batch.events.iter().map(to_cache_event).collect();
    let sync = node.placement.index.apply_events(
        &server.host,
        batch.incarnation,
        &events,
        batch.next_event,
        |key| is_home(node, key),
    );
    (sync == SyncStatus::Complete).then_some(batch.next_event)
}

async fn read_snapshot(node: &Node, server: &Server) -> Option<u64> {
    let snapshot = node.clients.engine.kv_snapshot(server.address).await.ok()?;
    let sync = node.placement.index.apply_snapshot(
        &server.host,
        snapshot.incarnation,
        snapshot.keys,
        snapshot.next_event,
        |key| is_home(node, key),
    );
    (sync == SyncStatus::Complete).then_some(snapshot.next_event)
}

fn to_cache_event(event: &KvEvent) -> CacheEvent {
    CacheEvent { number: event.number, key: event.key, stored: event.change == KvChange::Stored }
}
