//! Executes the orders of the callers of one host.

mod order_state;
mod replies;

use crate::key::{OrderDigest, OrderKey};
use crate::ledger::{Holder, Ledger, Verdict};
use crate::limits::{KeyAge, OrderLimits};
use crate::record::{Intent, OrderAnswer, Outcome, Owner, Record, Release};
use order_state::{LocalAttempt, OrderState, Phase, Waiter};
use protocol::error::ErrorKind;
use protocol::ids::{AttemptId, HostName, Incarnation, ServiceName};
use std::collections::{BTreeMap, HashMap};

/// Identifies a waiting caller of this process.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct WaiterId(u64);

impl WaiterId {
    /// Creates an ID from a number.
    pub const fn new(value: u64) -> Self {
        Self(value)
    }

    /// Returns the number.
    pub const fn value(self) -> u64 {
        self.0
    }
}

/// An order as received from a caller.
#[derive(Clone, Debug)]
pub struct Order {
    /// The caller that waits for the reply.
    pub waiter: WaiterId,
    /// The order's key.
    pub key: OrderKey,
    /// The order service.
    pub service: ServiceName,
    /// The digest of the order's method, path and body.
    pub digest: OrderDigest,
    /// A new attempt ID that was never used before and is never used again.
    pub attempt: AttemptId,
    /// The time until which the caller waits.
    pub deadline_ms: u64,
}

/// This host's view of the platform's log.
#[derive(Clone, Copy, Debug)]
pub struct LogView {
    /// Whether appends are expected to succeed.
    pub up: bool,
    /// The time since which the stream has been read without a gap.
    pub covered_from_ms: Option<u64>,
}

/// The result of querying a service for an order's outcome.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StatusResult {
    /// The service has executed the order.
    Answered(OrderAnswer),
    /// The service has no such order.
    NoSuchOrder,
    /// The service did not answer, which says nothing about the order.
    Unanswered,
}

/// The result of a dispatched attempt.
#[derive(Clone, Debug, PartialEq)]
pub enum DispatchResult {
    /// The service answered.
    Answered(OrderAnswer),
    /// No byte was sent, or the server reported that it did not execute the order.
    NotRun(ErrorKind),
    /// The order was sent, but no complete answer was received.
    Unanswered,
}

/// An action for the daemon to carry out exactly once.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Append a record; retry until it is confirmed to be in the log.
    Append(Record),
    /// Send the attempt to a server of its service.
    Dispatch(Target),
    /// Query the service for the outcome of the attempt.
    QueryOutcome(Target),
    /// Reply to a caller.
    Reply(WaiterId, Result<OrderAnswer, ErrorKind>),
}

/// Identifies an attempt and its order service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// The order's key.
    pub key: OrderKey,
    /// The attempt.
    pub attempt: AttemptId,
    /// The order service.
    pub service: ServiceName,
}

/// Executes the orders of one shard of the keys on one host.
#[derive(Debug)]
pub struct Executor {
    limits: OrderLimits,
    owner: Owner,
    live: BTreeMap<HostName, Incarnation>,
    orders: HashMap<OrderKey, OrderState>,
}

impl Executor {
    /// Creates an executor that has no orders.
    pub fn new(limits: OrderLimits, owner: Owner) -> Self {
        Self { limits, owner, live: BTreeMap::new(), orders: HashMap::new() }
    }

    /// Replaces the set of entry hosts considered live. A wrong entry only costs a status query.
    pub fn set_live_hosts(&mut self, live: BTreeMap<HostName, Incarnation>) {
        self.live = live;
    }

    /// Returns the number of orders on this host that are still expected to finish.
    pub fn open_orders(&self) -> usize {
        self.orders.values().filter(|state| state.is_open()).count()
    }

    /// Submits an order.
    pub fn submit(
        &mut self,
        order: Order,
        ledger: &Ledger,
        log: LogView,
        now_ms: u64,
    ) -> Vec<Action> {
        if let Some(refusal) = self.early_refusal(&order, ledger, now_ms) {
            return vec![Action::Reply(order.waiter, Err(refusal))];
        }
        let holder = ledger.holder(&order.key);
        if let Some(answer) = holder.and_then(|holder| holder.answer.clone()) {
            return vec![Action::Reply(order.waiter, Ok(answer))];
        }
        if holder.is_some() || self.orders.contains_key(&order.key) {
            return self.join(order, ledger, now_ms);
        }
        if let Some(refusal) = self.log_refusal(&order, log) {
            return vec![Action::Reply(order.waiter, Err(refusal))];
        }
        self.claim_key(order, now_ms)
    }

    /// Handles a record that the ledger has just applied.
    pub fn applied(
        &mut self,
        record: &Record,
        verdict: Verdict,
        ledger: &Ledger,
        covered_from_ms: u64,
        now_ms: u64,
    ) -> Vec<Action> {
        let Some(key) = record.key() else { return Vec::new() };
        match (record, verdict) {
            (Record::Intent(intent), Verdict::Holds) if self.is_pending(intent) => {
                self.read_back(intent, covered_from_ms)
            }
            (Record::Intent(intent), Verdict::Holds) => {
                self.other_attempt_holds(key, intent.digest)
            }
            (Record::Intent(intent), Verdict::Void) if self.is_pending(intent) => {
                self.wait_for_holder(key, ledger, now_ms)
            }
            (Record::Intent(intent), Verdict::Expired) if self.is_pending(intent) => {
                self.refuse_all(key, ErrorKind::IdempotencyKeyExpired)
            }
            (Record::Intent(intent), Verdict::Future) if self.is_pending(intent) => {
                self.abandon(key, ErrorKind::InvalidIdempotencyKey)
            }
            (Record::Outcome(outcome), Verdict::Recorded) => {
                self.finish(key, outcome.answer.clone())
            }
            (Record::Release(_), Verdict::Freed) => self.holder_released(key),
            _ => Vec::new(),
        }
    }

    /// Handles the result of an [`Action::Dispatch`].
    pub fn dispatched(
        &mut self,
        target: &Target,
        result: DispatchResult,
        now_ms: u64,
    ) -> Vec<Action> {
        let Some(state) = self.orders.get_mut(&target.key) else { return Vec::new() };
        let Some(local) = state.local.as_mut().filter(|local| local.attempt == target.attempt)
        else {
            return Vec::new();
        };
        match result {
            DispatchResult::Answered(answer) => {
                local.phase = Phase::Answered;
                state.set_answer(answer.clone(), now_ms);
                vec![append_outcome(target, answer)]
            }
            DispatchResult::NotRun(kind) => self.abandon(&target.key, kind),
            DispatchResult::Unanswered => {
                local.phase = Phase::Unanswered;
                state.queried_at_ms = Some(now_ms);
                vec![Action::QueryOutcome(target.clone())]
            }
        }
    }

    /// Handles the result of an [`Action::QueryOutcome`].
    ///
    /// A service may still be executing an order that a crashed owner sent, so the outcome is
    /// reported as unknown only after two such answers.
    pub fn status_received(
        &mut self,
        target: &Target,
        result: StatusResult,
        ledger: &Ledger,
        now_ms: u64,
    ) -> Vec<Action> {
        let orphaned = self.owner_cannot_report(&target.key, ledger);
        let Some(state) = self.orders.get_mut(&target.key) else { return Vec::new() };
        match result {
            StatusResult::Answered(answer) if state.received.is_none() => {
                state.set_answer(answer.clone(), now_ms);
                vec![append_outcome(target, answer)]
            }
            StatusResult::NoSuchOrder
                if orphaned && state.unknown_to_service && state.received.is_none() =>
            {
                self.report_unknown(&target.key)
            }
            StatusResult::NoSuchOrder => {
                state.unknown_to_service = true;
                Vec::new()
            }
            StatusResult::Answered(_) | StatusResult::Unanswered => Vec::new(),
        }
    }

    /// Handles expired timeouts: abandons intents, queries outcomes and replies at deadlines.
    pub fn tick(&mut self, ledger: &Ledger, now_ms: u64) -> Vec<Action> {
        let mut keys: Vec<OrderKey> = self.orders.keys().cloned().collect();
        keys.sort();
        keys.iter().flat_map(|key| self.tick_key(key, ledger, now_ms)).collect()
    }

    fn early_refusal(&self, order: &Order, ledger: &Ledger, now_ms: u64) -> Option<ErrorKind> {
        if let Some(refusal) = self.age_refusal(order, now_ms) {
            return Some(refusal);
        }
        let local = self.orders.get(&order.key).and_then(|state| state.local.as_ref());
        let held = ledger.holder(&order.key).map(|holder| holder.digest);
        let held = held.or(local.map(|local| local.digest));
        let reused = held.is_some_and(|digest| digest != order.digest);
        reused.then_some(ErrorKind::IdempotencyKeyReused)
    }

    /// Refuses expired and future keys.
    ///
    /// Expiry is checked against the fastest clock within the bound, so that no key is accepted
    /// here that a ledger may already have removed.
    fn age_refusal(&self, order: &Order, now_ms: u64) -> Option<ErrorKind> {
        let fastest_clock_ms = now_ms.saturating_add(self.limits.clock_bound_ms);
        if self.limits.age(order.key.key, fastest_clock_ms) == KeyAge::Expired {
            return Some(ErrorKind::IdempotencyKeyExpired);
        }
        let future = self.limits.age(order.key.key, now_ms) == KeyAge::Future;
        future.then_some(ErrorKind::InvalidIdempotencyKey)
    }

    fn log_refusal(&self, order: &Order, log: LogView) -> Option<ErrorKind> {
        match log.covered_from_ms {
            _ if !log.up => Some(ErrorKind::LogUnavailable),
            // Nothing was read yet. Coverage is checked when the intent is read back.
            None => None,
            Some(covered_from_ms) if self.limits.covers(covered_from_ms, order.key.key) => None,
            Some(_) => Some(ErrorKind::IdempotencyKeyExpired),
        }
    }

    fn claim_key(&mut self, order: Order, now_ms: u64) -> Vec<Action> {
        let intent = Intent {
            key: order.key.clone(),
            attempt: order.attempt.clone(),
            service: order.service,
            digest: order.digest,
            owner: self.owner.clone(),
        };
        let abandon_at_ms = now_ms.saturating_add(self.limits.intent_wait_ms);
        let local = LocalAttempt {
            attempt: order.attempt,
            digest: order.digest,
            phase: Phase::Intended { abandon_at_ms: abandon_at_ms.min(order.deadline_ms) },
        };
        let state = self.orders.entry(order.key).or_default();
        state.local = Some(local);
        state.waiters.push(Waiter::new(order.waiter, order.deadline_ms, now_ms));
        vec![Action::Append(Record::Intent(intent))]
    }

    /// Returns whether the intent is of the local attempt and has not been read back yet.
    ///
    /// An attempt that was abandoned is removed, so it can never be dispatched.
    fn is_pending(&self, intent: &Intent) -> bool {
        let local = self.orders.get(&intent.key).and_then(|state| state.local.as_ref());
        local.is_some_and(|local| local.attempt == intent.attempt && local.is_intended())
    }

    fn read_back(&mut self, intent: &Intent, covered_from_ms: u64) -> Vec<Action> {
        if !self.limits.covers(covered_from_ms, intent.key.key) {
            return self.abandon(&intent.key, ErrorKind::IdempotencyKeyExpired);
        }
        let local = self.orders.get_mut(&intent.key).and_then(|state| state.local.as_mut());
        if let Some(local) = local {
            local.phase = Phase::Dispatched;
        }
        vec![Action::Dispatch(Target {
            key: intent.key.clone(),
            attempt: intent.attempt.clone(),
            service: intent.service.clone(),
        })]
    }

    /// Removes the local attempt for good and releases the key.
    ///
    /// The attempt has not been executed and never will be.
    fn abandon(&mut self, key: &OrderKey, kind: ErrorKind) -> Vec<Action> {
        let attempt = self.orders.get_mut(key).and_then(|state| state.local.take());
        let release = attempt.map(|local| {
            Action::Append(Record::Release(Release { key: key.clone(), attempt: local.attempt }))
        });
        let mut actions: Vec<Action> = release.into_iter().collect();
        actions.extend(self.refuse_all(key, kind));
        actions
    }

    fn owner_cannot_report(&self, key: &OrderKey, ledger: &Ledger) -> bool {
        let Some(holder) = ledger.holder(key) else { return true };
        let local = self.orders.get(key).and_then(|state| state.local.as_ref());
        match local {
            Some(local) if local.attempt == holder.attempt => local.phase == Phase::Unanswered,
            _ => self.owner_has_stopped(holder),
        }
    }

    fn owner_has_stopped(&self, holder: &Holder) -> bool {
        if holder.owner.host == self.owner.host {
            return holder.owner.incarnation != self.owner.incarnation;
        }
        let live = self.live.get(&holder.owner.host);
        live.is_none_or(|incarnation| *incarnation > holder.owner.incarnation)
    }
}

fn append_outcome(target: &Target, answer: OrderAnswer) -> Action {
    let Target { key, attempt, .. } = target.clone();
    Action::Append(Record::Outcome(Outcome { key, attempt, answer }))
}
