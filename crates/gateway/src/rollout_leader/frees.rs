//! Frees cached blocks that were computed with older weights.
//!
//! First, these blocks are retired: in the platform's store, for gateways that start later, and by an
//! update to every gateway. They are freed once all gateways have confirmed it and the fetches in
//! flight have ended. A gateway that does not confirm stops fetching the blocks by itself.
//! `docs/design/retired-blocks.md` gives the rules.

use crate::event;
use crate::gateway_records;
use crate::link::{Call, Link};
use crate::node::Node;
use crate::peers::{self, PeerUpdate, UPDATE_PATH};
use crate::rollout_leader::lease::RolloutLease;
use crate::rollout_leader::states::ServerStates;
use crate::store::{StoreClient, StoreError};
use dispatch::blocks::BlockKey;
use dispatch::era::StoreEra;
use dispatch::retirement::SentRetirement;
use futures_util::future::join_all;
use platform::engine::{self, FREE_PATH};
use protocol::ids::{HostName, ModelName};
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
/// The delay before the retirement is written again after a failed call, in milliseconds.
const WRITE_RETRY_MS: u64 = 250;
/// The number of gateways that are named in a line of the log.
const NAMED_GATEWAYS: usize = 8;

/// The stage of the frees for one weight version.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stage {
    /// The retirement is not in the store; it is written at the given time.
    Unwritten {
        next_ms: u64,
    },
    /// The store holds the retirement.
    Written {
        written_ms: u64,
    },
    /// The update has been sent to all gateways; the blocks are freed at the given time.
    Sent {
        free_at_ms: u64,
    },
    Freed,
}

/// What frees wait for.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum WaitReason {
    /// The retirement cannot be written to the store.
    Store,
    /// Gateways of earlier builds are listed, and servers have older weights.
    EarlierBuilds,
    /// Gateways did not confirm.
    Unconfirmed,
}

impl WaitReason {
    const fn as_str(self) -> &'static str {
        match self {
            WaitReason::Store => "store",
            WaitReason::EarlierBuilds => "earlier_builds",
            WaitReason::Unconfirmed => "unconfirmed",
        }
    }
}

#[derive(Clone, Debug)]
struct ModelFrees {
    stage: Stage,
    /// The era in which the stage was reached: the next one begins anew.
    era: StoreEra,
    /// What has been logged as waited for.
    logged: Option<WaitReason>,
}

/// The frees of a rollout leader, by model and weight version.
#[derive(Debug, Default)]
pub struct BlockFrees {
    by_version: BTreeMap<(ModelName, u64), ModelFrees>,
}

impl BlockFrees {
    /// Takes the steps that are due; returns whether there is no step to wait for.
    pub async fn advance(
        &mut self,
        node: &Node,
        store: &mut StoreClient,
        states: &ServerStates,
        lease: &RolloutLease,
    ) -> bool {
        let mut is_done = true;
        let era = node.eras().current();
        for (model, newest) in states.models() {
            let servers = states.servers(node, &model);
            let with_newest = servers.iter().filter(|server| server.version >= newest).count();
            if (with_newest as f64) < NEWEST_SERVER_SHARE * servers.len() as f64 {
                continue;
            }
            let has_older = with_newest < servers.len();
            let new = ModelFrees { stage: Stage::Unwritten { next_ms: 0 }, era, logged: None };
            let frees = self.by_version.entry((model.clone(), newest)).or_insert(new.clone());
            if frees.era != era {
                *frees = new;
            }
            is_done &= frees.advance(node, store, lease, (&model, newest), has_older).await;
        }
        is_done
    }
}

impl ModelFrees {
    async fn advance(
        &mut self,
        node: &Node,
        store: &mut StoreClient,
        lease: &RolloutLease,
        (model, newest): (&ModelName, u64),
        has_older: bool,
    ) -> bool {
        let now_ms = node.now_ms();
        match self.stage {
            Stage::Unwritten { next_ms } if now_ms < next_ms => {}
            Stage::Unwritten { .. } => match write_retirement(node, store, model, newest).await {
                Ok(()) => self.stage = Stage::Written { written_ms: node.now_ms() },
                Err(error) => {
                    self.stage = Stage::Unwritten { next_ms: node.now_ms() + WRITE_RETRY_MS };
                    self.log_wait(node, model, newest, WaitReason::Store, &error.to_string());
                }
            },
            Stage::Written { written_ms } => {
                let earlier = earlier_builds(node);
                if has_older && !earlier.is_empty() {
                    let hosts = name_hosts(&earlier);
                    self.log_wait(node, model, newest, WaitReason::EarlierBuilds, &hosts);
                    return false;
                }
                let (sent, unconfirmed) = send_retirement(node, model, newest, written_ms).await;
                let free_at_ms = sent.free_at_ms(node.settings.bounds.weights_ms);
                self.stage = Stage::Sent { free_at_ms };
                if !sent.is_confirmed {
                    let hosts = name_hosts(&unconfirmed);
                    self.log_wait(node, model, newest, WaitReason::Unconfirmed, &hosts);
                }
            }
            Stage::Sent { free_at_ms } if now_ms < free_at_ms => {}
            Stage::Sent { .. } => {
                if free_outdated(node, lease, model, newest).await {
                    self.stage = Stage::Freed;
                }
                return true;
            }
            Stage::Freed => return true,
        }
        false
    }

    /// Logs and counts once what the frees wait for.
    fn log_wait(
        &mut self,
        node: &Node,
        model: &ModelName,
        newest: u64,
        reason: WaitReason,
        detail: &str,
    ) {
        if self.logged.replace(reason) == Some(reason) {
            return;
        }
        let free_at_ms = match self.stage {
            Stage::Sent { free_at_ms } => Some(free_at_ms),
            _ => None,
        };
        node.metrics.count("block_frees_waiting", reason.as_str());
        event!(warn, node.now_ms(), "parts_not_freed_yet", {
            "model": model.as_str(),
            "oldest_used": newest,
            "waits_for": reason.as_str(),
            "detail": detail,
            "free_at_ms": free_at_ms,
        });
    }
}

fn name_hosts(hosts: &[HostName]) -> String {
    let named: Vec<&str> = hosts.iter().take(NAMED_GATEWAYS).map(HostName::as_str).collect();
    match hosts.len().checked_sub(NAMED_GATEWAYS) {
        Some(more) if more > 0 => format!("{} and {more} more", named.join(", ")),
        _ => named.join(", "),
    }
}

fn earlier_builds(node: &Node) -> Vec<HostName> {
    node.state().gateways.earlier_builds().cloned().collect()
}

/// Lists the gateways and writes the retirement at the end of that listing: each gateway is listed, or
/// lists after the retirement was written. An earlier leader may have written it.
async fn write_retirement(
    node: &Node,
    store: &mut StoreClient,
    model: &ModelName,
    newest: u64,
) -> Result<(), StoreError> {
    node.state().blocks.retirements.retire(model, newest);
    if node.settings.listen.peers.is_none() {
        return Ok(());
    }
    let listing = gateway_records::list(store).await?;
    node.state().gateways.add_listed(listing.gateways);
    let mut retired = listing.retired.unwrap_or_default();
    if retired.get(model).is_some_and(|oldest_used| *oldest_used >= newest) {
        return Ok(());
    }
    retired.insert(model.clone(), newest);
    gateway_records::write_retired(store, &retired, listing.end).await
}

/// Retires the blocks at all gateways; returns those that did not confirm.
async fn send_retirement(
    node: &Node,
    model: &ModelName,
    newest: u64,
    written_ms: u64,
) -> (SentRetirement, Vec<HostName>) {
    let update = PeerUpdate { oldest_used: vec![(model.clone(), newest)], ..PeerUpdate::default() };
    let body = peers::encode(&update);
    let gateways: Vec<(HostName, SocketAddr)> = {
        let state = node.state();
        let peers = state.gateways.peers();
        peers.map(|record| (record.host.clone(), record.peer_address)).collect()
    };
    let calls = gateways.iter().map(|(_, address)| {
        let call = Call::post(UPDATE_PATH, body.clone(), ANSWER_TIMEOUT);
        async move {
            Link::new(*address).call(call).await.is_ok_and(|answer| answer.status().is_success())
        }
    });
    let confirmed = join_all(calls).await;
    let unconfirmed = gateways.iter().zip(&confirmed).filter(|(_, confirmed)| !**confirmed);
    let unconfirmed: Vec<HostName> = unconfirmed.map(|((host, _), _)| host.clone()).collect();
    event!(info, node.now_ms(), "older_parts_given_up", {
        "model": model.as_str(),
        "oldest_used": newest,
        "gateways": gateways.len(),
        "confirmed": gateways.len() - unconfirmed.len(),
    });
    let answered_ms = node.now_ms();
    let superseded_ms = node.state().blocks.retirements.superseded_ms(model, newest);
    let sent = SentRetirement {
        written_ms,
        answered_ms,
        is_confirmed: unconfirmed.is_empty(),
        superseded_ms: superseded_ms.unwrap_or(answered_ms),
        era_since_ms: node.eras().since_ms(),
    };
    (sent, unconfirmed)
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
