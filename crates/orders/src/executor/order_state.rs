//! The state of one order in progress on this host.

use super::WaiterId;
use crate::key::OrderDigest;
use crate::record::OrderAnswer;
use protocol::ids::AttemptId;
use smallvec::SmallVec;

/// The state of the order under one key.
#[derive(Debug, Default)]
pub(super) struct OrderState {
    /// This host's attempt, while it may still be dispatched or after it was.
    pub(super) local: Option<LocalAttempt>,
    /// The waiting callers.
    pub(super) waiters: SmallVec<[Waiter; 1]>,
    /// When the service was last queried for the outcome.
    pub(super) queried_at_ms: Option<u64>,
    /// Whether the service answered a query that it has no such order.
    pub(super) unknown_to_service: bool,
    /// An answer received from the service whose outcome record has not been read back yet.
    pub(super) received: Option<ReceivedAnswer>,
}

impl OrderState {
    pub(super) fn set_answer(&mut self, answer: OrderAnswer, now_ms: u64) {
        self.received = Some(ReceivedAnswer { answer, at_ms: now_ms });
    }

    /// Returns the received answer if callers may get it before its outcome record is read back.
    ///
    /// They may if this host sent the attempt. An answer to a status query may belong to another
    /// attempt, at a different order, if this host has not yet read the records in between.
    pub(super) fn local_answer(&self) -> Option<&ReceivedAnswer> {
        let sent = self.local.as_ref().is_some_and(|local| !local.is_intended());
        self.received.as_ref().filter(|_| sent)
    }

    /// Removes and returns the waiters that match a predicate.
    pub(super) fn take_waiters(
        &mut self,
        matches: impl Fn(&Waiter) -> bool,
    ) -> SmallVec<[Waiter; 1]> {
        let (matching, remaining) =
            std::mem::take(&mut self.waiters).into_iter().partition(matches);
        self.waiters = remaining;
        matching
    }

    /// Returns whether a drain waits for the order.
    ///
    /// It waits for an unanswered attempt only as long as callers wait.
    pub(super) fn is_open(&self) -> bool {
        let in_progress = self.local.as_ref().is_some_and(|local| local.phase != Phase::Unanswered);
        in_progress || !self.waiters.is_empty()
    }

    pub(super) fn is_done(&self) -> bool {
        self.local.is_none() && self.waiters.is_empty()
    }
}

/// An answer received from the service.
#[derive(Debug)]
pub(super) struct ReceivedAnswer {
    pub(super) answer: OrderAnswer,
    pub(super) at_ms: u64,
}

/// An attempt that this host owns.
#[derive(Debug)]
pub(super) struct LocalAttempt {
    pub(super) attempt: AttemptId,
    pub(super) digest: OrderDigest,
    pub(super) phase: Phase,
}

impl LocalAttempt {
    pub(super) const fn is_intended(&self) -> bool {
        matches!(self.phase, Phase::Intended { .. })
    }
}

/// The progress of a local attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Phase {
    /// The intent has not been read back yet.
    Intended { abandon_at_ms: u64 },
    /// The attempt was handed out for sending.
    Dispatched,
    /// The service answered.
    Answered,
    /// The attempt was sent, but no complete answer was received.
    Unanswered,
}

/// A waiting caller.
#[derive(Debug)]
pub(super) struct Waiter {
    pub(super) id: WaiterId,
    pub(super) deadline_ms: u64,
    pub(super) since_ms: u64,
}

impl Waiter {
    pub(super) const fn new(id: WaiterId, deadline_ms: u64, since_ms: u64) -> Self {
        Self { id, deadline_ms, since_ms }
    }
}
