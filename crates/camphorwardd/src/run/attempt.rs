//! One attempt at a prompt on one backend server.

use crate::constants::{IMPORT_MARGIN, MIN_SILENCE, SILENCE_TOKEN_GAPS};
use crate::counters::Counter;
use crate::node::Node;
use crate::quarantine::Followed;
use crate::reply::Failure;
use crate::run::decide::note_sent;
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

/// How many times the silence of a stream the head of an answer may take. An engine sends it when
/// it has taken the request, before the queue.
const HEAD_SILENCES: u32 = 2;

/// Says why an attempt ended without its end mark.
#[derive(Debug)]
pub(crate) enum AttemptError {
    /// The caller left.
    CallerGone,
    /// The server failed.
    Failed(Failure),
}

/// Executes one attempt.
pub(crate) struct Attempt<'a> {
    node: &'a Arc<Node>,
    job: &'a Job,
    chain: &'a PrefixChain,
    attempt_id: &'a AttemptId,
    placed: &'a Placed,
    missing: Vec<CachedBlock>,
    first_token_seen: bool,
    followed: &'a mut Followed,
}

impl<'a> Attempt<'a> {
    /// Creates an attempt.
    pub(crate) fn new(
        node: &'a Arc<Node>,
        job: &'a Job,
        chain: &'a PrefixChain,
        attempt_id: &'a AttemptId,
        placed: &'a Placed,
        followed: &'a mut Followed,
    ) -> Self {
        let missing = Vec::new();
        Self { node, job, chain, attempt_id, placed, missing, first_token_seen: false, followed }
    }

    /// Returns the blocks that were to be imported and were not.
    pub(crate) fn into_missing(self) -> Vec<CachedBlock> {
        self.missing
    }

    /// Imports kept work, sends the prompt and passes the tokens on.
    pub(crate) async fn execute(
        &mut self,
        passed_tokens: &mut u64,
        parts: &PartSender,
    ) -> Result<End, AttemptError> {
        // A placement made here is counted already.
        if self.placed.home.is_some() {
            note_sent(self.node, self.attempt_id, &self.placed.answer);
        }
        self.import().await;
        let mut stream = self.send(*passed_tokens).await.map_err(AttemptError::Failed)?;
        let result = self.pass_on(&mut stream, passed_tokens, parts).await;
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
        let bound = self.expected() + IMPORT_MARGIN;
        let engine = &self.node.clients.engine;
        let imported = match engine.import(self.placed.server.address, &import, bound).await {
            Ok(answer) => answer.imported,
            Err(error) => {
                log::warn!("attempt={} import failed: {error}", self.attempt_id);
                Vec::new()
            }
        };
        self.node.counters.add(Counter::PiecesImported, imported.len() as u64);
        let listed = self.placed.answer.imports.iter();
        self.missing = listed.filter(|block| !imported.contains(&block.key)).cloned().collect();
        self.node.counters.add(Counter::PiecesNotImported, self.missing.len() as u64);
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

    async fn send(&mut self, passed_tokens: u64) -> Result<AnswerStream, Failure> {
        let request = self.request(passed_tokens);
        let silence = self.silence();
        let head_bound = silence * HEAD_SILENCES;
        let engine = &self.node.clients.engine;
        let answer = engine.complete(self.placed.server.address, &request, head_bound, silence);
        let (head, stream) = answer.await.map_err(|error| from_client_error(&error))?;
        self.followed.runs_on(head.incarnation);
        self.check_head(&head)?;
        Ok(stream)
    }

    fn request(&self, passed_tokens: u64) -> CompletionRequest {
        let piece = |piece: &placement::chain::Segment| PromptSegment {
            key: piece.key,
            end_byte: piece.end_byte,
        };
        CompletionRequest {
            attempt_id: self.attempt_id.clone(),
            model: self.job.model.model.to_string(),
            weight_version: self.job.model.weight_version.clone(),
            prompt: self.job.prompt.clone(),
            max_tokens: self.job.max_tokens,
            priority: self.job.priority,
            cache_salt: self.chain.cache_salt.clone(),
            segments: self.chain.segments.iter().map(piece).collect(),
            resume_at_token: passed_tokens,
        }
    }

    fn check_head(&self, head: &AnswerHead) -> Result<(), Failure> {
        if head.attempt_id != *self.attempt_id {
            return Err(self.crossed("the head names another attempt"));
        }
        if head.weight_version != self.job.model.weight_version {
            self.cancel();
            let message = "the backend server answers with another weight version";
            return Err(Failure::new(ErrorKind::StaleVersion, message));
        }
        Ok(())
    }

    async fn pass_on(
        &mut self,
        stream: &mut AnswerStream,
        passed_tokens: &mut u64,
        parts: &PartSender,
    ) -> Result<End, AttemptError> {
        loop {
            let event = tokio::select! {
                event = stream.next() => event,
                () = parts.closed() => return Err(AttemptError::CallerGone),
            };
            let event = event.map_err(|error| AttemptError::Failed(self.sort(&error)))?;
            let Some(event) = event else {
                return Err(AttemptError::Failed(self.crossed("the answer has no end mark")));
            };
            match self.check(event, *passed_tokens).map_err(AttemptError::Failed)? {
                StreamBody::End(end) => return Ok(end),
                StreamBody::Token(token) if token.offset < *passed_tokens => {}
                StreamBody::Token(token) => self.pass_token(token, passed_tokens, parts).await?,
            }
        }
    }

    async fn pass_token(
        &mut self,
        token: Token,
        passed_tokens: &mut u64,
        parts: &PartSender,
    ) -> Result<(), AttemptError> {
        self.note_token();
        let sent = parts.send(Ok(Part::Token(token.text))).await;
        sent.map_err(|_| AttemptError::CallerGone)?;
        *passed_tokens += 1;
        Ok(())
    }

    /// Refuses what belongs to another attempt or leaves a gap.
    fn check(&self, event: StreamEvent, passed_tokens: u64) -> Result<StreamBody, Failure> {
        if event.attempt_id != *self.attempt_id {
            return Err(self.crossed("an event names another attempt"));
        }
        match &event.body {
            StreamBody::Token(token) if token.offset > passed_tokens => {
                Err(self.crossed("a token is missing"))
            }
            StreamBody::End(end) if end.answer_tokens != passed_tokens => {
                Err(self.crossed("the end mark does not match the tokens"))
            }
            StreamBody::Token(_) | StreamBody::End(_) => Ok(event.body),
        }
    }

    fn note_token(&mut self) {
        self.node.counters.count(Counter::Tokens);
        if self.first_token_seen {
            return;
        }
        self.first_token_seen = true;
        let server = &self.placed.server.host;
        self.node.placement.loads.first_token(server, self.attempt_id, self.node.now_ms());
    }

    /// Drops the server's idle connections too when one of them went silent.
    fn sort(&self, error: &clients::error::ClientError) -> Failure {
        let failure = from_client_error(error);
        if failure.kind == ErrorKind::ServerSilent {
            self.node.clients.http.reset(self.placed.server.address);
        }
        failure
    }

    fn crossed(&self, message: &str) -> Failure {
        self.node.clients.http.reset(self.placed.server.address);
        Failure::new(ErrorKind::CrossedAnswer, message)
    }

    fn cancel(&self) {
        let engine = self.node.clients.engine.clone();
        let address = self.placed.server.address;
        let attempt_id = self.attempt_id.clone();
        tokio::spawn(async move {
            // An engine that cannot be reached runs nothing that could be cancelled.
            let _ = engine.cancel(address, attempt_id).await;
        });
    }

    fn silence(&self) -> Duration {
        let gap = Duration::from_millis(self.job.model.token_gap_ms);
        (gap * SILENCE_TOKEN_GAPS).max(MIN_SILENCE)
    }

    fn expected(&self) -> Duration {
        Duration::from_millis(self.placed.answer.expected_first_token_ms)
    }
}
