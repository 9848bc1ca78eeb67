//! The computation of prompts, one piece at a time.

use super::Core;
use super::cache::{CachedPiece, PrefixCache};
use super::life::Life;
use crate::answer::ModelState;
use crate::rate;
use crate::switch::lock;
use clients::wire::engine::{CompletionRequest, TEXT_BYTES_PER_TOKEN};
use protocol::ids::WeightVersion;
use std::cmp::Reverse;
use std::sync::{Arc, Weak};
use tokio::sync::oneshot;

/// The most tokens that are computed before the queue is looked at again.
const CHUNK_TOKENS: u64 = 2_000;

/// Tells what the computation of a prompt led to.
pub(super) struct Prefilled {
    /// The state after the prompt.
    pub(super) state: ModelState,
    /// The prompt tokens that came from the cache.
    pub(super) cached_tokens: u64,
}

/// Holds a prompt that is being computed.
pub(super) struct Job {
    request: Arc<CompletionRequest>,
    version: WeightVersion,
    arrival: u64,
    state: ModelState,
    next_piece: usize,
    done_bytes: usize,
    cached_tokens: u64,
    resumed_tokens: u64,
    done: oneshot::Sender<Prefilled>,
}

/// Holds the prompts that wait, and what is left of the one that is being computed.
#[derive(Default)]
pub(super) struct PrefillQueue {
    jobs: Vec<Job>,
    arrivals: u64,
    in_work_tokens: u64,
}

impl PrefillQueue {
    /// Adds a prompt and returns where the end of its computation is told.
    pub(super) fn push(
        &mut self,
        request: Arc<CompletionRequest>,
        version: WeightVersion,
    ) -> oneshot::Receiver<Prefilled> {
        let (done, finished) = oneshot::channel();
        self.arrivals += 1;
        self.jobs.push(Job {
            state: ModelState::new(&version),
            resumed_tokens: request.resume_at_token,
            request,
            version,
            arrival: self.arrivals,
            next_piece: 0,
            done_bytes: 0,
            cached_tokens: 0,
            done,
        });
        finished
    }

    /// Returns how many prompt tokens are still to be computed.
    pub(super) fn missing_tokens(&self, cache: &PrefixCache) -> u64 {
        let waiting = self.jobs.iter().filter(|job| !job.done.is_closed());
        self.in_work_tokens + waiting.map(|job| job.missing_tokens(cache)).sum::<u64>()
    }

    fn take_first(&mut self) -> Option<Job> {
        self.jobs.retain(|job| !job.done.is_closed());
        let rank = |job: &Job| (job.request.priority, Reverse(job.arrival));
        let (first, _) = self.jobs.iter().enumerate().max_by_key(|(_, job)| rank(job))?;
        Some(self.jobs.swap_remove(first))
    }
}

/// Returns how many tokens some bytes of text count as.
pub(super) fn tokens(text_bytes: usize) -> u64 {
    text_bytes.div_ceil(TEXT_BYTES_PER_TOKEN) as u64
}

impl Job {
    fn missing_tokens(&self, cache: &PrefixCache) -> u64 {
        let pieces = self.request.segments.iter().skip(self.next_piece);
        let salt = &self.request.cache_salt;
        let held = pieces.take_while(|piece| cache.holds(&piece.key, &self.version, salt));
        let held_to = held.last().map_or(self.done_bytes, |piece| piece.end_byte);
        tokens(self.request.prompt.len() - held_to) + self.resumed_tokens
    }

    /// Goes on to the end of the leading pieces that are cached.
    fn skip_cached(&mut self, cache: &mut PrefixCache) {
        while let Some(piece) = self.request.segments.get(self.next_piece) {
            let Some(cached) = cache.use_piece(&piece.key, &self.version, &self.request.cache_salt)
            else {
                return;
            };
            self.state = cached.state;
            self.cached_tokens += tokens(piece.end_byte - self.done_bytes);
            self.done_bytes = piece.end_byte;
            self.next_piece += 1;
        }
    }

    /// Returns the next tokens to compute; zero if the prompt is done.
    fn next_chunk_tokens(&self) -> u64 {
        match self.request.segments.get(self.next_piece) {
            Some(piece) => tokens(piece.end_byte - self.done_bytes),
            None => {
                let rest = tokens(self.request.prompt.len() - self.done_bytes);
                (rest + self.resumed_tokens).min(CHUNK_TOKENS)
            }
        }
    }

    /// Takes a computed chunk into account.
    fn finish_chunk(&mut self, chunk_tokens: u64, life: &Life) {
        let text = self.request.prompt.as_bytes();
        let Some(piece) = self.request.segments.get(self.next_piece) else {
            self.finish_rest(chunk_tokens);
            return;
        };
        self.state = self.state.after(&text[self.done_bytes..piece.end_byte]);
        self.done_bytes = piece.end_byte;
        self.next_piece += 1;
        let cached = CachedPiece {
            weight_version: self.version.clone(),
            cache_salt: Some(self.request.cache_salt.clone()),
            state: self.state,
            tokens: chunk_tokens,
        };
        if life.weight_version() == self.version {
            lock(&life.cache).insert(piece.key, cached);
        }
    }

    fn finish_rest(&mut self, chunk_tokens: u64) {
        let text = self.request.prompt.as_bytes();
        let chunk_bytes =
            usize::try_from(chunk_tokens).unwrap_or(usize::MAX) * TEXT_BYTES_PER_TOKEN;
        let end = text.len().min(self.done_bytes.saturating_add(chunk_bytes));
        let text_tokens = tokens(end - self.done_bytes);
        self.state = self.state.after(&text[self.done_bytes..end]);
        self.done_bytes = end;
        self.resumed_tokens -= self.resumed_tokens.min(chunk_tokens - text_tokens);
    }

    fn finish(self, core: &Core) {
        let prompt_tokens = tokens(self.request.prompt.len());
        core.count(|counters| {
            counters.prompt_tokens += prompt_tokens;
            counters.cached_tokens += self.cached_tokens;
        });
        let _ = self.done.send(Prefilled { state: self.state, cached_tokens: self.cached_tokens });
    }
}

/// Computes queued prompts until the life ends.
pub(super) async fn work(core: Weak<Core>, life: Arc<Life>) {
    loop {
        let changed = life.queue_changed.notified();
        let job = take_job(&life);
        let Some(job) = job else {
            changed.await;
            continue;
        };
        let Some(core) = core.upgrade() else {
            return;
        };
        if !step(&core, &life, job).await {
            return;
        }
    }
}

fn take_job(life: &Life) -> Option<Job> {
    if lock(&life.weights).is_loading() {
        return None;
    }
    lock(&life.queue).take_first()
}

/// Computes one chunk; returns whether the engine is still alive.
async fn step(core: &Arc<Core>, life: &Life, mut job: Job) -> bool {
    let faults = core.faults.get();
    if faults.crash_marker.is_some_and(|marker| job.request.prompt.contains(&marker)) {
        core.crash(faults.restart_after_ms);
        return false;
    }
    job.skip_cached(&mut lock(&life.cache));
    let chunk_tokens = job.next_chunk_tokens();
    if chunk_tokens > 0 {
        let missing_tokens = job.missing_tokens(&lock(&life.cache));
        lock(&life.queue).in_work_tokens = missing_tokens;
        tokio::time::sleep(rate::duration(chunk_tokens, core.config.prefill_rate.value())).await;
        lock(&life.queue).in_work_tokens = 0;
        job.finish_chunk(chunk_tokens, life);
    }
    if job.next_chunk_tokens() == 0 {
        job.finish(core);
    } else {
        lock(&life.queue).jobs.push(job);
    }
    true
}
