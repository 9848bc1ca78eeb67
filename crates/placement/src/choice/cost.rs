//! Expected time to the first token on one server.

use super::scene::Scene;
use super::{BlockImport, Candidate, Choice, ChoiceRequest, Explanation, RegionPath, Route};
use crate::chain::SEGMENT_TOKENS;
use crate::load::LoadEstimate;

/// What a kilobyte over the link between regions counts more, as it is paid by volume.
const LINK_PRICE_MS_PER_KILOBYTE: f64 = 2.0;
const BYTES_PER_KILOBYTE: f64 = 1_000.0;
const BITS_PER_BYTE: f64 = 8.0;
const MS_PER_S: f64 = 1_000.0;

/// Says how a prompt's work is brought about on a server.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Start {
    /// The leading pieces in the server's memory.
    pub cached_blocks: usize,
    /// The pieces that follow and are imported.
    pub imported_blocks: usize,
    /// The tokens that are computed.
    pub recomputed_tokens: u64,
    /// The time for the imports.
    pub import_ms: f64,
    /// The time for the computation.
    pub recompute_ms: f64,
}

impl Start {
    fn total_ms(&self) -> f64 {
        self.import_ms + self.recompute_ms
    }
}

/// Holds the parts of the expected time to the first token on one server.
#[derive(Clone, Debug)]
pub struct Cost<'a> {
    /// The server.
    pub candidate: &'a Candidate,
    /// The server's load.
    pub load: LoadEstimate,
    /// The time on the way there and back, the wait for the link's budget included.
    pub path_ms: f64,
    /// What counts more for the link's price and for a failure domain that failed before.
    pub penalty_ms: f64,
    /// How the prompt's work is brought about.
    pub start: Start,
}

impl<'a> Cost<'a> {
    /// Works out the least cost over all numbers of imported pieces.
    pub(super) fn new(scene: &Scene<'a>, route: Route<'a>) -> Self {
        let mut cost = Self::without_imports(scene, route);
        cost.add_imports(scene);
        cost
    }

    /// Works out the cost if the server imports nothing.
    pub(super) fn without_imports(scene: &Scene<'a>, route: Route<'a>) -> Self {
        let candidate = route.candidate;
        let surroundings = scene.surroundings;
        let load = surroundings.loads.estimate(&candidate.host, surroundings.now_ms);
        let cached_blocks = surroundings.view.held_pieces(&candidate.host);
        let text_bytes = scene.request.text_bytes;
        Self {
            candidate,
            load,
            path_ms: path_ms(route.path, text_bytes),
            penalty_ms: price_ms(route.path, text_bytes)
                + scene.failed_domain_ms(&candidate.failure_domain),
            start: recompute(scene.request, cached_blocks, 0, load.prefill_tokens_per_s),
        }
    }

    /// Returns the expected time to the first token.
    pub fn first_token_ms(&self) -> f64 {
        self.path_ms + self.load.queue_ms + self.start.total_ms()
    }

    /// Returns the figure by which servers are compared.
    pub fn total_ms(&self) -> f64 {
        self.first_token_ms() + self.penalty_ms
    }

    pub(super) fn into_choice(self, scene: &Scene<'a>, explanation: Explanation) -> Choice {
        let keys = scene.request.chain.iter().skip(self.start.cached_blocks);
        let imports = keys.zip(scene.imports(&self.candidate.region, self.start.cached_blocks));
        Choice {
            server: self.candidate.host.clone(),
            cached_blocks: self.start.cached_blocks,
            imports: imports
                .take(self.start.imported_blocks)
                .map(|(key, import)| BlockImport { key: *key, copy: import.copy.clone() })
                .collect(),
            recomputed_tokens: self.start.recomputed_tokens,
            expected_first_token_ms: self.first_token_ms().ceil() as u64,
            expected_queue_ms: self.load.queue_ms.ceil() as u64,
            expected_import_ms: self.start.import_ms.ceil() as u64,
            explanation,
        }
    }

    /// Tries each number of pieces that can be imported one after the other. Where that is more than
    /// the server holds, it also imports those again: the import evicts what was unused for long,
    /// and without its first pieces a prompt is computed again.
    fn add_imports(&mut self, scene: &Scene<'a>) {
        self.add_imports_after(self.start.cached_blocks, scene);
        if self.start.cached_blocks == 0 || self.start.imported_blocks <= self.start.cached_blocks {
            return;
        }
        let mut whole = self.clone();
        whole.start = recompute(scene.request, 0, 0, self.load.prefill_tokens_per_s);
        whole.add_imports_after(0, scene);
        if whole.start.recomputed_tokens <= self.start.recomputed_tokens {
            *self = whole;
        }
    }

    fn add_imports_after(&mut self, cached_blocks: usize, scene: &Scene<'a>) {
        let rate = self.load.prefill_tokens_per_s;
        let mut import_ms = 0.0;
        for (position, import) in scene.imports(&self.candidate.region, cached_blocks).enumerate() {
            import_ms += import.time_ms;
            let split =
                Start { import_ms, ..recompute(scene.request, cached_blocks, position + 1, rate) };
            if split.total_ms() < self.start.total_ms() {
                self.start = split;
            }
        }
    }
}

fn recompute(
    request: &ChoiceRequest<'_>,
    cached_blocks: usize,
    imported_blocks: usize,
    tokens_per_s: u64,
) -> Start {
    let present_tokens = ((cached_blocks + imported_blocks) * SEGMENT_TOKENS) as u64;
    let recomputed_tokens = request.prompt_tokens.saturating_sub(present_tokens);
    Start {
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

fn price_ms(path: &RegionPath, text_bytes: u64) -> f64 {
    path.bits_per_s.map_or(0.0, |_| link_price_ms(text_bytes))
}

/// Returns what a text's way over the link between regions counts more than its time.
pub fn link_price_ms(text_bytes: u64) -> f64 {
    text_bytes as f64 / BYTES_PER_KILOBYTE * LINK_PRICE_MS_PER_KILOBYTE
}
