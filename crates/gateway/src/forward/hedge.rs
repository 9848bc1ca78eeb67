//! Hedged requests: while a server is unresponsive, or late with a first attempt, another one is
//! tried beside it, and the first to deliver is used.
//!
//! An unresponsive server may go on at any time, so its connection closes only after another server
//! has delivered.

use crate::event;
use crate::forward::admit::Unplaced;
use crate::forward::attempt::{Attempt, AttemptResult};
use crate::forward::job::Job;
use crate::forward::lateness::{HedgeEnd, LateWatch};
use crate::forward::outcome::MayHaveRun;
use crate::forward::place::{self, Placed};
use crate::forward::validation;
use dispatch::choice::NoServer;
use dispatch::crashes::Verdict;
use dispatch::hedging::Withheld;
use dispatch::load::InFlightId;
use dispatch::registry::ServerId;
use std::pin::Pin;
use std::sync::Arc;

/// The reason why no further attempt was made.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Obstacle {
    /// The route allows no further attempt, or the deadline has passed.
    NoAttemptLeft,
    /// No other server can take the request.
    NoServer,
    /// The request is a long prompt for which no other server has room now.
    NoFreeCapacity,
    /// The retry budget is exhausted.
    RetryBudget,
    /// The request crashes servers.
    CrashesServers,
    /// A late request is not hedged.
    Withheld(Withheld),
    /// The gateway itself was late to consider the request.
    GatewayDelayed,
}

impl Obstacle {
    /// Returns the reason's name in logs and counters.
    pub const fn as_str(self) -> &'static str {
        match self {
            Obstacle::NoAttemptLeft => "no_attempt_left",
            Obstacle::NoServer => "no_server",
            Obstacle::NoFreeCapacity => "no_room",
            Obstacle::RetryBudget => "over_budget",
            Obstacle::CrashesServers => "crashes_servers",
            Obstacle::Withheld(reason) => reason.as_str(),
            Obstacle::GatewayDelayed => "gateway_delayed",
        }
    }
}

/// An unfinished attempt. Dropping it closes the connection to its server.
pub struct RunningAttempt {
    /// The server.
    pub server: ServerId,
    /// The prompt tokens that the server prefills; `None` without a prompt.
    pub prefill_tokens: Option<u64>,
    /// The expected time to the first byte, in milliseconds.
    pub expected_first_byte_ms: f64,
    in_flight: InFlightId,
    result: Pin<Box<dyn Future<Output = AttemptResult> + Send>>,
}

impl RunningAttempt {
    /// Starts an attempt on the chosen server.
    pub fn start(job: &Job, placed: Placed) -> Self {
        let server = placed.entry.id.clone();
        let prefill_tokens = placed.prefill_tokens(job.request.spec.prompt.as_ref());
        let expected_first_byte_ms = placed.chosen.first_byte_ms;
        let in_flight = placed.in_flight.id();
        let result = Box::pin(Attempt::new(job, placed).send());
        Self { server, prefill_tokens, expected_first_byte_ms, in_flight, result }
    }

    /// Waits for the result of the attempt. Dropping the future does not end the attempt.
    pub async fn result(&mut self) -> AttemptResult {
        self.result.as_mut().await
    }
}

/// Waits for the result of an optional attempt; forever without one.
pub async fn result_of(attempt: &mut Option<RunningAttempt>) -> AttemptResult {
    match attempt {
        Some(attempt) => attempt.result().await,
        None => std::future::pending().await,
    }
}

/// Waits for the result of an attempt, hedged while its server is unresponsive or late. Returns the
/// server with the result; a failure is returned once no other attempt is unfinished.
pub async fn run(job: &mut Job, first: RunningAttempt) -> (ServerId, AttemptResult) {
    let node = Arc::clone(&job.node);
    let mut first = first;
    let mut hedge = None;
    let mut late = LateWatch::start(job, &first);
    loop {
        let unresponsive = node.server_unresponsive.notified();
        tokio::select! {
            biased;
            result = first.result() => {
                let has_delivered = result.has_delivered();
                if let Some(watch) = late.as_ref().filter(|_| has_delivered) {
                    watch.record_delivered(&node);
                }
                let Some(other) = hedge.take() else { return (first.server, result) };
                let end = if has_delivered { HedgeEnd::Lost } else { HedgeEnd::TookOver };
                let was_late = end_late_hedge(&mut late, job, &other.server, end);
                if has_delivered {
                    if was_late {
                        job.record_cancelled(&other.server);
                    } else {
                        job.record_unused_hedge(&other.server);
                    }
                    return (first.server, result);
                }
                job.record_failure(&first.server, &result);
                late = None;
                first = other;
            }
            result = result_of(&mut hedge) => {
                let Some(other) = hedge.take() else { continue };
                let has_delivered = result.has_delivered();
                let end = if has_delivered { HedgeEnd::Won } else { HedgeEnd::Failed };
                let was_late = end_late_hedge(&mut late, job, &other.server, end);
                if has_delivered {
                    if was_late {
                        node.state().loads.superseded(&first.server, first.in_flight);
                        job.record_cancelled(&first.server);
                    } else {
                        job.record_may_have_run(&first.server, MayHaveRun::Unresponsive);
                    }
                    return (other.server, result);
                }
                job.record_failure(&other.server, &result);
            }
            () = node.ending() => {
                let result = AttemptResult::MayHaveRun(MayHaveRun::DeadlineExceeded);
                return (first.server, result);
            }
            () = unresponsive => {
                if hedge.is_none() {
                    hedge = job.start_hedge(&first.server);
                }
            }
            () = LateWatch::due(late.as_ref(), &node), if hedge.is_none() => {
                // It may have been found unresponsive while nothing waited to be notified.
                hedge = job.start_hedge(&first.server);
                if let Some(watch) = late.as_mut().filter(|_| hedge.is_none()) {
                    hedge = job.start_late_hedge(&first.server, watch);
                }
            }
        }
    }
}

/// Records the end of a hedge; returns whether it was started because the first attempt was late.
fn end_late_hedge(
    late: &mut Option<LateWatch>,
    job: &Job,
    other: &ServerId,
    end: HedgeEnd,
) -> bool {
    late.as_mut().is_some_and(|watch| watch.end_hedge(job, other, end))
}

impl Job {
    /// Starts another attempt beside a number of unfinished ones.
    ///
    /// # Errors
    ///
    /// Returns the reason why no further attempt can be made now.
    pub fn start_retry(&self, unfinished: u32) -> Result<RunningAttempt, Obstacle> {
        self.check_retry(unfinished)?;
        let placed = place::place(self).map_err(|reason| match reason {
            Unplaced::NoServer(NoServer::NoFreeCapacity) => Obstacle::NoFreeCapacity,
            Unplaced::NoServer(
                NoServer::NoneUsable
                | NoServer::TooLarge
                | NoServer::Closed(_)
                | NoServer::Ineligible(_),
            )
            | Unplaced::Denied(_) => Obstacle::NoServer,
        })?;
        if !self.take_retry() {
            return Err(Obstacle::RetryBudget);
        }
        Ok(RunningAttempt::start(self, placed))
    }

    /// Checks whether another attempt may be made beside a number of unfinished ones.
    ///
    /// # Errors
    ///
    /// Returns the reason why none may be made.
    pub fn check_retry(&self, unfinished: u32) -> Result<(), Obstacle> {
        let is_over = self.remaining_ms() == 0 || self.node.is_ending();
        if is_over || !self.may_retry_beside(unfinished) {
            return Err(Obstacle::NoAttemptLeft);
        }
        // A trial may crash its server, so nothing runs beside it.
        let is_trial_beside = self.is_trial && unfinished > 0;
        if is_trial_beside || self.check_crashes() != Verdict::Allowed {
            return Err(Obstacle::CrashesServers);
        }
        Ok(())
    }

    /// Starts another attempt, once a server has free capacity for it.
    ///
    /// # Errors
    ///
    /// Returns the reason why no further attempt can be made.
    pub async fn start_retry_when_free(&mut self) -> Result<RunningAttempt, Obstacle> {
        loop {
            match self.start_retry(0) {
                Err(Obstacle::NoFreeCapacity) => self.wait_in_queue().await,
                result => {
                    self.leave_queue();
                    return result;
                }
            }
        }
    }

    /// Starts an attempt on another server if this one is unresponsive.
    pub fn start_hedge(&mut self, server: &ServerId) -> Option<RunningAttempt> {
        if !self.node.state().loads.is_offline(server) {
            return None;
        }
        self.exclude(server);
        let started = self.start_retry(1);
        let kind = started.as_ref().map_or_else(|obstacle| obstacle.as_str(), |_| "started");
        self.node.metrics.count("hedges", kind);
        event!(warn, self.node.now_ms(), "request_hedged", {
            "request": self.request.id_text(),
            "route": self.request.route.name,
            "server": server.as_str(),
            "other_server": started.as_ref().ok().map(|other| other.server.as_str()),
            "result": kind,
            "last_event": self.last_event_id,
            "remaining_ms": self.remaining_ms(),
        });
        started.ok()
    }

    /// Records an attempt that failed while another one goes on.
    pub fn record_failure(&mut self, server: &ServerId, result: &AttemptResult) {
        match (result, result.reason()) {
            (AttemptResult::NotRun(reason), _) => self.record_not_run(server, *reason),
            (_, Some(reason)) => self.record_may_have_run(server, reason),
            (_, None) => {}
        }
    }

    /// Records a hedge that is cancelled because the first server went on.
    pub fn record_unused_hedge(&mut self, server: &ServerId) {
        self.record_cancelled(server);
        self.node.metrics.count("hedges", "unused");
    }

    /// Records an attempt that is cancelled because another one delivered.
    pub fn record_cancelled(&mut self, server: &ServerId) {
        self.exclude(server);
        self.may_have_run_on.push(server.clone());
    }
}

impl AttemptResult {
    /// Returns why a request that may have run does not continue its stream; `None` if it does, or
    /// did not run.
    pub const fn reason(&self) -> Option<MayHaveRun> {
        match self {
            AttemptResult::MayHaveRun(reason) => Some(*reason),
            AttemptResult::Answered(_) => Some(MayHaveRun::ServerFailed),
            AttemptResult::NotRun(_) | AttemptResult::Streaming(_) => None,
        }
    }

    /// Returns whether the result is better than that of another attempt may be.
    fn has_delivered(&self) -> bool {
        match self {
            AttemptResult::Answered(answered) => {
                let status = answered.response.status();
                !status.is_server_error() && !validation::promises_not_run(status)
            }
            AttemptResult::Streaming(_) => true,
            AttemptResult::NotRun(_) | AttemptResult::MayHaveRun(_) => false,
        }
    }
}
