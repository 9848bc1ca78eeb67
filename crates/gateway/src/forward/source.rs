//! The events of a stream as they come from a server.

use crate::forward::attempt::{Flight, MayHaveRun};
use crate::forward::events::{EventSplitter, WholeEvents};
use crate::forward::job::Job;
use crate::pool::ServerConnection;
use bytes::Bytes;
use http_body::Frame;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::time::Duration;

/// Where a stream's events come from.
#[derive(Debug)]
pub struct StreamSource {
    /// The rest of the body.
    pub body: Incoming,
    /// Bytes of an event that is not whole yet.
    pub splitter: EventSplitter,
    /// The connection, kept open as long as the stream.
    pub connection: ServerConnection,
    /// The send.
    pub flight: Flight,
}

impl StreamSource {
    /// Returns the next whole events; `None` at the stream's proper end.
    ///
    /// # Errors
    ///
    /// Says why no more events come.
    pub async fn next_events(&mut self, job: &Job) -> Result<Option<WholeEvents>, MayHaveRun> {
        loop {
            let frame = match await_frame(job, self).await? {
                None if self.splitter.has_rest() => return Err(MayHaveRun::Broke),
                None => return Ok(None),
                Some(frame) => frame,
            };
            let Ok(data) = frame.into_data() else { continue };
            self.flight.heard();
            if let Some(events) = self.splitter.push(&data) {
                return Ok(Some(events));
            }
            if self.splitter.is_overfull() {
                return Err(MayHaveRun::Broke);
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
        let silence = job.node.server_unresponsive.notified();
        tokio::select! {
            biased;
            frame = source.body.frame() => return match frame {
                None => Ok(None),
                Some(Ok(frame)) => Ok(Some(frame)),
                Some(Err(_)) => Err(MayHaveRun::Broke),
            },
            () = &mut deadline => return Err(MayHaveRun::Late),
            () = silence => {
                if job.may_leave_silent(&source.flight.server) {
                    return Err(MayHaveRun::Silent);
                }
            }
        }
    }
}
