//! Pulls snapshots from peers while the store cannot be read.

use crate::cold;
use crate::evacuations;
use crate::event;
use crate::follow::{apply_operator_record, handle_registry_changes};
use crate::link::{Call, Link, is_ok};
use crate::node::Node;
use crate::peers::Spread;
use crate::peers::failures;
use crate::peers::message::{self, SNAPSHOT_PATH, Snapshot, TARGETS_PATH};
use crate::routing_state::Found;
use crate::target_weights;
use platform::frames::KeyedRecord;
use platform::store::CONFIGURATION_KEY;
use rand::seq::{IndexedRandom, SliceRandom};
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
        let asked_ms = node.now_ms();
        let Some(snapshot) = fetch(&node, peer).await else { continue };
        node.observe_peer_era(snapshot.store_era);
        evacuations::merge(&node, snapshot.evacuations.as_ref(), "peer");
        if age_ms.is_none_or(|age_ms| snapshot.age_ms < age_ms) {
            apply(&node, snapshot, peer, asked_ms);
        }
    }
}

/// Applies the configurations of a few peers before this process puts its first one in force.
///
/// After a step back of the store, until the operator has written again, the store's configuration
/// is one from before; running gateways know the newer one.
pub async fn consult(node: &Arc<Node>) {
    /// How many peers are asked; some of them may have just started too.
    const PEERS: usize = 5;
    /// How long the gateways may take to be listed.
    const MAX_WAIT: Duration = Duration::from_secs(1);
    const CHECK_INTERVAL: Duration = Duration::from_millis(20);
    if node.settings.listen.peers.is_none() {
        return;
    }
    let listed = async {
        while !node.state().gateways.is_listed() {
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
    };
    // Without a listing the seeds are asked.
    drop(tokio::time::timeout(MAX_WAIT, listed).await);
    let mut peers = known_peers(node);
    peers.shuffle(&mut rand::rng());
    let answers = peers.into_iter().take(PEERS).map(|peer| fetch(node, peer));
    for snapshot in futures_util::future::join_all(answers).await.into_iter().flatten() {
        node.observe_peer_era(snapshot.store_era);
        evacuations::merge(node, snapshot.evacuations.as_ref(), "peer");
        apply_configuration(node, snapshot.configuration);
    }
}

/// Asks peers since when target weight versions count whenever this gateway doesn't know, because it
/// started after they were named or did not read for long.
pub async fn run_targets(node: Arc<Node>) {
    /// The interval between questions.
    const INTERVAL: Duration = Duration::from_millis(200);
    /// The number of questions each time; where all gateways have just started, none of them knows.
    const QUESTIONS: usize = 10;
    if node.settings.listen.peers.is_none() {
        return;
    }
    let mut asked = 0;
    loop {
        tokio::time::sleep(INTERVAL).await;
        if !target_weights::is_uncertain(&node) {
            asked = 0;
            continue;
        }
        if asked == QUESTIONS {
            continue;
        }
        let Some(peer) = pick_peer(&node) else { continue };
        asked += 1;
        let asked_ms = node.now_ms();
        node.metrics.count("peer_calls", "targets");
        let answer = Link::new(peer).call(Call::get(TARGETS_PATH, ANSWER_TIMEOUT)).await;
        let answer = answer.inspect_err(|error| failures::record(&node, peer, error)).ok();
        let report = answer.filter(is_ok).and_then(|answer| message::decode(answer.body()));
        match report {
            Some(report) => target_weights::merge_report(&node, report, asked_ms, "peer"),
            None => node.metrics.count("peer_failures", "targets"),
        }
    }
}

async fn fetch(node: &Node, peer: SocketAddr) -> Option<Snapshot> {
    node.metrics.count("peer_calls", "snapshot");
    let call = Call::get(SNAPSHOT_PATH, ANSWER_TIMEOUT);
    let answer = Link::new(peer).call(call).await.inspect_err(|error| {
        node.metrics.count("peer_failures", "snapshot");
        failures::record(node, peer, error);
    });
    let answer = answer.ok().filter(is_ok)?;
    let (snapshot, store_era, servers_until, targets, (evacuations, cold)) =
        message::decode_with_four(answer.body())?;
    Some(Snapshot { store_era, servers_until, targets, evacuations, cold, ..snapshot })
}

fn apply_configuration(node: &Node, configuration: Option<Vec<u8>>) {
    if let Some(record) = configuration {
        let record = KeyedRecord { key: CONFIGURATION_KEY.to_owned(), value: Some(record) };
        apply_operator_record(node, &record, Found::Listed, "peer");
    }
}

fn pick_peer(node: &Node) -> Option<SocketAddr> {
    known_peers(node).choose(&mut rand::rng()).copied()
}

/// Returns the listed peers, or the seeds if there are none.
fn known_peers(node: &Node) -> Vec<SocketAddr> {
    let state = node.state();
    let mut peers: Vec<SocketAddr> =
        state.gateways.peers().map(|record| record.peer_address).collect();
    drop(state);
    if peers.is_empty() {
        let local_address = node.settings.listen.peers;
        peers = node.seeds();
        peers.retain(|seed| Some(*seed) != local_address);
    }
    peers
}

fn apply(node: &Node, snapshot: Snapshot, peer: SocketAddr, asked_ms: u64) {
    let now_ms = node.now_ms();
    event!(debug, now_ms, "snapshot_taken", { "peer": peer, "age_ms": snapshot.age_ms });
    apply_configuration(node, snapshot.configuration);
    match snapshot.targets {
        Some(report) => target_weights::merge_report(node, report, asked_ms, "peer"),
        None => {
            let (versions, age_ms) = (snapshot.weights, snapshot.age_ms);
            target_weights::record_newest(node, versions, age_ms, asked_ms, "peer");
        }
    }
    cold::apply_reports(node, &snapshot.cold, Spread::None);
    let mut guard = node.state();
    let state = &mut *guard;
    for record in snapshot.gateways {
        state.gateways.add(record);
    }
    let is_first = state.registry.is_blank();
    let changes = state.registry.merge(snapshot.servers, snapshot.servers_until, now_ms);
    let cold_changes = cold::record_registry_changes(node, state, &changes, is_first);
    drop(guard);
    cold::publish(node, cold_changes, Spread::None);
    handle_registry_changes(node, changes, "peer");
    node.record_store_age(snapshot.age_ms);
}
