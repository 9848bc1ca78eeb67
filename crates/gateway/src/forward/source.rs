//! The events of a streamed answer, as they arrive from a server.

use crate::forward::attempt::MayHaveRun;
use crate::forward::events::{CompleteEvents, EventSplitter};
use crate::forward::in_flight::InFlightAttempt;
use crate::forward::job::Job;
use crate::pool::ServerConnection;
use bytes::Bytes;
use http_body::Frame;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::time::Duration;

/// The source of a stream's events.
#[derive(Debug)]
pub struct StreamSource {
    /// The rest of the body.
    pub body: Incoming,
    /// Holds the bytes of an incomplete event.
    pub splitter: EventSplitter,
    /// The connection, held as long as the stream.
    pub connection: ServerConnection,
    /// The attempt.
    pub in_flight: InFlightAttempt,
}

impl StreamSource {
    /// Returns the next complete events, or `None` at the proper end of the stream.
    ///
    /// # Errors
    ///
    /// Returns the reason why no more events arrive.
    pub async fn next_events(&mut self, job: &Job) -> Result<Option<CompleteEvents>, MayHaveRun> {
        loop {
            let frame = match await_frame(job, self).await? {
                None if self.splitter.has_partial_event() => return Err(MayHaveRun::Aborted),
                None => return Ok(None),
                Some(frame) => frame,
            };
            let Ok(data) = frame.into_data() else { continue };
            self.in_flight.record_activity();
            if let Some(events) = self.splitter.push(&data) {
                return Ok(Some(events));
            }
            if self.splitter.exceeds_limit() {
                return Err(MayHaveRun::Aborted);
            }
        }
    }
}

async fn await_frame(
    job: &Job,
    source: &mut StreamSource,
) -> Result<Option<Frame<Bytes>>, MayHaveRun> {
    let deadline = tokio::time::sleep(Duration::from_millis(job.remaining_ms()));
    tokio::pin!(deadline);
    loop {
        let unresponsive = job.node.server_unresponsive.notified();
        tokio::select! {
            biased;
            frame = source.body.frame() => return match frame {
                None => Ok(None),
                Some(Ok(frame)) => Ok(Some(frame)),
                Some(Err(_)) => Err(MayHaveRun::Aborted),
            },
            () = &mut deadline => return Err(MayHaveRun::DeadlineExceeded),
            () = unresponsive => {
                if job.may_abandon_unresponsive(source.in_flight.server()) {
                    return Err(MayHaveRun::Unresponsive);
                }
            }
        }
    }
}
