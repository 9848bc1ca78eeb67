//! Retry decisions after failed attempts.

use crate::refusal::Refusal;
use crate::retry_budget::{BudgetKey, RetryBudgets};
use protocol::error::{ErrorKind, Execution, InnerRetry};

/// The maximum number of attempts at one request.
pub const MAX_ATTEMPTS: u32 = 4;
/// The remaining time below which no retry starts, in milliseconds.
const MIN_REMAINING_MS: u64 = 20;
/// The maximum back-off before the second retry, in milliseconds; it doubles with each further one.
const FIRST_BACKOFF_MS: u64 = 50;

/// Describes a failed attempt.
#[derive(Clone, Copy, Debug)]
pub struct FailedAttempt<'a> {
    /// The reason for the failure.
    pub kind: ErrorKind,
    /// The number of the attempt, counted from one.
    pub attempt: u32,
    /// Whether the request may be executed more than once.
    pub idempotent: bool,
    /// Whether an earlier attempt may have been executed.
    pub earlier_may_have_run: bool,
    /// The time until the request's deadline.
    pub remaining_ms: u64,
    /// The budget that pays for a retry.
    pub budget: &'a BudgetKey,
}

/// The decision after a failed attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryDecision {
    /// The caller is answered immediately.
    GiveUp(Refusal),
    /// The request is sent to another server.
    OtherServer {
        /// The wait before the next attempt.
        wait_ms: u64,
    },
    /// The answer is resumed: by its stream on the same server, otherwise on another server after
    /// the tokens already passed on.
    Resume {
        /// The wait before the next attempt.
        wait_ms: u64,
    },
}

/// Decides whether and how to retry a failed attempt, by the table of error kinds; `random` from
/// zero to one adds jitter to the waits.
pub fn decide(
    failed: &FailedAttempt<'_>,
    budgets: &RetryBudgets,
    random: f64,
    now_ms: u64,
) -> RetryDecision {
    if !is_retryable(failed) || failed.attempt >= MAX_ATTEMPTS {
        return give_up(failed, failed.kind);
    }
    let wait_ms = backoff_ms(failed.attempt, random);
    if failed.remaining_ms < wait_ms + MIN_REMAINING_MS {
        return give_up(failed, ErrorKind::DeadlineExceeded);
    }
    if !budgets.try_take(failed.budget, now_ms) {
        return give_up(failed, ErrorKind::RetryBudgetSpent);
    }
    match failed.kind.answer().inner_retry {
        InnerRetry::Resume => RetryDecision::Resume { wait_ms },
        InnerRetry::OtherServer | InnerRetry::Never => RetryDecision::OtherServer { wait_ms },
    }
}

fn is_retryable(failed: &FailedAttempt<'_>) -> bool {
    let answer = failed.kind.answer();
    match answer.inner_retry {
        InnerRetry::Never => false,
        InnerRetry::OtherServer => failed.idempotent || answer.execution == Execution::NotRun,
        InnerRetry::Resume => failed.idempotent,
    }
}

fn give_up(failed: &FailedAttempt<'_>, kind: ErrorKind) -> RetryDecision {
    let last_may_have_run = failed.kind.answer().execution == Execution::MayHaveRun;
    let may_have_run = failed.earlier_may_have_run || last_may_have_run;
    RetryDecision::GiveUp(Refusal::new(kind).with_earlier_attempt(may_have_run))
}

/// Returns the back-off before the next attempt: none before the first retry, then a random share
/// of a maximum that doubles with each retry.
fn backoff_ms(attempt: u32, random: f64) -> u64 {
    let Some(doublings) = attempt.checked_sub(2) else {
        return 0;
    };
    let max_ms = FIRST_BACKOFF_MS << doublings.min(MAX_ATTEMPTS);
    (max_ms as f64 * random) as u64
}
