//! One attempt on one server, up to the head of the answer and, for streams, the first complete
//! events.

use crate::answer::{AnswerBody, full_body, strip_hop_headers};
use crate::event;
use crate::follow;
use crate::forward::events::EventSplitter;
use crate::forward::head;
use crate::forward::in_flight::InFlightAttempt;
use crate::forward::job::Job;
use crate::forward::place::Placed;
use crate::forward::source::StreamSource;
use crate::node::Node;
use crate::pool::ServerConnection;
use bytes::Bytes;
use dispatch::configuration::RouteKind;
use dispatch::load::Outcome;
use dispatch::registry::{ServerEntry, ServerId};
use http::{Request, Response, StatusCode, response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use platform::headers::{LOAD, NOT_EXECUTED, REQUEST_ID, SERVER_ID, WEIGHT_VERSIONS, parse_load};
use platform::prompt;
use std::sync::Arc;
use std::time::Duration;

/// The result of an attempt.
#[derive(Debug)]
pub enum AttemptResult {
    /// The complete answer of the server.
    Answered(Box<Response<AnswerBody>>),
    /// The head of a stream and its first complete events.
    Streaming(Box<Streaming>),
    /// The request did not run on the server and never will.
    NotRun(NotRun),
    /// The request may have run on the server.
    MayHaveRun(MayHaveRun),
}

/// The reason why a request did not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NotRun {
    /// The connection could not be opened.
    ConnectFailed,
    /// The connection closed before the request was written.
    Unsent,
    /// The server refused the request without running it.
    Shed,
    /// Another server has taken over the address.
    WrongServer,
    /// The server serves other weights.
    WrongWeights,
}

/// The reason why it is undetermined whether a request has run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MayHaveRun {
    /// The connection was lost, or the server sent no complete and valid answer.
    Aborted,
    /// The answer belongs to another request.
    Mismatched,
    /// The server failed the request, which may be retried.
    ServerFailed,
    /// The deadline passed.
    DeadlineExceeded,
    /// The server answers neither the request nor health checks.
    Unresponsive,
    /// The request waited too long at a server with older weights.
    OldWeights,
}

impl MayHaveRun {
    /// Returns the reason's name in logs and counters.
    pub const fn as_str(self) -> &'static str {
        match self {
            MayHaveRun::Aborted => "broke",
            MayHaveRun::Mismatched => "foreign_answer",
            MayHaveRun::ServerFailed => "server_failed",
            MayHaveRun::DeadlineExceeded => "late",
            MayHaveRun::Unresponsive => "silent",
            MayHaveRun::OldWeights => "old_weights",
        }
    }

    /// Returns the outcome to record for the server.
    pub const fn outcome(self) -> Outcome {
        match self {
            MayHaveRun::Aborted | MayHaveRun::Unresponsive => Outcome::ConnectionFailed,
            MayHaveRun::Mismatched | MayHaveRun::ServerFailed => Outcome::Failed,
            MayHaveRun::DeadlineExceeded | MayHaveRun::OldWeights => Outcome::Cancelled,
        }
    }
}

/// A stream whose first events have arrived.
#[derive(Debug)]
pub struct Streaming {
    /// The head of the answer.
    pub head: response::Parts,
    /// The first complete events.
    pub first: Bytes,
    /// The source of the remaining events.
    pub source: StreamSource,
    /// The time from the arrival of the request to the first event, in milliseconds.
    pub first_ms: u64,
}

/// Sends a request to the chosen server.
pub async fn send(job: &mut Job, placed: Placed) -> AttemptResult {
    let node = Arc::clone(&job.node);
    let server = placed.entry.id.clone();
    let Some(mut connection) = acquire_connection(&node, &placed.entry).await else {
        placed.in_flight.end(Outcome::ConnectionFailed);
        return AttemptResult::NotRun(NotRun::ConnectFailed);
    };
    let request = head::build(job, &placed);
    job.attempts += 1;
    log_attempt(job, &placed, connection.is_reused);
    let sending = connection.connection.sender.try_send_request(request);
    let answer = await_head(job, &placed, sending).await;
    let Placed { in_flight, .. } = placed;
    let (head, body) = match answer {
        Ok(answer) => answer.into_parts(),
        Err(Unanswered::Unsent) => {
            in_flight.end(Outcome::Cancelled);
            return AttemptResult::NotRun(NotRun::Unsent);
        }
        Err(Unanswered::MayHaveRun(reason)) => {
            in_flight.end(reason.outcome());
            return AttemptResult::MayHaveRun(reason);
        }
    };
    if head.headers.get(REQUEST_ID) != Some(&job.request.id) {
        in_flight.end(Outcome::Failed);
        return AttemptResult::MayHaveRun(MayHaveRun::Mismatched);
    }
    connection.read_keep_alive(&head.headers);
    let load = head.headers.get(LOAD).and_then(|value| value.to_str().ok()).and_then(parse_load);
    in_flight.start(load);
    record_weights(job, &server, &head);
    let exchange = Exchange { head, body, connection, in_flight };
    if let Some(reason) = refusal_reason(&exchange.head, &server) {
        return exchange.end_refused(job, reason).await;
    }
    if job.request.route.kind.is_stream() && exchange.head.status.is_success() {
        return exchange.start_stream(job).await;
    }
    exchange.read_complete(job).await
}

async fn acquire_connection(node: &Node, entry: &ServerEntry) -> Option<ServerConnection> {
    if let Some(pooled) = node.pool.take(&entry.id, node.now_ms()) {
        return Some(pooled);
    }
    match node.pool.open(entry).await {
        Ok(opened) => {
            node.metrics.count("server_connections", "opened");
            Some(opened)
        }
        Err(error) => {
            node.metrics.count("server_connections", "failed");
            event!(warn, node.now_ms(), "server_unconnected", {
                "server": entry.id.as_str(),
                "address": entry.address,
                "error": error.to_string(),
            });
            None
        }
    }
}

fn log_attempt(job: &Job, placed: &Placed, is_reused: bool) {
    if !job.is_logged {
        return;
    }
    event!(info, job.node.now_ms(), "request_sent", {
        "request": job.request.id_text(),
        "server": placed.entry.id.as_str(),
        "cost_ms": placed.chosen.cost_ms,
        "expected_first_byte_ms": placed.chosen.first_byte_ms,
        "candidates": placed.chosen.candidates,
        "known_gateways": placed.reporting_gateways,
        "fetched_tokens": placed.engine.as_ref().map(|plan| plan.blocks.fetched_tokens),
        "rank": job.request.spec.priority,
        "engine_rank": placed.engine.as_ref().map(|plan| plan.priority),
        "input_tokens": job.request.spec.prompt.as_ref().map(|prompt| prompt.input_tokens),
        "parts": job.request.spec.prompt.as_ref().map(prompt::format_segments),
        "read_shared_tokens": placed.engine.as_ref().map(|plan| plan.blocks.recomputed_tokens),
        "fetch": placed.engine.as_ref().and_then(|plan| prompt::format_fetch(&plan.blocks)),
        "save": placed.engine.as_ref().and_then(|plan| prompt::format_save(&plan.blocks)),
        "sources": placed.engine.as_ref().map(|plan| {
            plan.blocks.sources.iter().map(|source| source.as_str()).collect::<Vec<_>>()
        }),
        "salt": placed.engine.as_ref().map(|plan| plan.salt.as_str()),
        "reused_connection": is_reused,
        "remaining_ms": job.remaining_ms(),
    });
}

/// The reason why the head of an answer did not arrive.
enum Unanswered {
    Unsent,
    MayHaveRun(MayHaveRun),
}

/// Waits for the head of the answer, until the deadline passes, the time to abort the attempt is
/// reached, or the server is found to be unresponsive.
async fn await_head<F>(
    job: &Job,
    placed: &Placed,
    sending: F,
) -> Result<Response<Incoming>, Unanswered>
where
    F: Future<
        Output = Result<
            Response<Incoming>,
            hyper::client::conn::TrySendError<Request<Full<Bytes>>>,
        >,
    >,
{
    let abort_at_ms = placed.engine.as_ref().and_then(|plan| plan.abort_at_ms);
    let abort_in_ms = abort_at_ms.map(|at_ms| at_ms.saturating_sub(job.node.now_ms()));
    let aborts_first = abort_in_ms.is_some_and(|in_ms| in_ms < job.remaining_ms());
    let wait_ms = abort_in_ms.unwrap_or(u64::MAX).min(job.remaining_ms());
    let deadline = tokio::time::sleep(Duration::from_millis(wait_ms));
    tokio::pin!(sending, deadline);
    loop {
        let unresponsive = job.node.server_unresponsive.notified();
        tokio::select! {
            biased;
            answer = &mut sending => return answer.map_err(|mut error| {
                match error.take_message() {
                    Some(_) => Unanswered::Unsent,
                    None => Unanswered::MayHaveRun(MayHaveRun::Aborted),
                }
            }),
            () = &mut deadline => {
                let reason = if aborts_first {
                    MayHaveRun::OldWeights
                } else {
                    MayHaveRun::DeadlineExceeded
                };
                return Err(Unanswered::MayHaveRun(reason));
            }
            () = unresponsive => {
                if job.may_abandon_unresponsive(&placed.entry.id) {
                    return Err(Unanswered::MayHaveRun(MayHaveRun::Unresponsive));
                }
            }
        }
    }
}

impl Job {
    /// Returns whether the request may be retried on another server now because its server answers
    /// no health checks either.
    pub fn may_abandon_unresponsive(&self, server: &ServerId) -> bool {
        let route = &self.request.route;
        let has_attempts_left = (self.may_have_run_on.len() as u32) + 1 < route.max_attempts;
        route.kind.is_retryable() && has_attempts_left && self.node.state().loads.is_offline(server)
    }
}

/// Returns the reason for a refusal if the head of the answer shows that the request did not run.
fn refusal_reason(head: &response::Parts, server: &ServerId) -> Option<NotRun> {
    if head.status == StatusCode::MISDIRECTED_REQUEST {
        let by = head.headers.get(SERVER_ID).and_then(|id| id.to_str().ok());
        let is_same = by.is_none_or(|id| id == server.as_str());
        return Some(if is_same { NotRun::WrongWeights } else { NotRun::WrongServer });
    }
    let is_shed = head.headers.contains_key(NOT_EXECUTED) && head.status != StatusCode::BAD_REQUEST;
    is_shed.then_some(NotRun::Shed)
}

/// An answer whose head has arrived.
struct Exchange {
    head: response::Parts,
    body: Incoming,
    connection: ServerConnection,
    in_flight: InFlightAttempt,
}

impl Exchange {
    /// Ends the exchange of a request that did not run.
    async fn end_refused(self, job: &Job, reason: NotRun) -> AttemptResult {
        let node = &job.node;
        let server = self.in_flight.server().clone();
        let outcome = match reason {
            NotRun::Shed | NotRun::WrongWeights => Outcome::Shed,
            _ => Outcome::ConnectionFailed,
        };
        if reason == NotRun::WrongServer {
            remove_replaced(node, &server);
        }
        let remaining = Duration::from_millis(job.remaining_ms());
        if let Ok(Ok(_)) = tokio::time::timeout(remaining, self.body.collect()).await {
            node.pool.put(&server, self.connection, node.now_ms());
        }
        self.in_flight.end(outcome);
        AttemptResult::NotRun(reason)
    }

    /// Reads a plain answer completely before any of it is passed on to the caller.
    async fn read_complete(self, job: &mut Job) -> AttemptResult {
        let Self { mut head, body, connection, in_flight } = self;
        let first_byte_ms = job.node.now_ms().saturating_sub(job.request.arrived_ms);
        let remaining = Duration::from_millis(job.remaining_ms());
        let body = match tokio::time::timeout(remaining, body.collect()).await {
            Ok(Ok(collected)) => collected.to_bytes(),
            Ok(Err(_)) => {
                in_flight.end(Outcome::Failed);
                return AttemptResult::MayHaveRun(MayHaveRun::Aborted);
            }
            Err(_) => {
                in_flight.end(Outcome::Cancelled);
                return AttemptResult::MayHaveRun(MayHaveRun::DeadlineExceeded);
            }
        };
        let node = Arc::clone(&job.node);
        let server = in_flight.server().clone();
        node.pool.put(&server, connection, node.now_ms());
        let failed = head.status.is_server_error();
        in_flight.end(if failed { Outcome::Failed } else { Outcome::Answered });
        if failed && job.request.route.kind == RouteKind::Safe && job.can_try_another(&server) {
            return AttemptResult::MayHaveRun(MayHaveRun::ServerFailed);
        }
        let is_unconfirmed_refusal = head.status == StatusCode::SERVICE_UNAVAILABLE
            || head.status == StatusCode::TOO_MANY_REQUESTS;
        if is_unconfirmed_refusal {
            // To the caller, these statuses mean that nothing ran, which this server did not
            // confirm.
            return AttemptResult::MayHaveRun(MayHaveRun::Aborted);
        }
        if !failed {
            node.state().crashes.clear(&job.request.content);
        }
        strip_hop_headers(&mut head.headers);
        job.log_answered(&server, head.status.as_u16(), first_byte_ms);
        AttemptResult::Answered(Box::new(Response::from_parts(head, full_body(body))))
    }

    /// Reads a stream up to its first complete events.
    async fn start_stream(self, job: &mut Job) -> AttemptResult {
        let Self { head, body, connection, in_flight } = self;
        let mut source =
            StreamSource { body, splitter: EventSplitter::new(), connection, in_flight };
        match source.next_events(job).await {
            Ok(Some(events)) => {
                if events.last_id.is_some() {
                    job.last_event_id = events.last_id;
                }
                let first_ms = job.node.now_ms().saturating_sub(job.request.arrived_ms);
                AttemptResult::Streaming(Box::new(Streaming {
                    head,
                    first: events.bytes,
                    source,
                    first_ms,
                }))
            }
            Ok(None) => {
                // A stream that ends properly without an event is passed on as it is.
                let first_ms = job.node.now_ms().saturating_sub(job.request.arrived_ms);
                AttemptResult::Streaming(Box::new(Streaming {
                    head,
                    first: Bytes::new(),
                    source,
                    first_ms,
                }))
            }
            Err(reason) => {
                source.in_flight.end(reason.outcome());
                AttemptResult::MayHaveRun(reason)
            }
        }
    }
}

/// Removes a server whose address another server has taken over. The registry lists it again only
/// after new heartbeats.
fn remove_replaced(node: &Node, server: &ServerId) {
    let now_ms = node.now_ms();
    let change = node.state().registry.mark_removed(server);
    follow::handle_registry_changes(node, change, "other_server_at_address");
    event!(info, now_ms, "server_replaced", { "server": server.as_str() });
}

/// Records the weight version from a server's answer, which may be newer than its registry entry.
fn record_weights(job: &Job, server: &ServerId, head: &response::Parts) {
    let Some(prompt) = &job.request.spec.prompt else { return };
    let text = head.headers.get(WEIGHT_VERSIONS).and_then(|value| value.to_str().ok());
    let version = text.and_then(|text| text.rsplit(',').next()?.trim().parse::<u64>().ok());
    if let Some(version) = version {
        job.node.state().registry.record_version(server, &prompt.model, version);
    }
}
