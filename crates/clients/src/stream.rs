//! The event stream of an engine's answer.

use crate::error::ClientError;
use crate::wire::engine::StreamEvent;
use bytes::Bytes;
use eventsource_stream::{Event, EventStreamError, Eventsource};
use futures_util::{Stream, StreamExt};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// The maximum size of an event with the comments before it, in bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;
/// Data of the last event of a stream.
const DONE: &str = "[DONE]";

type Events = Pin<Box<dyn Stream<Item = Result<Event, EventStreamError<ClientError>>> + Send>>;

/// Reads the events of one answer.
pub struct AnswerStream {
    events: Events,
    /// The bytes read since the last event.
    unused_bytes: Arc<AtomicUsize>,
}

impl AnswerStream {
    /// Reads events from a body; reports [`ClientError::TimedOut`] after each `idle_timeout`
    /// without a byte.
    pub fn new(body: Incoming, idle_timeout: Duration) -> Self {
        let unused_bytes = Arc::default();
        let bytes = read_bytes(body, idle_timeout, Arc::clone(&unused_bytes));
        Self { events: Box::pin(bytes.eventsource()), unused_bytes }
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
        self.unused_bytes.store(0, Ordering::Relaxed);
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
    unused_bytes: Arc<AtomicUsize>,
) -> impl Stream<Item = Result<Bytes, ClientError>> + Send {
    futures_util::stream::unfold((body, unused_bytes), move |(mut body, unused_bytes)| async move {
        let frame = tokio::time::timeout(idle_timeout, body.frame()).await;
        let bytes = match frame {
            Err(_) => Err(ClientError::TimedOut(idle_timeout)),
            Ok(None) => return None,
            Ok(Some(Err(error))) => Err(ClientError::ConnectionLost(error.to_string())),
            Ok(Some(Ok(frame))) => add_bytes(frame.into_data().unwrap_or_default(), &unused_bytes),
        };
        Some((bytes, (body, unused_bytes)))
    })
}

fn add_bytes(bytes: Bytes, unused_bytes: &AtomicUsize) -> Result<Bytes, ClientError> {
    let unused = unused_bytes.fetch_add(bytes.len(), Ordering::Relaxed) + bytes.len();
    if unused > MAX_EVENT_BYTES {
        return Err(ClientError::ConnectionLost("the event is too large".to_owned()));
    }
    Ok(bytes)
}

fn classify_error(error: EventStreamError<ClientError>) -> ClientError {
    match error {
        EventStreamError::Transport(error) => error,
        other => ClientError::Malformed(other.to_string()),
    }
}
