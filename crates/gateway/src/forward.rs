//! Forwarding of one request: attempts on servers until one answers or the request is refused.

mod admit;
mod attempt;
pub mod events;
mod head;
mod hedge;
mod in_flight;
mod job;
mod lateness;
pub mod outcome;
mod place;
mod recheck;
mod relay;
mod source;
pub mod validation;

use crate::answer::{AnswerBody, Refusal};
use crate::callers::CallerRequest;
use crate::crashes;
use crate::event;
use crate::forward::admit::Unplaced;
use crate::forward::attempt::{Answered, AttemptResult};
use crate::forward::hedge::RunningAttempt;
use crate::forward::job::Job;
use crate::forward::outcome::MayHaveRun;
use crate::node::Node;
use dispatch::choice::{Closed, ClosedReason, NoServer};
use dispatch::configuration::RouteKind;
use dispatch::crashes::{Feature, Features, Verdict};
use dispatch::eligibility::Ineligible;
use dispatch::pauses;
use dispatch::registry::ServerId;
use http::Response;
use protocol::ids::FailureDomain;
use rand::Rng;
use std::sync::Arc;

/// The number of refused attempts after which the request is refused with a retry delay.
const MAX_REFUSED_ATTEMPTS: u32 = 3;
/// The number of servers whose holder granted no send after which no further holder is asked.
pub const MAX_REFUSED_GRANTS: u32 = 3;
/// The remaining time below which a request is no longer sent, in milliseconds.
const MIN_REMAINING_MS: u64 = 15;

/// Serves a request and returns the answer of a server, or a refusal.
pub async fn serve(node: Arc<Node>, request: CallerRequest) -> Response<AnswerBody> {
    let mut job = Job::new(Arc::clone(&node), request);
    if !node.accepts_until(job.request.spec.deadline_at_ms) {
        return job.abandon(Refusal::ShuttingDown);
    }
    {
        let now_ms = node.now_ms();
        node.state().retry_share.count_request(&job.request.spec.service, now_ms);
    }
    loop {
        if job.remaining_ms() < MIN_REMAINING_MS || node.is_ending() {
            return job.time_out();
        }
        match job.check_crashes() {
            Verdict::Allowed => {}
            Verdict::Refused { features, trial_ms } => {
                return job.refuse_crashing(&features, trial_ms);
            }
            Verdict::TrialDue(features) => {
                if let Err(reason) = job.check_servers() {
                    return job.refuse_unplaced(reason);
                }
                if !job.claim_trial(&features).await {
                    return job.refuse_crashing(&features, node.now_ms());
                }
            }
        }
        let placed = match place::place(&job) {
            Ok(placed) => placed,
            Err(Unplaced::NoServer(NoServer::NoFreeCapacity)) => {
                job.wait_in_queue().await;
                continue;
            }
            Err(Unplaced::NoServer(reason)) => {
                if reason == NoServer::NoneUsable && job.readmit_unsent().await {
                    continue;
                }
                return job.refuse_unplaced(reason);
            }
            Err(Unplaced::Denied(denial)) => {
                denial.log(&job);
                return job.refuse(denial.refusal(), Some(denial.retry_after_ms));
            }
        };
        job.leave_queue();
        if job.attempts() > 0 && !job.take_retry() {
            return job.abandon(Refusal::ServersRefused);
        }
        let attempt = RunningAttempt::start(&job, placed);
        let (server, result) = hedge::run(&mut job, attempt).await;
        match job.check_answer(&server, result) {
            AttemptResult::Answered(answered) => return job.finish_answered(&server, *answered),
            AttemptResult::Streaming(stream) => return relay::answer(job, *stream),
            AttemptResult::NotRun(reason) => {
                job.record_not_run(&server, reason);
                if job.refused_attempts >= MAX_REFUSED_ATTEMPTS {
                    return job.abandon(Refusal::ServersRefused);
                }
                if job.refused_grants >= MAX_REFUSED_GRANTS && !job.has_server_without_grant() {
                    return job.abandon(job.refusal_without_grant());
                }
            }
            AttemptResult::MayHaveRun(reason) => {
                job.record_may_have_run(&server, reason);
                if !job.may_retry() {
                    return job.abandon(reason.refusal());
                }
            }
        }
    }
}

impl Job {
    /// Turns an answer that is not passed on into the reason for that.
    fn check_answer(&self, server: &ServerId, result: AttemptResult) -> AttemptResult {
        let AttemptResult::Answered(answered) = &result else { return result };
        let status = answered.response.status();
        let is_safe = self.request.route.kind == RouteKind::Safe;
        if status.is_server_error() && is_safe && self.can_try_another(server) {
            return AttemptResult::MayHaveRun(MayHaveRun::ServerFailed);
        }
        // This server did not confirm that the request has not run.
        if validation::promises_not_run(status) {
            return AttemptResult::MayHaveRun(MayHaveRun::Aborted);
        }
        result
    }

    fn finish_answered(&mut self, server: &ServerId, answered: Answered) -> Response<AnswerBody> {
        let status = answered.response.status();
        if !status.is_server_error() {
            crashes::record_answered(&self.node, &self.request, answered.sent_ms);
        }
        self.log_answered(server, status.as_u16(), answered.first_byte_ms);
        answered.response
    }

    fn refuse_unplaced(&mut self, reason: NoServer) -> Response<AnswerBody> {
        let refusal = match reason {
            NoServer::NoFreeCapacity
            | NoServer::Closed(Closed { reason: ClosedReason::Full, .. }) => Refusal::Overloaded,
            NoServer::NoneUsable => Refusal::NoServer,
            NoServer::Ineligible(Ineligible::Region) => Refusal::NoAllowedServer,
            NoServer::Ineligible(Ineligible::Evacuated) => Refusal::Evacuated,
            NoServer::Ineligible(Ineligible::Unlisted) => Refusal::EvacuationsUnknown,
            NoServer::TooLarge => Refusal::TooLarge,
            NoServer::Closed(Closed { reason: ClosedReason::Paused, .. }) => Refusal::ServersPaused,
            NoServer::Closed(Closed { reason: ClosedReason::Limited, .. }) => {
                Refusal::ServersLimited
            }
            NoServer::Closed(Closed { reason: ClosedReason::Cold, .. }) => Refusal::ServersCold,
        };
        self.abandon(refusal)
    }

    /// Refuses a request that crashes servers.
    fn refuse_crashing(&mut self, features: &Features, trial_ms: u64) -> Response<AnswerBody> {
        /// The bounds of the delay after which the caller may retry, in milliseconds. What is
        /// refused may be cleared before the next trial is due.
        const MIN_MS: u64 = 1_000;
        const MAX_MS: u64 = 30_000;
        let has_same_content = features.contains(&Feature::content(&self.request.content));
        let refusal = match has_same_content {
            _ if self.may_have_run() => Refusal::ServerFailed,
            true => Refusal::CrashesServers,
            false => Refusal::PromptCrashesServers,
        };
        let now_ms = self.node.now_ms();
        self.crashing_parts = Some(self.request.segments_of(features));
        let retry_after_ms = trial_ms.saturating_sub(now_ms).clamp(MIN_MS, MAX_MS);
        let retry_after_ms = (refusal != Refusal::ServerFailed).then_some(retry_after_ms);
        self.refuse(refusal, retry_after_ms)
    }

    /// Refuses a request whose deadline has passed.
    fn time_out(&mut self) -> Response<AnswerBody> {
        self.abandon(if self.may_have_run() {
            Refusal::DeadlineExceeded
        } else {
            Refusal::DeadlineExceededUnsent
        })
    }

    /// Refuses a request. A request that may have run is never reported as not run.
    fn abandon(&mut self, refusal: Refusal) -> Response<AnswerBody> {
        let implies_not_run = refusal.status() == http::StatusCode::SERVICE_UNAVAILABLE;
        if implies_not_run && self.may_have_run() {
            return self.refuse(Refusal::ServerFailed, None);
        }
        let retry_after_ms = implies_not_run.then(|| self.retry_after_ms());
        self.refuse(refusal, retry_after_ms)
    }

    /// Returns a random delay for the caller's retry, which spreads the retries. Callers honour a
    /// delay of up to a third of their remaining time. While no server takes a request, the delay
    /// ends once the first one does.
    fn retry_after_ms(&self) -> u64 {
        /// The bounds of the delay, in milliseconds.
        const MIN_MS: u64 = 150;
        const MAX_MS: u64 = 1_000;
        let now_ms = self.node.now_ms();
        let first_to_open = self.first_to_open();
        if let Some(closed) = first_to_open {
            let wait_ms = closed.until_ms.saturating_sub(now_ms);
            return pauses::retry_after_ms(wait_ms, rand::random());
        }
        let usable_ms = self.remaining_ms() / 4;
        let limit_ms = usable_ms.clamp(MIN_MS + 1, MAX_MS);
        rand::rng().random_range(MIN_MS..limit_ms)
    }

    fn refuse(&mut self, refusal: Refusal, retry_after_ms: Option<u64>) -> Response<AnswerBody> {
        self.is_ended = true;
        let node = &self.node;
        node.metrics.count("refusals", refusal.as_str());
        let evacuated: Vec<FailureDomain> = node.state().evacuations.in_force().cloned().collect();
        event!(warn, node.now_ms(), "request_refused", {
            "request": self.request.id_text(),
            "content": self.request.content.to_string(),
            "route": self.request.route.name,
            "service": self.request.spec.service.as_str(),
            "reason": refusal.as_str(),
            "status": refusal.status().as_u16(),
            "sends": self.attempts(),
            "may_have_run": self.may_have_run(),
            "waited_ms": node.now_ms().saturating_sub(self.request.arrived_ms),
            "remaining_ms": self.remaining_ms(),
            "retry_after_ms": retry_after_ms,
            "crashing_parts": self.crashing_parts,
            "configuration": self.request.in_force.configuration.version.value(),
            "allowed_regions": self.allowed_regions().regions(),
            "evacuated": evacuated,
            "store_age_ms": node.store_age_ms(),
        });
        refusal.answer(retry_after_ms)
    }
}
