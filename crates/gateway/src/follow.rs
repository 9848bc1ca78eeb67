//! Follows the platform's store: configurations, target weight versions and servers.

mod operator;
mod servers;
mod software;

pub use crate::follow::operator::apply as apply_operator_record;
pub use crate::follow::servers::handle_registry_changes;

use crate::backoff::Backoff;
use crate::cold;
use crate::evacuations;
use crate::event;
use crate::follow::operator::OperatorRecords;
use crate::follow::servers::ServerRecords;
use crate::gateways::Source;
use crate::node::Node;
use crate::peers::{self, Follower};
use crate::store::{StoreClient, StoreError};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::Instant;

/// The interval between reads of the servers' entries, as a share of the installation's drain
/// bound. Every read costs a call; a server that leaves must be out of use within the bound.
const SERVER_READ_SHARE: f64 = 0.42;
/// The delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// The longest delay before a gateway that follows another one reads the store itself again, which it
/// does while the state of the other one is too old. In an outage hundreds would call the store.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(4);
/// The interval at which it meanwhile looks at the other gateway.
const STALE_INTERVAL: Duration = Duration::from_millis(100);
/// How often a gateway that follows one of an earlier build, which reports no evacuations, lists them
/// itself.
const EVACUATIONS_INTERVAL: Duration = Duration::from_secs(2);
/// How long a gateway that starts in a large installation tries to follow another one before it reads
/// the store itself: hundreds may start at once, and each reading is some calls.
const START_PATIENCE: Duration = Duration::from_millis(400);
/// The interval between these tries.
const START_INTERVAL: Duration = Duration::from_millis(20);

/// Follows the store, or another gateway in place of it, until the process exits.
pub async fn run(node: Arc<Node>) {
    let mut store = StoreClient::new(&node);
    let mut operator = OperatorRecords::default();
    let mut servers = ServerRecords::default();
    let mut next_servers_ms = 0;
    let mut is_unreachable = false;
    let mut follower: Option<Follower> = None;
    let mut follows = start_following(&node, &mut follower).await;
    let mut is_first = true;
    let mut backoff = Backoff::new(RETRY_DELAY, MAX_RETRY_DELAY);
    let mut next_try = Instant::now();
    let mut next_listing = Instant::now();
    loop {
        evacuations::expire(&node);
        if !std::mem::replace(&mut is_first, false) {
            follows = follow_gateway(&node, &mut follower).await;
        }
        node.reads_store.store(!follows, Ordering::Relaxed);
        if follows {
            // The positions are outdated after a time without reads: list everything again.
            operator = OperatorRecords::default();
            servers = ServerRecords::default();
            if follower.as_ref().is_some_and(|held| !held.reports_evacuations())
                && Instant::now() >= next_listing
            {
                next_listing = Instant::now() + EVACUATIONS_INTERVAL;
                evacuations::read(&node, &mut store).await;
            }
            backoff.record_success();
            continue;
        }
        if follower.is_some() && Instant::now() < next_try {
            tokio::time::sleep(STALE_INTERVAL).await;
            continue;
        }
        let result =
            read_once(&node, &mut store, &mut operator, &mut servers, &mut next_servers_ms).await;
        match result {
            Ok(()) => {
                backoff.record_success();
                node.state().registry.store_read(node.now_ms());
                node.record_store_read();
                node.state_changed.notify_waiters();
                if std::mem::replace(&mut is_unreachable, false) {
                    event!(info, node.now_ms(), "dependency_regained", { "dependency": "store" });
                }
            }
            Err(StoreError::Deleted) => {
                event!(info, node.now_ms(), "records_deleted", { "dependency": "store" });
            }
            // The next read lists the newest records.
            Err(StoreError::EraChanged) => {}
            Err(error) => {
                node.metrics.count("store_failures", error.as_str());
                {
                    let mut state = node.state();
                    state.registry.store_unreachable();
                    state.evacuations.record_store_failure();
                }
                if !std::mem::replace(&mut is_unreachable, true) {
                    event!(warn, node.now_ms(), "dependency_lost", {
                        "dependency": "store",
                        "error": error.to_string(),
                    });
                }
                match follower {
                    Some(_) => next_try = Instant::now() + backoff.record_failure(),
                    None => tokio::time::sleep(RETRY_DELAY).await,
                }
            }
        }
    }
}

/// Tries to follow another gateway at the start; returns whether that one answered.
async fn start_following(node: &Node, follower: &mut Option<Follower>) -> bool {
    if node.settings.listen.peers.is_none() {
        return false;
    }
    let following = async {
        loop {
            let is_listed = node.state().gateways.is_listed();
            if is_listed
                && (node.source() == Source::Stores || follow_gateway(node, follower).await)
            {
                return;
            }
            tokio::time::sleep(START_INTERVAL).await;
        }
    };
    let is_decided = tokio::time::timeout(START_PATIENCE, following).await.is_ok();
    is_decided && follower.is_some()
}

/// Follows another gateway if this one has one to follow; returns whether that gateway's state is
/// recent enough.
async fn follow_gateway(node: &Node, follower: &mut Option<Follower>) -> bool {
    let Source::Gateway(address) = node.source() else {
        *follower = None;
        return false;
    };
    if follower.as_ref().is_none_or(|held| held.address() != address) {
        *follower = Some(Follower::new(address));
    }
    let Some(follower) = follower else { return false };
    let is_recent = follower.poll(node).await;
    if is_recent {
        node.state().registry.store_read(node.now_ms());
    }
    handle_registry_changes(node, cold::expire_missing(node), "followed");
    is_recent
}

/// Reads the servers' entries if that is due, then waits for an operator's record until the next
/// read of the servers.
async fn read_once(
    node: &Arc<Node>,
    store: &mut StoreClient,
    operator: &mut OperatorRecords,
    servers: &mut ServerRecords,
    next_servers_ms: &mut u64,
) -> Result<(), StoreError> {
    if node.now_ms() >= *next_servers_ms {
        let interval_ms = SERVER_READ_SHARE * node.settings.bounds.drain_ms as f64;
        *next_servers_ms = servers.read(node, store, interval_ms as u64).await?;
    }
    if node.in_force().is_none() && node.eras().known().is_some() {
        peers::consult(node).await;
    }
    let wait_ms = next_servers_ms.saturating_sub(node.now_ms());
    operator.read(node, store, wait_ms).await
}
