//! The steward: the one gateway that brings servers to new weights.

mod frees;
mod holding;
mod orders;
mod states;

use crate::event;
use crate::node::Node;
use crate::steward::frees::Frees;
use crate::steward::holding::Holding;
use crate::steward::states::States;
use crate::store::StoreClient;
use dispatch::rollout;
use std::sync::Arc;
use std::time::Duration;

/// How often a rollout under way is looked at.
const LOOK_EVERY: Duration = Duration::from_millis(120);
/// How often it is looked whether a rollout is due.
const IDLE_LOOK: Duration = Duration::from_millis(1_000);

/// Takes part in stewardship for as long as the process lives.
pub async fn run(node: Arc<Node>) {
    let mut store = StoreClient::new(node.settings.store.address, Arc::clone(&node.metrics));
    let mut holding = Holding::new(&node);
    let mut states = States::default();
    let mut frees = Frees::default();
    loop {
        let has_work = states.refresh(&node);
        if node.is_draining() {
            holding.release(&node, &mut store).await;
            tokio::time::sleep(IDLE_LOOK).await;
            continue;
        }
        if has_work {
            if holding.try_hold(&node, &mut store).await {
                step(&node, &mut states, &holding).await;
                frees.go_on(&node, &states, &holding).await;
            }
            tokio::time::sleep(LOOK_EVERY).await;
            continue;
        }
        if holding.is_held() {
            if holding.try_hold(&node, &mut store).await
                && !frees.go_on(&node, &states, &holding).await
            {
                tokio::time::sleep(LOOK_EVERY).await;
                continue;
            }
            holding.release(&node, &mut store).await;
        } else {
            holding.note_idle(&node, &mut store).await;
        }
        let woken = tokio::time::timeout(IDLE_LOOK, node.weights_changed.notified()).await;
        // A time-out only means that nothing changed.
        drop(woken);
    }
}

/// Gives the next orders and asks for states, all at once.
async fn step(node: &Arc<Node>, states: &mut States, holding: &Holding) {
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
        orders::carry_out(node, states, holding, &model, newest, step).await;
    }
}
