//! Passing on a stream in whole events, and going on elsewhere when its server breaks off.

use crate::answer::{AnswerBody, streamed_body, strip_hop_headers};
use crate::event;
use crate::forward::attempt::{self, Attempt, MayHaveRun, Streaming};
use crate::forward::job::Job;
use crate::forward::place;
use crate::forward::source::StreamSource;
use bytes::Bytes;
use dispatch::load::Outcome;
use futures_util::stream;
use http::Response;
use http_body::Frame;
use std::io;

/// A stream on its way to the caller.
struct Relay {
    job: Job,
    /// `None` once the stream is over.
    source: Option<StreamSource>,
    first: Option<Bytes>,
    first_ms: u64,
    status: u16,
}

/// Builds the answer of a stream that has begun.
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
    let pieces = stream::unfold(relay, |mut relay| async move {
        let piece = relay.next().await?;
        Some((piece.map(Frame::data), relay))
    });
    Response::from_parts(head, streamed_body(pieces))
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
                        self.job.last_event = events.last_id;
                    }
                    self.source = Some(source);
                    return Some(Ok(events.bytes));
                }
                Ok(None) => {
                    self.finish(source);
                    return None;
                }
                Err(reason) => {
                    if let Err(reason) = self.go_on_elsewhere(source, reason).await {
                        return Some(Err(self.abort(reason)));
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
        let server = source.flight.server.clone();
        node.pool.put(&server, source.connection, node.now_ms());
        source.flight.end(Outcome::Responded);
        node.state().crashes.clear(&self.job.request.content);
        self.job.log_answered(&server, self.status, self.first_ms);
    }

    /// Sends the request to another server, to go on after the last whole event.
    async fn go_on_elsewhere(
        &mut self,
        source: StreamSource,
        reason: MayHaveRun,
    ) -> Result<(), MayHaveRun> {
        let server = source.flight.server.clone();
        // The connection closes before another server is asked.
        drop(source.connection);
        source.flight.end(reason.outcome());
        let mut reason = reason;
        self.job.note_may_have_run(&server, reason);
        while self.job.may_run_again() && self.job.remaining_ms() > 0 {
            let Ok(placed) = place::place(&self.job) else { return Err(reason) };
            if !self.job.try_repeat() {
                return Err(reason);
            }
            let server = placed.entry.id.clone();
            match attempt::send(&mut self.job, placed).await {
                Attempt::Streaming(streaming) => {
                    self.first = Some(streaming.first).filter(|first| !first.is_empty());
                    self.source = Some(streaming.source);
                    return Ok(());
                }
                Attempt::Answered(_) => return Err(MayHaveRun::ServerFailed),
                Attempt::NotRun(refused) => self.job.note_not_run(&server, refused),
                Attempt::MayHaveRun(failed) => {
                    reason = failed;
                    self.job.note_may_have_run(&server, failed);
                }
            }
        }
        Err(reason)
    }

    fn abort(&mut self, reason: MayHaveRun) -> io::Error {
        self.job.is_ended = true;
        let node = &self.job.node;
        node.metrics.count("streams_aborted", reason.as_str());
        event!(warn, node.now_ms(), "stream_aborted", {
            "request": self.job.request.id_text(),
            "route": self.job.request.route.name,
            "reason": reason.as_str(),
            "last_event": self.job.last_event,
            "sends": self.job.sends,
            "remaining_ms": self.job.remaining_ms(),
        });
        io::Error::other(reason.as_str())
    }
}
