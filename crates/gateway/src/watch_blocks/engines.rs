//! Following what engines hold in their memory.
//!
//! What is known too late or not at all costs a fetch or a read, never a wrong answer.

use crate::block_log::BlockEvent;
use crate::link::Link;
use crate::node::Node;
use crate::watch_blocks::{RETRY_PAUSE, WatchError, ask_changes, tell};
use protocol::ids::FailureDomain;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// The pause after each answer, so that one answer brings many changes: an engine's memory changes
/// some dozens of times a second, and parts stay for seconds.
const GATHER_PAUSE: Duration = Duration::from_millis(150);

/// Says whether a gateway follows the engines of a failure domain: only those of its own, as all
/// changes of their memory would be volume on the links between domains.
pub(super) fn is_near(node: &Node, domain: &FailureDomain) -> bool {
    *domain == node.settings.failure_domain
}

/// Follows one engine until it is aborted.
pub(super) async fn follow(node: Arc<Node>, address: SocketAddr) {
    let mut link = Link::new(address);
    let mut next = 0;
    loop {
        if ask(&node, &mut link, &mut next).await.is_ok() {
            tokio::time::sleep(GATHER_PAUSE).await;
        } else {
            // Whether the server lives is found out by requests; here its memory is unknown.
            tell(&node, BlockEvent::EngineForgotten(address));
            next = 0;
            node.metrics.count("engine_watch_failures", "call");
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }
}

async fn ask(node: &Node, link: &mut Link, next: &mut u64) -> Result<(), WatchError> {
    let changes = ask_changes(link, *next).await?;
    *next = changes.next;
    tell(node, BlockEvent::EngineReported(link.address(), changes.report));
    Ok(())
}
