//! Expected time to the first token on one server.

use super::{
    Candidate, Choice, ChoiceRequest, Explanation, ImportPiece, RegionPath, Route, Surroundings,
};
use crate::chain::PIECE_TOKENS;
use crate::index::KeptCopy;
use crate::load::LoadEstimate;

/// The time that one import takes besides its transfer, in milliseconds.
const IMPORT_OVERHEAD_MS: f64 = 2.0;
/// What a server in a failure domain that failed the request before counts more, in milliseconds.
const FAILED_DOMAIN_MS: f64 = 2_000.0;
/// What a kilobyte over the link between regions counts more, as it is paid by volume.
const LINK_PRICE_MS_PER_KILOBYTE: f64 = 2.0;
const BYTES_PER_KILOBYTE: f64 = 1_000.0;
const BITS_PER_BYTE: f64 = 8.0;
const MS_PER_S: f64 = 1_000.0;

/// Says how a prompt's work is brought about on a server.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Start {
    /// The leading pieces in the server's memory.
    pub cached_pieces: usize,
    /// The pieces that follow and are imported.
    pub imported_pieces: usize,
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
    copies: Vec<&'a KeptCopy>,
}

impl<'a> Cost<'a> {
    /// Works out the least cost over all numbers of imported pieces.
    pub(super) fn new(
        request: &ChoiceRequest<'_>,
        surroundings: &Surroundings<'a>,
        route: Route<'a>,
    ) -> Self {
        let mut cost = Self::without_imports(request, surroundings, route);
        cost.add_imports(request, surroundings);
        cost
    }

    /// Works out the cost if the server imports nothing.
    pub(super) fn without_imports(
        request: &ChoiceRequest<'_>,
        surroundings: &Surroundings<'a>,
        route: Route<'a>,
    ) -> Self {
        let candidate = route.candidate;
        let load = surroundings.loads.estimate(&candidate.host, surroundings.now_ms);
        let cached_pieces = surroundings.view.held_pieces(&candidate.host);
        Self {
            candidate,
            load,
            path_ms: path_ms(route.path, request.text_bytes),
            penalty_ms: price_ms(route.path, request.text_bytes)
                + failed_domain_ms(request, surroundings, candidate),
            start: recompute(request, cached_pieces, 0, load.prefill_tokens_per_s),
            copies: Vec::new(),
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

    pub(super) fn into_choice(
        self,
        request: &ChoiceRequest<'_>,
        explanation: Explanation,
    ) -> Choice {
        let keys = request.chain.iter().skip(self.start.cached_pieces);
        let imports = keys.zip(&self.copies).take(self.start.imported_pieces);
        Choice {
            server: self.candidate.host.clone(),
            cached_pieces: self.start.cached_pieces,
            imports: imports
                .map(|(key, copy)| ImportPiece { key: *key, copy: (*copy).clone() })
                .collect(),
            recomputed_tokens: self.start.recomputed_tokens,
            expected_first_token_ms: self.first_token_ms().ceil() as u64,
            explanation,
        }
    }

    /// Tries each number of pieces that can be imported one after the other. Where that is more than
    /// the server holds, it also imports those again: the import evicts what was unused for long,
    /// and without its first pieces a prompt is computed again.
    fn add_imports(&mut self, request: &ChoiceRequest<'_>, surroundings: &Surroundings<'a>) {
        self.add_imports_after(self.start.cached_pieces, request, surroundings);
        if self.start.cached_pieces == 0 || self.start.imported_pieces <= self.start.cached_pieces {
            return;
        }
        let mut whole = Self { copies: Vec::new(), ..self.clone() };
        whole.start = recompute(request, 0, 0, self.load.prefill_tokens_per_s);
        whole.add_imports_after(0, request, surroundings);
        if whole.start.recomputed_tokens <= self.start.recomputed_tokens {
            *self = whole;
        }
    }

    fn add_imports_after(
        &mut self,
        cached_pieces: usize,
        request: &ChoiceRequest<'_>,
        surroundings: &Surroundings<'a>,
    ) {
        let mut import_ms = 0.0;
        for copies in surroundings.view.kept.iter().skip(cached_pieces) {
            let Some((copy, copy_ms)) = fastest(copies, surroundings, self.candidate) else {
                break;
            };
            import_ms += copy_ms;
            self.copies.push(copy);
            let imported_pieces = self.copies.len();
            let rate = self.load.prefill_tokens_per_s;
            let split =
                Start { import_ms, ..recompute(request, cached_pieces, imported_pieces, rate) };
            if split.total_ms() < self.start.total_ms() {
                self.start = split;
            }
        }
    }
}

fn recompute(
    request: &ChoiceRequest<'_>,
    cached_pieces: usize,
    imported_pieces: usize,
    tokens_per_s: u64,
) -> Start {
    let present_tokens = ((cached_pieces + imported_pieces) * PIECE_TOKENS) as u64;
    let recomputed_tokens = request.prompt_tokens.saturating_sub(present_tokens);
    Start {
        cached_pieces,
        imported_pieces,
        recomputed_tokens,
        import_ms: 0.0,
        recompute_ms: recomputed_tokens as f64 * MS_PER_S / tokens_per_s as f64,
    }
}

/// Returns the copy that is read soonest; one in another region never crosses the link.
fn fastest<'a>(
    copies: &'a [KeptCopy],
    surroundings: &Surroundings<'_>,
    candidate: &Candidate,
) -> Option<(&'a KeptCopy, f64)> {
    let timed = copies.iter().filter_map(|copy| {
        let store = surroundings.stores.iter().find(|store| store.host == copy.store)?;
        let bytes = copy.length_bytes.saturating_add(store.pending_bytes);
        let transfer_ms = bytes as f64 * MS_PER_S / store.bytes_per_s.max(1) as f64;
        (store.region == candidate.region).then_some((copy, IMPORT_OVERHEAD_MS + transfer_ms))
    });
    timed.min_by(|(_, a_ms), (_, b_ms)| a_ms.total_cmp(b_ms))
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

fn failed_domain_ms(
    request: &ChoiceRequest<'_>,
    surroundings: &Surroundings<'_>,
    candidate: &Candidate,
) -> f64 {
    let failed = surroundings.candidates.iter().any(|other| {
        other.failure_domain == candidate.failure_domain && request.excluded.contains(&other.host)
    });
    if failed { FAILED_DOMAIN_MS } else { 0.0 }
}
