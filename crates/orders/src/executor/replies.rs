//! Waiting callers: joining an order in progress, querying its outcome and replying.

use super::order_state::{LocalAttempt, Phase, ReceivedAnswer, Waiter};
use super::{Action, Executor, Order, Target};
use crate::key::{OrderDigest, OrderKey};
use crate::ledger::Ledger;
use crate::record::{OrderAnswer, Record, Release};
use protocol::error::ErrorKind;

impl Executor {
    /// Adds a caller to an order that is already in progress, locally or on a peer.
    pub(super) fn join(&mut self, order: Order, ledger: &Ledger, now_ms: u64) -> Vec<Action> {
        let state = self.orders.entry(order.key.clone()).or_default();
        state.waiters.push(Waiter::new(order.waiter, order.deadline_ms, now_ms));
        self.query_if_due(&order.key, ledger, now_ms)
    }

    /// Handles another attempt that now holds the key.
    ///
    /// A local attempt at a different order is abandoned. Otherwise it could claim the key after a
    /// release.
    pub(super) fn other_attempt_holds(
        &mut self,
        key: &OrderKey,
        digest: OrderDigest,
    ) -> Vec<Action> {
        let local = self.orders.get(key).and_then(|state| state.local.as_ref());
        if local.is_some_and(|local| local.digest != digest) {
            return self.abandon(key, ErrorKind::IdempotencyKeyReused);
        }
        Vec::new()
    }

    /// Drops the local attempt, which is void, and waits for the attempt that holds the key.
    pub(super) fn wait_for_holder(
        &mut self,
        key: &OrderKey,
        ledger: &Ledger,
        now_ms: u64,
    ) -> Vec<Action> {
        if let Some(state) = self.orders.get_mut(key) {
            state.local = None;
        }
        let Some(holder) = ledger.holder(key) else { return Vec::new() };
        match holder.answer.clone() {
            Some(answer) => self.finish(key, answer),
            None => self.query_if_due(key, ledger, now_ms),
        }
    }

    /// Handles the release of the attempt that local callers were waiting for.
    pub(super) fn holder_released(&mut self, key: &OrderKey) -> Vec<Action> {
        match self.orders.get(key) {
            Some(state) if state.local.is_none() => {
                self.refuse_all(key, ErrorKind::OrderInProgress)
            }
            _ => Vec::new(),
        }
    }

    /// Finishes the order on this host with its answer.
    pub(super) fn finish(&mut self, key: &OrderKey, answer: OrderAnswer) -> Vec<Action> {
        self.reply_all(key, &Ok(answer), true)
    }

    /// Finishes the order on this host with a refusal.
    pub(super) fn refuse_all(&mut self, key: &OrderKey, kind: ErrorKind) -> Vec<Action> {
        self.reply_all(key, &Err(kind), true)
    }

    /// Replies to every caller that the outcome is unknown, and retains a local attempt.
    pub(super) fn report_unknown(&mut self, key: &OrderKey) -> Vec<Action> {
        let remove = self.orders.get(key).is_some_and(|state| state.local.is_none());
        self.reply_all(key, &Err(ErrorKind::OutcomeUnknown), remove)
    }

    pub(super) fn tick_key(&mut self, key: &OrderKey, ledger: &Ledger, now_ms: u64) -> Vec<Action> {
        let mut actions = self.abandon_if_due(key, ledger, now_ms);
        actions.extend(self.reply_received(key, now_ms));
        actions.extend(self.reply_past_deadline(key, now_ms));
        actions.extend(self.query_if_due(key, ledger, now_ms));
        self.drop_local_if_expired(key, now_ms);
        self.remove_if_done(key);
        actions
    }

    /// Abandons an intent that was not read back in time.
    ///
    /// If another attempt holds the key by then, the callers wait for that attempt.
    fn abandon_if_due(&mut self, key: &OrderKey, ledger: &Ledger, now_ms: u64) -> Vec<Action> {
        let local = self.orders.get(key).and_then(|state| state.local.as_ref());
        let due = local.filter(|local| match local.phase {
            Phase::Intended { abandon_at_ms } => now_ms >= abandon_at_ms,
            _ => false,
        });
        let Some(LocalAttempt { attempt, .. }) = due else { return Vec::new() };
        if ledger.holder(key).is_none() {
            return self.abandon(key, ErrorKind::LogUnavailable);
        }
        let release = Release { key: key.clone(), attempt: attempt.clone() };
        let mut actions = vec![Action::Append(Record::Release(release))];
        actions.extend(self.wait_for_holder(key, ledger, now_ms));
        actions
    }

    /// Replies with an answer whose outcome record was not read back in time.
    fn reply_received(&mut self, key: &OrderKey, now_ms: u64) -> Vec<Action> {
        let Some(state) = self.orders.get(key) else { return Vec::new() };
        let Some(ReceivedAnswer { answer, at_ms }) = state.local_answer() else {
            return Vec::new();
        };
        if now_ms < at_ms.saturating_add(self.limits.outcome_wait_ms) {
            return Vec::new();
        }
        let answer = answer.clone();
        self.reply_all(key, &Ok(answer), false)
    }

    /// Replies to the callers whose deadline has passed.
    fn reply_past_deadline(&mut self, key: &OrderKey, now_ms: u64) -> Vec<Action> {
        let Some(state) = self.orders.get_mut(key) else { return Vec::new() };
        let received = state.local_answer().map(|received| received.answer.clone());
        let refusal = if state.unknown_to_service {
            ErrorKind::OutcomeUnknown
        } else {
            ErrorKind::OrderInProgress
        };
        let reply = received.ok_or(refusal);
        let overdue = state.take_waiters(|waiter| now_ms >= waiter.deadline_ms);
        overdue.into_iter().map(|waiter| Action::Reply(waiter.id, reply.clone())).collect()
    }

    /// Queries the service for the outcome unless the owner is expected to record it soon.
    fn query_if_due(&mut self, key: &OrderKey, ledger: &Ledger, now_ms: u64) -> Vec<Action> {
        let orphaned = self.owner_cannot_report(key, ledger);
        let Some(holder) = ledger.holder(key) else { return Vec::new() };
        let Some(state) = self.orders.get_mut(key) else { return Vec::new() };
        let local_in_progress = state.local.is_some() && !orphaned;
        if local_in_progress || state.received.is_some() || holder.answer.is_some() {
            return Vec::new();
        }
        let Some(since_ms) = state.waiters.iter().map(|waiter| waiter.since_ms).min() else {
            return Vec::new();
        };
        let delay_ms = self.limits.status_after_ms;
        let due_ms = match state.queried_at_ms {
            Some(queried_at_ms) => queried_at_ms.saturating_add(delay_ms),
            None if orphaned => now_ms,
            None => since_ms.saturating_add(delay_ms),
        };
        if now_ms < due_ms {
            return Vec::new();
        }
        state.queried_at_ms = Some(now_ms);
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
        remove: bool,
    ) -> Vec<Action> {
        let Some(state) = self.orders.get_mut(key) else { return Vec::new() };
        let waiters = std::mem::take(&mut state.waiters);
        if remove {
            self.orders.remove(key);
        }
        waiters.into_iter().map(|waiter| Action::Reply(waiter.id, reply.clone())).collect()
    }

    /// Removes a dispatched attempt whose key has expired.
    fn drop_local_if_expired(&mut self, key: &OrderKey, now_ms: u64) {
        let expires_at_ms = self.limits.expires_at_ms(key.key);
        if now_ms <= expires_at_ms.saturating_add(self.limits.clock_bound_ms) {
            return;
        }
        let Some(state) = self.orders.get_mut(key) else { return };
        state.local.take_if(|local| matches!(local.phase, Phase::Answered | Phase::Unanswered));
    }

    fn remove_if_done(&mut self, key: &OrderKey) {
        if self.orders.get(key).is_some_and(|state| state.is_done()) {
            self.orders.remove(key);
        }
    }
}
