//! One attempt at a prompt on one backend server.

use crate::constants::{IDLE_TOKEN_GAPS, IMPORT_MARGIN, MIN_IDLE_TIMEOUT};
use crate::counters::Counter;
use crate::node::Node;
use crate::quarantine::{self, PlacementConstraint, TrackedAttempt};
use crate::reply::Failure;
use crate::run::Job;
use crate::run::decide::record_attempt;
use crate::run::failure::from_client_error;
use crate::run::place::Placed;
use clients::engine::AnswerHead;
use clients::error::ClientError;
use clients::stream::AnswerStream;
use clients::wire::engine::{
    CompletionRequest, End, Import, ImportBlock, PromptSegment, StreamBody, StreamEvent, Token,
};
use futures_util::future::BoxFuture;
use placement::chain::{PrefixChain, Segment};
use protocol::error::ErrorKind;
use protocol::ids::AttemptId;
use protocol::message::place::CachedBlock;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Time without the head of an answer until the server counts as silent, as a multiple of the
/// stream's idle timeout. An engine sends the head when it accepts the request, before queueing it.
const HEAD_IDLE_TIMEOUTS: u32 = 2;

/// What happens next in an attempt.
#[derive(Debug)]
pub(crate) enum AttemptEvent {
    /// The next token of the answer.
    Token(Token),
    /// The end mark.
    End(End),
    /// The server has sent nothing for the idle timeout; the attempt goes on.
    Silent,
    /// The attempt has failed.
    Failed(Failure),
}

/// The stage of an attempt.
enum Stage {
    /// Cached blocks are imported and the prompt is sent.
    Starting { starting: BoxFuture<'static, Started>, silent_at: Instant },
    /// The answer is read.
    Answering(AnswerStream),
}

/// One attempt in progress.
pub(crate) struct Attempt {
    node: Arc<Node>,
    job: Arc<Job>,
    attempt_id: AttemptId,
    placed: Arc<Placed>,
    missing: Vec<CachedBlock>,
    tracked: TrackedAttempt,
    /// Reserves the server until the attempt has ended.
    _constraint: PlacementConstraint,
    is_silent: bool,
    /// The number of the answer's next token.
    next_token: u64,
    first_token_seen: bool,
    stage: Stage,
}

/// The parts of an attempt that are needed after its end.
pub(crate) struct EndedAttempt {
    pub(crate) attempt_id: AttemptId,
    pub(crate) placed: Arc<Placed>,
    /// The blocks whose planned import did not take place.
    pub(crate) missing: Vec<CachedBlock>,
    pub(crate) tracked: TrackedAttempt,
}

impl Attempt {
    /// Starts an attempt that resumes the answer at a token.
    pub(crate) fn start(
        node: &Arc<Node>,
        job: &Arc<Job>,
        request: CompletionRequest,
        constraint: PlacementConstraint,
        placed: Placed,
        remaining: Duration,
    ) -> Self {
        let attempt_id = request.attempt_id.clone();
        let next_token = request.resume_at_token;
        // A placement decided on this host is already counted.
        if placed.home.is_some() {
            record_attempt(node, &attempt_id, &placed.answer);
        }
        let tracked = quarantine::track(node, job, &attempt_id, &placed.server);
        let placed = Arc::new(placed);
        let start =
            Start { node: Arc::clone(node), placed: Arc::clone(&placed), request, remaining };
        let (starting, silent_at) = start.run(idle_timeout(job));
        Self {
            node: Arc::clone(node),
            job: Arc::clone(job),
            attempt_id,
            placed,
            missing: Vec::new(),
            tracked,
            _constraint: constraint,
            is_silent: false,
            next_token,
            first_token_seen: false,
            stage: Stage::Starting { starting, silent_at },
        }
    }

    /// Returns the server.
    pub(crate) fn server(&self) -> &crate::hosts::Server {
        &self.placed.server
    }

    /// Returns whether nothing has arrived since the server became silent.
    pub(crate) fn is_silent(&self) -> bool {
        self.is_silent
    }

    /// Ends the attempt.
    pub(crate) fn end(self) -> EndedAttempt {
        let Self { attempt_id, placed, missing, tracked, .. } = self;
        EndedAttempt { attempt_id, placed, missing, tracked }
    }

    /// Waits for the next event; none is lost if the future is dropped. Nothing follows the end
    /// mark or a failure.
    pub(crate) async fn next(&mut self) -> AttemptEvent {
        loop {
            let event = match &mut self.stage {
                Stage::Starting { starting, silent_at } => tokio::select! {
                    started = starting => match self.answer(started) {
                        Ok(()) => continue,
                        Err(failure) => return AttemptEvent::Failed(failure),
                    },
                    () = tokio::time::sleep_until(*silent_at) => {
                        *silent_at += idle_timeout(&self.job);
                        return self.silent();
                    }
                },
                Stage::Answering(stream) => stream.next().await,
            };
            if let Err(ClientError::TimedOut(_)) = event {
                return self.silent();
            }
            self.end_silence();
            match self.check(event) {
                Ok(StreamBody::Token(token)) if token.offset < self.next_token => {}
                Ok(StreamBody::Token(token)) => {
                    self.record_token();
                    return AttemptEvent::Token(token);
                }
                Ok(StreamBody::End(end)) => return AttemptEvent::End(end),
                Err(failure) => return AttemptEvent::Failed(failure),
            }
        }
    }

    /// Records that the server is silent, and closes its idle connections.
    fn silent(&mut self) -> AttemptEvent {
        if !self.is_silent {
            self.is_silent = true;
            self.tracked.suspend();
        }
        self.node.clients.http.reset(self.placed.server.address);
        AttemptEvent::Silent
    }

    fn end_silence(&mut self) {
        if self.is_silent {
            self.is_silent = false;
            self.tracked.resume();
        }
    }

    /// Starts reading the answer.
    fn answer(&mut self, started: Started) -> Result<(), Failure> {
        self.end_silence();
        self.missing = started.missing;
        let (head, stream) = started.answer.map_err(|error| from_client_error(&error))?;
        self.tracked.update_incarnation(head.incarnation);
        self.check_head(&head)?;
        self.stage = Stage::Answering(stream);
        Ok(())
    }

    fn check_head(&self, head: &AnswerHead) -> Result<(), Failure> {
        if head.attempt_id != self.attempt_id {
            return Err(self.crossed_answer("the head names another attempt"));
        }
        if head.weight_version != self.job.model.weight_version {
            let message = "the backend server answers with another weight version";
            return Err(Failure::new(ErrorKind::StaleVersion, message));
        }
        Ok(())
    }

    /// Rejects an event that belongs to another attempt or leaves a gap.
    fn check(
        &self,
        event: Result<Option<StreamEvent>, ClientError>,
    ) -> Result<StreamBody, Failure> {
        let event = event.map_err(|error| from_client_error(&error))?;
        let event = event.ok_or_else(|| self.crossed_answer("the answer has no end mark"))?;
        if event.attempt_id != self.attempt_id {
            return Err(self.crossed_answer("an event names another attempt"));
        }
        match &event.body {
            StreamBody::Token(token) if token.offset > self.next_token => {
                Err(self.crossed_answer("a token is missing"))
            }
            StreamBody::End(end) if end.answer_tokens != self.next_token => {
                Err(self.crossed_answer("the end mark does not match the tokens"))
            }
            StreamBody::Token(_) | StreamBody::End(_) => Ok(event.body),
        }
    }

    fn record_token(&mut self) {
        self.next_token += 1;
        self.node.counters.count(Counter::Tokens);
        if self.first_token_seen {
            return;
        }
        self.first_token_seen = true;
        let server = &self.placed.server.host;
        self.node.placement.loads.first_token(server, &self.attempt_id, self.node.now_ms());
    }

    fn crossed_answer(&self, message: &str) -> Failure {
        self.node.clients.http.reset(self.placed.server.address);
        Failure::new(ErrorKind::CrossedAnswer, message)
    }
}

impl EndedAttempt {
    /// Cancels the attempt on its server.
    pub(crate) fn cancel(&self, node: &Node) {
        let engine = node.clients.engine.clone();
        let address = self.placed.server.address;
        let attempt_id = self.attempt_id.clone();
        tokio::spawn(async move {
            // An engine that cannot be reached has nothing to cancel.
            let _ = engine.cancel(address, attempt_id).await;
        });
    }
}

/// Builds the request of an attempt that resumes the answer at a token.
pub(crate) fn request(
    job: &Job,
    chain: &PrefixChain,
    attempt_id: AttemptId,
    resume_at_token: u64,
) -> CompletionRequest {
    let to_segment =
        |segment: &Segment| PromptSegment { key: segment.key, end_byte: segment.end_byte };
    CompletionRequest {
        attempt_id,
        model: job.model.model.to_string(),
        weight_version: job.model.weight_version.clone(),
        prompt: job.prompt.clone(),
        max_tokens: job.max_tokens,
        priority: job.priority,
        cache_salt: chain.cache_salt.clone(),
        segments: chain.segments.iter().map(to_segment).collect(),
        resume_at_token,
    }
}

fn idle_timeout(job: &Job) -> Duration {
    let gap = Duration::from_millis(job.model.token_gap_ms);
    (gap * IDLE_TOKEN_GAPS).max(MIN_IDLE_TIMEOUT)
}

/// Imports cached blocks and sends the prompt.
struct Start {
    node: Arc<Node>,
    placed: Arc<Placed>,
    request: CompletionRequest,
    /// The time until the request's deadline.
    remaining: Duration,
}

/// The head and stream of an answer, after the imports.
struct Started {
    missing: Vec<CachedBlock>,
    answer: Result<(AnswerHead, AnswerStream), ClientError>,
}

impl Start {
    /// Returns the start in progress, and when the server counts as silent.
    fn run(self, idle_timeout: Duration) -> (BoxFuture<'static, Started>, Instant) {
        let blocks = self.import_blocks();
        let import_time = if blocks.is_empty() { Duration::ZERO } else { self.import_timeout() };
        let silent_at = Instant::now() + import_time + idle_timeout * HEAD_IDLE_TIMEOUTS;
        let starting = async move {
            let missing = self.import(blocks).await;
            let engine = &self.node.clients.engine;
            let address = self.placed.server.address;
            let answer = engine.complete(address, &self.request, self.remaining, idle_timeout);
            Started { missing, answer: answer.await }
        };
        (Box::pin(starting), silent_at)
    }

    /// Imports blocks; returns those that were planned and not imported.
    async fn import(&self, blocks: Vec<ImportBlock>) -> Vec<CachedBlock> {
        if blocks.is_empty() {
            return Vec::new();
        }
        let import = Import {
            attempt_id: self.request.attempt_id.clone(),
            weight_version: self.request.weight_version.clone(),
            blocks,
        };
        let engine = &self.node.clients.engine;
        let answer = engine.import(self.placed.server.address, &import, self.import_timeout());
        let imported = match answer.await {
            Ok(answer) => answer.imported,
            Err(error) => {
                log::warn!("attempt={} import failed: {error}", import.attempt_id);
                Vec::new()
            }
        };
        self.node.counters.add(Counter::BlocksImported, imported.len() as u64);
        let listed = self.placed.answer.imports.iter();
        let missing: Vec<CachedBlock> =
            listed.filter(|block| !imported.contains(&block.key)).cloned().collect();
        self.node.counters.add(Counter::BlocksNotImported, missing.len() as u64);
        missing
    }

    fn import_blocks(&self) -> Vec<ImportBlock> {
        let listed = self.placed.answer.imports.iter();
        let located = listed.filter_map(|block| {
            let store = self.node.hosts.server(&block.store)?;
            Some(ImportBlock {
                key: block.key,
                store: store.address,
                name: block.name.clone(),
                length_bytes: block.length_bytes,
                checksum: block.checksum.clone(),
            })
        });
        located.collect()
    }

    fn import_timeout(&self) -> Duration {
        Duration::from_millis(self.placed.answer.expected_first_token_ms) + IMPORT_MARGIN
    }
}
