//! The model order service, which never deduplicates, and the checks on executions and replies.

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
    reported_not_run: BTreeSet<AttemptId>,
    bodies: BTreeMap<OrderKey, BTreeSet<String>>,
    digests: BTreeMap<AttemptId, OrderDigest>,
    unconfirmed: BTreeSet<OrderKey>,
    pub violations: Vec<String>,
}

impl Oracle {
    pub fn record_submit(&mut self, order: &Order, owner: &Owner) {
        self.bodies.entry(order.key.clone()).or_default().insert(order.digest.to_string());
        self.digests.insert(order.attempt.clone(), order.digest);
        self.orders.insert(order.waiter, (order.clone(), owner.clone()));
    }

    pub fn record_crash(&mut self, owner: &Owner) {
        let crashed = |other: &Owner| other == owner;
        let keys = self.orders.values().filter(|(_, other_owner)| crashed(other_owner));
        self.unconfirmed.extend(keys.map(|(order, _)| order.key.clone()));
        self.orders.retain(|waiter, (_, other_owner)| {
            !crashed(other_owner) || self.replies.contains_key(waiter)
        });
    }

    pub fn record_unanswered(&mut self, target: &Target) {
        self.unconfirmed.insert(target.key.clone());
    }

    /// Executes an attempt; checks that it is the only one of its key and was not reported as
    /// 'not run'.
    pub fn execute(&mut self, target: &Target) -> OrderAnswer {
        let attempts = self.executed.entry(target.key.clone()).or_default();
        attempts.push(target.attempt.clone());
        if attempts.len() > 1 {
            self.violations.push(format!("{} executed as {attempts:?}", target.key));
        }
        if self.reported_not_run.contains(&target.attempt) {
            self.violations.push(format!("{} executed after 'not run'", target.attempt));
        }
        answer(target.attempt.as_str())
    }

    pub fn outcome(&self, key: &OrderKey) -> Option<OrderAnswer> {
        self.executed.get(key).and_then(|attempts| attempts.first()).map(|a| answer(a.as_str()))
    }

    /// Checks that a caller gets one reply, that an answer is that of the executed attempt and that
    /// 'not run' is true.
    pub fn check_reply(&mut self, waiter: WaiterId, reply: Result<OrderAnswer, ErrorKind>) {
        let Some((order, owner)) = self.orders.get(&waiter) else { return };
        let executed_answer = self.outcome(&order.key);
        match &reply {
            Ok(answer) if executed_answer.as_ref() != Some(answer) => {
                self.violations
                    .push(format!("{} answered {answer:?}, not {executed_answer:?}", order.key));
            }
            Ok(answer) if self.digest_of(answer) != Some(order.digest) => {
                self.violations.push(format!("{} answered with another body's", order.key));
            }
            Err(kind) if kind.answer().execution == Execution::NotRun => {
                let refused = self.refused_attempts(order, owner, *kind);
                let executed = self.executed.values().flatten();
                if let Some(attempt) = executed.into_iter().find(|a| refused.contains(*a)) {
                    self.violations
                        .push(format!("{attempt} ran, but 'not run' was reported: {kind}"));
                }
                self.reported_not_run.extend(refused);
            }
            _ => {}
        }
        if self.replies.insert(waiter, reply).is_some() {
            self.violations.push(format!("{waiter:?} got two replies"));
        }
    }

    /// Returns whether every caller whose process has not crashed got a reply.
    pub fn is_answered(&self) -> bool {
        self.orders.keys().all(|waiter| self.replies.contains_key(waiter))
    }

    /// Checks at the end that every caller got a reply and that no key is stuck.
    pub fn check_settled(&mut self, resent: &[OrderKey]) {
        for (waiter, (order, _)) in &self.orders {
            if !self.replies.contains_key(waiter) {
                self.violations.push(format!("{} was never answered", order.key));
            }
        }
        for key in resent {
            let last = self.orders.values().rfind(|(order, _)| order.key == *key);
            let reply = last.and_then(|(order, _)| self.replies.get(&order.waiter));
            let is_valid = match reply {
                Some(Ok(_)) => true,
                Some(Err(ErrorKind::IdempotencyKeyExpired)) => true,
                Some(Err(ErrorKind::IdempotencyKeyReused)) => self.bodies[key].len() > 1,
                Some(Err(ErrorKind::OutcomeUnknown)) => {
                    self.outcome(key).is_none() && self.unconfirmed.contains(key)
                }
                _ => false,
            };
            if !is_valid {
                self.violations.push(format!("{key} is stuck: {reply:?}"));
            }
        }
    }

    fn digest_of(&self, answer: &OrderAnswer) -> Option<OrderDigest> {
        self.digests.get(&answer.body.parse().ok()?).copied()
    }

    /// Returns the attempts that must never run after a reply of 'not run'.
    ///
    /// A reused or expired key is refused regardless of what ran under it before, so these are only
    /// the attempt of that call. Otherwise they are all attempts that the same process had made for
    /// the key by then.
    fn refused_attempts(&self, order: &Order, owner: &Owner, kind: ErrorKind) -> Vec<AttemptId> {
        if matches!(kind, ErrorKind::IdempotencyKeyReused | ErrorKind::IdempotencyKeyExpired) {
            return vec![order.attempt.clone()];
        }
        let same_process = self.orders.values().filter(|(other, other_owner)| {
            other_owner == owner && other.key == order.key && other.waiter <= order.waiter
        });
        same_process.map(|(other, _)| other.attempt.clone()).collect()
    }
}
