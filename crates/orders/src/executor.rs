//! What one host does about the orders of its callers.

mod replies;
mod work;

use crate::key::{OrderDigest, OrderKey};
use crate::ledger::{Holder, Ledger, Verdict};
use crate::limits::{KeyAge, OrderLimits};
use crate::record::{Intent, OrderAnswer, Outcome, Owner, Record, Release};
use protocol::error::ErrorKind;
use protocol::ids::{AttemptId, HostName, Incarnation, ServiceName};
use std::collections::{BTreeMap, HashMap};
use work::{OwnAttempt, Phase, Waiter, Work};

/// Identifies one waiting caller of this process.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct WaiterId(u64);

impl WaiterId {
    /// Wraps a number.
    pub const fn new(value: u64) -> Self {
        Self(value)
    }

    /// Returns the number.
    pub const fn value(self) -> u64 {
        self.0
    }
}

/// Holds one order as a caller sent it.
#[derive(Clone, Debug)]
pub struct Order {
    /// Who waits for the reply.
    pub waiter: WaiterId,
    /// The order's key.
    pub key: OrderKey,
    /// The order service.
    pub service: ServiceName,
    /// What is ordered.
    pub digest: OrderDigest,
    /// A new attempt id, unique for all time.
    pub attempt: AttemptId,
    /// Until when the caller waits.
    pub deadline_ms: u64,
}

/// Describes the platform's log as seen from this host.
#[derive(Clone, Copy, Debug)]
pub struct LogView {
    /// Whether appends are expected to work.
    pub up: bool,
    /// Since when the stream was read without a gap.
    pub covered_from_ms: Option<u64>,
}

/// Tells what became of a dispatched attempt.
#[derive(Clone, Debug, PartialEq)]
pub enum DispatchResult {
    /// The service answered.
    Answered(OrderAnswer),
    /// No byte was sent, or the server itself said that it did not run the order.
    NotRun(ErrorKind),
    /// The order was sent, and no whole answer came.
    Unanswered,
}

/// Asks the daemon to do something, once.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Append a record, until it is known to be in the log.
    Append(Record),
    /// Send the attempt to a server of its service.
    Dispatch(Target),
    /// Ask the service whether the attempt was executed.
    QueryOutcome(Target),
    /// Reply to a caller.
    Reply(WaiterId, Result<OrderAnswer, ErrorKind>),
}

/// Names an attempt at an order of a service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// The order's key.
    pub key: OrderKey,
    /// The attempt.
    pub attempt: AttemptId,
    /// The order service.
    pub service: ServiceName,
}

/// Executes the orders of some keys for one host.
#[derive(Debug)]
pub struct Executor {
    limits: OrderLimits,
    owner: Owner,
    live: BTreeMap<HostName, Incarnation>,
    work: HashMap<OrderKey, Work>,
}

impl Executor {
    /// Creates an executor without orders.
    pub fn new(limits: OrderLimits, owner: Owner) -> Self {
        Self { limits, owner, live: BTreeMap::new(), work: HashMap::new() }
    }

    /// Replaces the entry hosts believed live; a wrong belief costs a status call, nothing else.
    pub fn set_live_hosts(&mut self, live: BTreeMap<HostName, Incarnation>) {
        self.live = live;
    }

    /// Returns how many orders are under way here that will still come to an end.
    pub fn open_orders(&self) -> usize {
        self.work.values().filter(|work| work.is_open()).count()
    }

    /// Takes an order.
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
        if holder.is_some() || self.work.contains_key(&order.key) {
            return self.join(order, ledger, now_ms);
        }
        if let Some(refusal) = self.log_refusal(&order, log) {
            return vec![Action::Reply(order.waiter, Err(refusal))];
        }
        self.claim(order, now_ms)
    }

    /// Reacts to a record that the ledger has just applied.
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
            (Record::Intent(intent), Verdict::Holds) => self.other_holds(key, intent.digest),
            (Record::Intent(intent), Verdict::Void) if self.is_pending(intent) => {
                self.follow_holder(key, ledger, now_ms)
            }
            (Record::Intent(intent), Verdict::Expired) if self.is_pending(intent) => {
                self.refuse_all(key, ErrorKind::IdempotencyKeyExpired)
            }
            (Record::Intent(intent), Verdict::Future) if self.is_pending(intent) => {
                self.give_up(key, ErrorKind::InvalidIdempotencyKey)
            }
            (Record::Outcome(outcome), Verdict::Recorded) => {
                self.finish(key, outcome.answer.clone())
            }
            (Record::Release(_), Verdict::Freed) => self.holder_released(key),
            _ => Vec::new(),
        }
    }

    /// Takes the result of an [`Action::Dispatch`].
    pub fn dispatched(
        &mut self,
        target: &Target,
        result: DispatchResult,
        now_ms: u64,
    ) -> Vec<Action> {
        let Some(work) = self.work.get_mut(&target.key) else { return Vec::new() };
        let Some(own) = work.own.as_mut().filter(|own| own.attempt == target.attempt) else {
            return Vec::new();
        };
        match result {
            DispatchResult::Answered(answer) => {
                own.phase = Phase::Answered;
                work.learn(answer.clone(), now_ms);
                vec![append_outcome(target, answer)]
            }
            DispatchResult::NotRun(kind) => self.give_up(&target.key, kind),
            DispatchResult::Unanswered => {
                own.phase = Phase::Uncertain;
                work.asked_at_ms = Some(now_ms);
                vec![Action::QueryOutcome(target.clone())]
            }
        }
    }

    /// Takes the result of an [`Action::QueryOutcome`]; `None` if the service knows no such order.
    ///
    /// A service may still be executing what a dead owner sent, so it is asked twice before the
    /// outcome is called unknown.
    pub fn status_received(
        &mut self,
        target: &Target,
        answer: Option<OrderAnswer>,
        ledger: &Ledger,
        now_ms: u64,
    ) -> Vec<Action> {
        let gone = self.sender_is_gone(&target.key, ledger);
        let Some(work) = self.work.get_mut(&target.key) else { return Vec::new() };
        match answer {
            Some(answer) if work.learnt.is_none() => {
                work.learn(answer.clone(), now_ms);
                vec![append_outcome(target, answer)]
            }
            None if gone && work.unknown && work.learnt.is_none() => {
                self.report_unknown(&target.key)
            }
            None => {
                work.unknown = true;
                Vec::new()
            }
            _ => Vec::new(),
        }
    }

    /// Lets time pass: gives up intents, asks for outcomes, and replies at deadlines.
    pub fn tick(&mut self, ledger: &Ledger, now_ms: u64) -> Vec<Action> {
        let mut keys: Vec<OrderKey> = self.work.keys().cloned().collect();
        keys.sort();
        keys.iter().flat_map(|key| self.tick_key(key, ledger, now_ms)).collect()
    }

    fn early_refusal(&self, order: &Order, ledger: &Ledger, now_ms: u64) -> Option<ErrorKind> {
        if let Some(refusal) = self.age_refusal(order, now_ms) {
            return Some(refusal);
        }
        let own = self.work.get(&order.key).and_then(|work| work.own.as_ref());
        let known = ledger.holder(&order.key).map(|holder| holder.digest);
        let known = known.or(own.map(|own| own.digest));
        let reused = known.is_some_and(|digest| digest != order.digest);
        reused.then_some(ErrorKind::IdempotencyKeyReused)
    }

    /// Judges the key's age so that a ledger never forgets a key that is still let in here.
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
            // Nothing was read yet: what is read back together with the intent decides.
            None => None,
            Some(covered_from_ms) if self.limits.covers(covered_from_ms, order.key.key) => None,
            Some(_) => Some(ErrorKind::IdempotencyKeyExpired),
        }
    }

    fn claim(&mut self, order: Order, now_ms: u64) -> Vec<Action> {
        let intent = Intent {
            key: order.key.clone(),
            attempt: order.attempt.clone(),
            service: order.service,
            digest: order.digest,
            owner: self.owner.clone(),
        };
        let give_up_at_ms = now_ms.saturating_add(self.limits.intent_wait_ms);
        let own = OwnAttempt {
            attempt: order.attempt,
            digest: order.digest,
            phase: Phase::Intended { give_up_at_ms: give_up_at_ms.min(order.deadline_ms) },
        };
        let work = self.work.entry(order.key).or_default();
        work.own = Some(own);
        work.waiters.push(Waiter::new(order.waiter, order.deadline_ms, now_ms));
        vec![Action::Append(Record::Intent(intent))]
    }

    /// Returns whether the intent is this executor's own and still waits to be read back.
    ///
    /// An attempt that was given up is no longer here, so nothing can dispatch it.
    fn is_pending(&self, intent: &Intent) -> bool {
        let own = self.work.get(&intent.key).and_then(|work| work.own.as_ref());
        own.is_some_and(|own| own.attempt == intent.attempt && own.is_intended())
    }

    fn read_back(&mut self, intent: &Intent, covered_from_ms: u64) -> Vec<Action> {
        if !self.limits.covers(covered_from_ms, intent.key.key) {
            return self.give_up(&intent.key, ErrorKind::IdempotencyKeyExpired);
        }
        let own = self.work.get_mut(&intent.key).and_then(|work| work.own.as_mut());
        if let Some(own) = own {
            own.phase = Phase::Dispatched;
        }
        vec![Action::Dispatch(Target {
            key: intent.key.clone(),
            attempt: intent.attempt.clone(),
            service: intent.service.clone(),
        })]
    }

    /// Forgets the own attempt for good and releases the key; nothing of it was or will be run.
    fn give_up(&mut self, key: &OrderKey, kind: ErrorKind) -> Vec<Action> {
        let attempt = self.work.get_mut(key).and_then(|work| work.own.take());
        let release = attempt.map(|own| {
            Action::Append(Record::Release(Release { key: key.clone(), attempt: own.attempt }))
        });
        let mut actions: Vec<Action> = release.into_iter().collect();
        actions.extend(self.refuse_all(key, kind));
        actions
    }

    fn sender_is_gone(&self, key: &OrderKey, ledger: &Ledger) -> bool {
        let Some(holder) = ledger.holder(key) else { return true };
        let own = self.work.get(key).and_then(|work| work.own.as_ref());
        match own {
            Some(own) if own.attempt == holder.attempt => own.phase == Phase::Uncertain,
            _ => self.is_gone(holder),
        }
    }

    fn is_gone(&self, holder: &Holder) -> bool {
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
