//! Retry decisions: the table of error kinds, the `not_run` flag, deadlines and budgets.

mod common;

use admission::retry::{FailedAttempt, MAX_ATTEMPTS, RetryDecision, decide};
use admission::retry_budget::{
    BudgetKey, MAX_AVAILABLE_RETRIES, RETRIES_PER_FIRST_ATTEMPT, RetryBudgets,
};
use common::{checker, organisation, service};
use protocol::error::{ErrorKind, Execution};

const SEED: u64 = 22;

fn key() -> BudgetKey {
    BudgetKey { organisation: organisation("member"), service: service() }
}

fn failed(kind: ErrorKind, budget: &BudgetKey) -> FailedAttempt<'_> {
    FailedAttempt {
        kind,
        attempt: 1,
        idempotent: true,
        earlier_may_have_run: false,
        remaining_ms: 10_000,
        budget,
    }
}

fn first_decision(failed: &FailedAttempt<'_>) -> RetryDecision {
    decide(failed, &RetryBudgets::new(), 0.5, 0)
}

fn refusal_of(failed: &FailedAttempt<'_>) -> (ErrorKind, bool) {
    match first_decision(failed) {
        RetryDecision::GiveUp(refusal) => (refusal.kind, refusal.not_run),
        other => panic!("{other:?}"),
    }
}

#[test]
fn each_kind_is_treated_as_documented() {
    let key = key();
    let lines = ErrorKind::ALL.iter().map(|kind| {
        let idempotent = failed(*kind, &key);
        let non_idempotent = FailedAttempt { idempotent: false, ..idempotent };
        let (idempotent, non_idempotent) =
            (first_decision(&idempotent), first_decision(&non_idempotent));
        format!("{kind}: {} / {}", describe(&idempotent), describe(&non_idempotent))
    });
    insta::assert_snapshot!(lines.collect::<Vec<_>>().join("\n"));
}

fn describe(decision: &RetryDecision) -> String {
    match decision {
        RetryDecision::GiveUp(refusal) if refusal.not_run => format!("{} not run", refusal.kind),
        RetryDecision::GiveUp(refusal) => refusal.kind.to_string(),
        RetryDecision::OtherServer { .. } => "other server".to_owned(),
        RetryDecision::Resume { .. } => "resume".to_owned(),
    }
}

#[test]
fn requests_that_may_have_run_are_not_reported_as_not_run_and_only_idempotent_ones_are_retried() {
    checker(SEED, 2_000).quickcheck(is_truthful as fn(usize, bool, bool, u8, u16) -> bool);

    fn is_truthful(
        kind: usize,
        idempotent: bool,
        earlier: bool,
        attempt: u8,
        remaining_ms: u16,
    ) -> bool {
        let key = key();
        let kind = ErrorKind::ALL[kind % ErrorKind::ALL.len()];
        let may_have_run = earlier || kind.answer().execution == Execution::MayHaveRun;
        let decision = first_decision(&FailedAttempt {
            kind,
            attempt: u32::from(attempt % 6 + 1),
            idempotent,
            earlier_may_have_run: earlier,
            remaining_ms: u64::from(remaining_ms),
            budget: &key,
        });
        match decision {
            RetryDecision::GiveUp(refusal) => !(refusal.not_run && may_have_run),
            RetryDecision::OtherServer { wait_ms } | RetryDecision::Resume { wait_ms } => {
                (idempotent || kind.answer().execution == Execution::NotRun)
                    && wait_ms < u64::from(remaining_ms)
            }
        }
    }
}

#[test]
fn the_last_attempt_is_answered_with_its_own_kind() {
    let key = key();
    let last = FailedAttempt { attempt: MAX_ATTEMPTS, ..failed(ErrorKind::ServerDied, &key) };
    assert_eq!(refusal_of(&last), (ErrorKind::ServerDied, false));
}

#[test]
fn no_retry_starts_just_before_the_deadline() {
    let key = key();
    let late = FailedAttempt { remaining_ms: 10, ..failed(ErrorKind::ServerUnreachable, &key) };
    assert_eq!(refusal_of(&late).0, ErrorKind::DeadlineExceeded);
}

#[test]
fn an_earlier_attempt_that_may_have_run_clears_not_run() {
    let key = key();
    let refused = FailedAttempt {
        earlier_may_have_run: true,
        attempt: MAX_ATTEMPTS,
        ..failed(ErrorKind::ServerRefused, &key)
    };
    assert_eq!(refusal_of(&refused), (ErrorKind::ServerRefused, false));
}

#[test]
fn retries_stay_a_share_of_first_attempts() {
    checker(SEED, 500).quickcheck(is_bounded as fn(Vec<bool>) -> bool);

    fn is_bounded(attempts: Vec<bool>) -> bool {
        let (budgets, key) = (RetryBudgets::new(), key());
        for (now_ms, is_first) in attempts.iter().cycle().take(20 * attempts.len()).enumerate() {
            if *is_first {
                budgets.first_attempt(&key, now_ms as u64);
            } else {
                budgets.try_take(&key, now_ms as u64);
            }
        }
        let counts = budgets.counts(&key);
        let bound =
            MAX_AVAILABLE_RETRIES + RETRIES_PER_FIRST_ATTEMPT * counts.first_attempts as f64;
        counts.retries as f64 <= bound
    }
}

#[test]
fn a_period_without_retries_accumulates_no_more_than_the_maximum_budget() {
    let (budgets, key) = (RetryBudgets::new(), key());
    (0..10_000).for_each(|now_ms| budgets.first_attempt(&key, now_ms));
    let allowed = (0..100).filter(|_| budgets.try_take(&key, 10_000)).count();
    assert_eq!(allowed as f64, MAX_AVAILABLE_RETRIES);
}

#[test]
fn an_exhausted_budget_denies_retries_of_its_own_organisation_only() {
    let (budgets, exhausted) = (RetryBudgets::new(), key());
    let other = BudgetKey { organisation: organisation("other"), ..key() };
    while budgets.try_take(&exhausted, 0) {}
    let decision = decide(&failed(ErrorKind::ServerUnreachable, &exhausted), &budgets, 0.5, 0);
    assert!(matches!(decision, RetryDecision::GiveUp(r) if r.kind == ErrorKind::RetryBudgetSpent));
    let decision = decide(&failed(ErrorKind::ServerUnreachable, &other), &budgets, 0.5, 0);
    assert_eq!(decision, RetryDecision::OtherServer { wait_ms: 0 });
    budgets.sweep(u64::MAX);
    assert!(budgets.try_take(&exhausted, 0));
}
