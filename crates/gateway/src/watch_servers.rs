//! Health checks of servers that fell silent.

use crate::event;
use crate::link::{Call, Link};
use crate::node::Node;
use dispatch::registry::{ServerEntry, ServerId};
use http::StatusCode;
use platform::engine::REPORT_PATH;
use std::collections::HashSet;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// How often silence is looked for.
const LOOK_EVERY: Duration = Duration::from_millis(100);
/// How long a health check may take. The farthest round trip takes some 30 ms.
const CHECK_TIMEOUT: Duration = Duration::from_millis(350);
/// The first pause between two checks of a server that stays silent; it doubles each time, as
/// checks are paid for and the registry names the server gone soon.
const CHECK_PAUSE: Duration = Duration::from_millis(700);
/// The longest pause between two checks.
const LONGEST_CHECK_PAUSE: Duration = Duration::from_secs(3);
/// How often idle connections are swept, in looks.
const SWEEP_EVERY_LOOKS: u32 = 10;

/// Looks for silent servers for as long as the process lives.
pub async fn run(node: Arc<Node>) {
    let checked: Arc<Mutex<HashSet<ServerId>>> = Arc::default();
    let mut looks: u32 = 0;
    loop {
        tokio::time::sleep(LOOK_EVERY).await;
        let now_ms = node.now_ms();
        let mut state = node.state();
        for server in state.loads.find_unresponsive(now_ms) {
            event!(warn, now_ms, "server_suspected", { "server": server.as_str() });
        }
        let suspected = state.loads.suspected();
        let entries: Vec<ServerEntry> = suspected
            .iter()
            .filter_map(|id| state.registry.get(id).map(|(entry, _)| entry.clone()))
            .collect();
        drop(state);
        for entry in entries {
            let is_new =
                checked.lock().unwrap_or_else(PoisonError::into_inner).insert(entry.id.clone());
            if is_new {
                tokio::spawn(check_until_heard(Arc::clone(&node), entry, Arc::clone(&checked)));
            }
        }
        looks = looks.wrapping_add(1);
        if looks.is_multiple_of(SWEEP_EVERY_LOOKS) {
            sweep(&node);
        }
    }
}

fn sweep(node: &Node) {
    let state = node.state();
    let usable: HashSet<ServerId> =
        state.registry.all_usable().map(|entry| entry.id.clone()).collect();
    drop(state);
    node.pool.sweep(|id| usable.contains(id), node.now_ms());
}

async fn check_until_heard(
    node: Arc<Node>,
    entry: ServerEntry,
    checked: Arc<Mutex<HashSet<ServerId>>>,
) {
    let path = check_path(&node, &entry);
    let mut pause = CHECK_PAUSE;
    while node.state().loads.is_suspected(&entry.id) && is_usable(&node, &entry) {
        node.metrics.count("health_checks", "sent");
        let passed = passes(&entry, &path).await;
        let now_ms = node.now_ms();
        event!(info, now_ms, "server_checked", { "server": entry.id.as_str(), "passed": passed });
        if passed {
            node.state().loads.healthy(&entry.id, now_ms);
            break;
        }
        node.state().loads.unhealthy(&entry.id, now_ms);
        node.pool.forget(&entry.id);
        node.server_unresponsive.notify_waiters();
        tokio::time::sleep(pause).await;
        pause = (2 * pause).min(LONGEST_CHECK_PAUSE);
    }
    checked.lock().unwrap_or_else(PoisonError::into_inner).remove(&entry.id);
}

fn is_usable(node: &Node, entry: &ServerEntry) -> bool {
    let state = node.state();
    state.registry.usable(&entry.service).any(|other| other.id == entry.id)
}

/// Engines report on themselves without a free slot; plain services have a health check.
fn check_path(node: &Node, entry: &ServerEntry) -> String {
    let in_force = node.in_force();
    let service =
        in_force.as_ref().and_then(|held| held.configuration.services.get(&entry.service));
    match service {
        Some(service) if service.engines().is_none() => service.health_path.clone(),
        _ => REPORT_PATH.to_owned(),
    }
}

async fn passes(entry: &ServerEntry, path: &str) -> bool {
    let call = Call::get(path, CHECK_TIMEOUT).expecting(&entry.id);
    let answer = Link::new(entry.address).call(call).await;
    // A full server refuses the check, which shows that it lives.
    answer.is_ok_and(|answer| answer.status() != StatusCode::MISDIRECTED_REQUEST)
}
