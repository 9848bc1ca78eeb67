//! Background tasks that poll the platform, the peers and the backend servers.

pub(crate) mod configuration;
mod host_list;
pub(crate) mod peers;
mod servers;
mod snapshots;
mod sweep;

use crate::node::Node;
use crate::{orders, quarantine};
use std::sync::Arc;
use tokio::task::JoinSet;

/// Starts all background tasks.
pub(crate) fn start(node: &Arc<Node>, tasks: &mut JoinSet<()>) {
    tasks.spawn(configuration::follow(Arc::clone(node)));
    tasks.spawn(host_list::follow(Arc::clone(node)));
    tasks.spawn(peers::follow(Arc::clone(node)));
    tasks.spawn(servers::follow(Arc::clone(node)));
    tasks.spawn(sweep::follow(Arc::clone(node)));
    tasks.spawn(quarantine::sweep(Arc::clone(node)));
    orders::start(node, tasks);
}
