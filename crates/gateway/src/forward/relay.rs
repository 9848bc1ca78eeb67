//! Relays a stream to the caller in complete events, and continues it on another server when its
//! server aborts it.

use crate::answer::{AnswerBody, streamed_body, strip_hop_headers};
use crate::event;
use crate::forward::attempt::{self, AttemptResult, MayHaveRun, Streaming};
use crate::forward::job::Job;
use crate::forward::place;
use crate::forward::source::StreamSource;
use bytes::Bytes;
use dispatch::load::Outcome;
use futures_util::stream;
use http::Response;
use http_body::Frame;
use std::io;

/// A stream that is being relayed to the caller.
struct Relay {
    job: Job,
    /// `None` once the stream has ended.
    source: Option<StreamSource>,
    first: Option<Bytes>,
    first_ms: u64,
    status: u16,
}

/// The reason why a stream did not continue on another server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Obstacle {
    /// The route allows no further attempt, or the deadline has passed.
    NoAttemptLeft,
    /// No other server can take the request.
    NoServer,
    /// The retry budget is exhausted.
    RetryBudget,
    /// The other server failed the request.
    ServerFailed,
}

impl Obstacle {
    const fn as_str(self) -> &'static str {
        match self {
            Obstacle::NoAttemptLeft => "no_attempt_left",
            Obstacle::NoServer => "no_server",
            Obstacle::RetryBudget => "over_budget",
            Obstacle::ServerFailed => "server_failed",
        }
    }
}

/// Builds the answer from a stream whose first events have arrived.
pub fn answer(job: Job, streaming: Streaming) -> Response<AnswerBody> {
    let Streaming { mut head, first, source, first_ms } = streaming;
    strip_hop_headers(&mut head.headers);
    let relay = Relay {
        job,
        source: Some(source),
        first: Some(first).filter(|first| !first.is_empty()),
        first_ms,
        status: head.status.as_u16(),
    };
    let frames = stream::unfold(relay, |mut relay| async move {
        let frame = relay.next().await?;
        Some((frame.map(Frame::data), relay))
    });
    Response::from_parts(head, streamed_body(frames))
}

impl Relay {
    async fn next(&mut self) -> Option<io::Result<Bytes>> {
        if let Some(first) = self.first.take() {
            return Some(Ok(first));
        }
        loop {
            let mut source = self.source.take()?;
            match source.next_events(&self.job).await {
                Ok(Some(events)) => {
                    if events.last_id.is_some() {
                        self.job.last_event_id = events.last_id;
                    }
                    self.source = Some(source);
                    return Some(Ok(events.bytes));
                }
                Ok(None) => {
                    self.finish(source);
                    return None;
                }
                Err(reason) => {
                    if let Err((reason, obstacle)) = self.continue_on_another(source, reason).await
                    {
                        return Some(Err(self.abort(reason, obstacle)));
                    }
                    if let Some(first) = self.first.take() {
                        return Some(Ok(first));
                    }
                }
            }
        }
    }

    fn finish(&mut self, source: StreamSource) {
        let node = &self.job.node;
        let server = source.in_flight.server().clone();
        node.pool.put(&server, source.connection, node.now_ms());
        source.in_flight.end(Outcome::Answered);
        node.state().crashes.clear(&self.job.request.content);
        self.job.log_answered(&server, self.status, self.first_ms);
    }

    /// Sends the request to another server, which resumes the stream after the last complete event.
    async fn continue_on_another(
        &mut self,
        source: StreamSource,
        reason: MayHaveRun,
    ) -> Result<(), (MayHaveRun, Obstacle)> {
        let server = source.in_flight.server().clone();
        // The connection closes before the request is sent to another server.
        drop(source.connection);
        source.in_flight.end(reason.outcome());
        let mut reason = reason;
        self.job.record_may_have_run(&server, reason);
        while self.job.may_retry() && self.job.remaining_ms() > 0 {
            let Ok(placed) = place::place(&self.job) else {
                return Err((reason, Obstacle::NoServer));
            };
            if !self.job.take_retry() {
                return Err((reason, Obstacle::RetryBudget));
            }
            let server = placed.entry.id.clone();
            match attempt::send(&mut self.job, placed).await {
                AttemptResult::Streaming(streaming) => {
                    self.first = Some(streaming.first).filter(|first| !first.is_empty());
                    self.source = Some(streaming.source);
                    return Ok(());
                }
                AttemptResult::Answered(_) => {
                    return Err((MayHaveRun::ServerFailed, Obstacle::ServerFailed));
                }
                AttemptResult::NotRun(refused) => self.job.record_not_run(&server, refused),
                AttemptResult::MayHaveRun(failed) => {
                    reason = failed;
                    self.job.record_may_have_run(&server, failed);
                }
            }
        }
        Err((reason, Obstacle::NoAttemptLeft))
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
            "sends": self.job.attempts,
            "remaining_ms": self.job.remaining_ms(),
        });
        io::Error::other(reason.as_str())
    }
}
