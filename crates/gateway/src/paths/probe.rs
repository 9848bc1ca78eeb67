//! Finds out whether broken paths to servers are restored.

use crate::link::{Call, Link};
use crate::node::Node;
use crate::paths::{call_by_detour, log_change};
use crate::server_answers::{self, AnswerSource, ServerIdentity};
use crate::watch_servers::check_path;
use dispatch::paths::PathChoice;
use dispatch::registry::{ServerEntry, ServerId};
use futures_util::future::join_all;
use http::StatusCode;
use rand::seq::{IteratorRandom, SliceRandom};
use std::sync::Arc;
use std::time::Duration;

/// The interval between probes while paths are broken.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// The number of servers probed at a time.
const PROBED: usize = 3;
/// How long a server may take to answer. The longest round trip takes some 30 ms.
const PROBE_TIMEOUT: Duration = Duration::from_millis(350);

/// Probes servers to which the path is broken until the process exits.
pub async fn run(node: Arc<Node>) {
    loop {
        tokio::time::sleep(PROBE_INTERVAL).await;
        let probed = pick(&node);
        join_all(probed.iter().map(|entry| probe(&node, entry))).await;
    }
}

/// Picks servers whose own path is broken, and others while all paths are. Servers with a limit and
/// paused ones are spared.
fn pick(node: &Node) -> Vec<ServerEntry> {
    let now_ms = node.now_ms();
    let mut guard = node.state();
    let state = &mut *guard;
    if !state.paths.has_broken() {
        return Vec::new();
    }
    let registry = &state.registry;
    state.paths.retain(|server| registry.get(server).is_some());
    let is_spared =
        |entry: &&ServerEntry| state.is_paused(entry, now_ms) || state.is_bounded(entry, now_ms);
    let usable = || state.registry.all_usable().filter(|entry| !is_spared(entry));
    let mut random = rand::rng();
    let is_broken = |entry: &&ServerEntry| state.paths.broken().any(|server| *server == entry.id);
    let mut picked: Vec<ServerEntry> =
        usable().filter(is_broken).cloned().choose_multiple(&mut random, PROBED - 1);
    if state.paths.is_cut_off() {
        let missing = PROBED - picked.len();
        let others = usable().filter(|entry| !is_broken(entry)).cloned();
        picked.extend(others.choose_multiple(&mut random, missing));
    }
    picked.shuffle(&mut random);
    picked
}

/// Returns whether this gateway reaches a server other than one that refuses its connections; also
/// if there is no other to ask.
pub async fn links_work(node: &Node, refusing: &ServerId) -> bool {
    let now_ms = node.now_ms();
    let others: Vec<ServerEntry> = {
        let state = node.state();
        if state.paths.has_direct(now_ms) {
            return true;
        }
        let usable = state.registry.all_usable().filter(|entry| entry.id != *refusing);
        let may_ask = |entry: &&ServerEntry| {
            !state.is_paused(entry, now_ms) && !state.is_bounded(entry, now_ms)
        };
        usable.filter(may_ask).cloned().choose_multiple(&mut rand::rng(), PROBED)
    };
    if others.is_empty() {
        return true;
    }
    let reached = join_all(others.iter().map(|entry| reaches(node, entry))).await;
    let has_reached = reached.contains(&true);
    if has_reached {
        node.state().paths.record_direct(node.now_ms());
    }
    has_reached
}

async fn probe(node: &Node, entry: &ServerEntry) {
    if !reaches(node, entry).await {
        return node.state().paths.record_unreached();
    }
    let change = node.state().paths.record_restored(&entry.id);
    log_change(node, &entry.id, change);
}

/// Asks a server for its health over a new direct connection.
async fn reaches(node: &Node, entry: &ServerEntry) -> bool {
    node.metrics.count("health_checks", "path");
    let call = Call::get(check_path(node, entry), PROBE_TIMEOUT).expecting(&entry.id);
    let Ok(answer) = Link::new(entry.address).call(call).await else { return false };
    let (status, server) = (answer.status(), ServerIdentity::new(entry));
    server_answers::record(node, &server, status, answer.headers(), AnswerSource::HealthCheck);
    status != StatusCode::MISDIRECTED_REQUEST
}

/// Finds out whether a connection that failed failed for its link, once at a time for each server.
pub fn verify(node: &Arc<Node>, entry: &Arc<ServerEntry>) {
    {
        // The check would be a request that no holder granted.
        let (state, now_ms) = (node.state(), node.now_ms());
        let is_spared = state.is_paused(entry, now_ms) || state.is_bounded(entry, now_ms);
        if is_spared || state.paths.choose(&entry.id) != PathChoice::Direct {
            return;
        }
    }
    if !node.being_verified().insert(entry.id.clone()) {
        return;
    }
    let (node, entry) = (Arc::clone(node), Arc::clone(entry));
    tokio::spawn(async move {
        let (path, server) = (check_path(&node, &entry), ServerIdentity::new(&entry));
        let call = || Call::get(path.clone(), PROBE_TIMEOUT).expecting(&entry.id);
        node.metrics.count("health_checks", "path");
        let answer = match Link::new(entry.address).call(call()).await {
            Ok(answer) => Ok(answer),
            Err(_) => call_by_detour(&node, &entry, call()).await,
        };
        if let Ok(answer) = answer {
            let (status, headers) = (answer.status(), answer.headers());
            server_answers::record(&node, &server, status, headers, AnswerSource::HealthCheck);
        }
        node.being_verified().remove(&entry.id);
    });
}
