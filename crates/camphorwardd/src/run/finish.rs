//! Handling of finished attempts by the home of a prompt: updates the load and the cache index, and
//! exports blocks.

use crate::constants::EXPORT_TIMEOUT;
use crate::counters::Counter;
use crate::node::Node;
use crate::run::decide::{self, BlockStores};
use clients::wire::engine::{CommittedBlock, Export, ExportBlock};
use placement::export::{BlockExport, ExportPlan, FinishedAttempt, plan};
use placement::single_flight::{Role, Transfer};
use protocol::ids::{AttemptId, HostName};
use protocol::message::place::{CachedBlock, FinishedNotice};
use settings::services::ModelService;
use std::collections::BTreeMap;

/// The assumed probability that a prompt returns, as long as returns are not counted.
const RETURN_PROBABILITY: f64 = 0.5;

/// Applies the end of an attempt whose prompt has its home on this host.
pub(crate) async fn apply_notice(node: &Node, notice: FinishedNotice) {
    node.placement.loads.finished(&notice.server, &notice.attempt_id);
    for block in &notice.missing {
        node.placement.index.remove_block(&block.key, &block.store);
    }
    if !notice.completed {
        return;
    }
    export(node, &notice).await;
}

async fn export(node: &Node, notice: &FinishedNotice) {
    let directory = node.directory();
    let Some(model) = directory.model_service(&notice.service) else {
        return;
    };
    let Some(server) = node.hosts.server(&notice.server) else {
        return;
    };
    // The home in the server's own region exports: it decided, and follows the server's cache.
    if server.region != node.settings.region {
        return;
    }
    let stores = BlockStores::find(node, &directory, model);
    let expiry_ms = stores.expiry_ms();
    let plan = plan_exports(node, notice, model, &stores, &stores.hosts_in(&server.region));
    renew(node, &plan, expiry_ms).await;
    for (store, blocks) in by_store(plan.exports) {
        let acquired = acquire(node, &notice.attempt_id, blocks);
        export_to(node, notice, &store, &acquired, expiry_ms).await;
        release(node, &notice.attempt_id, &acquired);
    }
}

fn plan_exports(
    node: &Node,
    notice: &FinishedNotice,
    model: &ModelService,
    stores: &BlockStores,
    live_stores: &[HostName],
) -> ExportPlan {
    let now_ms = node.now_ms();
    let view = node.placement.index.view(&notice.chain, stores.bytes_per_s(), now_ms);
    let attempt = FinishedAttempt {
        chain: &notice.chain,
        view: &view,
        live_stores,
        kv_bytes_per_token: model.kv_bytes_per_token,
        prefill_tokens_per_s: prefill_rate(node, &notice.server),
        store_bytes_per_s: stores.bytes_per_s(),
        expiry_ms: stores.expiry_ms(),
        return_probability: RETURN_PROBABILITY,
        now_ms,
    };
    plan(&attempt, &node.placement.lock_pressure())
}

fn prefill_rate(node: &Node, server: &HostName) -> u64 {
    node.placement.loads.estimate(server, node.now_ms()).prefill_tokens_per_s
}

fn by_store(blocks: Vec<BlockExport>) -> BTreeMap<HostName, Vec<BlockExport>> {
    let mut groups: BTreeMap<HostName, Vec<BlockExport>> = BTreeMap::new();
    for block in blocks {
        groups.entry(block.store.clone()).or_default().push(block);
    }
    groups
}

/// Returns the blocks whose export no other attempt has in progress, and marks them as in progress.
fn acquire(node: &Node, attempt_id: &AttemptId, blocks: Vec<BlockExport>) -> Vec<BlockExport> {
    let timeout_ms = u64::try_from(EXPORT_TIMEOUT.as_millis()).unwrap_or(u64::MAX);
    let now_ms = node.now_ms();
    let mut transfers = node.placement.lock_transfers();
    let mut leads = |block: &BlockExport| {
        let transfer = Transfer::Export { key: block.key };
        transfers.join(transfer, attempt_id, timeout_ms, now_ms) == Role::Leader
    };
    blocks.into_iter().filter(|block| leads(block)).collect()
}

fn release(node: &Node, attempt_id: &AttemptId, blocks: &[BlockExport]) {
    let mut transfers = node.placement.lock_transfers();
    for block in blocks {
        transfers.finish(&Transfer::Export { key: block.key }, attempt_id);
    }
}

async fn export_to(
    node: &Node,
    notice: &FinishedNotice,
    store: &HostName,
    blocks: &[BlockExport],
    expires_in_ms: u64,
) {
    let (Some(server), Some(store_host)) =
        (node.hosts.server(&notice.server), node.hosts.server(store))
    else {
        return;
    };
    if blocks.is_empty() {
        return;
    }
    let to_block = |block: &BlockExport| ExportBlock { key: block.key, name: block.name.clone() };
    let export = Export {
        attempt_id: notice.attempt_id.clone(),
        store: store_host.address,
        expires_in_ms,
        blocks: blocks.iter().map(to_block).collect(),
    };
    // The store counts a block's TTL from its commit, which may be long before the answer.
    let expires_at_ms = node.now_ms() + expires_in_ms;
    let exported = node.clients.engine.export(server.address, &export, EXPORT_TIMEOUT).await;
    let committed = match exported {
        Ok(answer) => answer.committed,
        Err(error) => {
            let (attempt, server) = (&notice.attempt_id, &notice.server);
            log::warn!("attempt={attempt} server={server} store={store} export failed: {error}");
            Vec::new()
        }
    };
    let not_exported = blocks.len().saturating_sub(committed.len());
    node.counters.add(Counter::BlocksExported, committed.len() as u64);
    node.counters.add(Counter::BlocksNotExported, not_exported as u64);
    for block in committed {
        node.placement.index.add_block(&exported_block(store.clone(), block), expires_at_ms);
    }
}

fn exported_block(store: HostName, block: CommittedBlock) -> CachedBlock {
    CachedBlock {
        key: block.key,
        store,
        name: block.name,
        length_bytes: block.length_bytes,
        checksum: block.checksum,
    }
}

async fn renew(node: &Node, plan: &ExportPlan, expires_in_ms: u64) {
    for renewal in &plan.renewals {
        let Some(store) = node.hosts.server(&renewal.store) else {
            continue;
        };
        let sent_at_ms = node.now_ms();
        let extended = node.clients.store.extend(store.address, &renewal.name, expires_in_ms).await;
        match extended {
            Ok(status) => {
                let expires_at_ms = sent_at_ms + status.expires_in_ms;
                let block = decide::to_cached_block(renewal.key, renewal.store.clone(), status);
                node.placement.index.add_block(&block, expires_at_ms);
            }
            Err(_) => node.placement.index.remove_block(&renewal.key, &renewal.store),
        }
    }
}
