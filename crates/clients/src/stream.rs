//! The event stream of an engine's answer.

use crate::error::ClientError;
use crate::wire::engine::StreamEvent;
use bytes::Bytes;
use eventsource_stream::{Event, EventStreamError, Eventsource};
use futures_util::{Stream, StreamExt};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::pin::Pin;
use std::time::Duration;

/// Data of the last event of a stream.
const DONE: &str = "[DONE]";

type Events = Pin<Box<dyn Stream<Item = Result<Event, EventStreamError<ClientError>>> + Send>>;

/// Reads the events of one answer.
pub struct AnswerStream {
    events: Events,
}

impl AnswerStream {
    /// Reads events from a body; reports [`ClientError::TimedOut`] after each `idle_timeout`
    /// without a byte.
    pub fn new(body: Incoming, idle_timeout: Duration) -> Self {
        Self { events: Box::pin(read_bytes(body, idle_timeout).eventsource()) }
    }

    /// Returns the next event; `None` after the last one. The stream can be read further after
    /// [`ClientError::TimedOut`], and no event is lost if the future is dropped.
    ///
    /// # Errors
    ///
    /// Returns [`ClientError::TimedOut`], [`ClientError::ConnectionLost`] or [`ClientError::Malformed`].
    pub async fn next(&mut self) -> Result<Option<StreamEvent>, ClientError> {
        let Some(event) = self.events.next().await else {
            return Err(ClientError::ConnectionLost(
                "stream closed before its last event".to_owned(),
            ));
        };
        let event = event.map_err(classify_error)?;
        if event.data == DONE {
            return Ok(None);
        }
        let parsed = serde_json::from_str(&event.data);
        parsed.map(Some).map_err(|error| ClientError::Malformed(error.to_string()))
    }
}

impl std::fmt::Debug for AnswerStream {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("AnswerStream")
    }
}

fn read_bytes(
    body: Incoming,
    idle_timeout: Duration,
) -> impl Stream<Item = Result<Bytes, ClientError>> + Send {
    futures_util::stream::unfold(body, move |mut body| async move {
        let frame = tokio::time::timeout(idle_timeout, body.frame()).await;
        let bytes = match frame {
            Err(_) => Err(ClientError::TimedOut(idle_timeout)),
            Ok(None) => return None,
            Ok(Some(Err(error))) => Err(ClientError::ConnectionLost(error.to_string())),
            Ok(Some(Ok(frame))) => Ok(frame.into_data().unwrap_or_default()),
        };
        Some((bytes, body))
    })
}

fn classify_error(error: EventStreamError<ClientError>) -> ClientError {
    match error {
        EventStreamError::Transport(error) => error,
        other => ClientError::Malformed(other.to_string()),
    }
}
