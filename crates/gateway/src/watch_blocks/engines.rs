//! Follows the cached KV blocks in the engines' memory.
//!
//! Late or missing changes cost a fetch or a prefill, and never cause a wrong answer.

use crate::block_log::BlockEvent;
use crate::link::{CallError, Link};
use crate::node::Node;
use crate::server_answers::{self, AnswerSource, ServerIdentity};
use crate::watch_blocks::{RETRY_DELAY, WatchError, changes_call, decode_changes, record_event};
use protocol::ids::FailureDomain;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// The delay after each answer, so that the next answer holds many changes: an engine's memory
/// changes some dozens of times a second, and blocks stay in it for seconds.
const BATCH_DELAY: Duration = Duration::from_millis(150);

/// The same for an engine that named a limit.
const LIMITED_DELAY: Duration = Duration::from_millis(1_500);

/// Returns whether a gateway follows the engines of a failure domain. It follows only those of its
/// own, because all changes of their memory would add traffic to the links between domains.
pub(super) fn is_local(node: &Node, domain: &FailureDomain) -> bool {
    *domain == node.settings.failure_domain
}

/// Follows one engine until it is aborted.
pub(super) async fn follow(node: Arc<Node>, address: SocketAddr, server: ServerIdentity) {
    let mut link = Link::new(address);
    let mut next = 0;
    loop {
        server_answers::until_unpaused(&node, &server).await;
        let Err(error) = poll(&node, &server, &mut link, &mut next).await else {
            let terms = node.state().terms.terms(&server.id, server.incarnation);
            let is_limited = terms.limit.is_some();
            tokio::time::sleep(if is_limited { LIMITED_DELAY } else { BATCH_DELAY }).await;
            continue;
        };
        // Requests detect whether the server is up; here only its cached blocks are unknown.
        record_event(&node, BlockEvent::EngineForgotten(address));
        link.close();
        next = 0;
        let is_too_large = matches!(error, WatchError::Call(CallError::TooLarge));
        let kind = if is_too_large { "too_large" } else { "call" };
        node.metrics.count("engine_watch_failures", kind);
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

async fn poll(
    node: &Node,
    server: &ServerIdentity,
    link: &mut Link,
    next: &mut u64,
) -> Result<(), WatchError> {
    let answer = link.call(changes_call(*next).expecting(&server.id)).await?;
    let (status, headers) = (answer.status(), answer.headers());
    server_answers::record(node, server, status, headers, AnswerSource::BlockChanges);
    let changes = decode_changes(&answer)?;
    *next = changes.next;
    record_event(node, BlockEvent::EngineReported(link.address(), changes.report));
    Ok(())
}
