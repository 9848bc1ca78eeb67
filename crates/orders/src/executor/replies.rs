//! Waiting callers: joining an order under way, asking for its outcome, and replying.

use super::work::{Learnt, OwnAttempt, Phase, Waiter};
use super::{Action, Executor, Order, Target};
use crate::key::{OrderDigest, OrderKey};
use crate::ledger::Ledger;
use crate::record::{OrderAnswer, Record, Release};
use protocol::error::ErrorKind;

impl Executor {
    /// Lets a caller wait for an order that is under way already, here or elsewhere.
    pub(super) fn join(&mut self, order: Order, ledger: &Ledger, now_ms: u64) -> Vec<Action> {
        let work = self.work.entry(order.key.clone()).or_default();
        work.waiters.push(Waiter::new(order.waiter, order.deadline_ms, now_ms));
        self.ask_if_due(&order.key, ledger, now_ms)
    }

    /// Reacts to another attempt that holds the key now.
    ///
    /// An own attempt at a different order is given up, or it could claim the key after a release.
    pub(super) fn other_holds(&mut self, key: &OrderKey, digest: OrderDigest) -> Vec<Action> {
        let own = self.work.get(key).and_then(|work| work.own.as_ref());
        if own.is_some_and(|own| own.digest != digest) {
            return self.give_up(key, ErrorKind::IdempotencyKeyReused);
        }
        Vec::new()
    }

    /// Waits for the attempt that holds the key in place of the own one, which never counts.
    pub(super) fn follow_holder(
        &mut self,
        key: &OrderKey,
        ledger: &Ledger,
        now_ms: u64,
    ) -> Vec<Action> {
        if let Some(work) = self.work.get_mut(key) {
            work.own = None;
        }
        let Some(holder) = ledger.holder(key) else { return Vec::new() };
        match holder.answer.clone() {
            Some(answer) => self.finish(key, answer),
            None => self.ask_if_due(key, ledger, now_ms),
        }
    }

    /// Reacts to the release of the attempt that callers here were waiting for.
    pub(super) fn holder_released(&mut self, key: &OrderKey) -> Vec<Action> {
        match self.work.get(key) {
            Some(work) if work.own.is_none() => self.refuse_all(key, ErrorKind::OrderInProgress),
            _ => Vec::new(),
        }
    }

    /// Ends the order here with its answer.
    pub(super) fn finish(&mut self, key: &OrderKey, answer: OrderAnswer) -> Vec<Action> {
        self.reply_all(key, &Ok(answer), true)
    }

    /// Ends the order here with a refusal.
    pub(super) fn refuse_all(&mut self, key: &OrderKey, kind: ErrorKind) -> Vec<Action> {
        self.reply_all(key, &Err(kind), true)
    }

    /// Replies to every caller that the outcome cannot be learnt, and remembers the own attempt.
    pub(super) fn report_unknown(&mut self, key: &OrderKey) -> Vec<Action> {
        let forget = self.work.get(key).is_some_and(|work| work.own.is_none());
        self.reply_all(key, &Err(ErrorKind::OutcomeUnknown), forget)
    }

    pub(super) fn tick_key(&mut self, key: &OrderKey, ledger: &Ledger, now_ms: u64) -> Vec<Action> {
        let mut actions = self.give_up_if_due(key, ledger, now_ms);
        actions.extend(self.reply_learnt(key, now_ms));
        actions.extend(self.reply_late(key, now_ms));
        actions.extend(self.ask_if_due(key, ledger, now_ms));
        self.drop_own_if_expired(key, now_ms);
        self.forget_if_done(key);
        actions
    }

    /// Gives up an intent that was not read back in time.
    ///
    /// If another attempt holds the key by then, the callers wait for that one.
    fn give_up_if_due(&mut self, key: &OrderKey, ledger: &Ledger, now_ms: u64) -> Vec<Action> {
        let own = self.work.get(key).and_then(|work| work.own.as_ref());
        let due = own.filter(|own| match own.phase {
            Phase::Intended { give_up_at_ms } => now_ms >= give_up_at_ms,
            _ => false,
        });
        let Some(OwnAttempt { attempt, .. }) = due else { return Vec::new() };
        if ledger.holder(key).is_none() {
            return self.give_up(key, ErrorKind::LogUnavailable);
        }
        let release = Release { key: key.clone(), attempt: attempt.clone() };
        let mut actions = vec![Action::Append(Record::Release(release))];
        actions.extend(self.follow_holder(key, ledger, now_ms));
        actions
    }

    /// Passes an answer on whose outcome record takes too long to be read back.
    fn reply_learnt(&mut self, key: &OrderKey, now_ms: u64) -> Vec<Action> {
        let Some(work) = self.work.get(key) else { return Vec::new() };
        let Some(Learnt { answer, at_ms }) = work.certain_answer() else { return Vec::new() };
        if now_ms < at_ms.saturating_add(self.limits.outcome_wait_ms) {
            return Vec::new();
        }
        let answer = answer.clone();
        self.reply_all(key, &Ok(answer), false)
    }

    /// Replies to the callers whose deadline has passed.
    fn reply_late(&mut self, key: &OrderKey, now_ms: u64) -> Vec<Action> {
        let Some(work) = self.work.get_mut(key) else { return Vec::new() };
        let learnt = work.certain_answer().map(|learnt| learnt.answer.clone());
        let refusal =
            if work.unknown { ErrorKind::OutcomeUnknown } else { ErrorKind::OrderInProgress };
        let reply = learnt.ok_or(refusal);
        let late = work.take_waiters(|waiter| now_ms >= waiter.deadline_ms);
        late.into_iter().map(|waiter| Action::Reply(waiter.id, reply.clone())).collect()
    }

    /// Asks the service for the outcome if nobody else is going to record it soon.
    fn ask_if_due(&mut self, key: &OrderKey, ledger: &Ledger, now_ms: u64) -> Vec<Action> {
        let gone = self.sender_is_gone(key, ledger);
        let Some(holder) = ledger.holder(key) else { return Vec::new() };
        let Some(work) = self.work.get_mut(key) else { return Vec::new() };
        let own_runs = work.own.is_some() && !gone;
        if own_runs || work.learnt.is_some() || holder.answer.is_some() {
            return Vec::new();
        }
        let Some(since_ms) = work.waiters.iter().map(|waiter| waiter.since_ms).min() else {
            return Vec::new();
        };
        let pause_ms = self.limits.status_after_ms;
        let due_ms = match work.asked_at_ms {
            Some(asked_at_ms) => asked_at_ms.saturating_add(pause_ms),
            None if gone => now_ms,
            None => since_ms.saturating_add(pause_ms),
        };
        if now_ms < due_ms {
            return Vec::new();
        }
        work.asked_at_ms = Some(now_ms);
        vec![Action::QueryOutcome(Target {
            key: key.clone(),
            attempt: holder.attempt.clone(),
            service: holder.service.clone(),
        })]
    }

    fn reply_all(
        &mut self,
        key: &OrderKey,
        reply: &Result<OrderAnswer, ErrorKind>,
        forget: bool,
    ) -> Vec<Action> {
        let Some(work) = self.work.get_mut(key) else { return Vec::new() };
        let waiters = std::mem::take(&mut work.waiters);
        if forget {
            self.work.remove(key);
        }
        waiters.into_iter().map(|waiter| Action::Reply(waiter.id, reply.clone())).collect()
    }

    /// Forgets an executed attempt whose key no longer can be used.
    fn drop_own_if_expired(&mut self, key: &OrderKey, now_ms: u64) {
        let expires_at_ms = self.limits.expires_at_ms(key.key);
        if now_ms <= expires_at_ms.saturating_add(self.limits.clock_bound_ms) {
            return;
        }
        let Some(work) = self.work.get_mut(key) else { return };
        work.own.take_if(|own| matches!(own.phase, Phase::Answered | Phase::Uncertain));
    }

    fn forget_if_done(&mut self, key: &OrderKey) {
        if self.work.get(key).is_some_and(|work| work.is_done()) {
            self.work.remove(key);
        }
    }
}
