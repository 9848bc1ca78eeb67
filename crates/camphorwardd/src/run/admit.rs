//! Admission of a placed request, and retries after a failed attempt.

use crate::node::Node;
use crate::reply::Failure;
use crate::run::Job;
use crate::run::place::Placed;
use admission::deadline::Timing;
use admission::gate::AdmissionRequest;
use admission::refusal::Refusal;
use admission::retry::{self, FailedAttempt, RetryDecision};
use admission::retry_budget::BudgetKey;
use protocol::error::ErrorKind;
use rand::Rng;
use settings::services::ModelService;
use std::time::Duration;

/// The time allowed for a request, as a multiple of the expected time.
const ANSWER_SLACK: u64 = 4;

/// Returns the total time allowed for a request, in milliseconds.
pub(crate) fn time_allowed_ms(model: &ModelService, max_tokens: u64) -> u64 {
    let expected_ms = model.first_token_deadline_ms + max_tokens * model.token_gap_ms;
    expected_ms * ANSWER_SLACK
}

/// Admits a placed request, or refuses it with the delay before a retry.
///
/// # Errors
///
/// Returns the refusal, which is sent to the caller without delay.
pub(crate) fn admit(node: &Node, job: &Job, placed: &Placed) -> Result<(), Failure> {
    let request = AdmissionRequest {
        organisation: &job.organisation,
        weight: node.directory().share(&job.organisation),
        recomputed_tokens: placed.answer.recomputed_tokens,
        max_answer_tokens: job.max_tokens,
        timing: timing(job, placed),
    };
    let gate = node.admission.gate(&job.service);
    let admitted = gate.admit(&request, rand::rng().random(), node.now_ms());
    admitted.map(drop).map_err(|refusal| to_failure(&refusal))
}

fn timing(job: &Job, placed: &Placed) -> Timing {
    let chosen = placed.answer.candidates.first();
    let queue_ms = chosen.map_or(0.0, |chosen| chosen.queue_ms as f64);
    let expected_ms = placed.answer.expected_first_token_ms as f64;
    Timing {
        queue_ms,
        processing_ms: (expected_ms - queue_ms).max(0.0),
        deadline_ms: job.model.first_token_deadline_ms as f64,
    }
}

/// The progress of a request after a failed attempt.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Progress {
    /// The failed attempt's number, counted from one.
    pub(crate) attempt: u32,
    /// Whether an earlier attempt may have run.
    pub(crate) ran_before: bool,
    /// The deadline of the request, in milliseconds since the epoch.
    pub(crate) deadline_at_ms: u64,
}

/// Returns the back-off delay before the next attempt.
///
/// # Errors
///
/// Returns the failure to send to the caller if there is no further attempt.
pub(crate) fn after_failure(
    node: &Node,
    budget: &BudgetKey,
    last: &Failure,
    progress: Progress,
) -> Result<Duration, Failure> {
    let now_ms = node.now_ms();
    let failed = FailedAttempt {
        kind: last.kind,
        attempt: progress.attempt,
        idempotent: true,
        earlier_may_have_run: progress.ran_before,
        remaining_ms: progress.deadline_at_ms.saturating_sub(now_ms),
        budget,
    };
    let decision = retry::decide(&failed, &node.admission.budgets, rand::rng().random(), now_ms);
    match decision {
        RetryDecision::OtherServer { wait_ms } | RetryDecision::Resume { wait_ms } => {
            node.counters.count_retry(last.kind);
            Ok(Duration::from_millis(wait_ms))
        }
        RetryDecision::GiveUp(refusal) if refusal.kind == last.kind => {
            Err(last.clone().with_ran_before(progress.ran_before))
        }
        RetryDecision::GiveUp(refusal) => Err(to_failure(&refusal)),
    }
}

fn to_failure(refusal: &Refusal) -> Failure {
    let failure = Failure::new(refusal.kind, describe(refusal.kind));
    let failure = failure.with_ran_before(!refusal.not_run);
    match refusal.retry_after_s {
        Some(seconds) => failure.with_retry_after_s(seconds),
        None => failure,
    }
}

fn describe(kind: ErrorKind) -> &'static str {
    match kind {
        ErrorKind::Overloaded => "the first token would arrive after the deadline",
        ErrorKind::OverFairShare => "the organisation has used its fair share while others wait",
        ErrorKind::ReservedForQuick => "the remaining capacity is reserved for quick requests",
        ErrorKind::RetryBudgetSpent => "too many requests of the organisation were retried",
        ErrorKind::DeadlineExceeded => "the deadline passed before the answer was complete",
        _ => "the request was refused",
    }
}
