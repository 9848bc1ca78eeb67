//! Removes expired entries.

use crate::constants::SWEEP_INTERVAL;
use crate::node::Node;
use std::sync::Arc;

/// Sweeps the tables periodically until the daemon stops.
pub(crate) async fn follow(node: Arc<Node>) {
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        let now_ms = node.now_ms();
        node.placement.index.sweep(now_ms);
        node.placement.lock_transfers().expire(now_ms);
        node.admission.budgets.sweep(now_ms);
    }
}
