//! Runs one prompt: places it, forwards its tokens, and resumes it on another server after a
//! failure.

mod admit;
mod attempt;
mod decide;
mod failure;
mod finish;
mod place;

pub(crate) use admit::{Progress, after_failure};
pub(crate) use decide::decide_and_count;
pub(crate) use finish::apply_notice;
pub(crate) use place::{FINISHED_PATH, PLACE_PATH, is_home};

use crate::counters::Counter;
use crate::node::Node;
use crate::quarantine::{self, PlacementConstraint};
use crate::reply::Failure;
use admission::retry_budget::BudgetKey;
use attempt::{Attempt, AttemptError};
use clients::wire::engine::End;
use membership::EntryHost;
use place::Placed;
use placement::chain::PrefixChain;
use protocol::error::{ErrorKind, Execution};
use protocol::ids::{AttemptId, HostName, OrganisationId, RequestId, ServiceName};
use protocol::message::operator::{AttemptExplanation, PlacementExplanation};
use protocol::message::place::{CachedBlock, FinishedNotice};
use protocol::message::suspect::SuspectDigest;
use settings::services::ModelService;
use std::sync::Arc;
use tokio::sync::mpsc;

/// A prompt to run.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) request_id: RequestId,
    pub(crate) organisation: OrganisationId,
    pub(crate) service: ServiceName,
    /// The service as of the request's arrival; the whole answer is of its weight version.
    pub(crate) model: ModelService,
    pub(crate) prompt: String,
    pub(crate) max_tokens: u64,
    pub(crate) priority: i32,
}

impl Job {
    /// Returns the digest that identifies the request on all entry hosts.
    pub(crate) fn digest(&self) -> SuspectDigest {
        SuspectDigest::new(&self.organisation, &self.service, self.prompt.as_bytes())
    }
}

/// One part of an answer.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Part {
    /// The next token's text.
    Token(String),
    /// The end mark.
    End(End),
}

/// The channel for the parts of an answer.
pub(crate) type PartSender = mpsc::Sender<Result<Part, Failure>>;

/// Runs a prompt until its end mark or a failure.
pub(crate) async fn run(node: Arc<Node>, job: Job, parts: PartSender) {
    node.counters.count(Counter::Requests);
    let mut runner = JobRunner::new(node, job, parts);
    let outcome = runner.run_attempts().await;
    runner.end(outcome).await;
}

/// The reason why a job ended without its end mark.
enum RunError {
    /// The caller disconnected.
    CallerDisconnected,
    /// The request failed.
    Failed(Failure),
}

struct JobRunner {
    node: Arc<Node>,
    job: Job,
    chain: PrefixChain,
    parts: PartSender,
    forwarded_tokens: u64,
    excluded: Vec<HostName>,
    ran_before: bool,
}

impl JobRunner {
    fn new(node: Arc<Node>, job: Job, parts: PartSender) -> Self {
        let model = &job.model;
        let chain =
            PrefixChain::new(&job.organisation, &model.model, &model.weight_version, &job.prompt);
        node.explanations.start(PlacementExplanation {
            request_id: job.request_id.clone(),
            organisation: job.organisation.clone(),
            service: job.service.clone(),
            config_version: node.directory().version(),
            prompt_tokens: chain.prompt_tokens.value(),
            pieces: chain.segments.len() as u64,
            home: place::find_home(&node, &chain).map(|home| home.host),
            attempts: Vec::new(),
            outcome: None,
        });
        Self {
            node,
            job,
            chain,
            parts,
            forwarded_tokens: 0,
            excluded: Vec::new(),
            ran_before: false,
        }
    }

    async fn run_attempts(&mut self) -> Result<End, RunError> {
        let allowed_ms = admit::time_allowed_ms(&self.job.model, self.job.max_tokens);
        let deadline_at_ms = self.node.now_ms() + allowed_ms;
        let budget = BudgetKey {
            organisation: self.job.organisation.clone(),
            service: self.job.service.clone(),
        };
        let mut last = Failure::new(ErrorKind::NoServer, "no server of the service is live");
        for attempt in 1.. {
            let attempt_id = self.attempt_id(attempt);
            let found = self.find_place(&attempt_id, deadline_at_ms).await;
            // The constraint reserves its server until the attempt has ended.
            let Some((_constraint, placed)) = found.map_err(RunError::Failed)? else {
                // The failure of the last attempt is more informative than "no server left".
                break;
            };
            if attempt == 1 {
                self.admit(&attempt_id, &placed).map_err(RunError::Failed)?;
                self.node.admission.budgets.first_attempt(&budget, self.node.now_ms());
            }
            last = match self.attempt(attempt_id, placed).await {
                Ok(end) => return Ok(end),
                Err(AttemptError::CallerDisconnected) => return Err(RunError::CallerDisconnected),
                Err(AttemptError::Failed(failure)) => failure,
            };
            let progress = Progress { attempt, ran_before: self.ran_before, deadline_at_ms };
            let wait = admit::after_failure(&self.node, &budget, &last, progress);
            tokio::time::sleep(wait.map_err(RunError::Failed)?).await;
        }
        Err(RunError::Failed(last.with_ran_before(self.ran_before)))
    }

    /// Finds a server, unless the request is quarantined; returns `None` if no server is left. A
    /// server that the request is pinned to may have crashed since, so the check is repeated.
    async fn find_place(
        &mut self,
        attempt_id: &AttemptId,
        deadline_at_ms: u64,
    ) -> Result<Option<(PlacementConstraint, Placed)>, Failure> {
        loop {
            let (node, job) = (&self.node, &self.job);
            let checked =
                quarantine::check(node, job, attempt_id, &self.excluded, deadline_at_ms).await;
            let constraint = checked.map_err(|failure| failure.with_ran_before(self.ran_before))?;
            match self.place(attempt_id, &constraint).await {
                Ok(placed) => return Ok(Some((constraint, placed))),
                Err(_) if constraint.required_server.is_none() => return Ok(None),
                Err(_) => tokio::time::sleep(quarantine::PINNED_RETRY_DELAY).await,
            }
        }
    }

    /// Admits a placed request; a refused one no longer counts as load of its server.
    fn admit(&self, attempt_id: &AttemptId, placed: &Placed) -> Result<(), Failure> {
        let admitted = admit::admit(&self.node, &self.job, placed);
        if admitted.is_err() {
            place::withdraw(&self.node, &self.job.service, attempt_id, placed);
        }
        admitted
    }

    /// Finds a server; once every server has failed the request, all are eligible again.
    async fn place(
        &mut self,
        attempt_id: &AttemptId,
        constraint: &PlacementConstraint,
    ) -> Result<Placed, Failure> {
        let excluded = constraint.excluded(&self.node, &self.job, &self.excluded);
        let placed = place::place(&self.node, &self.job, &self.chain, attempt_id, &excluded).await;
        if placed.is_ok() || self.excluded.is_empty() || constraint.required_server.is_some() {
            return placed;
        }
        self.excluded.clear();
        place::place(&self.node, &self.job, &self.chain, attempt_id, &self.excluded).await
    }

    async fn attempt(
        &mut self,
        attempt_id: AttemptId,
        placed: Placed,
    ) -> Result<End, AttemptError> {
        self.explain_attempt(&attempt_id, &placed);
        let server = placed.server.host.clone();
        let mut tracked = quarantine::track(&self.node, &self.job, &attempt_id, &placed.server);
        let mut attempt =
            Attempt::new(&self.node, &self.job, &self.chain, &attempt_id, &placed, &mut tracked);
        let result = attempt.execute(&mut self.forwarded_tokens, &self.parts).await;
        let missing = attempt.into_missing();
        let failure = match &result {
            Err(AttemptError::Failed(failure)) => Some(failure.kind),
            Ok(_) | Err(AttemptError::CallerDisconnected) => None,
        };
        tracked.ended(result.is_ok(), failure).await;
        self.record_outcome(&attempt_id, &server, &result);
        self.notify_homes(placed.home, attempt_id, server, result.is_ok(), missing);
        result
    }

    fn record_outcome(
        &mut self,
        attempt_id: &AttemptId,
        server: &HostName,
        result: &Result<End, AttemptError>,
    ) {
        self.node.placement.loads.finished(server, attempt_id);
        let outcome = match result {
            Ok(_) => "whole",
            Err(AttemptError::CallerDisconnected) => "caller_gone",
            Err(AttemptError::Failed(failure)) => failure.kind.as_str(),
        };
        self.node.explanations.end_attempt(&self.job.request_id, outcome);
        let Err(AttemptError::Failed(failure)) = result else {
            return;
        };
        let request_id = &self.job.request_id;
        log::warn!(
            "request={request_id} attempt={attempt_id} server={server} failed kind={outcome}: {}",
            failure.message
        );
        self.excluded.push(server.clone());
        self.ran_before |= failure.kind.answer().execution == Execution::MayHaveRun;
        if failure.kind == ErrorKind::ServerUnreachable {
            self.node.placement.mark_unreachable(server);
        }
    }

    fn explain_attempt(&self, attempt_id: &AttemptId, placed: &Placed) {
        let request_id = &self.job.request_id;
        log::debug!("request={request_id} attempt={attempt_id} server={}", placed.server.host);
        let attempt = AttemptExplanation {
            attempt_id: attempt_id.clone(),
            server: Some(placed.server.host.clone()),
            decided_by: placed.decided_by,
            candidates: placed.answer.candidates.clone(),
            outcome: None,
        };
        self.node.explanations.add_attempt(request_id, attempt);
    }

    /// Notifies the homes of the finished attempt, without making the caller wait: the home in the
    /// local region, where the prompt is expected to return, and the home that decided.
    fn notify_homes(
        &self,
        decider: Option<EntryHost>,
        attempt_id: AttemptId,
        server: HostName,
        completed: bool,
        missing: Vec<CachedBlock>,
    ) {
        let notice = FinishedNotice {
            service: self.job.service.clone(),
            attempt_id,
            server,
            chain: self.chain.keys(),
            completed,
            missing,
        };
        let local = place::find_home(&self.node, &self.chain);
        let remote =
            decider.filter(|home| local.as_ref().is_none_or(|local| local.host != home.host));
        for home in local.into_iter().chain(remote) {
            tokio::spawn(place::notify(Arc::clone(&self.node), home, notice.clone()));
        }
    }

    async fn end(self, outcome: Result<End, RunError>) {
        let (outcome_name, part) = match outcome {
            Ok(end) => {
                self.node.counters.count(Counter::Answers);
                ("whole", Ok(Part::End(end)))
            }
            Err(RunError::CallerDisconnected) => {
                self.node.counters.count(Counter::CallersDisconnected);
                self.node.explanations.end(&self.job.request_id, "caller_gone");
                return;
            }
            Err(RunError::Failed(failure)) => (failure.kind.as_str(), Err(failure)),
        };
        log::info!("request={} ended outcome={outcome_name}", self.job.request_id);
        self.node.explanations.end(&self.job.request_id, outcome_name);
        // A caller that has disconnected needs no end mark.
        let _ = self.parts.send(part).await;
    }

    fn attempt_id(&self, number: u32) -> AttemptId {
        let text = format!("{}.{number}", self.job.request_id);
        AttemptId::try_from(text).unwrap_or_else(|_| unreachable!("a request id is short"))
    }
}
