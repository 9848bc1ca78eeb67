//! Follows the cached KV blocks of block stores and engines.

mod engines;

use crate::block_log::BlockEvent;
use crate::event;
use crate::gateways::{MAX_READERS, Source};
use crate::link::{Call, CallError, Link, is_ok};
use crate::node::Node;
use crate::server_answers::ServerIdentity;
use bytes::Bytes;
use dispatch::configuration::{Configuration, EngineTraits};
use http::{HeaderValue, Response};
use platform::codec::FormatError;
use platform::engine::{self, Changes};
use platform::headers::WAIT_MS;
use protocol::ids::ServiceName;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;
use tokio::task::AbortHandle;

/// The interval between checks for stores and engines to follow or to stop following.
const TARGET_CHECK_INTERVAL: Duration = Duration::from_millis(300);
/// How long a poll waits for changes; calls that wait less than 200 ms are paid for.
const POLL_WAIT: Duration = Duration::from_millis(1_000);
/// How long an answer may take in addition to that wait. It is short to detect a restart of the
/// store early, because no blocks may be fetched from a store that has restarted.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
/// The delay after each answer, so that the next answer holds several changes.
const BATCH_DELAY: Duration = Duration::from_millis(60);
/// The delay after a failed poll.
const RETRY_DELAY: Duration = Duration::from_millis(400);

/// Why changes cannot be fetched.
#[derive(Debug, Error)]
enum WatchError {
    #[error(transparent)]
    Call(#[from] CallError),
    #[error("refused with status {0}")]
    Refused(http::StatusCode),
    #[error(transparent)]
    Format(#[from] FormatError),
}

/// Follows every block store of the configuration in force and the engines of the local failure
/// domain, until the process exits.
pub async fn run(node: Arc<Node>) {
    let mut watched: HashMap<Watched, AbortHandle> = HashMap::new();
    loop {
        if node.source() != Source::Stores {
            watched.drain().for_each(|(_, task)| task.abort());
        } else if let Some(in_force) = node.in_force() {
            let wanted = wanted(&node, &in_force.configuration);
            // A task that panicked is started again.
            watched.retain(|watched, task| {
                let is_wanted = wanted.contains(watched) && !task.is_finished();
                if !is_wanted {
                    task.abort();
                    record_event(&node, watched.invalidation());
                }
                is_wanted
            });
            for wanted in wanted {
                let node = &node;
                watched.entry(wanted.clone()).or_insert_with(|| {
                    let node = Arc::clone(node);
                    match wanted {
                        Watched::Store(address, name) => tokio::spawn(follow(node, address, name)),
                        Watched::Engine(address, server) => {
                            tokio::spawn(engines::follow(node, address, server))
                        }
                    }
                    .abort_handle()
                });
            }
        }
        tokio::time::sleep(TARGET_CHECK_INTERVAL).await;
    }
}

/// A block store or an engine to follow.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
enum Watched {
    Store(SocketAddr, ServiceName),
    Engine(SocketAddr, ServerIdentity),
}

impl Watched {
    /// Returns the event that drops the target's blocks when it is no longer followed.
    const fn invalidation(&self) -> BlockEvent {
        match self {
            Watched::Store(address, _) => BlockEvent::Forgotten(*address),
            Watched::Engine(address, _) => BlockEvent::EngineForgotten(*address),
        }
    }
}

fn wanted(node: &Node, configuration: &Configuration) -> HashSet<Watched> {
    let stores = configuration.block_stores();
    let mut wanted: HashSet<Watched> =
        stores.map(|(name, store)| Watched::Store(store.address, name.clone())).collect();
    let state = node.state();
    for service in configuration.services.values() {
        let may_watch = |engines: &EngineTraits| {
            engines.link_mbps.is_some() && engines.max_watchers as usize >= MAX_READERS
        };
        if !service.engines().is_some_and(may_watch) {
            continue;
        }
        let usable = state.registry.usable(&service.name);
        let local = usable.filter(|entry| engines::is_local(node, &entry.domain));
        wanted
            .extend(local.map(|entry| Watched::Engine(entry.address, ServerIdentity::new(entry))));
    }
    wanted
}

async fn follow(node: Arc<Node>, address: SocketAddr, name: ServiceName) {
    let mut link = Link::new(address);
    let mut next = 0;
    let mut is_unreachable = false;
    loop {
        match poll(&node, &mut link, &mut next).await {
            Ok(()) => {
                if std::mem::replace(&mut is_unreachable, false) {
                    event!(info, node.now_ms(), "dependency_regained", {
                        "dependency": name.as_str(),
                    });
                }
                tokio::time::sleep(BATCH_DELAY).await;
            }
            Err(error) => {
                // The store's blocks may have been evicted or only partly written since.
                record_event(&node, BlockEvent::Forgotten(address));
                link.close();
                next = 0;
                node.metrics.count("block_store_failures", name.as_str());
                if !std::mem::replace(&mut is_unreachable, true) {
                    event!(warn, node.now_ms(), "dependency_lost", {
                        "dependency": name.as_str(),
                        "error": error.to_string(),
                    });
                }
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Builds the call for the changes of a store or an engine from a position on.
fn changes_call(from: u64) -> Call {
    let call = Call::get(engine::changes_path(from), POLL_WAIT + ANSWER_TIMEOUT);
    call.with_header(WAIT_MS, HeaderValue::from(POLL_WAIT.as_millis() as u64))
}

fn decode_changes(answer: &Response<Bytes>) -> Result<Changes, WatchError> {
    if !is_ok(answer) {
        return Err(WatchError::Refused(answer.status()));
    }
    Ok(engine::decode_changes(answer.body())?)
}

/// Polls a store for changes once; lists all its blocks if changes are missing.
async fn poll(node: &Node, link: &mut Link, next: &mut u64) -> Result<(), WatchError> {
    let answer = link.call(changes_call(*next)).await?;
    let changes = decode_changes(&answer)?;
    let address = link.address();
    let must_list = apply(node, address, &changes, next);
    if must_list {
        node.metrics.count("health_checks", "block_list");
        let answer = link.call(Call::get(engine::LIST_PATH, ANSWER_TIMEOUT)).await?;
        if !is_ok(&answer) {
            return Err(WatchError::Refused(answer.status()));
        }
        record_event(node, BlockEvent::Forgotten(address));
        apply(node, address, &engine::decode_list(answer.body())?, next);
    }
    Ok(())
}

fn apply(node: &Node, address: SocketAddr, changes: &Changes, next: &mut u64) -> bool {
    *next = changes.next;
    if let Some(clock_ms) = changes.clock_ms {
        node.record_server_clock(clock_ms);
    }
    if changes.report.changes.is_empty() && !changes.report.has_gap && *next > 0 {
        let is_current = node.state().blocks.is_listed(address, changes.report.boot_epoch);
        if is_current {
            return false;
        }
    }
    record_event(node, BlockEvent::Reported(address, changes.report.clone()))
}

fn record_event(node: &Node, event: BlockEvent) -> bool {
    let must_list = node.state().apply_blocks(event, node.now_ms());
    node.state_changed.notify_waiters();
    must_list
}
