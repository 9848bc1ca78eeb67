//! HTTP handlers of the engine.

use super::instance::Instance;
use super::{Core, attempts, transfer, weights};
use crate::reply;
use crate::server::{Call, ErrorResponse, HandlerResult, Kill};
use crate::switch::lock;
use bytes::Bytes;
use clients::wire::engine::{
    ATTEMPT_HEADER, Cancel, CompletionRequest, Export, INCARNATION_HEADER, Import, LoadCommand,
    Refusal, VERSION_HEADER,
};
use futures_util::stream;
use gotham::helpers::http::Body;
use http::header::CONTENT_TYPE;
use http::{HeaderName, HeaderValue, Method, Response, StatusCode};
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};
use std::fmt::Display;
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;

/// Answers a call.
pub(super) async fn answer(core: Arc<Core>, call: Call) -> Response<Body> {
    let segments = call.segments();
    match segments.as_slice() {
        ["faults"] => return core.faults.answer(&call),
        ["counters"] => return reply::json(StatusCode::OK, &core.counters()),
        _ => {}
    }
    let delay_ms = core.faults.get().delay_ms;
    if delay_ms > 0 {
        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
    }
    let instance = core.instance();
    let result = match (&call.method, segments.as_slice()) {
        (&Method::POST, ["v1", "completions"]) => complete(&core, &instance, &call),
        (&Method::POST, ["v1", "cancel"]) => cancel(&core, &instance, &call),
        (&Method::GET, ["load"]) => Ok(reply::json(StatusCode::OK, &instance.load_report(&core))),
        (&Method::GET, ["kv", "snapshot"]) => Ok(snapshot(&instance)),
        (&Method::GET, ["kv", "events"]) => Ok(events(&instance, &call)),
        (&Method::POST, ["kv", "export"]) => export(&core, &instance, &call).await,
        (&Method::POST, ["kv", "import"]) => import(&core, &instance, &call).await,
        (&Method::POST, ["admin", "load"]) => load(&core, &instance, &call),
        (&Method::POST, ["kill"]) => kill(&core, &call),
        _ => Ok(reply::empty(StatusCode::NOT_FOUND)),
    };
    result.unwrap_or_else(|response| *response)
}

fn refuse(core: &Core, status: StatusCode, reason: &str) -> ErrorResponse {
    core.count(|counters| counters.refused += 1);
    Box::new(reply::json(status, &Refusal { reason: reason.to_owned(), not_run: true }))
}

fn complete(core: &Arc<Core>, instance: &Arc<Instance>, call: &Call) -> HandlerResult {
    let Ok(request) = serde_json::from_slice::<CompletionRequest>(&call.body) else {
        return Err(refuse(core, StatusCode::BAD_REQUEST, "malformed"));
    };
    if !has_ordered_segments(&request) {
        return Err(refuse(core, StatusCode::BAD_REQUEST, "malformed"));
    }
    let leaving = core.faults.get().leaving;
    if leaving && core.config.refuses_when_leaving {
        return Err(refuse(core, StatusCode::SERVICE_UNAVAILABLE, "leaving"));
    }
    let version = instance.weight_version();
    if core.config.checks_version && request.weight_version != version {
        return Err(refuse(core, StatusCode::CONFLICT, "wrong_version"));
    }
    if instance.active_attempts() >= core.config.max_running + core.config.max_queued {
        return Err(refuse(core, StatusCode::SERVICE_UNAVAILABLE, "full"));
    }
    core.count(|counters| {
        counters.attempts += 1;
        counters.attempts_while_leaving += u64::from(leaving);
    });
    let head = [
        (ATTEMPT_HEADER, request.attempt_id.to_string()),
        (VERSION_HEADER, version.to_string()),
        (INCARNATION_HEADER, instance.incarnation().to_string()),
    ];
    let events = attempts::start(core, instance, request, version);
    Ok(stream_response(events, head))
}

fn has_ordered_segments(request: &CompletionRequest) -> bool {
    let ends = request.segments.iter().map(|segment| segment.end_byte);
    ends.clone().is_sorted() && ends.max().unwrap_or(0) <= request.prompt.len()
}

fn stream_response(
    events: mpsc::Receiver<Bytes>,
    head: [(&'static str, impl Display); 3],
) -> Response<Body> {
    let frames = stream::unfold(events, |mut events| async {
        let bytes = events.recv().await?;
        Some((Ok::<_, io::Error>(Frame::data(bytes)), events))
    });
    let mut response = Response::new(StreamBody::new(frames).boxed_unsync());
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    for (name, value) in head {
        if let Ok(value) = HeaderValue::from_str(&value.to_string()) {
            headers.insert(HeaderName::from_static(name), value);
        }
    }
    response
}

fn cancel(core: &Core, instance: &Instance, call: &Call) -> HandlerResult {
    let cancel: Cancel = call.json()?;
    if !core.faults.get().ignores_cancel {
        instance.attempts.cancel(&cancel.attempt_id);
    }
    Ok(reply::empty(StatusCode::NO_CONTENT))
}

fn snapshot(instance: &Instance) -> Response<Body> {
    reply::json(StatusCode::OK, &lock(&instance.cache).snapshot(instance.incarnation()))
}

fn events(instance: &Instance, call: &Call) -> Response<Body> {
    let from = call.query_u64("from", 0);
    reply::json(StatusCode::OK, &lock(&instance.cache).events(instance.incarnation(), from))
}

async fn export(core: &Core, instance: &Instance, call: &Call) -> HandlerResult {
    let export: Export = call.json()?;
    Ok(reply::json(StatusCode::OK, &transfer::export(core, instance, export).await))
}

async fn import(core: &Core, instance: &Instance, call: &Call) -> HandlerResult {
    let import: Import = call.json()?;
    Ok(reply::json(StatusCode::OK, &transfer::import(core, instance, import).await))
}

fn load(core: &Arc<Core>, instance: &Arc<Instance>, call: &Call) -> HandlerResult {
    let command: LoadCommand = call.json()?;
    let accepted = weights::start_load(core, instance, command);
    let status = if accepted { StatusCode::ACCEPTED } else { StatusCode::CONFLICT };
    Ok(reply::empty(status))
}

fn kill(core: &Arc<Core>, call: &Call) -> HandlerResult {
    let kill: Kill = call.json()?;
    core.crash(kill.restart_after_ms);
    Ok(reply::empty(StatusCode::NO_CONTENT))
}
