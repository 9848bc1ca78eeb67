//! Whether and how a failed attempt is followed by another.

use crate::refusal::Refusal;
use crate::retry_budget::{BudgetKey, RetryBudgets};
use protocol::error::{ErrorKind, Execution, InnerRetry};

/// The greatest number of attempts at one request.
pub const MAX_ATTEMPTS: u32 = 4;
/// The time below which no further attempt is started, in milliseconds.
const LEAST_REMAINING_MS: u64 = 20;
/// The longest wait before the second retry, in milliseconds; it doubles with each further one.
const FIRST_BACKOFF_MS: u64 = 50;

/// Describes a failed attempt.
#[derive(Clone, Copy, Debug)]
pub struct FailedAttempt<'a> {
    /// Why it failed.
    pub kind: ErrorKind,
    /// The number of the attempt, counted from one.
    pub attempt: u32,
    /// Whether the request may be executed more than once.
    pub idempotent: bool,
    /// Whether an earlier attempt may have been executed.
    pub earlier_may_have_run: bool,
    /// What is left until the request's deadline.
    pub remaining_ms: u64,
    /// The budget that pays for a retry.
    pub budget: &'a BudgetKey,
}

/// Says what follows a failed attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryDecision {
    /// The caller is answered at once.
    GiveUp(Refusal),
    /// The request is sent to another server.
    OtherServer {
        /// How long to wait before that.
        wait_ms: u64,
    },
    /// The answer is resumed: on the same server by its stream, else on another one after the
    /// tokens already passed on.
    Resume {
        /// How long to wait before that.
        wait_ms: u64,
    },
}

/// Decides what follows a failed attempt, by the table of error kinds; `random` from zero to one
/// spreads the waits.
pub fn decide(
    failed: &FailedAttempt<'_>,
    budgets: &RetryBudgets,
    random: f64,
    now_ms: u64,
) -> RetryDecision {
    if !is_repeatable(failed) || failed.attempt >= MAX_ATTEMPTS {
        return give_up(failed, failed.kind);
    }
    let wait_ms = backoff_ms(failed.attempt, random);
    if failed.remaining_ms < wait_ms + LEAST_REMAINING_MS {
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

fn is_repeatable(failed: &FailedAttempt<'_>) -> bool {
    let answer = failed.kind.answer();
    match answer.inner_retry {
        InnerRetry::Never => false,
        InnerRetry::OtherServer => failed.idempotent || answer.execution == Execution::NotRun,
        InnerRetry::Resume => failed.idempotent,
    }
}

fn give_up(failed: &FailedAttempt<'_>, kind: ErrorKind) -> RetryDecision {
    let this_may_have_run = failed.kind.answer().execution == Execution::MayHaveRun;
    let may_have_run = failed.earlier_may_have_run || this_may_have_run;
    RetryDecision::GiveUp(Refusal::new(kind).with_earlier_attempt(may_have_run))
}

/// The first retry goes at once; later ones wait longer and longer.
fn backoff_ms(attempt: u32, random: f64) -> u64 {
    let Some(doublings) = attempt.checked_sub(2) else {
        return 0;
    };
    let longest_ms = FIRST_BACKOFF_MS << doublings.min(MAX_ATTEMPTS);
    (longest_ms as f64 * random) as u64
}
