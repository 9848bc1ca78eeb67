//! The state of one order under way on this host.

use super::WaiterId;
use crate::key::OrderDigest;
use crate::record::OrderAnswer;
use protocol::ids::AttemptId;
use smallvec::SmallVec;

/// Holds what is under way for one key.
#[derive(Debug, Default)]
pub(super) struct Work {
    /// This host's own attempt, as long as it may be dispatched or was.
    pub(super) own: Option<OwnAttempt>,
    /// The callers that wait.
    pub(super) waiters: SmallVec<[Waiter; 1]>,
    /// When the service was last asked for the outcome.
    pub(super) asked_at_ms: Option<u64>,
    /// Whether the service was asked and did not know the order.
    pub(super) unknown: bool,
    /// The answer, learnt from the service, whose outcome record was not read back yet.
    pub(super) learnt: Option<Learnt>,
}

impl Work {
    pub(super) fn learn(&mut self, answer: OrderAnswer, now_ms: u64) {
        self.learnt = Some(Learnt { answer, at_ms: now_ms });
    }

    /// Returns the learnt answer if it may be passed on before its outcome record is read back.
    ///
    /// It may if this host sent the attempt. An answer to a status check may belong to another
    /// attempt, at a different order, if this host has not yet read the records in between.
    pub(super) fn certain_answer(&self) -> Option<&Learnt> {
        let sent = self.own.as_ref().is_some_and(|own| !own.is_intended());
        self.learnt.as_ref().filter(|_| sent)
    }

    /// Takes out the waiters that fit.
    pub(super) fn take_waiters(&mut self, fits: impl Fn(&Waiter) -> bool) -> SmallVec<[Waiter; 1]> {
        let (taken, kept) = std::mem::take(&mut self.waiters).into_iter().partition(fits);
        self.waiters = kept;
        taken
    }

    /// Returns whether the order is to be waited for; one whose answer was lost is not.
    pub(super) fn is_open(&self) -> bool {
        let runs = self.own.as_ref().is_some_and(|own| own.phase != Phase::Uncertain);
        runs || !self.waiters.is_empty()
    }

    pub(super) fn is_done(&self) -> bool {
        self.own.is_none() && self.waiters.is_empty()
    }
}

/// Holds an answer learnt from the service.
#[derive(Debug)]
pub(super) struct Learnt {
    pub(super) answer: OrderAnswer,
    pub(super) at_ms: u64,
}

/// Holds an attempt that this host owns.
#[derive(Debug)]
pub(super) struct OwnAttempt {
    pub(super) attempt: AttemptId,
    pub(super) digest: OrderDigest,
    pub(super) phase: Phase,
}

impl OwnAttempt {
    pub(super) const fn is_intended(&self) -> bool {
        matches!(self.phase, Phase::Intended { .. })
    }
}

/// Says how far an own attempt is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Phase {
    /// Its intent waits to be read back.
    Intended { give_up_at_ms: u64 },
    /// It was handed out to be sent.
    Dispatched,
    /// The service answered.
    Answered,
    /// It was sent, and the answer was lost.
    Uncertain,
}

/// Holds one caller that waits.
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
