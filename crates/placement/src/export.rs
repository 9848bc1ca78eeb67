//! Which pieces to export when a run ends, and which kept blocks to renew.

mod chance;
mod pressure;

use crate::chain::{SEGMENT_TOKENS, block_name};
use crate::index::ChainView;
use crate::rendezvous;
use protocol::ids::{ChainKey, HostName};

pub use crate::export::chance::ReturnChances;
pub use crate::export::pressure::StorePressure;

const MS_PER_S: f64 = 1_000.0;
const BYTES_PER_MEGABYTE: f64 = 1_000_000.0;
/// The part of a block's life below which it is renewed when its prompt returns.
const RENEWAL_SHARE: f64 = 0.5;

/// Describes a run that ended and what its kept work is worth.
#[derive(Clone, Debug)]
pub struct FinishedAttempt<'a> {
    /// The keys of the prompt's whole pieces, first piece first.
    pub chain: &'a [ChainKey],
    /// What is known of the pieces.
    pub view: &'a ChainView,
    /// The live store hosts of the server's region.
    pub live_stores: &'a [HostName],
    /// The bytes of KV cache that one token takes.
    pub kv_bytes_per_token: u64,
    /// The rate at which the server computes prompt tokens.
    pub prefill_tokens_per_s: u64,
    /// What one store host delivers.
    pub store_bytes_per_s: u64,
    /// How long a block is kept after its last use.
    pub expiry_ms: u64,
    /// How likely the prompt returns before that.
    pub return_probability: f64,
    /// The present moment.
    pub now_ms: u64,
}

/// Names one block to write.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BlockExport {
    /// The piece.
    pub key: ChainKey,
    /// The store host to write to.
    pub store: HostName,
    /// The block's write-once name.
    pub name: String,
}

/// Names one block whose life is to be extended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Renewal {
    /// The piece.
    pub key: ChainKey,
    /// The store host.
    pub store: HostName,
    /// The block's name.
    pub name: String,
}

/// Lists what to write and what to renew, first piece first.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ExportPlan {
    /// Blocks to write.
    pub exports: Vec<BlockExport>,
    /// Blocks to renew.
    pub renewals: Vec<Renewal>,
}

impl FinishedAttempt<'_> {
    /// Returns the prompt tokens that one kept megabyte is expected to save.
    pub fn tokens_saved_per_megabyte(&self) -> f64 {
        if !self.import_beats_recompute() {
            return 0.0;
        }
        self.return_probability * SEGMENT_TOKENS as f64 * BYTES_PER_MEGABYTE
            / self.block_bytes().max(1) as f64
    }

    fn block_bytes(&self) -> u64 {
        self.kv_bytes_per_token.saturating_mul(SEGMENT_TOKENS as u64)
    }

    fn import_beats_recompute(&self) -> bool {
        let import_ms = self.block_bytes() as f64 * MS_PER_S / self.store_bytes_per_s.max(1) as f64;
        let recompute_ms =
            SEGMENT_TOKENS as f64 * MS_PER_S / self.prefill_tokens_per_s.max(1) as f64;
        import_ms < recompute_ms
    }
}

/// Plans the exports of a run that ended.
///
/// Each piece goes to the first store host of its rendezvous ranking whose pressure allows its
/// value. The plan stops at the first piece that no store host takes, since the ones behind it
/// could not be used.
pub fn plan(run: &FinishedAttempt<'_>, pressure: &StorePressure) -> ExportPlan {
    let value = run.tokens_saved_per_megabyte();
    let mut plan = ExportPlan::default();
    for (position, key) in run.chain.iter().enumerate() {
        if let Some(copy) = run.view.importable.get(position).and_then(|copies| copies.first()) {
            let remaining_ms = copy.expires_at_ms.saturating_sub(run.now_ms) as f64;
            let is_due = remaining_ms < RENEWAL_SHARE * run.expiry_ms as f64;
            if is_due && pressure.allows(&copy.store, value, run.now_ms) {
                let (store, name) = (copy.store.clone(), block_name(key));
                plan.renewals.push(Renewal { key: *key, store, name });
            }
            continue;
        }
        let ranked = rendezvous::stores_for_block(key, run.live_stores);
        let mut taking = ranked.into_iter();
        let Some(store) = taking.find(|store| pressure.allows(store, value, run.now_ms)) else {
            break;
        };
        let (store, name) = (store.clone(), block_name(key));
        plan.exports.push(BlockExport { key: *key, store, name });
    }
    plan
}
