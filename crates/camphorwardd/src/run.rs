//! Runs one prompt: places it, forwards its tokens, and resumes it on another server after a
//! failure. While a server is silent, a hedged attempt runs beside it.

mod admit;
mod attempt;
mod decide;
mod failure;
mod finish;
mod place;
mod search;

pub(crate) use admit::{Progress, after_failure};
pub(crate) use decide::decide_and_count;
pub(crate) use finish::apply_notice;
pub(crate) use place::{FINISHED_PATH, PLACE_PATH, is_home};

use crate::counters::Counter;
use crate::node::Node;
use crate::reply::Failure;
use admission::retry::MAX_ATTEMPTS;
use admission::retry_budget::BudgetKey;
use attempt::{Attempt, AttemptEvent, EndedAttempt};
use clients::wire::engine::End;
use futures_util::future::select_all;
use place::Placed;
use placement::chain::PrefixChain;
use protocol::error::{ErrorKind, Execution};
use protocol::ids::{AttemptId, HostName, OrganisationId, RequestId, ServiceName};
use protocol::message::operator::{AttemptExplanation, PlacementExplanation};
use protocol::message::place::FinishedNotice;
use protocol::message::suspect::SuspectDigest;
use search::{Found, RunningSearch, Search, SearchResult};
use settings::services::ModelService;
use std::sync::Arc;
use std::time::Duration;
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
    runner.stop_attempts().await;
    runner.end(outcome).await;
}

/// The reason why a job ended without its end mark.
enum RunError {
    /// The caller disconnected.
    CallerDisconnected,
    /// The request failed.
    Failed(Failure),
}

/// How an attempt ended.
enum Outcome {
    /// With the end mark.
    Whole,
    /// The attempt failed.
    Failed(Failure),
    /// Another attempt continues the answer, the caller disconnected or the deadline passed.
    Stopped,
}

struct JobRunner {
    node: Arc<Node>,
    job: Arc<Job>,
    chain: Arc<PrefixChain>,
    parts: PartSender,
    budget: BudgetKey,
    deadline_at_ms: u64,
    forwarded_tokens: u64,
    excluded: Vec<HostName>,
    ran_before: bool,
    /// The failure of the last attempt that failed.
    last: Failure,
    searches: u32,
    attempts: u32,
    search: Option<RunningSearch>,
    /// The attempts in progress; all but the last one are silent.
    running: Vec<Attempt>,
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
            budget: BudgetKey {
                organisation: job.organisation.clone(),
                service: job.service.clone(),
            },
            deadline_at_ms: node.now_ms() + admit::time_allowed_ms(&job.model, job.max_tokens),
            node,
            job: Arc::new(job),
            chain: Arc::new(chain),
            parts,
            forwarded_tokens: 0,
            excluded: Vec::new(),
            ran_before: false,
            last: Failure::new(ErrorKind::NoServer, "no server of the service is live"),
            searches: 0,
            attempts: 0,
            search: None,
            running: Vec::new(),
        }
    }

    async fn run_attempts(&mut self) -> Result<End, RunError> {
        self.start_search(Duration::ZERO, true);
        loop {
            let (is_silent, remaining) = (self.is_silent(), self.remaining());
            tokio::select! {
                (index, event) = next_event(&mut self.running), if !self.running.is_empty() => {
                    if let Some(end) = self.handle_event(index, event).await? {
                        return Ok(end);
                    }
                }
                (search, result) = search_result(&mut self.search), if self.search.is_some() => {
                    self.handle_search(search, result).map_err(RunError::Failed)?;
                }
                () = self.parts.closed() => return Err(RunError::CallerDisconnected),
                () = tokio::time::sleep(remaining), if is_silent => {
                    let message = "the backend server stopped responding";
                    let failure = Failure::new(ErrorKind::DeadlineExceeded, message);
                    return Err(RunError::Failed(failure));
                }
            }
        }
    }

    async fn handle_event(
        &mut self,
        index: usize,
        event: AttemptEvent,
    ) -> Result<Option<End>, RunError> {
        match event {
            AttemptEvent::Token(token) => {
                self.keep_only(index).await;
                self.forwarded_tokens += 1;
                let sent = self.parts.send(Ok(Part::Token(token.text))).await;
                sent.map_err(|_| RunError::CallerDisconnected)?;
            }
            AttemptEvent::End(end) => {
                self.finish(index, Outcome::Whole).await;
                return Ok(Some(end));
            }
            AttemptEvent::Silent => self.hedge(),
            AttemptEvent::Failed(failure) => {
                self.finish(index, Outcome::Failed(failure.clone())).await;
                self.last = failure;
                self.retry().map_err(RunError::Failed)?;
            }
        }
        Ok(None)
    }

    /// Starts the next attempt after a failure, unless another one is in progress.
    fn retry(&mut self) -> Result<(), Failure> {
        if !self.running.is_empty() {
            self.hedge();
            return Ok(());
        }
        if self.search.is_none() {
            let wait = self.take_retry(&self.last)?;
            self.start_search(wait, true);
        }
        Ok(())
    }

    /// Searches a server for a further attempt if all attempts in progress are silent.
    fn hedge(&mut self) {
        if self.search.is_some() || !self.is_silent() || self.attempts >= MAX_ATTEMPTS {
            return;
        }
        for attempt in &self.running {
            let server = &attempt.server().host;
            if !self.excluded.contains(server) {
                self.excluded.push(server.clone());
            }
        }
        self.start_search(Duration::ZERO, false);
    }

    fn is_silent(&self) -> bool {
        !self.running.is_empty() && self.running.iter().all(Attempt::is_silent)
    }

    fn remaining(&self) -> Duration {
        Duration::from_millis(self.deadline_at_ms.saturating_sub(self.node.now_ms()))
    }

    fn take_retry(&self, failure: &Failure) -> Result<Duration, Failure> {
        let progress = Progress {
            attempt: self.attempts,
            ran_before: self.ran_before,
            deadline_at_ms: self.deadline_at_ms,
        };
        admit::after_failure(&self.node, &self.budget, failure, progress)
    }

    fn start_search(&mut self, delay: Duration, is_granted: bool) {
        self.searches += 1;
        let search = Search {
            node: Arc::clone(&self.node),
            job: Arc::clone(&self.job),
            chain: Arc::clone(&self.chain),
            attempt_id: self.attempt_id(self.searches),
            excluded: self.excluded.clone(),
            deadline_at_ms: self.deadline_at_ms,
        };
        self.search = Some(search.start(delay, is_granted));
    }

    /// Starts an attempt on the server that was found. Without one, the request fails unless an
    /// attempt is still in progress.
    fn handle_search(
        &mut self,
        search: RunningSearch,
        result: SearchResult,
    ) -> Result<(), Failure> {
        let started = match result {
            Ok(Some(found)) => self.start_attempt(search, found),
            // The failure of the last attempt is more informative than "no server left".
            Ok(None) => Err(self.last.clone().with_ran_before(self.ran_before)),
            Err(failure) => Err(failure.with_ran_before(self.ran_before)),
        };
        if self.running.is_empty() { started } else { Ok(()) }
    }

    fn start_attempt(&mut self, search: RunningSearch, found: Found) -> Result<(), Failure> {
        let Found { constraint, placed, excluded } = found;
        let attempt_id = search.attempt_id;
        if let Err(failure) = self.admit(&placed, search.is_granted) {
            place::withdraw(&self.node, &self.job.service, &attempt_id, &placed);
            return Err(failure);
        }
        self.excluded = excluded;
        self.attempts += 1;
        self.explain_attempt(&attempt_id, &placed);
        let request = attempt::request(&self.job, &self.chain, attempt_id, self.forwarded_tokens);
        let (node, job) = (&self.node, &self.job);
        let attempt = Attempt::start(node, job, request, constraint, placed, self.remaining());
        self.running.push(attempt);
        Ok(())
    }

    /// Admits a placed request, or takes the retry for a hedged attempt.
    fn admit(&self, placed: &Placed, is_granted: bool) -> Result<(), Failure> {
        if self.attempts == 0 {
            admit::admit(&self.node, &self.job, placed)?;
            self.node.admission.budgets.first_attempt(&self.budget, self.node.now_ms());
        } else if !is_granted {
            let silent = Failure::new(ErrorKind::ServerSilent, "the backend server is silent");
            let failure = if self.running.is_empty() { &self.last } else { &silent };
            // The back-off is left out, since the silence was longer.
            self.take_retry(failure)?;
        }
        Ok(())
    }

    /// Stops all attempts but one, which continues the answer.
    async fn keep_only(&mut self, index: usize) {
        if let Some(search) = self.search.take() {
            search.abandon();
        }
        self.running.swap(0, index);
        while self.running.len() > 1 {
            self.finish(1, Outcome::Stopped).await;
        }
    }

    /// Stops all attempts.
    async fn stop_attempts(&mut self) {
        if let Some(search) = self.search.take() {
            search.abandon();
        }
        while !self.running.is_empty() {
            self.finish(0, Outcome::Stopped).await;
        }
    }

    /// Ends an attempt and records its outcome.
    async fn finish(&mut self, index: usize, outcome: Outcome) {
        let attempt = self.running.remove(index);
        let was_silent = attempt.is_silent();
        let ended = attempt.end();
        if !matches!(outcome, Outcome::Whole) {
            ended.cancel(&self.node);
        }
        let EndedAttempt { attempt_id, placed, missing, tracked } = ended;
        let (is_whole, failure) = match &outcome {
            Outcome::Whole => (true, None),
            Outcome::Stopped => (false, was_silent.then_some(ErrorKind::ServerSilent)),
            Outcome::Failed(failure) => (false, Some(failure.kind)),
        };
        tracked.ended(is_whole, failure).await;
        self.node.placement.loads.finished(&placed.server.host, &attempt_id);
        self.record_outcome(&attempt_id, &placed.server.host, &outcome, failure);
        self.notify_homes(
            FinishedNotice {
                service: self.job.service.clone(),
                attempt_id,
                server: placed.server.host.clone(),
                chain: self.chain.keys(),
                completed: is_whole,
                missing,
            },
            &placed,
        );
    }

    fn record_outcome(
        &mut self,
        attempt_id: &AttemptId,
        server: &HostName,
        outcome: &Outcome,
        kind: Option<ErrorKind>,
    ) {
        let name = match outcome {
            Outcome::Whole => "whole",
            Outcome::Stopped | Outcome::Failed(_) => kind.map_or("caller_gone", ErrorKind::as_str),
        };
        self.node.explanations.end_attempt(&self.job.request_id, attempt_id, name);
        let Outcome::Failed(failure) = outcome else {
            return;
        };
        let request_id = &self.job.request_id;
        log::warn!(
            "request={request_id} attempt={attempt_id} server={server} failed kind={name}: {}",
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
    fn notify_homes(&self, notice: FinishedNotice, placed: &Placed) {
        let local = place::find_home(&self.node, &self.chain);
        let decider = placed.home.clone();
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

/// Waits for the next event of any attempt.
async fn next_event(running: &mut [Attempt]) -> (usize, AttemptEvent) {
    let events = running.iter_mut().map(|attempt| Box::pin(attempt.next()));
    let (event, index, _) = select_all(events).await;
    (index, event)
}

/// Waits for the result of the search in progress, and takes the search.
async fn search_result(search: &mut Option<RunningSearch>) -> (RunningSearch, SearchResult) {
    let result = match search.as_mut() {
        Some(running) => running.result().await,
        None => std::future::pending().await,
    };
    match search.take() {
        Some(search) => (search, result),
        None => std::future::pending().await,
    }
}
