//! Forwarding of one request: sends to servers until one answers or the request is given up.

mod attempt;
mod events;
mod head;
mod job;
mod place;
mod relay;
mod source;

pub use crate::forward::place::MOST_FETCH_MS;

use crate::answer::{AnswerBody, Refusal};
use crate::callers::CallerRequest;
use crate::event;
use crate::forward::attempt::{Attempt, MayHaveRun, NotRun};
use crate::forward::job::Job;
use crate::node::Node;
use dispatch::choice::NoServer;
use http::Response;
use rand::Rng;
use std::sync::Arc;

/// Most sends that servers refuse before the caller is told to come back.
const MAX_REFUSED_SENDS: u32 = 3;
/// The rest of a process's life in which only requests are taken that surely end before it, in
/// milliseconds. Before that, callers that a balancer still sends are served.
const UNSURE_END_MS: u64 = 4_500;
/// The time below which a request is not sent any more, in milliseconds.
const LEAST_REMAINING_MS: u64 = 15;

/// Serves a request: the answer of a server, or a refusal.
pub async fn serve(node: Arc<Node>, request: CallerRequest) -> Response<AnswerBody> {
    let mut job = Job::new(Arc::clone(&node), request);
    if node.ends_before(node.now_ms() + UNSURE_END_MS)
        && node.ends_before(job.request.demand.deadline_at_ms)
    {
        return job.give_up(Refusal::ShuttingDown);
    }
    {
        let now_ms = node.now_ms();
        let mut knowledge = node.state();
        if knowledge.crashes.is_refused(&job.request.content, now_ms) {
            drop(knowledge);
            return job.refuse(Refusal::CrashesServers, None);
        }
        knowledge.retry_share.count_request(&job.request.demand.service, now_ms);
    }
    loop {
        if job.remaining_ms() < LEAST_REMAINING_MS {
            return job.give_up_late();
        }
        let placed = match place::place(&job) {
            Ok(placed) => placed,
            Err(NoServer::NoFreeCapacity) => {
                job.wait_in_line().await;
                continue;
            }
            Err(reason) => return job.refuse_unplaced(reason),
        };
        job.leave_line();
        if job.sends > 0 && !job.try_repeat() {
            return job.give_up(Refusal::ServersRefused);
        }
        let server = placed.entry.id.clone();
        match attempt::send(&mut job, placed).await {
            Attempt::Answered(answer) => return *answer,
            Attempt::Streaming(stream) => return relay::answer(job, *stream),
            Attempt::NotRun(reason) => {
                job.note_not_run(&server, reason);
                if job.refused_sends >= MAX_REFUSED_SENDS {
                    return job.give_up(Refusal::ServersRefused);
                }
            }
            Attempt::MayHaveRun(reason) => {
                job.note_may_have_run(&server, reason);
                if !job.may_run_again() {
                    return job.give_up(reason.refusal());
                }
            }
        }
    }
}

impl Job {
    fn refuse_unplaced(&mut self, reason: NoServer) -> Response<AnswerBody> {
        let refusal = match reason {
            NoServer::NoFreeCapacity => Refusal::Overloaded,
            NoServer::NoneUsable => Refusal::NoServer,
            NoServer::TooLarge => Refusal::TooLarge,
        };
        self.give_up(refusal)
    }

    /// Ends a request whose time has passed.
    fn give_up_late(&mut self) -> Response<AnswerBody> {
        self.give_up(if self.may_have_run() { Refusal::Late } else { Refusal::LateUnsent })
    }

    /// Ends a request truthfully: what may have run is never answered as not run.
    fn give_up(&mut self, refusal: Refusal) -> Response<AnswerBody> {
        let promises_not_run = refusal.status() == http::StatusCode::SERVICE_UNAVAILABLE;
        if promises_not_run && self.may_have_run() {
            return self.refuse(Refusal::ServerBroke, None);
        }
        let retry_after_ms = promises_not_run.then(|| self.retry_after_ms());
        self.refuse(refusal, retry_after_ms)
    }

    /// Spreads returning callers over a span that they can still use: they honour up to a third of
    /// the time that they have left.
    fn retry_after_ms(&self) -> u64 {
        /// The shortest and the longest time until a caller comes back, in milliseconds.
        const SHORTEST_MS: u64 = 150;
        const LONGEST_MS: u64 = 1_000;
        let usable_ms = self.remaining_ms() / 4;
        let most_ms = usable_ms.clamp(SHORTEST_MS + 1, LONGEST_MS);
        rand::rng().random_range(SHORTEST_MS..most_ms)
    }

    fn refuse(&mut self, refusal: Refusal, retry_after_ms: Option<u64>) -> Response<AnswerBody> {
        self.is_ended = true;
        let node = &self.node;
        node.metrics.count("refusals", refusal.as_str());
        event!(warn, node.now_ms(), "request_refused", {
            "request": self.request.id_text(),
            "route": self.request.route.name,
            "service": self.request.demand.service.as_str(),
            "reason": refusal.as_str(),
            "status": refusal.status().as_u16(),
            "sends": self.sends,
            "may_have_run": self.may_have_run(),
            "waited_ms": node.now_ms().saturating_sub(self.request.arrived_ms),
            "remaining_ms": self.remaining_ms(),
            "retry_after_ms": retry_after_ms,
            "configuration": self.request.in_force.configuration.version.value(),
            "store_age_ms": node.store_age_ms(),
        });
        refusal.answer(retry_after_ms)
    }
}

impl MayHaveRun {
    const fn refusal(self) -> Refusal {
        match self {
            MayHaveRun::Broke | MayHaveRun::ServerFailed | MayHaveRun::OldWeights => {
                Refusal::ServerBroke
            }
            MayHaveRun::Foreign => Refusal::ForeignAnswer,
            MayHaveRun::Late | MayHaveRun::Silent => Refusal::Late,
        }
    }
}

impl NotRun {
    const fn as_str(self) -> &'static str {
        match self {
            NotRun::Unconnected => "unconnected",
            NotRun::Unsent => "unsent",
            NotRun::Shed => "shed",
            NotRun::OtherServer => "other_server",
            NotRun::OtherWeights => "other_weights",
        }
    }
}
