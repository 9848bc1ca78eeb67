//! Forgets what is out of date.

use crate::constants::SWEEP_INTERVAL;
use crate::node::Node;
use std::sync::Arc;

/// Sweeps the tables at intervals for as long as the daemon runs.
pub(crate) async fn follow(node: Arc<Node>) {
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        let now_ms = node.now_ms();
        node.placement.index.sweep(now_ms);
        node.placement.lock_transfers().expire(now_ms);
        node.admission.budgets.sweep(now_ms);
    }
}
