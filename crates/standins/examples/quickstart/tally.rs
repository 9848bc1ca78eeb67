//! Counts of requests and answers, and histograms of latencies, under one policy.

use hdrhistogram::Histogram;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Upper bound of the histograms of the time to first token, in microseconds.
const MAX_US: u64 = 600_000_000;
/// Significant decimal digits of the histograms.
const SIGNIFICANT_DIGITS: u8 = 3;
const US_PER_MS: f64 = 1_000.0;

/// The counts and latencies of one policy, as the callers observe them.
pub struct Tally {
    requests: AtomicU64,
    answered: AtomicU64,
    wrong: AtomicU64,
    lost: AtomicU64,
    prompt_tokens: AtomicU64,
    new_tokens: AtomicU64,
    first_token_us: Mutex<Histogram<u64>>,
    returning_us: Mutex<Histogram<u64>>,
}

impl Tally {
    /// Creates an empty tally.
    ///
    /// # Errors
    ///
    /// Returns an error if the histogram library rejects the bounds.
    pub fn new() -> eyre::Result<Self> {
        Ok(Self {
            requests: AtomicU64::new(0),
            answered: AtomicU64::new(0),
            wrong: AtomicU64::new(0),
            lost: AtomicU64::new(0),
            prompt_tokens: AtomicU64::new(0),
            new_tokens: AtomicU64::new(0),
            first_token_us: Mutex::new(Histogram::new_with_bounds(1, MAX_US, SIGNIFICANT_DIGITS)?),
            returning_us: Mutex::new(Histogram::new_with_bounds(1, MAX_US, SIGNIFICANT_DIGITS)?),
        })
    }

    /// Counts a request, whatever its outcome.
    pub fn count_request(&self) {
        self.requests.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts the tokens of a prompt, and those that no earlier prompt of the run contained.
    pub fn count_prompt(&self, prompt_tokens: u64, new_tokens: u64) {
        self.prompt_tokens.fetch_add(prompt_tokens, Ordering::Relaxed);
        self.new_tokens.fetch_add(new_tokens, Ordering::Relaxed);
    }

    /// Returns the share of prompt tokens that no earlier prompt of the run contained.
    pub fn new_share(&self) -> f64 {
        let prompt_tokens = self.prompt_tokens.load(Ordering::Relaxed).max(1);
        self.new_tokens.load(Ordering::Relaxed) as f64 / prompt_tokens as f64
    }

    /// Counts a complete answer.
    pub fn count_answer(&self, is_correct: bool) {
        self.answered.fetch_add(1, Ordering::Relaxed);
        self.wrong.fetch_add(u64::from(!is_correct), Ordering::Relaxed);
    }

    /// Counts a request that timed out without a complete answer.
    pub fn count_lost(&self) {
        self.lost.fetch_add(1, Ordering::Relaxed);
    }

    /// Records the time from the caller's first attempt to the first token.
    pub fn count_first_token(&self, latency: Duration, is_returning: bool) {
        let latency_us = u64::try_from(latency.as_micros()).unwrap_or(MAX_US);
        lock(&self.first_token_us).saturating_record(latency_us);
        if is_returning {
            lock(&self.returning_us).saturating_record(latency_us);
        }
    }

    /// Returns a quantile of the time to first token, in milliseconds.
    pub fn first_token_ms(&self, quantile: f64) -> f64 {
        lock(&self.first_token_us).value_at_quantile(quantile) as f64 / US_PER_MS
    }

    /// Returns the same quantile over the prompts that continue a conversation.
    pub fn returning_first_token_ms(&self, quantile: f64) -> f64 {
        lock(&self.returning_us).value_at_quantile(quantile) as f64 / US_PER_MS
    }

    /// Returns the number of requests.
    pub fn requests(&self) -> u64 {
        self.requests.load(Ordering::Relaxed)
    }

    /// Returns the number of complete answers.
    pub fn answered(&self) -> u64 {
        self.answered.load(Ordering::Relaxed)
    }

    /// Returns the number of complete answers that were wrong.
    pub fn wrong(&self) -> u64 {
        self.wrong.load(Ordering::Relaxed)
    }

    /// Returns the number of requests that timed out without a complete answer.
    pub fn lost(&self) -> u64 {
        self.lost.load(Ordering::Relaxed)
    }
}

fn lock(histogram: &Mutex<Histogram<u64>>) -> MutexGuard<'_, Histogram<u64>> {
    histogram.lock().unwrap_or_else(PoisonError::into_inner)
}
