//! Runs a prompt and returns its answer, streamed or complete.

use crate::callers::format::{AnswerFrame, DONE_EVENT, Shape, Usage, event};
use crate::callers::{auth, body, check_ready, refuse};
use crate::constants::ANSWER_QUEUE_PARTS;
use crate::in_flight::InFlightGuard;
use crate::node::Node;
use crate::reply::{self, Failure, REQUEST_HEADER};
use crate::run::{self, Job, Part};
use crate::serve::Call;
use bytes::Bytes;
use clients::wire::engine::End;
use futures_util::stream;
use gotham::helpers::http::Body;
use http::{Response, StatusCode};
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};
use protocol::error::ErrorKind;
use protocol::ids::RequestId;
use std::io;
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::sync::mpsc;
use uuid::Uuid;

/// A caller's prompt, independent of the call that carried it.
pub(crate) struct Prompt {
    pub(crate) model: String,
    pub(crate) text: String,
    pub(crate) max_tokens: Option<u64>,
    pub(crate) stream: bool,
    pub(crate) priority: i32,
}

type Parts = mpsc::Receiver<Result<Part, Failure>>;

/// Answers one call for a model.
pub(crate) async fn respond(
    call: Call,
    shape: Shape,
    decode: impl FnOnce(&Call) -> Result<Prompt, Failure>,
) -> Response<Body> {
    let request_id = new_request_id();
    let mut response = match start(&call, shape, decode, &request_id) {
        Ok(started) => forward(started).await,
        Err(failure) => {
            log::info!("request={request_id} refused kind={}", failure.kind);
            refuse(&call.node, &failure)
        }
    };
    reply::set_header(&mut response, REQUEST_HEADER, request_id.as_str());
    response
}

/// A request in progress whose answer is still to be sent.
struct Started {
    node: Arc<Node>,
    frame: AnswerFrame,
    stream: bool,
    parts: Parts,
    /// Counts the request as in flight until the last byte is handed to the connection.
    _guard: InFlightGuard,
}

fn start(
    call: &Call,
    shape: Shape,
    decode: impl FnOnce(&Call) -> Result<Prompt, Failure>,
    request_id: &RequestId,
) -> Result<Started, Failure> {
    check_ready(call)?;
    let guard = call.node.in_flight.enter();
    let directory = call.node.directory();
    let organisation = auth::find_organisation(&call.headers, &directory)?;
    let prompt = decode(call)?;
    let Some((service, model)) = directory.model(&prompt.model) else {
        return Err(Failure::new(ErrorKind::UnknownModel, "no service serves the model"));
    };
    let max_tokens_limit = call.node.settings.limits.answer_tokens;
    let job = Job {
        request_id: request_id.clone(),
        organisation,
        service: service.clone(),
        model: model.clone(),
        max_tokens: body::answer_tokens(prompt.max_tokens, max_tokens_limit)?,
        prompt: prompt.text,
        priority: prompt.priority,
    };
    let (sender, parts) = mpsc::channel(ANSWER_QUEUE_PARTS);
    tokio::spawn(run::run(Arc::clone(&call.node), job, sender));
    let frame = AnswerFrame {
        shape,
        request_id: request_id.clone(),
        model: prompt.model,
        created_s: unix_time_s(),
    };
    Ok(Started { node: Arc::clone(&call.node), frame, stream: prompt.stream, parts, _guard: guard })
}

async fn forward(mut started: Started) -> Response<Body> {
    // The HTTP status is not determined before the first token or a failure.
    match started.parts.recv().await {
        Some(Ok(first)) if started.stream => stream_answer(started, first),
        Some(Ok(first)) => collect_answer(started, first).await,
        Some(Err(failure)) => refuse(&started.node, &failure),
        None => refuse(&started.node, &request_aborted()),
    }
}

async fn collect_answer(mut started: Started, first: Part) -> Response<Body> {
    let mut text = String::new();
    let mut part = first;
    loop {
        match part {
            Part::Token(token) => text.push_str(&token),
            Part::End(end) => return complete_answer(&started, &text, &end),
        }
        part = match started.parts.recv().await {
            Some(Ok(next)) => next,
            Some(Err(failure)) => return refuse(&started.node, &failure),
            None => return refuse(&started.node, &request_aborted()),
        };
    }
}

fn complete_answer(started: &Started, text: &str, end: &End) -> Response<Body> {
    let usage = Usage {
        prompt_tokens: end.prompt_tokens,
        completion_tokens: end.answer_tokens,
        total_tokens: end.prompt_tokens + end.answer_tokens,
    };
    reply::json(StatusCode::OK, &started.frame.complete(text, FINISH_REASON, usage))
}

/// The finish reason of a complete answer.
const FINISH_REASON: &str = "stop";

fn stream_answer(started: Started, first: Part) -> Response<Body> {
    let chunks = stream::unfold(Some((started, Some(first))), |state| async move {
        let (mut started, first) = state?;
        let part = match first {
            Some(part) => Some(Ok(part)),
            None => started.parts.recv().await,
        };
        let (chunk, has_more) = format_part(&started, part);
        let frame = Ok::<_, io::Error>(Frame::data(Bytes::from(chunk)));
        Some((frame, has_more.then_some((started, None))))
    });
    reply::event_stream(StreamBody::new(chunks).boxed_unsync())
}

/// Formats one part; the flag is true if more parts follow.
fn format_part(started: &Started, part: Option<Result<Part, Failure>>) -> (String, bool) {
    match part {
        Some(Ok(Part::Token(text))) => (started.frame.event(&text, None), true),
        Some(Ok(Part::End(_))) => {
            (started.frame.event("", Some(FINISH_REASON)) + DONE_EVENT, false)
        }
        Some(Err(failure)) => (failed_event(started, &failure), false),
        None => (failed_event(started, &request_aborted()), false),
    }
}

/// Formats a failure in mid-stream. The stream gets no end event, so that the caller cannot take it
/// for complete.
fn failed_event(started: &Started, failure: &Failure) -> String {
    started.node.counters.count_refusal(failure.kind);
    event(&failure.to_body())
}

fn request_aborted() -> Failure {
    Failure::new(ErrorKind::Internal, "the request ended without a result")
}

/// Returns a new request id.
pub(crate) fn new_request_id() -> RequestId {
    let text = format!("req-{}", Uuid::now_v7().simple());
    RequestId::try_from(text).unwrap_or_else(|_| unreachable!("a UUID is a valid id"))
}

fn unix_time_s() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_secs())
}
