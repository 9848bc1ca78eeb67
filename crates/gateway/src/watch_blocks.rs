//! Following what the stores of kept blocks hold, and the engines in their memory.

mod engines;

use crate::block_log::BlockEvent;
use crate::event;
use crate::gateways::{MOST_READERS, Source};
use crate::link::{Call, CallError, Link, is_ok};
use crate::node::Node;
use dispatch::configuration::{Configuration, EngineTraits};
use dispatch::registry::ServerId;
use http::HeaderValue;
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

/// Follows every store of the configuration in force, and the engines of the own failure domain.
pub async fn run(node: Arc<Node>) {
    let mut watched: HashMap<Watched, AbortHandle> = HashMap::new();
    loop {
        if node.source() != Source::Stores {
            watched.drain().for_each(|(_, task)| task.abort());
        } else if let Some(in_force) = node.in_force() {
            let wanted = wanted(&node, &in_force.configuration);
            watched.retain(|watched, task| {
                let is_kept = wanted.contains(watched);
                if !is_kept {
                    task.abort();
                    tell(&node, watched.forgotten());
                }
                is_kept
            });
            for wanted in wanted {
                let node = &node;
                watched.entry(wanted.clone()).or_insert_with(|| {
                    let node = Arc::clone(node);
                    match wanted {
                        Watched::Store(address, name) => tokio::spawn(follow(node, address, name)),
                        Watched::Engine(address, _) => tokio::spawn(engines::follow(node, address)),
                    }
                    .abort_handle()
                });
            }
        }
        tokio::time::sleep(LOOK_EVERY).await;
    }
}

/// What is followed.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
enum Watched {
    Store(SocketAddr, ServiceName),
    Engine(SocketAddr, ServerId),
}

impl Watched {
    /// Returns what becomes of knowledge that is not kept up.
    const fn forgotten(&self) -> BlockEvent {
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
            engines.link_mbps.is_some() && engines.max_watchers as usize >= MOST_READERS
        };
        if !service.engines().is_some_and(may_watch) {
            continue;
        }
        let usable = state.registry.usable(&service.name);
        let near = usable.filter(|entry| engines::is_near(node, &entry.domain));
        wanted.extend(near.map(|entry| Watched::Engine(entry.address, entry.id.clone())));
    }
    wanted
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

/// Asks a store or an engine for its changes from a position on.
async fn ask_changes(link: &mut Link, from: u64) -> Result<Changes, WatchError> {
    let call = Call::get(engine::changes_path(from), POLL_WAIT + ANSWER_TIMEOUT);
    let call = call.with_header(WAIT_MS, HeaderValue::from(POLL_WAIT.as_millis() as u64));
    let answer = link.call(call).await?;
    if !is_ok(&answer) {
        return Err(WatchError::Refused(answer.status()));
    }
    Ok(engine::read_changes(answer.body())?)
}

/// Asks for changes once; lists everything where changes were lost.
async fn ask(node: &Node, link: &mut Link, next: &mut u64) -> Result<(), WatchError> {
    let changes = ask_changes(link, *next).await?;
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
        let is_known = node.state().blocks.is_listed(address, changes.report.boot_epoch);
        if is_known {
            return false;
        }
    }
    tell(node, BlockEvent::Reported(address, changes.report.clone()))
}

fn tell(node: &Node, event: BlockEvent) -> bool {
    let must_list = node.state().apply_blocks(event, node.now_ms());
    node.has_learnt.notify_waiters();
    must_list
}
