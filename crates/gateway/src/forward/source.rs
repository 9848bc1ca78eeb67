//! The events of a streamed answer, as they arrive from a server.

use crate::answer_memory::ReadError;
use crate::callers::CallerRequest;
use crate::connection_limits::Side;
use crate::forward::events::{CompleteEvents, EventSequence, EventSplitter};
use crate::forward::in_flight::InFlightAttempt;
use crate::forward::outcome::MayHaveRun;
use crate::forward::validation::InvalidAnswer;
use crate::node::Node;
use crate::pool::ServerConnection;
use crate::received::ReceivedBody;
use http_body_util::BodyExt;
use std::time::Duration;

/// The source of a stream's events.
#[derive(Debug)]
pub struct StreamSource {
    /// The rest of the body.
    pub body: ReceivedBody,
    /// Holds the bytes of an incomplete event.
    pub splitter: EventSplitter,
    /// The order of the events; `None` if the stream cannot be resumed.
    pub sequence: Option<EventSequence>,
    /// The connection, held as long as the stream.
    pub connection: ServerConnection,
    /// The attempt.
    pub in_flight: InFlightAttempt,
    /// When the first events arrived, on the node's clock.
    pub began_ms: u64,
    /// Whether more events arrived after the first.
    pub has_gone_on: bool,
}

impl StreamSource {
    /// Returns the next complete events, or `None` at the proper end of the stream. Dropping the
    /// future loses no bytes.
    ///
    /// # Errors
    ///
    /// Returns the reason why no more events arrive.
    pub async fn next_events(
        &mut self,
        node: &Node,
        request: &CallerRequest,
    ) -> Result<Option<CompleteEvents>, MayHaveRun> {
        let remaining = Duration::from_millis(request.remaining_ms(node.now_ms()));
        tokio::time::timeout(remaining, self.read_events(node))
            .await
            .unwrap_or(Err(MayHaveRun::DeadlineExceeded))
    }

    async fn read_events(&mut self, node: &Node) -> Result<Option<CompleteEvents>, MayHaveRun> {
        loop {
            let frame = match self.body.frame().await {
                None if self.splitter.has_partial_event() => return Err(MayHaveRun::Aborted),
                None => return Ok(None),
                Some(frame) => frame.map_err(|error| match error {
                    ReadError::Aborted(_) | ReadError::EndedEarly => MayHaveRun::Aborted,
                    ReadError::TooLarge => MayHaveRun::TooLarge,
                })?,
            };
            let Ok(data) = frame.into_data() else { continue };
            self.in_flight.record_activity();
            let events = self.splitter.push(&data);
            let has_room = self.splitter.is_allowed()
                || node.connection_limits.of(Side::Callers).close_unread(node);
            if !has_room || self.splitter.exceeds_limit() {
                return Err(MayHaveRun::TooLarge);
            }
            let Some(events) = events else { continue };
            let is_ordered =
                self.sequence.as_mut().is_none_or(|sequence| sequence.accept(&events.bytes));
            if !is_ordered {
                return Err(MayHaveRun::Invalid(InvalidAnswer::EventOrder));
            }
            return Ok(Some(events));
        }
    }
}
