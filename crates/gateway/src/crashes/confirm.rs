//! Distinguishes the crash of a server from a reset connection.

use crate::crashes::publish;
use crate::event;
use crate::link::{Call, CallError, Link};
use crate::node::Node;
use crate::paths::{self, PeerVerdict};
use crate::server_answers::{self, AnswerSource, ServerIdentity};
use crate::watch_servers::check_path;
use dispatch::crashes::CrashId;
use dispatch::registry::ServerEntry;
use http::StatusCode;
use platform::engine::{REPORT_PATH, decode_report};
use std::io::ErrorKind;
use std::sync::Arc;
use std::time::Duration;

/// The delays before the checks of a server that neither answers nor refuses.
const CHECK_DELAYS: [Duration; 5] = [
    Duration::ZERO,
    Duration::from_millis(300),
    Duration::from_millis(700),
    Duration::from_millis(1_500),
    Duration::from_millis(2_500),
];
/// How long a check may take. The longest round trip takes some 30 ms.
const CHECK_TIMEOUT: Duration = Duration::from_millis(350);

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Finding {
    /// The incarnation has ended.
    Crashed,
    /// It is running.
    Lives,
    /// It did not answer.
    Unknown,
}

/// Finds out whether a server has crashed, and records it.
pub async fn run(node: Arc<Node>, server: Arc<ServerEntry>, id: CrashId) {
    let mut finding = Finding::Unknown;
    for delay in CHECK_DELAYS {
        tokio::time::sleep(delay).await;
        finding = check(&node, &server).await;
        if finding != Finding::Unknown {
            break;
        }
    }
    let now_ms = node.now_ms();
    if finding != Finding::Crashed {
        node.state().crashes.refute(&id);
        node.metrics
            .count("crashes", if finding == Finding::Lives { "refuted" } else { "unknown" });
        return;
    }
    let evidence = node.state().crashes.confirm(&id, now_ms);
    let suspects = evidence.crashes.values().map(|crash| crash.suspects.len()).sum::<usize>();
    node.metrics.count("crashes", "confirmed");
    event!(warn, now_ms, "server_crashed", {
        "server": id.server.as_str(),
        "incarnation": id.incarnation.value(),
        "suspects": suspects,
    });
    publish(&node, &evidence);
}

async fn check(node: &Node, server: &ServerEntry) -> Finding {
    let registered = node.state().registry.get(&server.id).map(|(entry, _)| entry.incarnation);
    if registered.is_some_and(|incarnation| incarnation > server.incarnation) {
        return Finding::Crashed;
    }
    let is_spared = {
        let (state, now_ms) = (node.state(), node.now_ms());
        state.is_paused(server, now_ms) || state.is_bounded(server, now_ms)
    };
    if is_spared {
        return check_connection(node, server).await;
    }
    let path = check_path(node, server);
    let call = Call::get(path.clone(), CHECK_TIMEOUT).expecting(&server.id);
    let answer = match Link::new(server.address).call(call).await {
        Ok(answer) => answer,
        Err(CallError::Connect(error)) if error.kind() == ErrorKind::ConnectionRefused => {
            return check_refusal(node, server).await;
        }
        Err(_) => return Finding::Unknown,
    };
    if answer.status() == StatusCode::MISDIRECTED_REQUEST {
        return Finding::Crashed;
    }
    let identity = ServerIdentity::new(server);
    let source = AnswerSource::HealthCheck;
    server_answers::record(node, &identity, answer.status(), answer.headers(), source);
    // Only a report names the incarnation; a server that starts again needs some seconds.
    let started = (path == REPORT_PATH).then(|| decode_report(answer.body()).ok()).flatten();
    match started.and_then(|report| report.started_unix_ms) {
        Some(started) if started > server.incarnation.value() => Finding::Crashed,
        _ => Finding::Lives,
    }
}

/// Checks a server that is to receive no calls.
async fn check_connection(node: &Node, server: &ServerEntry) -> Finding {
    let connecting = tokio::net::TcpStream::connect(server.address);
    match tokio::time::timeout(CHECK_TIMEOUT, connecting).await {
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {
            check_refusal(node, server).await
        }
        _ => Finding::Unknown,
    }
}

/// Finds out whether a server that refuses connections has crashed: a gateway that has lost its links
/// may see refusals too.
async fn check_refusal(node: &Node, server: &ServerEntry) -> Finding {
    match paths::ask_peers(node, server).await {
        PeerVerdict::Reached => return Finding::Lives,
        PeerVerdict::Refused => return Finding::Crashed,
        PeerVerdict::Unknown => {}
    }
    // With links that work, the refusal is the server's.
    let has_peers = node.state().gateways.peers().next().is_some();
    if has_peers && !paths::links_work(node, &server.id).await {
        return Finding::Unknown;
    }
    Finding::Crashed
}
