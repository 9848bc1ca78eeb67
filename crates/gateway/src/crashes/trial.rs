//! Trials of refused requests, of which at most one runs at a time over all gateways.
//!
//! A trial is claimed by an append to the platform's store that only succeeds if no other gateway
//! has appended since the records were read. Without the store there are no trials.

use crate::crashes::{publish, store};
use crate::event;
use crate::node::Node;
use crate::store::StoreClient;
use dispatch::crashes::{Features, Verdict};
use std::sync::Arc;

/// Claims the trial that is due for some features; returns whether this gateway may run it.
///
/// `for_ms` is how long the trial may take.
pub async fn claim(node: &Arc<Node>, features: &Features, for_ms: u64) -> bool {
    let exchange = &node.crash_exchange;
    // Other requests of this gateway do not wait for the claim; one of them is enough.
    let Ok(mut client) = exchange.claims.try_lock() else { return false };
    let client = client.get_or_insert_with(|| StoreClient::new(node));
    let _writing = exchange.writing.lock().await;
    let end = match store::read_all(node, client).await {
        Ok(end) => end,
        Err(error) => {
            node.metrics.count("store_failures", error.as_str());
            return false;
        }
    };
    let now_ms = node.now_ms();
    let (evidence, local) = {
        let mut state = node.state();
        if state.crashes.check(features, now_ms) != Verdict::TrialDue(features.clone()) {
            return false;
        }
        let evidence = state.crashes.next_trial(features, for_ms, now_ms);
        let mut local = state.crashes.local().clone();
        local.merge(&evidence);
        (evidence, local)
    };
    match store::append(node, client, &local, Some(end)).await {
        Ok(()) => {
            node.state().crashes.record(&evidence, now_ms);
            publish(node, &evidence);
            node.metrics.count("crashes", "trial");
            true
        }
        Err(error) => {
            node.metrics.count("crashes", "trial_not_claimed");
            event!(info, now_ms, "trial_not_claimed", { "error": error.to_string() });
            false
        }
    }
}
