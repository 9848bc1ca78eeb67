//! Which answers of servers are passed on, and which of them a stream goes on with.
//!
//! An attempt classifies the head of its answer here, whether it is the first, a retry, a hedge or
//! the continuation of a stream. [`EventSequence`] checks what follows the head of a resumable
//! stream.
//!
//! [`EventSequence`]: crate::forward::events::EventSequence

use crate::forward::outcome::{MayHaveRun, NotRun};
use dispatch::configuration::RouteKind;
use dispatch::registry::ServerId;
use http::header::{CONTENT_ENCODING, CONTENT_LENGTH, CONTENT_TYPE, TRANSFER_ENCODING};
use http::{HeaderMap, HeaderValue, StatusCode, response};
use platform::headers::{NOT_EXECUTED, SEAL, SERVER_ID};

/// The media type of a stream of events.
const EVENT_STREAM: &str = "text/event-stream";

/// The highest status of the protocol. The HTTP library rejects those below 100 or not of three digits.
const MAX_STATUS: u16 = 599;

/// Why an answer that names the attempt is none that a server gives to it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum InvalidAnswer {
    /// Its status is none that the protocol has.
    Status,
    /// It is a success without the server's proof.
    Unsealed,
    /// It is a success that states that the request was not executed.
    RefusedSuccess,
    /// It changes the protocol of the connection.
    ProtocolChange,
    /// It is a success that should be a stream of events and is not.
    NoStream,
    /// It is a stream of a known length without any event.
    EmptyStream,
    /// One of its events has no id, or one that does not follow that of the event before.
    EventOrder,
}

impl InvalidAnswer {
    /// Returns the reason's name in logs and counters.
    pub const fn as_str(self) -> &'static str {
        match self {
            InvalidAnswer::Status => "invalid_status",
            InvalidAnswer::Unsealed => "no_seal",
            InvalidAnswer::RefusedSuccess => "refused_success",
            InvalidAnswer::ProtocolChange => "protocol_change",
            InvalidAnswer::NoStream => "no_stream",
            InvalidAnswer::EmptyStream => "empty_stream",
            InvalidAnswer::EventOrder => "event_order",
        }
    }
}

/// What an answer is the answer to.
#[derive(Clone, Copy, Debug)]
pub struct Expectation<'a> {
    /// The server to which the request was sent.
    pub server: &'a ServerId,
    /// The kind of the request's route.
    pub route_kind: RouteKind,
    /// Whether the caller already has the head of a stream, which only events may follow.
    pub is_continuation: bool,
}

/// What the head of an answer makes of it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerClass {
    /// The request did not run.
    NotRun(NotRun),
    /// The request may have run, and the answer is not passed on.
    Unusable(MayHaveRun),
    /// A plain answer, which is passed on once it is complete.
    Plain,
    /// A stream, whose events are passed on as they arrive.
    Stream,
}

/// Classifies an answer that names the attempt.
pub fn classify(head: &response::Parts, expected: &Expectation<'_>) -> AnswerClass {
    if head.status.as_u16() > MAX_STATUS {
        return unusable(InvalidAnswer::Status);
    }
    if let Some(reason) = refusal_reason(head, expected.server) {
        return AnswerClass::NotRun(reason);
    }
    let status = head.status;
    if status.is_informational() {
        return unusable(InvalidAnswer::ProtocolChange);
    }
    if !status.is_success() {
        return if expected.is_continuation {
            AnswerClass::Unusable(MayHaveRun::ServerFailed)
        } else {
            AnswerClass::Plain
        };
    }
    if head.headers.contains_key(NOT_EXECUTED) {
        return unusable(InvalidAnswer::RefusedSuccess);
    }
    if !head.headers.contains_key(SEAL) {
        return unusable(InvalidAnswer::Unsealed);
    }
    if !expected.route_kind.is_stream() {
        return AnswerClass::Plain;
    }
    if status == StatusCode::OK && is_event_stream(&head.headers) {
        AnswerClass::Stream
    } else {
        unusable(InvalidAnswer::NoStream)
    }
}

const fn unusable(reason: InvalidAnswer) -> AnswerClass {
    AnswerClass::Unusable(MayHaveRun::Invalid(reason))
}

/// Returns the reason for a refusal if the head of the answer shows that the request did not run.
fn refusal_reason(head: &response::Parts, server: &ServerId) -> Option<NotRun> {
    if head.status == StatusCode::MISDIRECTED_REQUEST {
        let by = head.headers.get(SERVER_ID).and_then(|id| id.to_str().ok());
        let is_same = by.is_none_or(|id| id == server.as_str());
        return Some(if is_same { NotRun::WrongWeights } else { NotRun::WrongServer });
    }
    // A request without an id is the caller's mistake, and a success contradicts itself.
    let is_shed = head.headers.contains_key(NOT_EXECUTED)
        && head.status != StatusCode::BAD_REQUEST
        && !head.status.is_success();
    is_shed.then_some(NotRun::Shed)
}

/// Returns whether a body is events as the server wrote them.
fn is_event_stream(headers: &HeaderMap) -> bool {
    let content_type = headers.get(CONTENT_TYPE).and_then(|value| value.to_str().ok());
    let media_type = content_type.and_then(|value| value.split(';').next()).unwrap_or_default();
    let is_plain = |encoding: &HeaderValue| encoding.as_bytes().eq_ignore_ascii_case(b"identity");
    media_type.trim().eq_ignore_ascii_case(EVENT_STREAM)
        && headers.get_all(CONTENT_ENCODING).iter().all(is_plain)
}

/// Checks a stream that ended without an event. It is complete only if its last chunk says so: the
/// end of a connection says nothing before the first event, and no server knows the length of a
/// stream before its events.
///
/// # Errors
///
/// Returns why the stream is not complete.
pub fn check_empty_stream(head: &response::Parts) -> Result<(), MayHaveRun> {
    if head.headers.contains_key(TRANSFER_ENCODING) {
        Ok(())
    } else if head.headers.contains_key(CONTENT_LENGTH) {
        Err(MayHaveRun::Invalid(InvalidAnswer::EmptyStream))
    } else {
        Err(MayHaveRun::Aborted)
    }
}

/// Returns whether a status tells the caller that its request has not run and never will.
pub const fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}
