//! The rollout leader: the gateway that holds the rollout lease and commands servers to load new
//! weights.

mod commands;
mod frees;
mod lease;
mod states;

use crate::event;
use crate::node::Node;
use crate::rollout_leader::frees::BlockFrees;
use crate::rollout_leader::lease::RolloutLease;
use crate::rollout_leader::states::ServerStates;
use crate::store::StoreClient;
use dispatch::rollout;
use std::sync::Arc;
use std::time::Duration;

/// The interval between the steps of a rollout in progress.
const STEP_INTERVAL: Duration = Duration::from_millis(120);
/// The maximum interval between checks whether a rollout is due.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(1_000);

/// Leads rollouts whenever this gateway can hold the rollout lease, until the process exits.
pub async fn run(node: Arc<Node>) {
    let mut store = StoreClient::new(&node);
    let mut lease = RolloutLease::new(&node);
    let mut states = ServerStates::default();
    let mut frees = BlockFrees::default();
    loop {
        let has_work = states.refresh(&node);
        // A leader commands servers itself; others may reach them.
        if node.state().paths.is_cut_off() {
            lease.lapse(&node);
            tokio::time::sleep(IDLE_CHECK_INTERVAL).await;
            continue;
        }
        if node.is_draining() {
            lease.release(&node, &mut store).await;
            tokio::time::sleep(IDLE_CHECK_INTERVAL).await;
            continue;
        }
        if has_work {
            if lease.acquire_or_renew(&node, &mut store).await {
                step(&node, &mut states, &lease).await;
                frees.advance(&node, &mut store, &states, &lease).await;
            }
            tokio::time::sleep(STEP_INTERVAL).await;
            continue;
        }
        if lease.is_held() {
            if lease.acquire_or_renew(&node, &mut store).await
                && !frees.advance(&node, &mut store, &states, &lease).await
            {
                tokio::time::sleep(STEP_INTERVAL).await;
                continue;
            }
            lease.release(&node, &mut store).await;
        } else {
            lease.record_idle(&node, &mut store).await;
        }
        let woken =
            tokio::time::timeout(IDLE_CHECK_INTERVAL, node.weights_changed.notified()).await;
        // A timeout only means that nothing changed.
        drop(woken);
    }
}

/// Queries the servers of each model and sends the commands that are due.
async fn step(node: &Arc<Node>, states: &mut ServerStates, lease: &RolloutLease) {
    for (model, newest) in states.models() {
        let servers = states.servers(node, &model);
        let Some(step) = rollout::next_step(&servers, newest, node.now_ms()) else { continue };
        if !step.command.is_empty() {
            event!(info, node.now_ms(), "rollout_step", {
                "model": model.as_str(),
                "version": newest,
                "servers": servers.len(),
                "order": step.command.iter().map(|id| id.as_str()).collect::<Vec<_>>(),
                "ask": step.query.len(),
            });
        }
        commands::execute(node, states, lease, &model, newest, step).await;
    }
}
