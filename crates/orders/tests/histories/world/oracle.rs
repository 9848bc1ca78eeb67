//! The order service, which never deduplicates, and what must hold of its executions and replies.

use super::answer;
use orders::executor::{Order, Target, WaiterId};
use orders::key::{OrderDigest, OrderKey};
use orders::record::{OrderAnswer, Owner};
use protocol::error::{ErrorKind, Execution};
use protocol::ids::AttemptId;
use std::collections::{BTreeMap, BTreeSet};

#[derive(Default)]
pub struct Oracle {
    executed: BTreeMap<OrderKey, Vec<AttemptId>>,
    orders: BTreeMap<WaiterId, (Order, Owner)>,
    replies: BTreeMap<WaiterId, Result<OrderAnswer, ErrorKind>>,
    never: BTreeSet<AttemptId>,
    bodies: BTreeMap<OrderKey, BTreeSet<String>>,
    digests: BTreeMap<AttemptId, OrderDigest>,
    doubtful: BTreeSet<OrderKey>,
    pub violations: Vec<String>,
}

impl Oracle {
    pub fn note_submit(&mut self, order: &Order, owner: &Owner) {
        self.bodies.entry(order.key.clone()).or_default().insert(order.digest.to_string());
        self.digests.insert(order.attempt.clone(), order.digest);
        self.orders.insert(order.waiter, (order.clone(), owner.clone()));
    }

    pub fn note_crash(&mut self, owner: &Owner) {
        let dead = |asked: &Owner| asked == owner;
        let keys = self.orders.values().filter(|(_, asked)| dead(asked));
        self.doubtful.extend(keys.map(|(order, _)| order.key.clone()));
        self.orders.retain(|waiter, (_, asked)| !dead(asked) || self.replies.contains_key(waiter));
    }

    pub fn note_lost(&mut self, target: &Target) {
        self.doubtful.insert(target.key.clone());
    }

    /// Executes an attempt: at most one of a key, and none that a caller was told is not run.
    pub fn execute(&mut self, target: &Target) -> OrderAnswer {
        let attempts = self.executed.entry(target.key.clone()).or_default();
        attempts.push(target.attempt.clone());
        if attempts.len() > 1 {
            self.violations.push(format!("{} executed as {attempts:?}", target.key));
        }
        if self.never.contains(&target.attempt) {
            self.violations.push(format!("{} executed after 'not run'", target.attempt));
        }
        answer(target.attempt.as_str())
    }

    pub fn outcome(&self, key: &OrderKey) -> Option<OrderAnswer> {
        self.executed.get(key).and_then(|attempts| attempts.first()).map(|a| answer(a.as_str()))
    }

    /// Checks a reply: one a caller, an answer is the executed one, and 'not run' is true.
    pub fn note_reply(&mut self, waiter: WaiterId, reply: Result<OrderAnswer, ErrorKind>) {
        let Some((order, owner)) = self.orders.get(&waiter) else { return };
        let truth = self.outcome(&order.key);
        match &reply {
            Ok(answer) if truth.as_ref() != Some(answer) => {
                self.violations.push(format!("{} answered {answer:?}, not {truth:?}", order.key));
            }
            Ok(answer) if self.digest_of(answer) != Some(order.digest) => {
                self.violations.push(format!("{} answered with another body's", order.key));
            }
            Err(kind) if kind.answer().execution == Execution::NotRun => {
                let refused = self.refused_attempts(order, owner, *kind);
                let executed = self.executed.values().flatten();
                if let Some(attempt) = executed.into_iter().find(|a| refused.contains(*a)) {
                    self.violations.push(format!("{attempt} ran, but 'not run' was said: {kind}"));
                }
                self.never.extend(refused);
            }
            _ => {}
        }
        if self.replies.insert(waiter, reply).is_some() {
            self.violations.push(format!("{waiter:?} got two replies"));
        }
    }

    /// Returns whether every caller whose process lives got a reply.
    pub fn is_answered(&self) -> bool {
        self.orders.keys().all(|waiter| self.replies.contains_key(waiter))
    }

    /// Checks at the end that every caller heard back and that no key is stuck.
    pub fn check_settled(&mut self, resent: &[OrderKey]) {
        for (waiter, (order, _)) in &self.orders {
            if !self.replies.contains_key(waiter) {
                self.violations.push(format!("{} was never answered", order.key));
            }
        }
        for key in resent {
            let last = self.orders.values().rfind(|(order, _)| order.key == *key);
            let reply = last.and_then(|(order, _)| self.replies.get(&order.waiter));
            let fine = match reply {
                Some(Ok(_)) => true,
                Some(Err(ErrorKind::IdempotencyKeyExpired)) => true,
                Some(Err(ErrorKind::IdempotencyKeyReused)) => self.bodies[key].len() > 1,
                Some(Err(ErrorKind::OutcomeUnknown)) => {
                    self.outcome(key).is_none() && self.doubtful.contains(key)
                }
                _ => false,
            };
            if !fine {
                self.violations.push(format!("{key} is stuck: {reply:?}"));
            }
        }
    }

    fn digest_of(&self, answer: &OrderAnswer) -> Option<OrderDigest> {
        self.digests.get(&answer.body.parse().ok()?).copied()
    }

    /// Returns the attempts that must never run after a caller was told 'not run'.
    ///
    /// A reused or an old key is refused whatever ran under it before, so only the attempt of that
    /// very call counts; else every attempt that the same process made for the key does.
    fn refused_attempts(&self, order: &Order, owner: &Owner, kind: ErrorKind) -> Vec<AttemptId> {
        if matches!(kind, ErrorKind::IdempotencyKeyReused | ErrorKind::IdempotencyKeyExpired) {
            return vec![order.attempt.clone()];
        }
        let same = self.orders.values().filter(|(other, asked)| {
            asked == owner && other.key == order.key && other.waiter <= order.waiter
        });
        same.map(|(other, _)| other.attempt.clone()).collect()
    }
}
