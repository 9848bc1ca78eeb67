//! The prefill of prompts, one segment at a time.

use super::Core;
use super::cache::{CachedBlock, PrefixCache};
use super::instance::Instance;
use crate::answer::ModelState;
use crate::rate;
use crate::switch::lock;
use clients::wire::engine::{CompletionRequest, TEXT_BYTES_PER_TOKEN};
use protocol::ids::WeightVersion;
use std::cmp::Reverse;
use std::sync::{Arc, Weak};
use tokio::sync::oneshot;

/// Maximum number of tokens in a chunk of the text after the last segment. A segment is one chunk;
/// the queue is checked after each chunk.
const MAX_CHUNK_TOKENS: u64 = 2_000;

/// The result of a prefill.
pub(super) struct Prefilled {
    /// The state after the prompt.
    pub(super) state: ModelState,
    /// The number of prompt tokens that came from the cache.
    pub(super) cached_tokens: u64,
}

/// A prompt that is queued or being prefilled.
pub(super) struct Job {
    request: Arc<CompletionRequest>,
    version: WeightVersion,
    arrival: u64,
    state: ModelState,
    next_segment: usize,
    done_bytes: usize,
    cached_tokens: u64,
    resumed_tokens: u64,
    result_sender: oneshot::Sender<Prefilled>,
}

/// The queued prompts, and the remaining tokens of the one in progress.
#[derive(Default)]
pub(super) struct PrefillQueue {
    jobs: Vec<Job>,
    arrivals: u64,
    in_progress_tokens: u64,
}

impl PrefillQueue {
    /// Adds a prompt and returns the receiver of its result.
    pub(super) fn push(
        &mut self,
        request: Arc<CompletionRequest>,
        version: WeightVersion,
    ) -> oneshot::Receiver<Prefilled> {
        let (result_sender, result) = oneshot::channel();
        self.arrivals += 1;
        self.jobs.push(Job {
            state: ModelState::new(&version),
            resumed_tokens: request.resume_at_token,
            request,
            version,
            arrival: self.arrivals,
            next_segment: 0,
            done_bytes: 0,
            cached_tokens: 0,
            result_sender,
        });
        result
    }

    /// Returns how many prompt tokens are still to be prefilled.
    pub(super) fn remaining_tokens(&self, cache: &PrefixCache) -> u64 {
        let queued = self.jobs.iter().filter(|job| !job.result_sender.is_closed());
        self.in_progress_tokens + queued.map(|job| job.remaining_tokens(cache)).sum::<u64>()
    }

    fn take_next(&mut self) -> Option<Job> {
        self.jobs.retain(|job| !job.result_sender.is_closed());
        let priority = |job: &Job| (job.request.priority, Reverse(job.arrival));
        let (index, _) = self.jobs.iter().enumerate().max_by_key(|(_, job)| priority(job))?;
        Some(self.jobs.swap_remove(index))
    }
}

/// Returns the number of tokens in a text of the given size.
pub(super) fn tokens(text_bytes: usize) -> u64 {
    text_bytes.div_ceil(TEXT_BYTES_PER_TOKEN) as u64
}

impl Job {
    fn remaining_tokens(&self, cache: &PrefixCache) -> u64 {
        let segments = self.request.segments.iter().skip(self.next_segment);
        let salt = &self.request.cache_salt;
        let cached = segments.take_while(|s| cache.contains(&s.key, &self.version, salt));
        let cached_end = cached.last().map_or(self.done_bytes, |segment| segment.end_byte);
        tokens(self.request.prompt.len() - cached_end) + self.resumed_tokens
    }

    /// Advances past the leading segments that are cached.
    fn skip_cached(&mut self, cache: &mut PrefixCache) {
        while let Some(segment) = self.request.segments.get(self.next_segment) {
            let Some(cached) =
                cache.use_block(&segment.key, &self.version, &self.request.cache_salt)
            else {
                return;
            };
            self.state = cached.state;
            self.cached_tokens += tokens(segment.end_byte - self.done_bytes);
            self.done_bytes = segment.end_byte;
            self.next_segment += 1;
        }
    }

    /// Returns the number of tokens in the next chunk; zero if the prefill is complete.
    fn next_chunk_tokens(&self) -> u64 {
        match self.request.segments.get(self.next_segment) {
            Some(segment) => tokens(segment.end_byte - self.done_bytes),
            None => {
                let rest = tokens(self.request.prompt.len() - self.done_bytes);
                (rest + self.resumed_tokens).min(MAX_CHUNK_TOKENS)
            }
        }
    }

    /// Advances past a prefilled chunk and caches the block of a completed segment.
    fn finish_chunk(&mut self, chunk_tokens: u64, instance: &Instance) {
        let text = self.request.prompt.as_bytes();
        let Some(segment) = self.request.segments.get(self.next_segment) else {
            self.finish_rest(chunk_tokens);
            return;
        };
        self.state = self.state.after(&text[self.done_bytes..segment.end_byte]);
        self.done_bytes = segment.end_byte;
        self.next_segment += 1;
        let cached = CachedBlock {
            weight_version: self.version.clone(),
            cache_salt: Some(self.request.cache_salt.clone()),
            state: self.state,
            tokens: chunk_tokens,
        };
        if instance.weight_version() == self.version {
            lock(&instance.cache).insert(segment.key, cached);
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
        let _ = self
            .result_sender
            .send(Prefilled { state: self.state, cached_tokens: self.cached_tokens });
    }
}

/// Prefills queued prompts until the instance ends.
pub(super) async fn run(core: Weak<Core>, instance: Arc<Instance>) {
    loop {
        let changed = instance.queue_changed.notified();
        let job = take_job(&instance);
        let Some(job) = job else {
            changed.await;
            continue;
        };
        let Some(core) = core.upgrade() else {
            return;
        };
        if !step(&core, &instance, job).await {
            return;
        }
    }
}

fn take_job(instance: &Instance) -> Option<Job> {
    if lock(&instance.weights).is_loading() {
        return None;
    }
    lock(&instance.queue).take_next()
}

/// Prefills one chunk; returns false if the engine crashed.
async fn step(core: &Arc<Core>, instance: &Instance, mut job: Job) -> bool {
    let faults = core.faults.get();
    if faults.crash_marker.is_some_and(|marker| job.request.prompt.contains(&marker)) {
        core.crash(faults.restart_after_ms);
        return false;
    }
    job.skip_cached(&mut lock(&instance.cache));
    let chunk_tokens = job.next_chunk_tokens();
    if chunk_tokens > 0 {
        let remaining_tokens = job.remaining_tokens(&lock(&instance.cache));
        lock(&instance.queue).in_progress_tokens = remaining_tokens;
        tokio::time::sleep(rate::duration(chunk_tokens, core.config.prefill_rate.value())).await;
        lock(&instance.queue).in_progress_tokens = 0;
        job.finish_chunk(chunk_tokens, instance);
    }
    if job.next_chunk_tokens() == 0 {
        job.finish(core);
    } else {
        lock(&instance.queue).jobs.push(job);
    }
    true
}
