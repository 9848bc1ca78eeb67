//! Health checks of unresponsive servers.

use crate::event;
use crate::limits::{self, Ask};
use crate::link::{Call, Link};
use crate::node::Node;
use crate::paths;
use crate::server_answers::{self, AnswerSource, ServerIdentity};
use dispatch::paths::PathChoice;
use dispatch::registry::{RegistryStatus, ServerEntry, ServerId};
use http::StatusCode;
use platform::engine::REPORT_PATH;
use std::collections::HashSet;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// The interval between searches for unresponsive servers.
const SEARCH_INTERVAL: Duration = Duration::from_millis(100);
/// How long a health check may take. The longest round trip takes some 30 ms.
const CHECK_TIMEOUT: Duration = Duration::from_millis(350);
/// The first delay between two health checks of a server that stays unresponsive. It doubles each
/// time, because checks are paid for and the registry soon reports that the server has left.
const FIRST_CHECK_DELAY: Duration = Duration::from_millis(700);
/// The maximum delay between two health checks of a server.
const MAX_CHECK_DELAY: Duration = Duration::from_secs(3);
/// The interval between sweeps of idle connections, in searches.
const SWEEP_EVERY_SEARCHES: u32 = 10;

/// Searches for unresponsive servers and checks their health, until the process exits.
pub async fn run(node: Arc<Node>) {
    let being_checked: Arc<Mutex<HashSet<ServerId>>> = Arc::default();
    let mut searches: u32 = 0;
    loop {
        tokio::time::sleep(SEARCH_INTERVAL).await;
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
            let is_new = being_checked
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .insert(entry.id.clone());
            if is_new {
                tokio::spawn(check_until_healthy(
                    Arc::clone(&node),
                    entry,
                    Arc::clone(&being_checked),
                ));
            }
        }
        searches = searches.wrapping_add(1);
        if searches.is_multiple_of(SWEEP_EVERY_SEARCHES) {
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

/// The result of a health check.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Check {
    Passed,
    /// The server answered through a peer only.
    PassedByDetour,
    Failed,
}

async fn check_until_healthy(
    node: Arc<Node>,
    entry: ServerEntry,
    being_checked: Arc<Mutex<HashSet<ServerId>>>,
) {
    let path = check_path(&node, &entry);
    let mut delay = FIRST_CHECK_DELAY;
    while node.state().loads.is_suspected(&entry.id) && is_of_interest(&node, &entry) {
        if node.state().is_paused(&entry, node.now_ms()) {
            server_answers::until_unpaused(&node, &ServerIdentity::new(&entry)).await;
            continue;
        }
        if limits::ask(&node, &Ask::for_check(&entry)).await.is_none() {
            tokio::time::sleep(FIRST_CHECK_DELAY).await;
            continue;
        }
        node.metrics.count("health_checks", "sent");
        let sent_ms = node.now_ms();
        let check = check(&node, &entry, &path).await;
        let now_ms = node.now_ms();
        event!(info, now_ms, "server_checked", {
            "server": entry.id.as_str(),
            "passed": check != Check::Failed,
            "through_peer": check == Check::PassedByDetour,
        });
        if !is_of_interest(&node, &entry) {
            break;
        }
        match check {
            Check::Passed => {
                node.state().loads.healthy(&entry.id, now_ms);
                break;
            }
            Check::PassedByDetour => {
                node.state().loads.reached_by_detour(&entry.id);
                node.server_unresponsive.notify_waiters();
                break;
            }
            Check::Failed => {}
        }
        if node.state().loads.unhealthy(&entry.id, sent_ms, now_ms) {
            node.pool.forget(&entry.id);
            node.server_unresponsive.notify_waiters();
        }
        tokio::time::sleep(delay).await;
        delay = (2 * delay).min(MAX_CHECK_DELAY);
    }
    being_checked.lock().unwrap_or_else(PoisonError::into_inner).remove(&entry.id);
}

/// Returns whether a server is still the incarnation of an entry, and takes requests or has some in
/// flight.
fn is_of_interest(node: &Node, entry: &ServerEntry) -> bool {
    let state = node.state();
    let is_same = |(other, _): &(&ServerEntry, _)| other.incarnation == entry.incarnation;
    state.registry.get(&entry.id).filter(is_same).is_some_and(|(_, status)| {
        status != RegistryStatus::Leaving || state.loads.has_attempts(&entry.id)
    })
}

/// Returns the path of a server's health check. Engines send a report even without a free slot;
/// other services have a health check of their own.
pub(crate) fn check_path(node: &Node, entry: &ServerEntry) -> String {
    let in_force = node.in_force();
    let service =
        in_force.as_ref().and_then(|held| held.configuration.services.get(&entry.service));
    match service {
        Some(service) if service.engines().is_none() => service.health_path.clone(),
        _ => REPORT_PATH.to_owned(),
    }
}

/// Checks a server directly, or through a peer if it does not answer.
async fn check(node: &Node, entry: &ServerEntry, path: &str) -> Check {
    let call = Call::get(path, CHECK_TIMEOUT).expecting(&entry.id);
    let choice = node.state().paths.choose(&entry.id);
    let direct = match choice {
        PathChoice::Direct => Link::new(entry.address).call(call.clone()).await.ok(),
        PathChoice::Detour { .. } => None,
    };
    let (answer, passed) = match direct {
        Some(answer) => (answer, Check::Passed),
        None => match paths::call_by_detour(node, entry, call).await {
            Ok(answer) => (answer, Check::PassedByDetour),
            Err(_) => return Check::Failed,
        },
    };
    let (status, server) = (answer.status(), ServerIdentity::new(entry));
    server_answers::record(node, &server, status, answer.headers(), AnswerSource::HealthCheck);
    // A refusal by a full server also shows that the server is up.
    if status == StatusCode::MISDIRECTED_REQUEST { Check::Failed } else { passed }
}
