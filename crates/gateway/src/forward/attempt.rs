//! One send to one server, up to the head of its answer and, for streams, the first whole event.

use crate::answer::{AnswerBody, strip_hop_headers, whole_body};
use crate::event;
use crate::follow;
use crate::forward::events::EventSplitter;
use crate::forward::head;
use crate::forward::job::Job;
use crate::forward::place::Placed;
use crate::forward::source::StreamSource;
use crate::node::Node;
use crate::pool::ServerConnection;
use bytes::Bytes;
use dispatch::configuration::RouteKind;
use dispatch::load::{AttemptId, Outcome};
use dispatch::registry::{ServerEntry, ServerId};
use http::{Request, Response, StatusCode, response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use platform::headers::{LOAD, NOT_EXECUTED, REQUEST_ID, SERVER_ID, WEIGHT_VERSIONS, read_load};
use platform::prompt;
use std::sync::Arc;
use std::time::Duration;

/// How one send went.
#[derive(Debug)]
pub enum Attempt {
    /// The server's whole answer.
    Answered(Box<Response<AnswerBody>>),
    /// The head of a stream and its first whole event.
    Streaming(Box<Streaming>),
    /// The request has not run there and never will.
    NotRun(NotRun),
    /// The request may have run there.
    MayHaveRun(MayHaveRun),
}

/// Why a request has not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NotRun {
    /// No connection could be opened.
    Unconnected,
    /// The connection closed before the request was written.
    Unsent,
    /// The server says that it did not run it.
    Shed,
    /// Another server has the address.
    OtherServer,
    /// The server has other weights.
    OtherWeights,
}

/// Why it is not known whether a request has run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MayHaveRun {
    /// The connection broke, or what came was no whole answer.
    Broke,
    /// The answer belongs to another request.
    Foreign,
    /// The server failed it, and it may be repeated.
    ServerFailed,
    /// Its time passed.
    Late,
    /// The server does not answer health checks either.
    Silent,
    /// It waited at a server with older weights for too long.
    OldWeights,
}

impl MayHaveRun {
    /// Returns the reason's name in logs and counters.
    pub const fn as_str(self) -> &'static str {
        match self {
            MayHaveRun::Broke => "broke",
            MayHaveRun::Foreign => "foreign_answer",
            MayHaveRun::ServerFailed => "server_failed",
            MayHaveRun::Late => "late",
            MayHaveRun::Silent => "silent",
            MayHaveRun::OldWeights => "old_weights",
        }
    }

    /// Returns what the end says of the server.
    pub const fn outcome(self) -> Outcome {
        match self {
            MayHaveRun::Broke | MayHaveRun::Silent => Outcome::ConnectionFailed,
            MayHaveRun::Foreign | MayHaveRun::ServerFailed => Outcome::Failed,
            MayHaveRun::Late | MayHaveRun::OldWeights => Outcome::Cancelled,
        }
    }
}

/// A stream that has begun.
#[derive(Debug)]
pub struct Streaming {
    /// The head of the answer.
    pub head: response::Parts,
    /// The first whole events.
    pub first: Bytes,
    /// The rest.
    pub source: StreamSource,
    /// When the first event came.
    pub first_ms: u64,
}

/// A send that is counted on its server until it ends.
#[derive(Debug)]
pub struct Flight {
    node: Arc<Node>,
    /// The server.
    pub server: ServerId,
    id: AttemptId,
    is_open: bool,
}

impl Flight {
    /// Notes the end of the send.
    pub fn end(mut self, outcome: Outcome) {
        self.close(outcome);
    }

    /// Notes bytes from the server.
    pub fn heard(&self) {
        self.node.state().loads.record_activity(&self.server, self.node.now_ms());
    }

    fn close(&mut self, outcome: Outcome) {
        if std::mem::replace(&mut self.is_open, false) {
            let now_ms = self.node.now_ms();
            self.node.state().loads.finished(&self.server, self.id, outcome, now_ms);
            self.node.capacity_freed.notify_waiters();
        }
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        self.close(Outcome::Cancelled);
    }
}

/// Sends a request to the server that was chosen.
pub async fn send(job: &mut Job, placed: Placed) -> Attempt {
    let node = Arc::clone(&job.node);
    let server = placed.entry.id.clone();
    let flight = Flight {
        node: Arc::clone(&node),
        server: server.clone(),
        id: placed.flight,
        is_open: true,
    };
    let Some(mut connection) = connection(&node, &placed.entry).await else {
        flight.end(Outcome::ConnectionFailed);
        return Attempt::NotRun(NotRun::Unconnected);
    };
    let request = head::build(job, &placed);
    job.sends += 1;
    log_send(job, &placed, connection.is_reused);
    let sending = connection.connection.sender.try_send_request(request);
    let (head, body) = match await_head(job, &placed, sending).await {
        Ok(answer) => answer.into_parts(),
        Err(Unanswered::Unsent) => {
            flight.end(Outcome::Cancelled);
            return Attempt::NotRun(NotRun::Unsent);
        }
        Err(Unanswered::MayHaveRun(reason)) => {
            flight.end(reason.outcome());
            return Attempt::MayHaveRun(reason);
        }
    };
    if head.headers.get(REQUEST_ID) != Some(&job.request.id) {
        flight.end(Outcome::Failed);
        return Attempt::MayHaveRun(MayHaveRun::Foreign);
    }
    connection.note_head(&head.headers);
    let load = head.headers.get(LOAD).and_then(|value| value.to_str().ok()).and_then(read_load);
    node.state().loads.started(&server, flight.id, load, node.now_ms());
    note_weights(job, &server, &head);
    let exchange = Exchange { head, body, connection, flight };
    if let Some(reason) = refused(&exchange.head, &server) {
        return exchange.end_refused(job, &placed, reason).await;
    }
    if job.request.route.kind.is_stream() && exchange.head.status.is_success() {
        return exchange.start_stream(job).await;
    }
    exchange.read_whole(job).await
}

async fn connection(node: &Node, entry: &ServerEntry) -> Option<ServerConnection> {
    if let Some(kept) = node.pool.take(&entry.id, node.now_ms()) {
        return Some(kept);
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

fn log_send(job: &Job, placed: &Placed, is_reused: bool) {
    if !job.is_logged {
        return;
    }
    event!(info, job.node.now_ms(), "request_sent", {
        "request": job.request.id_text(),
        "server": placed.entry.id.as_str(),
        "cost_ms": placed.chosen.cost_ms,
        "expected_first_byte_ms": placed.chosen.first_byte_ms,
        "candidates": placed.chosen.candidates,
        "known_gateways": placed.known_gateways,
        "fetched_tokens": placed.engine.as_ref().map(|plan| plan.blocks.fetched_tokens),
        "rank": job.request.demand.priority,
        "engine_rank": placed.engine.as_ref().map(|plan| plan.rank),
        "input_tokens": job.request.demand.prompt.as_ref().map(|prompt| prompt.input_tokens),
        "parts": job.request.demand.prompt.as_ref().map(prompt::write_segments),
        "read_shared_tokens": placed.engine.as_ref().map(|plan| plan.blocks.recomputed_tokens),
        "fetch": placed.engine.as_ref().and_then(|plan| prompt::write_fetch(&plan.blocks)),
        "save": placed.engine.as_ref().and_then(|plan| prompt::write_save(&plan.blocks)),
        "sources": placed.engine.as_ref().map(|plan| {
            plan.blocks.sources.iter().map(|source| source.as_str()).collect::<Vec<_>>()
        }),
        "salt": placed.engine.as_ref().map(|plan| plan.salt.as_str()),
        "reused_connection": is_reused,
        "remaining_ms": job.remaining_ms(),
    });
}

/// Why no head of an answer came.
enum Unanswered {
    Unsent,
    MayHaveRun(MayHaveRun),
}

/// Waits for the head of the answer, the deadline, or the server's proven silence.
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
    let taken_back_at_ms = placed.engine.as_ref().and_then(|plan| plan.taken_back_at_ms);
    let taken_back_in_ms = taken_back_at_ms.map(|at_ms| at_ms.saturating_sub(job.node.now_ms()));
    let is_taken_back = taken_back_in_ms.is_some_and(|in_ms| in_ms < job.remaining_ms());
    let wait_ms = taken_back_in_ms.unwrap_or(u64::MAX).min(job.remaining_ms());
    let deadline = tokio::time::sleep(Duration::from_millis(wait_ms));
    tokio::pin!(sending, deadline);
    loop {
        let silence = job.node.server_unresponsive.notified();
        tokio::select! {
            biased;
            answer = &mut sending => return answer.map_err(|mut error| {
                match error.take_message() {
                    Some(_) => Unanswered::Unsent,
                    None => Unanswered::MayHaveRun(MayHaveRun::Broke),
                }
            }),
            () = &mut deadline => {
                let reason = if is_taken_back { MayHaveRun::OldWeights } else { MayHaveRun::Late };
                return Err(Unanswered::MayHaveRun(reason));
            }
            () = silence => {
                if job.may_leave_silent(&placed.entry.id) {
                    return Err(Unanswered::MayHaveRun(MayHaveRun::Silent));
                }
            }
        }
    }
}

impl Job {
    /// Says whether the request may go elsewhere now, as its server answers nobody.
    pub fn may_leave_silent(&self, server: &ServerId) -> bool {
        let route = &self.request.route;
        let has_sends_left = (self.ran_on.len() as u32) + 1 < route.max_attempts;
        route.kind.is_retryable() && has_sends_left && self.node.state().loads.is_dead(server)
    }
}

/// Reads from an answer's head whether the request was refused without running.
fn refused(head: &response::Parts, server: &ServerId) -> Option<NotRun> {
    if head.status == StatusCode::MISDIRECTED_REQUEST {
        let by = head.headers.get(SERVER_ID).and_then(|id| id.to_str().ok());
        let is_same = by.is_none_or(|id| id == server.as_str());
        return Some(if is_same { NotRun::OtherWeights } else { NotRun::OtherServer });
    }
    let is_shed = head.headers.contains_key(NOT_EXECUTED) && head.status != StatusCode::BAD_REQUEST;
    is_shed.then_some(NotRun::Shed)
}

/// An answer whose head has come.
struct Exchange {
    head: response::Parts,
    body: Incoming,
    connection: ServerConnection,
    flight: Flight,
}

impl Exchange {
    /// Ends an exchange whose request did not run.
    async fn end_refused(self, job: &Job, placed: &Placed, reason: NotRun) -> Attempt {
        let node = &job.node;
        let server = placed.entry.id.clone();
        let outcome = match reason {
            NotRun::Shed | NotRun::OtherWeights => Outcome::Shed,
            _ => Outcome::ConnectionFailed,
        };
        if reason == NotRun::OtherServer {
            note_gone(node, &server);
        }
        let within = Duration::from_millis(job.remaining_ms());
        if let Ok(Ok(_)) = tokio::time::timeout(within, self.body.collect()).await {
            node.pool.put(&server, self.connection, node.now_ms());
        }
        self.flight.end(outcome);
        Attempt::NotRun(reason)
    }

    /// Reads a plain answer whole before any of it is passed on.
    async fn read_whole(self, job: &mut Job) -> Attempt {
        let Self { mut head, body, connection, flight } = self;
        let first_byte_ms = job.node.now_ms().saturating_sub(job.request.arrived_ms);
        let within = Duration::from_millis(job.remaining_ms());
        let body = match tokio::time::timeout(within, body.collect()).await {
            Ok(Ok(collected)) => collected.to_bytes(),
            Ok(Err(_)) => {
                flight.end(Outcome::Failed);
                return Attempt::MayHaveRun(MayHaveRun::Broke);
            }
            Err(_) => {
                flight.end(Outcome::Cancelled);
                return Attempt::MayHaveRun(MayHaveRun::Late);
            }
        };
        let node = Arc::clone(&job.node);
        let server = flight.server.clone();
        node.pool.put(&server, connection, node.now_ms());
        let failed = head.status.is_server_error();
        flight.end(if failed { Outcome::Failed } else { Outcome::Responded });
        if failed && job.request.route.kind == RouteKind::Safe && job.can_try_another(&server) {
            return Attempt::MayHaveRun(MayHaveRun::ServerFailed);
        }
        let is_unproven_refusal = head.status == StatusCode::SERVICE_UNAVAILABLE
            || head.status == StatusCode::TOO_MANY_REQUESTS;
        if is_unproven_refusal {
            // A refusal promises that nothing ran, which this server did not say.
            return Attempt::MayHaveRun(MayHaveRun::Broke);
        }
        if !failed {
            node.state().crashes.clear(&job.request.content);
        }
        strip_hop_headers(&mut head.headers);
        job.log_answered(&server, head.status.as_u16(), first_byte_ms);
        Attempt::Answered(Box::new(Response::from_parts(head, whole_body(body))))
    }

    /// Reads a stream up to its first whole event.
    async fn start_stream(self, job: &mut Job) -> Attempt {
        let Self { head, body, connection, flight } = self;
        let mut source = StreamSource { body, splitter: EventSplitter::new(), connection, flight };
        match source.next_events(job).await {
            Ok(Some(events)) => {
                if events.last_id.is_some() {
                    job.last_event = events.last_id;
                }
                let first_ms = job.node.now_ms().saturating_sub(job.request.arrived_ms);
                Attempt::Streaming(Box::new(Streaming {
                    head,
                    first: events.bytes,
                    source,
                    first_ms,
                }))
            }
            Ok(None) => {
                // A stream that ends properly without an event is passed on as it is.
                let first_ms = job.node.now_ms().saturating_sub(job.request.arrived_ms);
                Attempt::Streaming(Box::new(Streaming {
                    head,
                    first: Bytes::new(),
                    source,
                    first_ms,
                }))
            }
            Err(reason) => {
                source.flight.end(reason.outcome());
                Attempt::MayHaveRun(reason)
            }
        }
    }
}

/// A server whose address another one has is gone; it comes back with new heartbeats only.
fn note_gone(node: &Node, server: &ServerId) {
    let now_ms = node.now_ms();
    let change = node.state().registry.mark_removed(server);
    follow::handle_registry_changes(node, change, "other_server_at_address");
    event!(info, now_ms, "server_replaced", { "server": server.as_str() });
}

/// Learns a server's weights from its answer, ahead of its entry.
fn note_weights(job: &Job, server: &ServerId, head: &response::Parts) {
    let Some(prompt) = &job.request.demand.prompt else { return };
    let text = head.headers.get(WEIGHT_VERSIONS).and_then(|value| value.to_str().ok());
    let version = text.and_then(|text| text.rsplit(',').next()?.trim().parse::<u64>().ok());
    if let Some(version) = version {
        job.node.state().registry.record_version(server, &prompt.model, version);
    }
}
