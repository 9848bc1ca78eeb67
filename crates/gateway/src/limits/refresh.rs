//! Finds out whether servers that named terms and get no requests still name them.

use crate::limits::is_first_holder;
use crate::link::{Call, Link};
use crate::node::Node;
use crate::server_answers::{self, AnswerSource, ServerIdentity};
use crate::watch_servers::check_path;
use std::sync::Arc;
use std::time::Duration;

/// The interval between searches.
const SEARCH_INTERVAL: Duration = Duration::from_millis(500);
/// The age of terms from which on their server is asked, in milliseconds.
const MAX_AGE_MS: u64 = 4_000;
/// How long a server may take to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(350);

/// Asks servers whose terms are old, if this gateway is their first holder, until the process exits.
pub async fn run(node: Arc<Node>) {
    loop {
        tokio::time::sleep(SEARCH_INTERVAL).await;
        let now_ms = node.now_ms();
        let outdated = {
            let mut guard = node.state();
            let state = &mut *guard;
            let registry = &state.registry;
            state.terms.expire(|server| registry.get(server).is_some(), now_ms);
            state.terms.written_before(now_ms.saturating_sub(MAX_AGE_MS))
        };
        for (id, incarnation) in outdated {
            if is_first_holder(&node, &id) {
                check(&node, ServerIdentity { id, incarnation }).await;
            }
        }
    }
}

/// Asks a server without a grant: a server that takes nothing could otherwise never end its limit.
async fn check(node: &Node, server: ServerIdentity) {
    let entry = {
        let state = node.state();
        let registered = state.registry.get(&server.id).map(|(entry, _)| entry.clone());
        let current = registered.filter(|entry| entry.incarnation == server.incarnation);
        current.filter(|entry| !state.is_paused(entry, node.now_ms()))
    };
    let Some(entry) = entry else { return };
    node.metrics.count("health_checks", "terms");
    let call = Call::get(check_path(node, &entry), ANSWER_TIMEOUT).expecting(&entry.id);
    let Ok(answer) = Link::new(entry.address).call(call).await else { return };
    let (status, headers) = (answer.status(), answer.headers());
    server_answers::record(node, &server, status, headers, AnswerSource::HealthCheck);
}
