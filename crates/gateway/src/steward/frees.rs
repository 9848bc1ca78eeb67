//! Freeing kept parts that older weights made.
//!
//! Every gateway is told first that these parts are not used any more. They are freed once all have
//! confirmed and the fetches under way have ended. A gateway that does not confirm stops by itself:
//! it either learns of the newer weights and leaves the older ones in time, or has lost the store
//! and its peers and fetches nothing.

use crate::event;
use crate::forward::MOST_FETCH_MS;
use crate::link::{Call, Link};
use crate::node::{FETCH_KNOWLEDGE_MS, Node};
use crate::peers::{self, NEWS_PATH, News};
use crate::steward::holding::Holding;
use crate::steward::states::States;
use dispatch::blocks::BlockKey;
use futures_util::future::join_all;
use platform::engine::{self, FREE_PATH};
use protocol::ids::ModelName;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// How long a store or a gateway may take to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
/// The parts freed by one call.
const FREE_BATCH: usize = 400;
/// The share of servers with the newest weights from which on older parts are given up: by then
/// most requests go to those servers, and what they make needs the room.
const NEWEST_SHARE: f64 = 0.5;
/// What is added to the time of the longest fetch, in milliseconds: a request that is on its way.
const TRANSIT_MS: u64 = 300;

/// How far the freeing for one version is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stage {
    /// The gateways have been told; parts are freed at the given time.
    Told {
        free_at_ms: u64,
    },
    Freed,
}

/// The frees of a steward.
#[derive(Debug, Default)]
pub struct Frees {
    stages: BTreeMap<(ModelName, u64), Stage>,
}

impl Frees {
    /// Does what is due; says whether nothing is left to do.
    pub async fn go_on(&mut self, node: &Node, states: &States, holding: &Holding) -> bool {
        let mut is_done = true;
        for (model, newest) in states.models() {
            let servers = states.servers(node, &model);
            let with_newest = servers.iter().filter(|server| server.version >= newest).count();
            if (with_newest as f64) < NEWEST_SHARE * servers.len() as f64 {
                continue;
            }
            let key = (model.clone(), newest);
            match self.stages.get(&key).copied() {
                None => {
                    let free_at_ms = tell(node, &model, newest).await;
                    self.stages.insert(key, Stage::Told { free_at_ms });
                    is_done = false;
                }
                Some(Stage::Told { free_at_ms }) if node.now_ms() < free_at_ms => is_done = false,
                Some(Stage::Told { .. }) => {
                    if free_outdated(node, holding, &model, newest).await {
                        self.stages.insert(key, Stage::Freed);
                    }
                }
                Some(Stage::Freed) => {}
            }
        }
        is_done
    }
}

/// Tells all gateways, and returns when nobody can be fetching the parts any more.
async fn tell(node: &Node, model: &ModelName, newest: u64) -> u64 {
    node.state().blocks.retire(model, newest);
    let news = News { oldest_used: vec![(model.clone(), newest)], ..News::default() };
    let body = peers::encode(&news);
    let gateways: Vec<SocketAddr> =
        node.state().gateways.others().map(|record| record.peers).collect();
    let calls = gateways.iter().map(|address| {
        let call = Call::post(NEWS_PATH, body.clone(), ANSWER_TIMEOUT);
        async move {
            Link::new(*address).call(call).await.is_ok_and(|answer| answer.status().is_success())
        }
    });
    let confirmed = join_all(calls).await.into_iter().filter(|confirmed| *confirmed).count();
    let unheard_ms = if confirmed == gateways.len() {
        0
    } else {
        FETCH_KNOWLEDGE_MS.max(node.settings.bounds.weights_ms)
    };
    event!(info, node.now_ms(), "older_parts_given_up", {
        "model": model.as_str(),
        "oldest_used": newest,
        "gateways": gateways.len(),
        "confirmed": confirmed,
    });
    node.now_ms() + unheard_ms + MOST_FETCH_MS + TRANSIT_MS
}

async fn free_outdated(node: &Node, holding: &Holding, model: &ModelName, newest: u64) -> bool {
    let Some(in_force) = node.in_force() else { return false };
    let mut all_freed = true;
    for (name, store) in in_force.configuration.block_stores() {
        let (epoch, parts) = node.state().blocks.outdated(store.address, model, newest);
        let Some(epoch) = epoch.filter(|_| !parts.is_empty()) else { continue };
        let until_ms =
            holding.valid_until_ms(node).and_then(|at_ms| node.to_servers_clock_ms(at_ms));
        let Some(until_ms) = until_ms else { return false };
        let freed = free(store.address, epoch, until_ms, &parts).await;
        all_freed &= freed;
        event!(info, node.now_ms(), "parts_freed", {
            "store": name.as_str(),
            "parts": parts.len(),
            "boot_epoch": epoch,
            "accepted": freed,
        });
    }
    all_freed
}

async fn free(address: SocketAddr, epoch: u64, until_ms: u64, parts: &[BlockKey]) -> bool {
    let mut link = Link::new(address);
    for batch in parts.chunks(FREE_BATCH) {
        let body = engine::write_free(batch, epoch, until_ms);
        let answer = link.call(Call::post(FREE_PATH, body, ANSWER_TIMEOUT)).await;
        if !answer.is_ok_and(|answer| answer.status().is_success()) {
            return false;
        }
    }
    true
}
