//! Runs a prompt and passes its answer on, streamed or whole.

use crate::callers::format::{AnswerFrame, DONE_EVENT, Shape, Usage, event};
use crate::callers::{auth, body, check_ready, refuse};
use crate::constants::ANSWER_QUEUE;
use crate::flight::FlightGuard;
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

/// Holds what a caller asks for, whichever call it used.
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
    read: impl FnOnce(&Call) -> Result<Prompt, Failure>,
) -> Response<Body> {
    let request_id = new_request_id();
    let mut response = match start(&call, shape, read, &request_id) {
        Ok(started) => pass_on(started).await,
        Err(failure) => {
            log::info!("request={request_id} refused kind={}", failure.kind);
            refuse(&call.node, &failure)
        }
    };
    reply::set_header(&mut response, REQUEST_HEADER, request_id.as_str());
    response
}

/// Holds a run that was started.
struct Started {
    node: Arc<Node>,
    frame: AnswerFrame,
    stream: bool,
    parts: Parts,
    /// Counts the request until the last byte was handed to the connection.
    _guard: FlightGuard,
}

fn start(
    call: &Call,
    shape: Shape,
    read: impl FnOnce(&Call) -> Result<Prompt, Failure>,
    request_id: &RequestId,
) -> Result<Started, Failure> {
    check_ready(call)?;
    let guard = call.node.flights.enter();
    let directory = call.node.directory();
    let organisation = auth::find_organisation(&call.headers, &directory)?;
    let prompt = read(call)?;
    let Some((service, model)) = directory.model(&prompt.model) else {
        return Err(Failure::new(ErrorKind::UnknownModel, "no service serves the model"));
    };
    let most = call.node.settings.limits.answer_tokens;
    let job = Job {
        request_id: request_id.clone(),
        organisation,
        service: service.clone(),
        model: model.clone(),
        max_tokens: body::answer_tokens(prompt.max_tokens, most)?,
        prompt: prompt.text,
        priority: prompt.priority,
    };
    let (sender, parts) = mpsc::channel(ANSWER_QUEUE);
    tokio::spawn(run::run(Arc::clone(&call.node), job, sender));
    let frame = AnswerFrame {
        shape,
        request_id: request_id.clone(),
        model: prompt.model,
        created_s: unix_time_s(),
    };
    Ok(Started { node: Arc::clone(&call.node), frame, stream: prompt.stream, parts, _guard: guard })
}

async fn pass_on(mut started: Started) -> Response<Body> {
    // The status is only known once there is a first token or a failure.
    match started.parts.recv().await {
        Some(Ok(first)) if started.stream => stream_answer(started, first),
        Some(Ok(first)) => collect_answer(started, first).await,
        Some(Err(failure)) => refuse(&started.node, &failure),
        None => refuse(&started.node, &broken_off()),
    }
}

async fn collect_answer(mut started: Started, first: Part) -> Response<Body> {
    let mut text = String::new();
    let mut part = first;
    loop {
        match part {
            Part::Token(token) => text.push_str(&token),
            Part::End(end) => return whole_answer(&started, &text, &end),
        }
        part = match started.parts.recv().await {
            Some(Ok(next)) => next,
            Some(Err(failure)) => return refuse(&started.node, &failure),
            None => return refuse(&started.node, &broken_off()),
        };
    }
}

fn whole_answer(started: &Started, text: &str, end: &End) -> Response<Body> {
    let usage = Usage {
        prompt_tokens: end.prompt_tokens,
        completion_tokens: end.answer_tokens,
        total_tokens: end.prompt_tokens + end.answer_tokens,
    };
    reply::json(StatusCode::OK, &started.frame.whole(text, FINISHED, usage))
}

/// The finish reason of a whole answer.
const FINISHED: &str = "stop";

fn stream_answer(started: Started, first: Part) -> Response<Body> {
    let chunks = stream::unfold(Some((started, Some(first))), |state| async move {
        let (mut started, first) = state?;
        let part = match first {
            Some(part) => Some(Ok(part)),
            None => started.parts.recv().await,
        };
        let (chunk, goes_on) = format_part(&started, part);
        let frame = Ok::<_, io::Error>(Frame::data(Bytes::from(chunk)));
        Some((frame, goes_on.then_some((started, None))))
    });
    reply::event_stream(StreamBody::new(chunks).boxed_unsync())
}

/// Formats one part; the flag says whether more follow.
fn format_part(started: &Started, part: Option<Result<Part, Failure>>) -> (String, bool) {
    match part {
        Some(Ok(Part::Token(text))) => (started.frame.event(&text, None), true),
        Some(Ok(Part::End(_))) => (started.frame.event("", Some(FINISHED)) + DONE_EVENT, false),
        Some(Err(failure)) => (failed_event(started, &failure), false),
        None => (failed_event(started, &broken_off()), false),
    }
}

/// Ends a stream without its end mark, so that nobody takes it for whole.
fn failed_event(started: &Started, failure: &Failure) -> String {
    started.node.counters.count_refusal(failure.kind);
    event(&failure.to_body())
}

fn broken_off() -> Failure {
    Failure::new(ErrorKind::Internal, "the run ended without a result")
}

/// Returns a new request id.
pub(crate) fn new_request_id() -> RequestId {
    let text = format!("req-{}", Uuid::now_v7().simple());
    RequestId::try_from(text).unwrap_or_else(|_| unreachable!("a UUID is a valid id"))
}

fn unix_time_s() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_secs())
}
