//! Runs one prompt: places it, passes its tokens on, resumes it elsewhere when a server fails.

mod admit;
mod attempt;
mod decide;
mod failure;
mod finish;
mod place;

pub(crate) use admit::{Progress, after_failure};
pub(crate) use decide::decide_and_count;
pub(crate) use finish::take_notice;
pub(crate) use place::{FINISHED_PATH, PLACE_PATH, is_home};

use crate::counters::Counter;
use crate::node::Node;
use crate::quarantine::{self, Place};
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

/// Describes a prompt to run.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) request_id: RequestId,
    pub(crate) organisation: OrganisationId,
    pub(crate) service: ServiceName,
    /// The service as it was when the request came; the whole answer is of this weight version.
    pub(crate) model: ModelService,
    pub(crate) prompt: String,
    pub(crate) max_tokens: u64,
    pub(crate) priority: i32,
}

impl Job {
    /// Returns what the request is known by, whatever entry host it comes through.
    pub(crate) fn digest(&self) -> SuspectDigest {
        SuspectDigest::new(&self.organisation, &self.service, self.prompt.as_bytes())
    }
}

/// Holds one part of an answer.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Part {
    /// The next token's text.
    Token(String),
    /// The end mark.
    End(End),
}

/// Where the parts of an answer go.
pub(crate) type PartSender = mpsc::Sender<Result<Part, Failure>>;

/// Runs a prompt to its end mark or a failure.
pub(crate) async fn run(node: Arc<Node>, job: Job, parts: PartSender) {
    node.counters.count(Counter::Requests);
    let mut run = Run::new(node, job, parts);
    let outcome = run.drive().await;
    run.end(outcome).await;
}

/// Says why a run ended without its end mark.
enum RunError {
    /// The caller left.
    CallerGone,
    /// The request got no answer.
    Failed(Failure),
}

struct Run {
    node: Arc<Node>,
    job: Job,
    chain: PrefixChain,
    parts: PartSender,
    passed_tokens: u64,
    excluded: Vec<HostName>,
    ran_before: bool,
}

impl Run {
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
        Self { node, job, chain, parts, passed_tokens: 0, excluded: Vec::new(), ran_before: false }
    }

    async fn drive(&mut self) -> Result<End, RunError> {
        let allowed_ms = admit::time_allowed_ms(&self.job.model, self.job.max_tokens);
        let give_up_at_ms = self.node.now_ms() + allowed_ms;
        let budget = BudgetKey {
            organisation: self.job.organisation.clone(),
            service: self.job.service.clone(),
        };
        let mut last = Failure::new(ErrorKind::NoServer, "no server of the service is live");
        for attempt in 1.. {
            let attempt_id = self.attempt_id(attempt);
            let found = self.find_place(&attempt_id, give_up_at_ms).await;
            // The place holds its server for this attempt until the attempt ended.
            let Some((_place, placed)) = found.map_err(RunError::Failed)? else {
                // The reason why a server was tried and failed says more than that none is left.
                break;
            };
            if attempt == 1 {
                self.admit(&attempt_id, &placed).map_err(RunError::Failed)?;
                self.node.admission.budgets.first_attempt(&budget, self.node.now_ms());
            }
            last = match self.attempt(attempt_id, placed).await {
                Ok(end) => return Ok(end),
                Err(AttemptError::CallerGone) => return Err(RunError::CallerGone),
                Err(AttemptError::Failed(failure)) => failure,
            };
            let progress = Progress { attempt, ran_before: self.ran_before, give_up_at_ms };
            let wait = admit::after_failure(&self.node, &budget, &last, progress);
            tokio::time::sleep(wait.map_err(RunError::Failed)?).await;
        }
        Err(RunError::Failed(last.with_ran_before(self.ran_before)))
    }

    /// Finds a server, unless the request may crash it; `None` if no server is left. A server that
    /// the request is tied to may have died since, so that is asked again.
    async fn find_place(
        &mut self,
        attempt_id: &AttemptId,
        give_up_at_ms: u64,
    ) -> Result<Option<(Place, Placed)>, Failure> {
        loop {
            let (node, job) = (&self.node, &self.job);
            let judged =
                quarantine::judge(node, job, attempt_id, &self.excluded, give_up_at_ms).await;
            let place = judged.map_err(|failure| failure.with_ran_before(self.ran_before))?;
            match self.place(attempt_id, &place).await {
                Ok(placed) => return Ok(Some((place, placed))),
                Err(_) if place.only.is_none() => return Ok(None),
                Err(_) => tokio::time::sleep(quarantine::TIED_PAUSE).await,
            }
        }
    }

    /// Admits a placed request; one that is refused no longer counts on its server.
    fn admit(&self, attempt_id: &AttemptId, placed: &Placed) -> Result<(), Failure> {
        let admitted = admit::admit(&self.node, &self.job, placed);
        if admitted.is_err() {
            place::withdraw(&self.node, &self.job.service, attempt_id, placed);
        }
        admitted
    }

    /// Finds a server; once each has failed the request, all may be tried again.
    async fn place(&mut self, attempt_id: &AttemptId, place: &Place) -> Result<Placed, Failure> {
        let excluded = place.excluded(&self.node, &self.job, &self.excluded);
        let placed = place::place(&self.node, &self.job, &self.chain, attempt_id, &excluded).await;
        if placed.is_ok() || self.excluded.is_empty() || place.only.is_some() {
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
        let mut followed = quarantine::follow(&self.node, &self.job, &attempt_id, &placed.server);
        let mut attempt =
            Attempt::new(&self.node, &self.job, &self.chain, &attempt_id, &placed, &mut followed);
        let result = attempt.execute(&mut self.passed_tokens, &self.parts).await;
        let missing = attempt.into_missing();
        let failure = match &result {
            Err(AttemptError::Failed(failure)) => Some(failure.kind),
            Ok(_) | Err(AttemptError::CallerGone) => None,
        };
        followed.ended(result.is_ok(), failure).await;
        self.note_outcome(&attempt_id, &server, &result);
        self.notify_homes(placed.home, attempt_id, server, result.is_ok(), missing);
        result
    }

    fn note_outcome(
        &mut self,
        attempt_id: &AttemptId,
        server: &HostName,
        result: &Result<End, AttemptError>,
    ) {
        self.node.placement.loads.finished(server, attempt_id);
        let outcome = match result {
            Ok(_) => "whole",
            Err(AttemptError::CallerGone) => "caller_gone",
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

    /// Tells the homes what the attempt left behind, without making the caller wait: the one in
    /// this region, which the prompt returns to, and the one that decided.
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
        let near = place::find_home(&self.node, &self.chain);
        let far = decider.filter(|home| near.as_ref().is_none_or(|near| near.host != home.host));
        for home in near.into_iter().chain(far) {
            tokio::spawn(place::notify(Arc::clone(&self.node), home, notice.clone()));
        }
    }

    async fn end(self, outcome: Result<End, RunError>) {
        let (word, part) = match outcome {
            Ok(end) => {
                self.node.counters.count(Counter::Answers);
                ("whole", Ok(Part::End(end)))
            }
            Err(RunError::CallerGone) => {
                self.node.counters.count(Counter::CallersGone);
                self.node.explanations.end(&self.job.request_id, "caller_gone");
                return;
            }
            Err(RunError::Failed(failure)) => (failure.kind.as_str(), Err(failure)),
        };
        log::info!("request={} ended outcome={word}", self.job.request_id);
        self.node.explanations.end(&self.job.request_id, word);
        // A caller that left needs no end.
        let _ = self.parts.send(part).await;
    }

    fn attempt_id(&self, number: u32) -> AttemptId {
        let text = format!("{}.{number}", self.job.request_id);
        AttemptId::try_from(text).unwrap_or_else(|_| unreachable!("a request id is short"))
    }
}
