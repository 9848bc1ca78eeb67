//! One attempt on one server, up to the head of the answer and, for streams, the first complete
//! events.

use crate::answer::{AnswerBody, held_body, strip_hop_headers};
use crate::answer_memory::{self, HeldBody, ReadError};
use crate::callers::CallerRequest;
use crate::connect::SendError;
use crate::event;
use crate::follow;
use crate::forward::events::{CompleteEvents, EventSequence, EventSplitter};
use crate::forward::head;
use crate::forward::in_flight::InFlightAttempt;
use crate::forward::job::Job;
use crate::forward::outcome::{MayHaveRun, NotRun};
use crate::forward::place::Placed;
use crate::forward::recheck;
use crate::forward::source::StreamSource;
use crate::forward::validation::{self, AnswerClass, Expectation};
use crate::limits::{self, Ask};
use crate::memory::Purpose;
use crate::node::Node;
use crate::paths;
use crate::pool::ServerConnection;
use crate::received::ReceivedBody;
use crate::server_answers::{self, AnswerSource, ServerIdentity};
use crate::target_weights;
use dispatch::configuration::RouteKind;
use dispatch::load::Outcome;
use dispatch::registry::{ServerId, SoftwareVersion};
use http::{HeaderValue, Response, response};
use platform::headers::{LAST_EVENT_ID, LOAD, REQUEST_ID, RESUMES, WEIGHT_VERSIONS, parse_load};
use platform::prompt;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

/// The maximum size of a refusal's body, in bytes. It is read only to keep the connection.
const MAX_REFUSAL_BYTES: usize = 64 * 1024;

/// The result of an attempt.
#[derive(Debug)]
pub enum AttemptResult {
    /// The complete answer of the server.
    Answered(Box<Answered>),
    /// The head of a stream and its first complete events.
    Streaming(Box<Streaming>),
    /// The request did not run on the server and never will.
    NotRun(NotRun),
    /// The request may have run on the server.
    MayHaveRun(MayHaveRun),
}

/// A complete plain answer.
#[derive(Debug)]
pub struct Answered {
    /// The answer.
    pub response: Response<AnswerBody>,
    /// The time from the arrival of the request to the head of the answer, in milliseconds.
    pub first_byte_ms: u64,
    /// When the attempt was sent, on the node's clock.
    pub sent_ms: u64,
}

/// A stream whose first events have arrived.
#[derive(Debug)]
pub struct Streaming {
    /// The head of the answer.
    pub head: response::Parts,
    /// The first complete events; empty if the stream ended without one.
    pub first: CompleteEvents,
    /// The source of the remaining events.
    pub source: StreamSource,
    /// The time from the arrival of the request to the first event, in milliseconds.
    pub first_ms: u64,
    /// The software version of the server.
    pub software: SoftwareVersion,
}

/// An attempt that is about to be sent.
#[derive(Debug)]
pub struct Attempt {
    node: Arc<Node>,
    request: Arc<CallerRequest>,
    placed: Placed,
    /// The id of the event after which the stream is resumed.
    last_event_id: Option<String>,
    /// Whether the caller already has the head of the answer.
    is_continuation: bool,
    /// The number of attempts that were sent, over all attempts at the request.
    sent: Arc<AtomicU32>,
    is_logged: bool,
}

impl Attempt {
    /// Prepares an attempt at a job on the chosen server.
    pub fn new(job: &Job, placed: Placed) -> Self {
        Self {
            node: Arc::clone(&job.node),
            request: Arc::clone(&job.request),
            placed,
            last_event_id: job.last_event_id.clone(),
            is_continuation: job.has_begun,
            sent: Arc::clone(&job.sent),
            is_logged: job.is_logged,
        }
    }

    /// Sends the request and reads the answer, or the first events of a stream. Dropping the future
    /// closes the connection to the server.
    pub async fn send(mut self) -> AttemptResult {
        let headed = self.request_head().await;
        let Self { node, request, placed, last_event_id, is_continuation, .. } = self;
        let Placed { in_flight, entry, engine, .. } = placed;
        let Headed { mut connection, answer, sent_ms } = match headed {
            Ok(headed) => headed,
            Err(Unanswered::NotRun(reason)) => {
                in_flight.end(reason.outcome());
                return AttemptResult::NotRun(reason);
            }
            Err(Unanswered::MayHaveRun(reason)) => {
                in_flight.fail(reason, &request, false);
                return AttemptResult::MayHaveRun(reason);
            }
        };
        let server = entry.id.clone();
        let weight_version = engine.map(|plan| plan.weight_version);
        let (head, body) = answer.into_parts();
        if head.headers.get(REQUEST_ID) != Some(&request.id) {
            in_flight.end(Outcome::Failed);
            return AttemptResult::MayHaveRun(MayHaveRun::Mismatched);
        }
        connection.read_keep_alive(&head.headers);
        if !connection.is_detour && !connection.is_reused {
            node.state().paths.record_direct(node.now_ms());
        }
        let identity = ServerIdentity::new(&entry);
        server_answers::record(&node, &identity, head.status, &head.headers, AnswerSource::Request);
        let load = head.headers.get(LOAD).and_then(|value| value.to_str().ok());
        in_flight.start(load.and_then(parse_load));
        record_weights(&node, &request, &server, &head);
        let software = entry.software.clone();
        let exchange = Exchange {
            node,
            request,
            head,
            body,
            connection,
            in_flight,
            software,
            weight_version,
            sent_ms,
        };
        let expected = Expectation {
            server: &server,
            route_kind: exchange.request.route.kind,
            is_continuation,
        };
        match validation::classify(&exchange.head, &expected) {
            AnswerClass::NotRun(reason) => exchange.end_refused(reason).await,
            AnswerClass::Unusable(reason) => exchange.end_unusable(reason),
            AnswerClass::Stream => exchange.start_stream(last_event_id).await,
            AnswerClass::Plain => exchange.read_complete().await,
        }
    }

    /// Sends the request and waits for the head of the answer. A held connection that was closed before
    /// the request was written is replaced by another one to the same server.
    async fn request_head(&mut self) -> Result<Headed, Unanswered> {
        let ask = Ask::new(&self.placed.entry, &self.request.spec);
        let permit = limits::ask(&self.node, &ask).await;
        let permit = permit.ok_or(Unanswered::NotRun(NotRun::NotGranted))?;
        loop {
            let (node, request) = (&self.node, &self.request);
            let connection = acquire_connection(node, &self.placed).await;
            let mut connection = connection.ok_or(Unanswered::NotRun(NotRun::ConnectFailed))?;
            recheck::may_send(node, request, &mut self.placed, permit)
                .map_err(Unanswered::NotRun)?;
            if recheck::has_old_weights(node, request, &self.placed) {
                return Err(Unanswered::NotRun(NotRun::OldWeights));
            }
            let last_event_id = self.last_event_id.as_deref();
            let server_request = head::build(request, &self.placed, last_event_id, node);
            self.sent.fetch_add(1, Ordering::Relaxed);
            if self.is_logged {
                log_attempt(request, &self.placed, &connection, node);
            }
            let sent_ms = node.now_ms();
            let sending = connection.connection.send(server_request);
            match await_head(node, request, &self.placed, sending).await {
                Ok(answer) => return Ok(Headed { connection, answer, sent_ms }),
                Err(unanswered) => {
                    if matches!(unanswered, Unanswered::NotRun(_)) {
                        // What reached no server is no repeat at another one.
                        self.sent.fetch_sub(1, Ordering::Relaxed);
                    }
                    if !(unanswered.is_unsent() && connection.is_reused) {
                        return Err(unanswered);
                    }
                    node.metrics.count("server_connections", "closed_unsent");
                }
            }
        }
    }
}

/// The head of an answer, and the connection on which it arrived.
struct Headed {
    connection: ServerConnection,
    answer: Response<ReceivedBody>,
    sent_ms: u64,
}

async fn acquire_connection(node: &Node, placed: &Placed) -> Option<ServerConnection> {
    let entry = &placed.entry;
    match paths::acquire(node, entry, &placed.allowed).await {
        Ok(connection) => {
            if !connection.is_reused {
                node.metrics.count("server_connections", "opened");
            }
            Some(connection)
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

fn log_attempt(
    request: &CallerRequest,
    placed: &Placed,
    connection: &ServerConnection,
    node: &Node,
) {
    let prompt = request.spec.prompt.as_ref();
    let engine = placed.engine.as_ref();
    let terms = node.state().terms.terms(&placed.entry.id, placed.entry.incarnation);
    event!(info, node.now_ms(), "request_sent", {
        "request": request.id_text(),
        "content": request.content.to_string(),
        "server": placed.entry.id.as_str(),
        "incarnation": placed.entry.incarnation.value(),
        "software": placed.entry.software.as_str(),
        "resumes": request.header_text(&RESUMES),
        "last_event": request.header_text(&LAST_EVENT_ID),
        "cost_ms": placed.chosen.cost_ms,
        "expected_first_byte_ms": placed.chosen.first_byte_ms,
        "candidates": placed.chosen.candidates,
        "slowdown_percent": placed.chosen.slowdown.map(|slowdown| slowdown.percent.round()),
        "slowdown_age_ms": placed.chosen.slowdown.map(|slowdown| slowdown.age_ms),
        "limit_per_s": terms.limit.map(|limit| limit.per_s()),
        "known_gateways": placed.reporting_gateways,
        "fetched_tokens": engine.map(|plan| plan.blocks.fetched_tokens),
        "rank": request.spec.priority,
        "engine_rank": engine.map(|plan| plan.priority),
        "input_tokens": prompt.map(|prompt| prompt.input_tokens),
        "parts": prompt.map(prompt::format_segments),
        "read_shared_tokens": engine.map(|plan| plan.blocks.recomputed_tokens),
        "fetch": engine.and_then(|plan| prompt::format_fetch(&plan.blocks)),
        "save": engine.and_then(|plan| prompt::format_save(&plan.blocks)),
        "sources": engine.map(|plan| {
            plan.blocks.sources.iter().map(|source| source.as_str()).collect::<Vec<_>>()
        }),
        "salt": engine.map(|plan| plan.salt.as_str()),
        "allowed_regions": placed.allowed.regions(),
        "domain": placed.entry.domain.as_str(),
        "reused_connection": connection.is_reused,
        "through_peer": connection.is_detour,
        "remaining_ms": request.remaining_ms(node.now_ms()),
    });
}

/// The reason why the head of an answer did not arrive.
enum Unanswered {
    NotRun(NotRun),
    MayHaveRun(MayHaveRun),
}

impl Unanswered {
    const fn is_unsent(&self) -> bool {
        matches!(self, Unanswered::NotRun(NotRun::Unsent))
    }
}

/// Waits for the head of the answer, until the deadline passes or the weights of the server are too
/// old.
async fn await_head<F>(
    node: &Node,
    request: &CallerRequest,
    placed: &Placed,
    sending: F,
) -> Result<Response<ReceivedBody>, Unanswered>
where
    F: Future<Output = Result<Response<ReceivedBody>, SendError>>,
{
    let remaining = Duration::from_millis(request.remaining_ms(node.now_ms()));
    let weight_version = placed.engine.as_ref().map(|plan| plan.weight_version);
    tokio::select! {
        biased;
        answer = sending => answer.map_err(|error| match error {
            SendError::Unsent(_) => Unanswered::NotRun(NotRun::Unsent),
            SendError::TooLarge => Unanswered::MayHaveRun(MayHaveRun::TooLarge),
            SendError::Lost(_) => Unanswered::MayHaveRun(MayHaveRun::Aborted),
        }),
        () = until_weights_too_old(node, request, weight_version) => {
            Err(Unanswered::MayHaveRun(MayHaveRun::OldWeights))
        }
        () = tokio::time::sleep(remaining) => {
            Err(Unanswered::MayHaveRun(MayHaveRun::DeadlineExceeded))
        }
    }
}

/// Waits until the request must be given up at a server with a weight version if it has not begun;
/// forever without one.
async fn until_weights_too_old(node: &Node, request: &CallerRequest, weight_version: Option<u64>) {
    match (&request.spec.prompt, weight_version) {
        (Some(prompt), Some(version)) => {
            target_weights::until_too_old(node, &prompt.model, version).await;
        }
        _ => std::future::pending().await,
    }
}

/// An answer whose head has arrived.
struct Exchange {
    node: Arc<Node>,
    request: Arc<CallerRequest>,
    head: response::Parts,
    body: ReceivedBody,
    connection: ServerConnection,
    in_flight: InFlightAttempt,
    software: SoftwareVersion,
    /// The weight version for which the server was chosen.
    weight_version: Option<u64>,
    sent_ms: u64,
}

impl Exchange {
    fn remaining(&self) -> Duration {
        Duration::from_millis(self.request.remaining_ms(self.node.now_ms()))
    }

    /// Ends the exchange of a request that did not run.
    async fn end_refused(self, reason: NotRun) -> AttemptResult {
        let remaining = self.remaining();
        let Self { node, body, connection, in_flight, .. } = self;
        if reason == NotRun::WrongServer {
            remove_replaced(&node, in_flight.server());
        }
        let discarding = answer_memory::discard(body, MAX_REFUSAL_BYTES);
        match tokio::time::timeout(remaining, discarding).await {
            Ok(Ok(())) => node.pool.put(in_flight.server(), connection, node.now_ms()),
            Ok(Err(ReadError::TooLarge)) => {
                let reason = MayHaveRun::TooLarge;
                in_flight.end(reason.outcome());
                return AttemptResult::MayHaveRun(reason);
            }
            Ok(Err(ReadError::Aborted(_) | ReadError::EndedEarly)) | Err(_) => {}
        }
        in_flight.end(reason.outcome());
        AttemptResult::NotRun(reason)
    }

    /// Ends the exchange of a request whose answer is not passed on, and closes the connection.
    fn end_unusable(self, reason: MayHaveRun) -> AttemptResult {
        self.in_flight.fail(reason, &self.request, false);
        AttemptResult::MayHaveRun(reason)
    }

    /// Reads a plain answer completely before any of it is passed on to the caller.
    async fn read_complete(self) -> AttemptResult {
        let remaining = self.remaining();
        let Self { node, request, mut head, body, connection, in_flight, sent_ms, .. } = self;
        let first_byte_ms = node.now_ms().saturating_sub(request.arrived_ms);
        let reading = HeldBody::read(body, Arc::clone(&node.memory), Purpose::Answers);
        let body = match tokio::time::timeout(remaining, reading).await {
            Ok(Ok(body)) => body,
            Ok(Err(error)) => {
                let reason = match error {
                    ReadError::Aborted(_) | ReadError::EndedEarly => MayHaveRun::Aborted,
                    ReadError::TooLarge => MayHaveRun::TooLarge,
                };
                in_flight.fail_with(Outcome::Failed, reason, &request, false);
                return AttemptResult::MayHaveRun(reason);
            }
            Err(_) => {
                in_flight.end(Outcome::Cancelled);
                return AttemptResult::MayHaveRun(MayHaveRun::DeadlineExceeded);
            }
        };
        node.pool.put(in_flight.server(), connection, node.now_ms());
        let failed = head.status.is_server_error();
        in_flight.end(if failed { Outcome::Failed } else { Outcome::Answered });
        strip_hop_headers(&mut head.headers);
        let response = Response::from_parts(head, held_body(body));
        AttemptResult::Answered(Box::new(Answered { response, first_byte_ms, sent_ms }))
    }

    /// Reads a stream up to its first complete events; the first one follows `last_event_id`, or the
    /// event that the caller named.
    async fn start_stream(self, last_event_id: Option<String>) -> AttemptResult {
        let Self {
            node, request, head, body, connection, in_flight, software, weight_version, ..
        } = self;
        let named = request.headers.get(LAST_EVENT_ID).map(HeaderValue::as_bytes);
        let after = last_event_id.as_deref().map(str::as_bytes).or(named);
        let is_resumable = request.route.kind == RouteKind::ResumableStream;
        let mut source = StreamSource {
            body,
            splitter: EventSplitter::new(Arc::clone(&node.memory)),
            sequence: is_resumable.then(|| EventSequence::new(after)),
            connection,
            in_flight,
            began_ms: 0,
            has_gone_on: false,
        };
        // A stream begins with its first event; until then the request may wait in a queue.
        let first = tokio::select! {
            biased;
            first = source.next_events(&node, &request) => first,
            () = until_weights_too_old(&node, &request, weight_version) => {
                Err(MayHaveRun::OldWeights)
            }
        };
        let first = match first {
            Ok(Some(events)) => Ok(events),
            Ok(None) => validation::check_empty_stream(&head).map(|()| CompleteEvents::default()),
            Err(reason) => Err(reason),
        };
        let first = match first {
            Ok(events) => events,
            Err(reason) => {
                source.in_flight.fail(reason, &request, false);
                return AttemptResult::MayHaveRun(reason);
            }
        };
        source.began_ms = node.now_ms();
        let first_ms = source.began_ms.saturating_sub(request.arrived_ms);
        AttemptResult::Streaming(Box::new(Streaming { head, first, source, first_ms, software }))
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
fn record_weights(node: &Node, request: &CallerRequest, server: &ServerId, head: &response::Parts) {
    let Some(prompt) = &request.spec.prompt else { return };
    let text = head.headers.get(WEIGHT_VERSIONS).and_then(|value| value.to_str().ok());
    let version = text.and_then(|text| text.rsplit(',').next()?.trim().parse::<u64>().ok());
    if let Some(version) = version {
        node.state().registry.record_version(server, &prompt.model, version);
    }
}
