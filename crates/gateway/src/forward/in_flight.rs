//! Attempts in the load of their servers.

use crate::callers::CallerRequest;
use crate::crashes;
use crate::forward::outcome::MayHaveRun;
use crate::node::Node;
use crate::paths;
use crate::shares::Work;
use dispatch::backlog::{Fullness, Pace};
use dispatch::load::{InFlightId, LoadHeader, Outcome};
use dispatch::registry::{ServerEntry, ServerId};
use std::sync::Arc;

/// An attempt that counts as in flight on its server until it ends or is dropped.
#[derive(Debug)]
pub struct InFlightAttempt {
    node: Arc<Node>,
    server: Arc<ServerEntry>,
    id: InFlightId,
    is_open: bool,
    timed: Option<TimedAttempt>,
}

/// What the time of an attempt is compared with.
#[derive(Clone, Debug)]
pub struct TimedAttempt {
    /// When it was sent.
    pub sent_ms: u64,
    /// The fullness of its server then, with the attempt.
    pub fullness: Fullness,
    /// The work of the request.
    pub work: Work,
    /// The request's deadline.
    pub deadline_at_ms: u64,
}

impl InFlightAttempt {
    /// Wraps an attempt that was recorded in the load of its server.
    pub const fn new(node: Arc<Node>, server: Arc<ServerEntry>, id: InFlightId) -> Self {
        Self { node, server, id, is_open: true, timed: None }
    }

    /// Records how long the attempt takes, once it has ended.
    pub fn with_timing(mut self, timed: Option<TimedAttempt>) -> Self {
        self.timed = timed;
        self
    }

    /// Returns the attempt's id.
    pub const fn id(&self) -> InFlightId {
        self.id
    }

    /// Returns the server.
    pub fn server(&self) -> &ServerId {
        &self.server.id
    }

    /// Records that the head of the answer was received.
    pub fn start(&self, load: Option<LoadHeader>) {
        self.node.state().loads.started(&self.server.id, self.id, load, self.node.now_ms());
    }

    /// Records that bytes were received from the server.
    pub fn record_activity(&self) {
        self.node.state().loads.record_activity(&self.server.id, self.node.now_ms());
    }

    /// Records the outcome of the attempt.
    pub fn end(mut self, outcome: Outcome) {
        self.close(outcome);
    }

    /// Records that the attempt failed although it may have run; `has_begun` is whether the
    /// caller has got part of its answer.
    pub fn fail(self, reason: MayHaveRun, request: &CallerRequest, has_begun: bool) {
        self.fail_with(reason.outcome(), reason, request, has_begun);
    }

    /// Records the same with an outcome for the load of the server that depends on more than the
    /// reason.
    pub fn fail_with(
        self,
        outcome: Outcome,
        reason: MayHaveRun,
        request: &CallerRequest,
        has_begun: bool,
    ) {
        if reason == MayHaveRun::Aborted {
            crashes::record_aborted(&self.node, &self.server, request, has_begun);
        }
        self.end(outcome);
    }

    fn close(&mut self, outcome: Outcome) {
        if std::mem::replace(&mut self.is_open, false) {
            if outcome == Outcome::ConnectionFailed {
                paths::verify(&self.node, &self.server);
            }
            let now_ms = self.node.now_ms();
            let mut state = self.node.state();
            state.loads.finished(&self.server.id, self.id, outcome, now_ms);
            if let (Some(timed), Some(shares)) = (&self.timed, &mut state.shares) {
                timed.record(shares.pace_mut(&self.server.service), outcome, now_ms);
            }
            drop(state);
            self.node.capacity_freed.notify_waiters();
        }
    }
}

impl TimedAttempt {
    fn record(&self, pace: Option<&mut Pace>, outcome: Outcome, now_ms: u64) {
        let Some(pace) = pace else { return };
        let took_ms = now_ms.saturating_sub(self.sent_ms) as f64;
        let work_tokens = self.work.tokens() as f64;
        match outcome {
            Outcome::Answered => pace.record_answer(took_ms, self.fullness, work_tokens),
            Outcome::Cancelled if now_ms >= self.deadline_at_ms => {
                pace.record_overdue(took_ms, self.fullness, work_tokens);
            }
            Outcome::Cancelled | Outcome::Failed | Outcome::Shed | Outcome::ConnectionFailed => {}
        }
    }
}

impl Drop for InFlightAttempt {
    fn drop(&mut self) {
        self.close(Outcome::Cancelled);
    }
}
