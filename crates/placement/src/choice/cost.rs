//! Estimates the time to first token on one server.

use super::context::ChoiceContext;
use super::{BlockImport, Candidate, Choice, ChoiceRequest, Explanation, RegionPath, Route};
use crate::chain::SEGMENT_TOKENS;
use crate::load::LoadEstimate;

/// The penalty per kilobyte sent over the link between regions, which is paid by volume.
const LINK_PRICE_MS_PER_KILOBYTE: f64 = 2.0;
const BYTES_PER_KILOBYTE: f64 = 1_000.0;
const BITS_PER_BYTE: f64 = 8.0;
const MS_PER_S: f64 = 1_000.0;

/// Describes how a server obtains the KV cache of a prompt: from memory, by import or by prefill.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PrefillPlan {
    /// The number of leading blocks in the server's memory.
    pub cached_blocks: usize,
    /// The number of blocks after these that are imported.
    pub imported_blocks: usize,
    /// The prompt tokens that the server has to prefill.
    pub recomputed_tokens: u64,
    /// The time for the imports, in milliseconds.
    pub import_ms: f64,
    /// The time for the prefill, in milliseconds.
    pub recompute_ms: f64,
}

impl PrefillPlan {
    fn total_ms(&self) -> f64 {
        self.import_ms + self.recompute_ms
    }
}

/// Holds the components of the expected time to first token on one server.
#[derive(Clone, Debug)]
pub struct Cost<'a> {
    /// The server.
    pub candidate: &'a Candidate,
    /// The server's load.
    pub load: LoadEstimate,
    /// The network round trip, including the text's transfer and the wait for the link's byte
    /// budget.
    pub path_ms: f64,
    /// The penalty for the link's price and for a failure domain where the request failed before.
    pub penalty_ms: f64,
    /// How the server obtains the prompt's KV cache.
    pub prefill: PrefillPlan,
}

impl<'a> Cost<'a> {
    /// Computes the lowest cost over all numbers of imported blocks.
    pub(super) fn new(context: &ChoiceContext<'a>, route: Route<'a>) -> Self {
        let mut cost = Self::without_imports(context, route);
        cost.add_imports(context);
        cost
    }

    /// Computes the cost without any import.
    pub(super) fn without_imports(context: &ChoiceContext<'a>, route: Route<'a>) -> Self {
        let candidate = route.candidate;
        let cluster = context.cluster;
        let load = cluster.loads.estimate(&candidate.host, cluster.now_ms);
        let cached_blocks = cluster.view.cached_blocks(&candidate.host);
        let text_bytes = context.request.text_bytes;
        Self {
            candidate,
            load,
            path_ms: path_ms(route.path, text_bytes),
            penalty_ms: link_penalty_ms(route.path, text_bytes)
                + context.failed_domain_penalty_ms(&candidate.failure_domain),
            prefill: prefill_plan(context.request, cached_blocks, 0, load.prefill_tokens_per_s),
        }
    }

    /// Returns the expected time to first token.
    pub fn first_token_ms(&self) -> f64 {
        self.path_ms + self.load.queue_ms + self.prefill.total_ms()
    }

    /// Returns the total by which servers are compared: the time to first token plus the penalty.
    pub fn total_ms(&self) -> f64 {
        self.first_token_ms() + self.penalty_ms
    }

    pub(super) fn into_choice(
        self,
        context: &ChoiceContext<'a>,
        explanation: Explanation,
    ) -> Choice {
        let keys = context.request.chain.iter().skip(self.prefill.cached_blocks);
        let imports = keys.zip(context.imports(&self.candidate.region, self.prefill.cached_blocks));
        Choice {
            server: self.candidate.host.clone(),
            cached_blocks: self.prefill.cached_blocks,
            imports: imports
                .take(self.prefill.imported_blocks)
                .map(|(key, import)| BlockImport { key: *key, copy: import.copy.clone() })
                .collect(),
            recomputed_tokens: self.prefill.recomputed_tokens,
            expected_first_token_ms: self.first_token_ms().ceil() as u64,
            expected_queue_ms: self.load.queue_ms.ceil() as u64,
            expected_import_ms: self.prefill.import_ms.ceil() as u64,
            explanation,
        }
    }

    /// Selects the number of blocks to import after the cached ones.
    ///
    /// If more blocks are imported than the server holds, the cached ones are imported again as
    /// well, unless that leaves more tokens to prefill. The imports evict the least recently used
    /// blocks, and a prompt whose first blocks were evicted is prefilled again.
    fn add_imports(&mut self, context: &ChoiceContext<'a>) {
        self.add_imports_after(self.prefill.cached_blocks, context);
        if self.prefill.cached_blocks == 0
            || self.prefill.imported_blocks <= self.prefill.cached_blocks
        {
            return;
        }
        let mut full_import = self.clone();
        full_import.prefill = prefill_plan(context.request, 0, 0, self.load.prefill_tokens_per_s);
        full_import.add_imports_after(0, context);
        if full_import.prefill.recomputed_tokens <= self.prefill.recomputed_tokens {
            *self = full_import;
        }
    }

    fn add_imports_after(&mut self, cached_blocks: usize, context: &ChoiceContext<'a>) {
        let rate = self.load.prefill_tokens_per_s;
        let mut import_ms = 0.0;
        for (position, import) in context.imports(&self.candidate.region, cached_blocks).enumerate()
        {
            import_ms += import.time_ms;
            let plan = PrefillPlan {
                import_ms,
                ..prefill_plan(context.request, cached_blocks, position + 1, rate)
            };
            if plan.total_ms() < self.prefill.total_ms() {
                self.prefill = plan;
            }
        }
    }
}

fn prefill_plan(
    request: &ChoiceRequest<'_>,
    cached_blocks: usize,
    imported_blocks: usize,
    tokens_per_s: u64,
) -> PrefillPlan {
    let reused_tokens = ((cached_blocks + imported_blocks) * SEGMENT_TOKENS) as u64;
    let recomputed_tokens = request.prompt_tokens.saturating_sub(reused_tokens);
    PrefillPlan {
        cached_blocks,
        imported_blocks,
        recomputed_tokens,
        import_ms: 0.0,
        recompute_ms: recomputed_tokens as f64 * MS_PER_S / tokens_per_s as f64,
    }
}

fn path_ms(path: &RegionPath, text_bytes: u64) -> f64 {
    let transfer_ms = path.bits_per_s.map_or(0.0, |bits_per_s| {
        text_bytes as f64 * BITS_PER_BYTE * MS_PER_S / bits_per_s.max(1) as f64
    });
    2.0 * path.delay_ms + path.wait_ms + transfer_ms
}

fn link_penalty_ms(path: &RegionPath, text_bytes: u64) -> f64 {
    path.bits_per_s.map_or(0.0, |_| link_price_ms(text_bytes))
}

/// Returns the penalty for sending a text over the link between regions, on top of the time it
/// takes.
pub fn link_price_ms(text_bytes: u64) -> f64 {
    text_bytes as f64 / BYTES_PER_KILOBYTE * LINK_PRICE_MS_PER_KILOBYTE
}
