//! Following what the stores of kept blocks hold.

use crate::block_log::BlockEvent;
use crate::event;
use crate::gateways::Source;
use crate::link::{Call, CallError, Link, is_ok};
use crate::node::Node;
use dispatch::configuration::BlockStoreTraits;
use http::HeaderValue;
use platform::codec::FormatError;
use platform::engine::{self, Changes};
use platform::headers::WAIT_MS;
use protocol::ids::ServiceName;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;
use tokio::task::AbortHandle;

/// How often the configuration is looked at for new stores.
const LOOK_EVERY: Duration = Duration::from_millis(300);
/// How long a question waits for changes; calls that wait less than 200 ms are paid for.
const POLL_WAIT: Duration = Duration::from_millis(1_000);
/// How long an answer may take besides that wait. A restarted store must not be read from, so
/// silence is noticed early.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
/// The pause after each answer, so that one answer brings several changes.
const GATHER_PAUSE: Duration = Duration::from_millis(60);
/// The pause after a failed question.
const RETRY_PAUSE: Duration = Duration::from_millis(400);

/// Why a store's changes are not known.
#[derive(Debug, Error)]
enum WatchError {
    #[error(transparent)]
    Call(#[from] CallError),
    #[error("refused with status {0}")]
    Refused(http::StatusCode),
    #[error(transparent)]
    Format(#[from] FormatError),
}

/// Follows every store of the configuration in force.
pub async fn run(node: Arc<Node>) {
    let mut watched: HashMap<SocketAddr, AbortHandle> = HashMap::new();
    loop {
        if node.source() != Source::Stores {
            watched.drain().for_each(|(_, task)| task.abort());
        } else if let Some(in_force) = node.in_force() {
            let stores: HashMap<SocketAddr, ServiceName> = in_force
                .configuration
                .block_stores()
                .map(|(name, store): (&ServiceName, &BlockStoreTraits)| {
                    (store.address, name.clone())
                })
                .collect();
            watched.retain(|address, task| {
                let is_kept = stores.contains_key(address);
                if !is_kept {
                    task.abort();
                    tell(&node, BlockEvent::Forgotten(*address));
                }
                is_kept
            });
            for (address, name) in stores {
                watched.entry(address).or_insert_with(|| {
                    tokio::spawn(follow(Arc::clone(&node), address, name)).abort_handle()
                });
            }
        }
        tokio::time::sleep(LOOK_EVERY).await;
    }
}

async fn follow(node: Arc<Node>, address: SocketAddr, name: ServiceName) {
    let mut link = Link::new(address);
    let mut next = 0;
    let mut is_lost = false;
    loop {
        match ask(&node, &mut link, &mut next).await {
            Ok(()) => {
                if std::mem::replace(&mut is_lost, false) {
                    event!(info, node.now_ms(), "dependency_regained", {
                        "dependency": name.as_str(),
                    });
                }
                tokio::time::sleep(GATHER_PAUSE).await;
            }
            Err(error) => {
                // Whatever it held may be gone or half written by now.
                tell(&node, BlockEvent::Forgotten(address));
                next = 0;
                node.metrics.count("block_store_failures", name.as_str());
                if !std::mem::replace(&mut is_lost, true) {
                    event!(warn, node.now_ms(), "dependency_lost", {
                        "dependency": name.as_str(),
                        "error": error.to_string(),
                    });
                }
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Asks for changes once; lists everything where changes were lost.
async fn ask(node: &Node, link: &mut Link, next: &mut u64) -> Result<(), WatchError> {
    let mut call = Call::get(engine::changes_path(*next), POLL_WAIT + ANSWER_TIMEOUT);
    call = call.with_header(WAIT_MS, HeaderValue::from(POLL_WAIT.as_millis() as u64));
    let answer = link.call(call).await?;
    if !is_ok(&answer) {
        return Err(WatchError::Refused(answer.status()));
    }
    let changes = engine::read_changes(answer.body())?;
    let address = link.address();
    let must_list = apply(node, address, &changes, next);
    if must_list {
        node.metrics.count("health_checks", "block_list");
        let answer = link.call(Call::get(engine::LIST_PATH, ANSWER_TIMEOUT)).await?;
        if !is_ok(&answer) {
            return Err(WatchError::Refused(answer.status()));
        }
        tell(node, BlockEvent::Forgotten(address));
        apply(node, address, &engine::read_list(answer.body())?, next);
    }
    Ok(())
}

fn apply(node: &Node, address: SocketAddr, changes: &Changes, next: &mut u64) -> bool {
    *next = changes.next;
    if let Some(clock_ms) = changes.clock_ms {
        node.note_servers_clock(clock_ms);
    }
    if changes.report.changes.is_empty() && !changes.report.has_gap && *next > 0 {
        let is_known = node.knowledge().blocks.is_known(address, changes.report.boot_epoch);
        if is_known {
            return false;
        }
    }
    tell(node, BlockEvent::Reported(address, changes.report.clone()))
}

fn tell(node: &Node, event: BlockEvent) -> bool {
    let must_list = node.knowledge().apply_blocks(event);
    node.has_learnt.notify_waiters();
    must_list
}
