//! Frees cached blocks that were computed with older weights.
//!
//! First, an update to every gateway retires these blocks. They are freed once all gateways have
//! confirmed it and the fetches in flight have ended. A gateway that does not confirm also stops
//! fetching the blocks: it either reads the newer target version and leaves the older weights in
//! time, or has lost the store and its peers and fetches nothing.

use crate::event;
use crate::forward::MAX_FETCH_MS;
use crate::link::{Call, Link};
use crate::node::{MAX_FETCH_STATE_AGE_MS, Node};
use crate::peers::{self, PeerUpdate, UPDATE_PATH};
use crate::rollout_leader::lease::RolloutLease;
use crate::rollout_leader::states::ServerStates;
use dispatch::blocks::BlockKey;
use futures_util::future::join_all;
use platform::engine::{self, FREE_PATH};
use protocol::ids::ModelName;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// How long a store or a gateway may take to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
/// The maximum number of blocks freed by one call.
const FREE_BATCH: usize = 400;
/// The share of servers with the newest weights from which on older blocks are retired: by then
/// most requests go to those servers, and their blocks need the memory.
const NEWEST_SERVER_SHARE: f64 = 0.5;
/// The transit time of a fetch request, in milliseconds, which adds to the longest fetch.
const TRANSIT_MS: u64 = 300;

/// The stage of the frees for one weight version.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stage {
    /// The update has been sent to all gateways; the blocks are freed at the given time.
    Sent {
        free_at_ms: u64,
    },
    Freed,
}

/// The frees of a rollout leader, by model and weight version.
#[derive(Debug, Default)]
pub struct BlockFrees {
    stages: BTreeMap<(ModelName, u64), Stage>,
}

impl BlockFrees {
    /// Takes the steps that are due; returns whether there is no step to wait for.
    pub async fn advance(
        &mut self,
        node: &Node,
        states: &ServerStates,
        lease: &RolloutLease,
    ) -> bool {
        let mut is_done = true;
        for (model, newest) in states.models() {
            let servers = states.servers(node, &model);
            let with_newest = servers.iter().filter(|server| server.version >= newest).count();
            if (with_newest as f64) < NEWEST_SERVER_SHARE * servers.len() as f64 {
                continue;
            }
            let key = (model.clone(), newest);
            match self.stages.get(&key).copied() {
                None => {
                    let free_at_ms = send_retirement(node, &model, newest).await;
                    self.stages.insert(key, Stage::Sent { free_at_ms });
                    is_done = false;
                }
                Some(Stage::Sent { free_at_ms }) if node.now_ms() < free_at_ms => is_done = false,
                Some(Stage::Sent { .. }) => {
                    if free_outdated(node, lease, &model, newest).await {
                        self.stages.insert(key, Stage::Freed);
                    }
                }
                Some(Stage::Freed) => {}
            }
        }
        is_done
    }
}

/// Retires the blocks at all gateways; returns the time from which on no gateway can be fetching
/// them.
async fn send_retirement(node: &Node, model: &ModelName, newest: u64) -> u64 {
    node.state().blocks.retire(model, newest);
    let update = PeerUpdate { oldest_used: vec![(model.clone(), newest)], ..PeerUpdate::default() };
    let body = peers::encode(&update);
    let gateways: Vec<SocketAddr> =
        node.state().gateways.peers().map(|record| record.peer_address).collect();
    let calls = gateways.iter().map(|address| {
        let call = Call::post(UPDATE_PATH, body.clone(), ANSWER_TIMEOUT);
        async move {
            Link::new(*address).call(call).await.is_ok_and(|answer| answer.status().is_success())
        }
    });
    let confirmed = join_all(calls).await.into_iter().filter(|confirmed| *confirmed).count();
    let unconfirmed_ms = if confirmed == gateways.len() {
        0
    } else {
        MAX_FETCH_STATE_AGE_MS.max(node.settings.bounds.weights_ms)
    };
    event!(info, node.now_ms(), "older_parts_given_up", {
        "model": model.as_str(),
        "oldest_used": newest,
        "gateways": gateways.len(),
        "confirmed": confirmed,
    });
    node.now_ms() + unconfirmed_ms + MAX_FETCH_MS + TRANSIT_MS
}

async fn free_outdated(node: &Node, lease: &RolloutLease, model: &ModelName, newest: u64) -> bool {
    let Some(in_force) = node.in_force() else { return false };
    let mut all_freed = true;
    for (name, store) in in_force.configuration.block_stores() {
        let (epoch, blocks) = node.state().blocks.outdated(store.address, model, newest);
        let Some(epoch) = epoch.filter(|_| !blocks.is_empty()) else { continue };
        let until_ms = lease.valid_until_ms(node).and_then(|at_ms| node.to_servers_clock_ms(at_ms));
        let Some(until_ms) = until_ms else { return false };
        let freed = free(store.address, epoch, until_ms, &blocks).await;
        all_freed &= freed;
        event!(info, node.now_ms(), "parts_freed", {
            "store": name.as_str(),
            "parts": blocks.len(),
            "boot_epoch": epoch,
            "accepted": freed,
        });
    }
    all_freed
}

async fn free(address: SocketAddr, epoch: u64, until_ms: u64, blocks: &[BlockKey]) -> bool {
    let mut link = Link::new(address);
    for batch in blocks.chunks(FREE_BATCH) {
        let body = engine::encode_free(batch, epoch, until_ms);
        let answer = link.call(Call::post(FREE_PATH, body, ANSWER_TIMEOUT)).await;
        if !answer.is_ok_and(|answer| answer.status().is_success()) {
            return false;
        }
    }
    true
}
