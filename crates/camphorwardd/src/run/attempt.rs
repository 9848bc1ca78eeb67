//! One attempt at a prompt on one backend server.

use crate::constants::{IDLE_TOKEN_GAPS, IMPORT_MARGIN, MIN_IDLE_TIMEOUT};
use crate::counters::Counter;
use crate::node::Node;
use crate::quarantine::TrackedAttempt;
use crate::reply::Failure;
use crate::run::decide::record_attempt;
use crate::run::failure::from_client_error;
use crate::run::place::Placed;
use crate::run::{Job, Part, PartSender};
use clients::engine::AnswerHead;
use clients::stream::AnswerStream;
use clients::wire::engine::{
    CompletionRequest, End, Import, ImportBlock, PromptSegment, StreamBody, StreamEvent, Token,
};
use placement::chain::PrefixChain;
use protocol::error::ErrorKind;
use protocol::ids::AttemptId;
use protocol::message::place::CachedBlock;
use std::sync::Arc;
use std::time::Duration;

/// Timeout of the head of an answer, as a multiple of the stream's idle timeout. An engine sends
/// the head when it accepts the request, before queueing it.
const HEAD_IDLE_TIMEOUTS: u32 = 2;

/// The reason why an attempt ended without its end mark.
#[derive(Debug)]
pub(crate) enum AttemptError {
    /// The caller disconnected.
    CallerDisconnected,
    /// The server failed.
    Failed(Failure),
}

/// One attempt in progress.
pub(crate) struct Attempt<'a> {
    node: &'a Arc<Node>,
    job: &'a Job,
    chain: &'a PrefixChain,
    attempt_id: &'a AttemptId,
    placed: &'a Placed,
    missing: Vec<CachedBlock>,
    first_token_seen: bool,
    tracked: &'a mut TrackedAttempt,
}

impl<'a> Attempt<'a> {
    /// Creates an attempt.
    pub(crate) fn new(
        node: &'a Arc<Node>,
        job: &'a Job,
        chain: &'a PrefixChain,
        attempt_id: &'a AttemptId,
        placed: &'a Placed,
        tracked: &'a mut TrackedAttempt,
    ) -> Self {
        let missing = Vec::new();
        Self { node, job, chain, attempt_id, placed, missing, first_token_seen: false, tracked }
    }

    /// Returns the blocks whose planned import did not take place.
    pub(crate) fn into_missing(self) -> Vec<CachedBlock> {
        self.missing
    }

    /// Imports cached blocks, sends the prompt and forwards the tokens.
    pub(crate) async fn execute(
        &mut self,
        forwarded_tokens: &mut u64,
        parts: &PartSender,
    ) -> Result<End, AttemptError> {
        // A placement decided on this host is already counted.
        if self.placed.home.is_some() {
            record_attempt(self.node, self.attempt_id, &self.placed.answer);
        }
        self.import().await;
        let mut stream = self.send(*forwarded_tokens).await.map_err(AttemptError::Failed)?;
        let result = self.forward(&mut stream, forwarded_tokens, parts).await;
        if result.is_err() {
            self.cancel();
        }
        result
    }

    async fn import(&mut self) {
        let blocks = self.import_blocks();
        if blocks.is_empty() {
            return;
        }
        let import = Import {
            attempt_id: self.attempt_id.clone(),
            weight_version: self.job.model.weight_version.clone(),
            blocks,
        };
        let timeout = self.expected_first_token() + IMPORT_MARGIN;
        let engine = &self.node.clients.engine;
        let imported = match engine.import(self.placed.server.address, &import, timeout).await {
            Ok(answer) => answer.imported,
            Err(error) => {
                log::warn!("attempt={} import failed: {error}", self.attempt_id);
                Vec::new()
            }
        };
        self.node.counters.add(Counter::BlocksImported, imported.len() as u64);
        let listed = self.placed.answer.imports.iter();
        self.missing = listed.filter(|block| !imported.contains(&block.key)).cloned().collect();
        self.node.counters.add(Counter::BlocksNotImported, self.missing.len() as u64);
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

    async fn send(&mut self, forwarded_tokens: u64) -> Result<AnswerStream, Failure> {
        let request = self.request(forwarded_tokens);
        let idle_timeout = self.idle_timeout();
        let head_timeout = idle_timeout * HEAD_IDLE_TIMEOUTS;
        let engine = &self.node.clients.engine;
        let answer =
            engine.complete(self.placed.server.address, &request, head_timeout, idle_timeout);
        let (head, stream) = answer.await.map_err(|error| from_client_error(&error))?;
        self.tracked.update_incarnation(head.incarnation);
        self.check_head(&head)?;
        Ok(stream)
    }

    fn request(&self, forwarded_tokens: u64) -> CompletionRequest {
        let to_segment = |segment: &placement::chain::Segment| PromptSegment {
            key: segment.key,
            end_byte: segment.end_byte,
        };
        CompletionRequest {
            attempt_id: self.attempt_id.clone(),
            model: self.job.model.model.to_string(),
            weight_version: self.job.model.weight_version.clone(),
            prompt: self.job.prompt.clone(),
            max_tokens: self.job.max_tokens,
            priority: self.job.priority,
            cache_salt: self.chain.cache_salt.clone(),
            segments: self.chain.segments.iter().map(to_segment).collect(),
            resume_at_token: forwarded_tokens,
        }
    }

    fn check_head(&self, head: &AnswerHead) -> Result<(), Failure> {
        if head.attempt_id != *self.attempt_id {
            return Err(self.crossed_answer("the head names another attempt"));
        }
        if head.weight_version != self.job.model.weight_version {
            self.cancel();
            let message = "the backend server answers with another weight version";
            return Err(Failure::new(ErrorKind::StaleVersion, message));
        }
        Ok(())
    }

    async fn forward(
        &mut self,
        stream: &mut AnswerStream,
        forwarded_tokens: &mut u64,
        parts: &PartSender,
    ) -> Result<End, AttemptError> {
        loop {
            let event = tokio::select! {
                event = stream.next() => event,
                () = parts.closed() => return Err(AttemptError::CallerDisconnected),
            };
            let event = event.map_err(|error| AttemptError::Failed(self.classify(&error)))?;
            let Some(event) = event else {
                return Err(AttemptError::Failed(
                    self.crossed_answer("the answer has no end mark"),
                ));
            };
            match self.check(event, *forwarded_tokens).map_err(AttemptError::Failed)? {
                StreamBody::End(end) => return Ok(end),
                StreamBody::Token(token) if token.offset < *forwarded_tokens => {}
                StreamBody::Token(token) => {
                    self.forward_token(token, forwarded_tokens, parts).await?
                }
            }
        }
    }

    async fn forward_token(
        &mut self,
        token: Token,
        forwarded_tokens: &mut u64,
        parts: &PartSender,
    ) -> Result<(), AttemptError> {
        self.record_token();
        let sent = parts.send(Ok(Part::Token(token.text))).await;
        sent.map_err(|_| AttemptError::CallerDisconnected)?;
        *forwarded_tokens += 1;
        Ok(())
    }

    /// Rejects an event that belongs to another attempt or leaves a gap.
    fn check(&self, event: StreamEvent, forwarded_tokens: u64) -> Result<StreamBody, Failure> {
        if event.attempt_id != *self.attempt_id {
            return Err(self.crossed_answer("an event names another attempt"));
        }
        match &event.body {
            StreamBody::Token(token) if token.offset > forwarded_tokens => {
                Err(self.crossed_answer("a token is missing"))
            }
            StreamBody::End(end) if end.answer_tokens != forwarded_tokens => {
                Err(self.crossed_answer("the end mark does not match the tokens"))
            }
            StreamBody::Token(_) | StreamBody::End(_) => Ok(event.body),
        }
    }

    fn record_token(&mut self) {
        self.node.counters.count(Counter::Tokens);
        if self.first_token_seen {
            return;
        }
        self.first_token_seen = true;
        let server = &self.placed.server.host;
        self.node.placement.loads.first_token(server, self.attempt_id, self.node.now_ms());
    }

    /// Classifies an error; if the server became unresponsive, also closes its idle connections.
    fn classify(&self, error: &clients::error::ClientError) -> Failure {
        let failure = from_client_error(error);
        if failure.kind == ErrorKind::ServerSilent {
            self.node.clients.http.reset(self.placed.server.address);
        }
        failure
    }

    fn crossed_answer(&self, message: &str) -> Failure {
        self.node.clients.http.reset(self.placed.server.address);
        Failure::new(ErrorKind::CrossedAnswer, message)
    }

    fn cancel(&self) {
        let engine = self.node.clients.engine.clone();
        let address = self.placed.server.address;
        let attempt_id = self.attempt_id.clone();
        tokio::spawn(async move {
            // An engine that cannot be reached has nothing to cancel.
            let _ = engine.cancel(address, attempt_id).await;
        });
    }

    fn idle_timeout(&self) -> Duration {
        let gap = Duration::from_millis(self.job.model.token_gap_ms);
        (gap * IDLE_TOKEN_GAPS).max(MIN_IDLE_TIMEOUT)
    }

    fn expected_first_token(&self) -> Duration {
        Duration::from_millis(self.placed.answer.expected_first_token_ms)
    }
}
