//! Plans which blocks to export to store hosts, and which to renew there, after an attempt.

mod pressure;
mod return_rate;

use crate::chain::{SEGMENT_TOKENS, block_name};
use crate::index::ChainView;
use crate::rendezvous;
use protocol::ids::{ChainKey, HostName};

pub use crate::export::pressure::StorePressure;
pub use crate::export::return_rate::ReturnRates;

const MS_PER_S: f64 = 1_000.0;
const BYTES_PER_MEGABYTE: f64 = 1_000_000.0;
/// The share of the expiry time below which a block is renewed when its prompt returns.
const RENEWAL_SHARE: f64 = 0.5;

/// Describes a finished attempt and the inputs to the value of exporting its blocks.
#[derive(Clone, Debug)]
pub struct FinishedAttempt<'a> {
    /// The keys of the prompt's full segments in prompt order.
    pub chain: &'a [ChainKey],
    /// The cached blocks of the segments.
    pub view: &'a ChainView,
    /// The live store hosts of the server's region.
    pub live_stores: &'a [HostName],
    /// The bytes of KV cache that one token takes.
    pub kv_bytes_per_token: u64,
    /// The server's prefill rate.
    pub prefill_tokens_per_s: u64,
    /// The rate at which one store host delivers.
    pub store_bytes_per_s: u64,
    /// How long a store host retains a block after its last use.
    pub expiry_ms: u64,
    /// The probability that the prompt returns before its blocks expire.
    pub return_probability: f64,
    /// The current time.
    pub now_ms: u64,
}

/// Names one block to export.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BlockExport {
    /// The key of the block's segment.
    pub key: ChainKey,
    /// The store host to write to.
    pub store: HostName,
    /// The block's write-once name.
    pub name: String,
}

/// Names one block whose expiry time is to be extended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Renewal {
    /// The key of the block's segment.
    pub key: ChainKey,
    /// The store host.
    pub store: HostName,
    /// The block's name.
    pub name: String,
}

/// Lists the blocks to export and the blocks to renew, in prompt order.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ExportPlan {
    /// The blocks to export.
    pub exports: Vec<BlockExport>,
    /// The blocks to renew.
    pub renewals: Vec<Renewal>,
}

impl FinishedAttempt<'_> {
    /// Returns the expected number of prompt tokens whose prefill one megabyte on a store host
    /// saves.
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

/// Plans the exports and renewals of a finished attempt.
///
/// Each block goes to the first store host of its rendezvous ranking whose pressure allows the
/// block's value. The plan stops at the first block that no store host accepts, because the blocks
/// after it could not be used.
pub fn plan(attempt: &FinishedAttempt<'_>, pressure: &StorePressure) -> ExportPlan {
    let value = attempt.tokens_saved_per_megabyte();
    let mut plan = ExportPlan::default();
    for (position, key) in attempt.chain.iter().enumerate() {
        if let Some(copy) = attempt.view.importable.get(position).and_then(|copies| copies.first())
        {
            let remaining_ms = copy.expires_at_ms.saturating_sub(attempt.now_ms) as f64;
            let is_due = remaining_ms < RENEWAL_SHARE * attempt.expiry_ms as f64;
            if is_due && pressure.allows(&copy.store, value, attempt.now_ms) {
                let (store, name) = (copy.store.clone(), block_name(key));
                plan.renewals.push(Renewal { key: *key, store, name });
            }
            continue;
        }
        let ranked = rendezvous::stores_for_block(key, attempt.live_stores);
        let mut ranked = ranked.into_iter();
        let Some(store) = ranked.find(|store| pressure.allows(store, value, attempt.now_ms)) else {
            break;
        };
        let (store, name) = (store.clone(), block_name(key));
        plan.exports.push(BlockExport { key: *key, store, name });
    }
    plan
}
