//! Pulls snapshots from peers while the store cannot be read.

use crate::event;
use crate::follow::{apply_operator_record, handle_registry_changes};
use crate::link::{Call, Link, is_ok};
use crate::node::Node;
use crate::peers::failures;
use crate::peers::message::{self, SNAPSHOT_PATH, Snapshot};
use platform::frames::KeyedRecord;
use platform::store::CONFIGURATION_KEY;
use rand::seq::IndexedRandom;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// The age of the store's cached state from which on snapshots are pulled, in milliseconds. Reads
/// happen once a second and wait up to that long.
const PULL_FROM_AGE_MS: u64 = 2_600;
/// The interval between pulls while the store cannot be read.
const PULL_INTERVAL: Duration = Duration::from_millis(400);
/// How long a peer may take to answer. The longest round trip takes some 30 ms.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(350);

/// Pulls snapshots whenever the store's cached state is too old, until the process exits.
pub async fn run(node: Arc<Node>) {
    loop {
        tokio::time::sleep(PULL_INTERVAL).await;
        let age_ms = node.store_age_ms();
        if age_ms.is_some_and(|age_ms| age_ms < PULL_FROM_AGE_MS) {
            continue;
        }
        let Some(peer) = pick_peer(&node) else { continue };
        node.metrics.count("peer_calls", "snapshot");
        let call = Call::get(SNAPSHOT_PATH, ANSWER_TIMEOUT);
        let answer = match Link::new(peer).call(call).await {
            Ok(answer) => answer,
            Err(error) => {
                node.metrics.count("peer_failures", "snapshot");
                failures::record(&node, peer, &error);
                continue;
            }
        };
        let snapshot = is_ok(&answer).then(|| message::decode_with(answer.body())).flatten();
        let snapshot = snapshot.map(|(snapshot, store_era)| Snapshot { store_era, ..snapshot });
        if let Some(snapshot) = snapshot
            && age_ms.is_none_or(|age_ms| snapshot.age_ms < age_ms)
        {
            apply(&node, snapshot, peer);
        }
    }
}

fn pick_peer(node: &Node) -> Option<SocketAddr> {
    let state = node.state();
    let mut peers: Vec<SocketAddr> =
        state.gateways.peers().map(|record| record.peer_address).collect();
    drop(state);
    if peers.is_empty() {
        let local_address = node.settings.listen.peers;
        peers = node.seeds();
        peers.retain(|seed| Some(*seed) != local_address);
    }
    peers.choose(&mut rand::rng()).copied()
}

fn apply(node: &Node, snapshot: Snapshot, peer: SocketAddr) {
    node.observe_peer_era(snapshot.store_era);
    let now_ms = node.now_ms();
    event!(debug, now_ms, "snapshot_taken", { "peer": peer, "age_ms": snapshot.age_ms });
    if let Some(record) = snapshot.configuration {
        let record = KeyedRecord { key: CONFIGURATION_KEY.to_owned(), value: Some(record) };
        apply_operator_record(node, &record, "peer");
    }
    let mut state = node.state();
    let mut has_new_weights = false;
    for (model, version) in snapshot.weights {
        has_new_weights |= state.record_target_version(model, version, now_ms);
    }
    for record in snapshot.gateways {
        state.gateways.add(record);
    }
    let changes = state.registry.merge(snapshot.servers, now_ms);
    drop(state);
    handle_registry_changes(node, changes, "peer");
    node.record_store_age(snapshot.age_ms);
    if has_new_weights {
        node.weights_changed.notify_one();
    }
}
