//! Relays a stream to the caller in complete events, and continues it on another server when its
//! server aborts it.

use crate::answer::{AnswerBody, streamed_body, strip_hop_headers};
use crate::crashes;
use crate::event;
use crate::forward::attempt::{AttemptResult, Streaming};
use crate::forward::events::CompleteEvents;
use crate::forward::hedge::{self, Obstacle, RunningAttempt};
use crate::forward::job::Job;
use crate::forward::outcome::MayHaveRun;
use crate::forward::source::StreamSource;
use bytes::Bytes;
use dispatch::load::Outcome;
use futures_util::stream;
use http::{Response, response};
use http_body::Frame;
use std::io;

/// A stream that is being relayed to the caller.
struct Relay {
    job: Job,
    /// `None` once the stream has ended.
    source: Option<StreamSource>,
    /// The attempt on another server while this one is unresponsive.
    hedge: Option<RunningAttempt>,
    first: Option<Bytes>,
    first_ms: u64,
    status: u16,
}

/// Builds the answer from a stream whose first events have arrived.
pub fn answer(mut job: Job, streaming: Streaming) -> Response<AnswerBody> {
    job.has_begun = true;
    let (first_ms, status) = (streaming.first_ms, streaming.head.status.as_u16());
    let mut relay = Relay { job, source: None, hedge: None, first: None, first_ms, status };
    let mut head = relay.adopt(streaming);
    strip_hop_headers(&mut head.headers);
    let frames = stream::unfold(relay, |mut relay| async move {
        let frame = relay.next().await?;
        Some((frame.map(Frame::data), relay))
    });
    Response::from_parts(head, streamed_body(frames))
}

/// What happens next to a stream.
enum Step {
    /// The server sent events, ended the stream or failed.
    Source(Result<Option<CompleteEvents>, MayHaveRun>),
    /// The hedge has a result.
    Hedge(AttemptResult),
    /// A server is unresponsive.
    Unresponsive,
}

impl Relay {
    async fn next(&mut self) -> Option<io::Result<Bytes>> {
        loop {
            if let Some(first) = self.first.take() {
                return Some(Ok(first));
            }
            match self.next_step().await? {
                Step::Source(Ok(Some(events))) => {
                    self.cancel_hedge();
                    self.record_progress();
                    return Some(Ok(self.pass_on(events)));
                }
                Step::Source(Ok(None)) => {
                    self.cancel_hedge();
                    self.finish();
                    return None;
                }
                Step::Source(Err(reason)) => {
                    if let Err((reason, obstacle)) = self.continue_on_another(reason).await {
                        return Some(Err(self.abort(reason, obstacle)));
                    }
                }
                Step::Hedge(result) => self.apply_hedge(result),
                Step::Unresponsive => self.start_hedge(),
            }
        }
    }

    /// Waits for the next step; returns `None` once the stream has ended.
    async fn next_step(&mut self) -> Option<Step> {
        let source = self.source.as_mut()?;
        let unresponsive = self.job.node.server_unresponsive.notified();
        Some(tokio::select! {
            biased;
            events = source.next_events(&self.job.node, &self.job.request) => Step::Source(events),
            result = hedge::result_of(&mut self.hedge) => Step::Hedge(result),
            () = unresponsive => Step::Unresponsive,
        })
    }

    /// Continues with the events of a server; returns the head of its answer.
    fn adopt(&mut self, streaming: Streaming) -> response::Parts {
        if !streaming.first.bytes.is_empty() {
            self.job.record_begun(&streaming.software);
        }
        let bytes = self.pass_on(streaming.first);
        self.first = Some(bytes).filter(|bytes| !bytes.is_empty());
        self.source = Some(streaming.source);
        streaming.head
    }

    /// Records that the server sent more than the beginning of its answer.
    fn record_progress(&mut self) {
        let Some(source) = self.source.as_mut() else { return };
        if !std::mem::replace(&mut source.has_gone_on, true) {
            crashes::record_progress(&self.job.node, &self.job.request, source.began_ms);
        }
    }

    fn pass_on(&mut self, events: CompleteEvents) -> Bytes {
        if events.last_id.is_some() {
            self.job.last_event_id = events.last_id;
        }
        events.bytes
    }

    fn finish(&mut self) {
        let Some(source) = self.source.take() else { return };
        let node = &self.job.node;
        let server = source.in_flight.server().clone();
        node.pool.put(&server, source.connection, node.now_ms());
        source.in_flight.end(Outcome::Answered);
        crashes::record_answered(node, &self.job.request, source.began_ms);
        self.job.log_answered(&server, self.status, self.first_ms);
    }

    fn start_hedge(&mut self) {
        let Some(source) = self.source.as_ref().filter(|_| self.hedge.is_none()) else { return };
        self.hedge = self.job.start_hedge(source.in_flight.server());
    }

    fn cancel_hedge(&mut self) {
        if let Some(hedge) = self.hedge.take() {
            self.job.record_unused_hedge(&hedge.server);
        }
    }

    /// Continues with the hedge if it delivered events, and otherwise waits on for the first
    /// server.
    fn apply_hedge(&mut self, result: AttemptResult) {
        let Some(hedge) = self.hedge.take() else { return };
        match result {
            AttemptResult::Streaming(streaming) => {
                self.leave_source(MayHaveRun::Unresponsive);
                self.adopt(*streaming);
            }
            failed => self.job.record_failure(&hedge.server, &failed),
        }
    }

    /// Closes the connection to the server and records why it is left.
    fn leave_source(&mut self, reason: MayHaveRun) {
        let Some(source) = self.source.take() else { return };
        let server = source.in_flight.server().clone();
        drop(source.connection);
        source.in_flight.fail(reason, &self.job.request, true);
        self.job.record_may_have_run(&server, reason);
    }

    /// Resumes the stream on another server after the last complete event.
    async fn continue_on_another(
        &mut self,
        reason: MayHaveRun,
    ) -> Result<(), (MayHaveRun, Obstacle)> {
        let mut reason = reason;
        self.leave_source(reason);
        let mut next = self.hedge.take();
        loop {
            let attempt = match next.take() {
                Some(hedge) => hedge,
                None => {
                    let started = self.job.start_retry_when_free().await;
                    started.map_err(|obstacle| (reason, obstacle))?
                }
            };
            let (server, result) = hedge::run(&mut self.job, attempt).await;
            match result {
                AttemptResult::Streaming(streaming) => {
                    self.adopt(*streaming);
                    return Ok(());
                }
                failed => {
                    reason = failed.reason().unwrap_or(reason);
                    self.job.record_failure(&server, &failed);
                }
            }
        }
    }

    fn abort(&mut self, reason: MayHaveRun, obstacle: Obstacle) -> io::Error {
        self.job.is_ended = true;
        let node = &self.job.node;
        node.metrics.count("streams_aborted", reason.as_str());
        node.metrics.count("streams_not_moved", obstacle.as_str());
        event!(warn, node.now_ms(), "stream_aborted", {
            "request": self.job.request.id_text(),
            "route": self.job.request.route.name,
            "reason": reason.as_str(),
            "obstacle": obstacle.as_str(),
            "last_event": self.job.last_event_id,
            "sends": self.job.attempts(),
            "remaining_ms": self.job.remaining_ms(),
        });
        io::Error::other(reason.as_str())
    }
}
