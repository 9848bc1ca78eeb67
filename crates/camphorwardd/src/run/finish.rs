//! What the home of a prompt does when an attempt finished: notes its traces, exports its pieces.

use crate::constants::EXPORT_TIMEOUT;
use crate::counters::Counter;
use crate::node::Node;
use crate::run::decide::{self, StoreSite};
use clients::wire::engine::{CommittedBlock, Export, ExportBlock};
use placement::export::{BlockExport, ExportPlan, FinishedAttempt, plan};
use placement::single_flight::{Role, Transfer};
use protocol::ids::{AttemptId, HostName};
use protocol::message::place::{CachedBlock, FinishedNotice};
use settings::services::ModelService;
use std::collections::BTreeMap;

/// The chance that a prompt returns, until returns are counted.
const RETURN_CHANCE: f64 = 0.5;

/// Takes in the end of an attempt whose prompt has its home here.
pub(crate) async fn take_notice(node: &Node, notice: FinishedNotice) {
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
    // The home in the server's own region exports: it decided, and follows the server's memory.
    if server.region != node.settings.region {
        return;
    }
    let site = StoreSite::find(node, &directory, model);
    let expiry_ms = site.expiry_ms();
    let plan = plan_exports(node, notice, model, &site, &site.hosts_in(&server.region));
    renew(node, &plan, expiry_ms).await;
    for (store, pieces) in by_store(plan.exports) {
        let claimed = claim(node, &notice.attempt_id, pieces);
        export_to(node, notice, &store, &claimed, expiry_ms).await;
        release(node, &notice.attempt_id, &claimed);
    }
}

fn plan_exports(
    node: &Node,
    notice: &FinishedNotice,
    model: &ModelService,
    site: &StoreSite,
    live_stores: &[HostName],
) -> ExportPlan {
    let now_ms = node.now_ms();
    let view = node.placement.index.view(&notice.chain, site.bytes_per_s(), now_ms);
    let run = FinishedAttempt {
        chain: &notice.chain,
        view: &view,
        live_stores,
        kv_bytes_per_token: model.kv_bytes_per_token,
        prefill_tokens_per_s: prefill_rate(node, &notice.server),
        store_bytes_per_s: site.bytes_per_s(),
        expiry_ms: site.expiry_ms(),
        return_probability: RETURN_CHANCE,
        now_ms,
    };
    plan(&run, &node.placement.lock_pressure())
}

fn prefill_rate(node: &Node, server: &HostName) -> u64 {
    node.placement.loads.estimate(server, node.now_ms()).prefill_tokens_per_s
}

fn by_store(pieces: Vec<BlockExport>) -> BTreeMap<HostName, Vec<BlockExport>> {
    let mut groups: BTreeMap<HostName, Vec<BlockExport>> = BTreeMap::new();
    for piece in pieces {
        groups.entry(piece.store.clone()).or_default().push(piece);
    }
    groups
}

/// Keeps the pieces whose export nobody else has under way.
fn claim(node: &Node, attempt_id: &AttemptId, pieces: Vec<BlockExport>) -> Vec<BlockExport> {
    let bound_ms = u64::try_from(EXPORT_TIMEOUT.as_millis()).unwrap_or(u64::MAX);
    let now_ms = node.now_ms();
    let mut transfers = node.placement.lock_transfers();
    let mut leads = |piece: &BlockExport| {
        let transfer = Transfer::Export { key: piece.key };
        transfers.join(transfer, attempt_id, bound_ms, now_ms) == Role::Leader
    };
    pieces.into_iter().filter(|piece| leads(piece)).collect()
}

fn release(node: &Node, attempt_id: &AttemptId, pieces: &[BlockExport]) {
    let mut transfers = node.placement.lock_transfers();
    for piece in pieces {
        transfers.finish(&Transfer::Export { key: piece.key }, attempt_id);
    }
}

async fn export_to(
    node: &Node,
    notice: &FinishedNotice,
    store: &HostName,
    pieces: &[BlockExport],
    expires_in_ms: u64,
) {
    let (Some(server), Some(store_host)) =
        (node.hosts.server(&notice.server), node.hosts.server(store))
    else {
        return;
    };
    if pieces.is_empty() {
        return;
    }
    let to_block = |piece: &BlockExport| ExportBlock { key: piece.key, name: piece.name.clone() };
    let export = Export {
        attempt_id: notice.attempt_id.clone(),
        store: store_host.address,
        expires_in_ms,
        blocks: pieces.iter().map(to_block).collect(),
    };
    // The store counts a block's life from its commit, which may be long before the answer.
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
    let lost = pieces.len().saturating_sub(committed.len());
    node.counters.add(Counter::PiecesExported, committed.len() as u64);
    node.counters.add(Counter::PiecesNotExported, lost as u64);
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
        let asked_at_ms = node.now_ms();
        let extended = node.clients.store.extend(store.address, &renewal.name, expires_in_ms).await;
        match extended {
            Ok(status) => {
                let expires_at_ms = asked_at_ms + status.expires_in_ms;
                let block = decide::to_kept(renewal.key, renewal.store.clone(), status);
                node.placement.index.add_block(&block, expires_at_ms);
            }
            Err(_) => node.placement.index.remove_block(&renewal.key, &renewal.store),
        }
    }
}
