//! Serves one connection of a caller.

use crate::answer::{AnswerBody, Refusal};
use crate::callers::request::{self, CallerRequest};
use crate::callers::{CountGuard, Traffic};
use crate::connection_limits::{Admitted, Side};
use crate::event;
use crate::forward;
use crate::memory::{MemoryShare, Purpose};
use crate::node::Node;
use crate::watched::{Phase, Watch, WatchedStream};
use http::header::{CONNECTION, TRANSFER_ENCODING};
use http::{HeaderValue, Request, Response};
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

/// The limits before the first configuration is in force, in milliseconds and bytes.
const DEFAULT_IDLE_TIMEOUT_MS: u64 = 15_000;
const DEFAULT_HEADER_TIMEOUT_MS: u64 = 3_000;
const DEFAULT_HEADER_BYTES: usize = 16 * 1024;
/// The minimum buffer size that the HTTP library accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8 * 1024;
/// The maximum interval between checks of a connection's timeouts, in milliseconds.
const MAX_CHECK_INTERVAL_MS: u64 = 1_000;
/// How long after its request's deadline a caller may take to read the answer, in milliseconds.
/// After that the connection is closed.
const UNREAD_ANSWER_TIMEOUT_MS: u64 = 2_000;
/// What a parsed field of a head costs, in bytes: its entry in a map that doubles its size, its name,
/// and their copies for the attempt and the server.
const FIELD_BYTES: usize = 512;

/// How long a connection whose timeout has passed stays open for bytes that have already arrived.
const CLOSE_DELAY: Duration = Duration::from_millis(10);
/// How long a connection without a request stays open while idle connections are closed, in
/// milliseconds. Its caller was just sent here and has not been read yet.
const FIRST_REQUEST_WAIT_MS: u64 = 500;

/// Serves a connection until it closes or one of its timeouts passes.
pub async fn serve(node: Arc<Node>, traffic: Arc<Traffic>, admitted: Admitted) {
    let _guard = CountGuard::new(&traffic.connections);
    let Admitted { stream, watch, membership } = admitted;
    let mut closing = traffic.closing.subscribe();
    let mut is_closing = false;
    // The HTTP library allocates its buffers at once.
    let is_readable = loop {
        let wait_ms = next_check_in_ms(&node, &watch, is_closing);
        tokio::select! {
            biased;
            readable = stream.readable() => break readable.is_ok(),
            () = membership.evicted() => break false,
            _ = closing.wait_for(|closing| *closing), if !is_closing => {
                is_closing = true;
                continue;
            }
            () = tokio::time::sleep(check_interval(wait_ms)) => {}
        }
        if overdue(&node, &watch, is_closing).is_none() {
            continue;
        }
        // A process that was stopped finds its timers before the bytes that have arrived.
        let arrived = tokio::time::timeout(CLOSE_DELAY, stream.readable()).await;
        if let Ok(readable) = arrived {
            break readable.is_ok();
        }
        node.metrics.count("caller_connections", "idle");
        break false;
    };
    if !is_readable {
        return;
    }
    let max_head = node
        .in_force()
        .map_or(DEFAULT_HEADER_BYTES, |in_force| in_force.configuration.limits.max_header_bytes);
    let io = TokioIo::new(WatchedStream::new(stream, watch.clone(), Arc::clone(&node)));
    let service = {
        let (node, traffic, watch) = (Arc::clone(&node), Arc::clone(&traffic), watch.clone());
        service_fn(move |request| {
            answer(Arc::clone(&node), Arc::clone(&traffic), watch.clone(), request)
        })
    };
    // Boxed, so that idle connections do not hold its size.
    let mut connection = Box::pin(
        http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(None)
            .max_buf_size(max_head.max(MIN_BUFFER_BYTES))
            .serve_connection(io, service),
    );
    loop {
        let wait_ms = next_check_in_ms(&node, &watch, is_closing);
        tokio::select! {
            biased;
            ended = connection.as_mut() => return report_end(&node, &watch, ended),
            _ = closing.wait_for(|closing| *closing), if !is_closing => {
                is_closing = true;
                if matches!(watch.lock().phase, Phase::Request { .. }) {
                    connection.as_mut().graceful_shutdown();
                }
                continue;
            }
            () = membership.evicted() => return report_close(&node, &watch, "no_room"),
            () = tokio::time::sleep(check_interval(wait_ms)) => {}
        }
        if overdue(&node, &watch, is_closing).is_none() {
            continue;
        }
        // A process that was stopped finds its timers before the bytes that have arrived.
        if let Ok(ended) = tokio::time::timeout(CLOSE_DELAY, connection.as_mut()).await {
            return report_end(&node, &watch, ended);
        }
        if let Some(reason) = overdue(&node, &watch, is_closing) {
            node.metrics.count("caller_connections", reason);
            report_close(&node, &watch, reason);
            return;
        }
    }
}

fn check_interval(wait_ms: u64) -> Duration {
    Duration::from_millis(wait_ms.clamp(1, MAX_CHECK_INTERVAL_MS))
}

fn report_end(node: &Node, watch: &Watch, ended: hyper::Result<()>) {
    if let Err(error) = ended {
        count_error(node, watch, &error);
    }
}

/// Reports that the gateway closes a connection with a request in progress, or with bytes of an
/// answer unsent.
fn report_close(node: &Node, watch: &Watch, reason: &'static str) {
    let (phase, since_ms, has_unsent_bytes) = {
        let state = watch.lock();
        (state.phase, state.since_ms, state.has_unsent_bytes)
    };
    if phase == Phase::Idle && !has_unsent_bytes {
        return;
    }
    if has_unsent_bytes {
        node.metrics.count("caller_connections", "closed_unsent");
    }
    if phase != Phase::Head {
        node.metrics.count("incomplete_answers", reason);
    }
    let now_ms = node.now_ms();
    event!(warn, now_ms, "caller_connection_closed", {
        "reason": reason,
        "phase": phase.as_str(),
        "phase_ms": now_ms.saturating_sub(since_ms),
        "has_unsent_bytes": has_unsent_bytes,
    });
}

fn count_error(node: &Node, watch: &Watch, error: &hyper::Error) {
    let reason = if error.is_parse_too_large() {
        "head_too_large"
    } else if error.is_parse() {
        "no_http"
    } else if error.is_user() {
        "aborted"
    } else {
        "broken"
    };
    let is_answering = {
        let state = watch.lock();
        state.has_unsent_bytes || matches!(state.phase, Phase::Request { .. })
    };
    if is_answering {
        node.metrics.count("incomplete_answers", reason);
    }
    node.metrics.count("caller_connections", reason);
}

/// Returns how long a head may take under the configuration in force, in milliseconds.
pub fn header_timeout_ms(node: &Node) -> u64 {
    let limits = node.in_force().map(|in_force| in_force.configuration.limits);
    limits.map_or(DEFAULT_HEADER_TIMEOUT_MS, |limits| limits.header_timeout_ms)
}

/// Returns when the connection's current phase times out, on the node's clock. `is_closing` is set
/// while idle connections are closed.
fn timeout_at_ms(node: &Node, watch: &Watch, is_closing: bool) -> u64 {
    let limits = node.in_force().map(|in_force| in_force.configuration.limits);
    let state = watch.lock();
    match state.phase {
        Phase::Idle if is_closing && state.has_served => state.since_ms,
        Phase::Idle if is_closing => state.since_ms + FIRST_REQUEST_WAIT_MS,
        Phase::Idle => {
            state.since_ms + limits.map_or(DEFAULT_IDLE_TIMEOUT_MS, |limits| limits.idle_timeout_ms)
        }
        Phase::Head => state.since_ms + header_timeout_ms(node).max(state.first_header_timeout_ms),
        Phase::Request { deadline_at_ms } => deadline_at_ms + UNREAD_ANSWER_TIMEOUT_MS,
    }
}

fn next_check_in_ms(node: &Node, watch: &Watch, is_closing: bool) -> u64 {
    timeout_at_ms(node, watch, is_closing).saturating_sub(node.now_ms())
}

fn overdue(node: &Node, watch: &Watch, is_closing: bool) -> Option<&'static str> {
    if timeout_at_ms(node, watch, is_closing) > node.now_ms() {
        return None;
    }
    Some(match watch.lock().phase {
        Phase::Idle => "idle",
        Phase::Head => "slow_head",
        Phase::Request { .. } => "unread_answer",
    })
}

async fn answer(
    node: Arc<Node>,
    traffic: Arc<Traffic>,
    watch: Watch,
    request: Request<Incoming>,
) -> Result<Response<CountedBody>, Infallible> {
    watch.until_flushed().await;
    let mut head = MemoryShare::new(Arc::clone(&node.memory), Purpose::Heads);
    let has_room = head.resize(request.headers().len() * FIELD_BYTES);
    let guard = Arc::new(RequestGuard::new(Arc::clone(&node), traffic, watch.clone(), head));
    let now_ms = node.now_ms();
    let deadline_at_ms = now_ms + request::caller_timeout_ms(&request);
    let has_conflicting_framing = watch.start_request(now_ms, deadline_at_ms);
    // Bytes after a chunked body are never parsed as another request.
    let mut is_last = has_conflicting_framing || request.headers().contains_key(TRANSFER_ENCODING);
    let mut response = if has_conflicting_framing {
        request::refuse(&node, None, Refusal::ConflictingFraming)
    } else {
        let read = match has_room {
            // Boxed, because the HTTP library reserves the size of this future for each connection.
            true => Box::pin(CallerRequest::read(&node, request, deadline_at_ms)).await,
            false => Err(request::refuse_head(&node, request, deadline_at_ms)),
        };
        match read {
            Ok(caller) => Box::pin(forward::serve(Arc::clone(&node), caller)).await,
            Err(refused) => {
                is_last |= refused.is_last;
                if let Some(unread) = refused.unread {
                    // Until the end of the body, what arrives is not the next head.
                    let guard = Arc::clone(&guard);
                    tokio::spawn(async move {
                        unread.discard().await;
                        drop(guard);
                    });
                }
                refused.answer
            }
        }
    };
    if is_last || node.is_draining() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response.map(|body| CountedBody { body, guard }))
}

/// Counts a request as in progress until its answer is handed to the HTTP library or dropped.
#[derive(Debug)]
struct RequestGuard {
    node: Arc<Node>,
    traffic: Arc<Traffic>,
    watch: Watch,
    _head: MemoryShare,
}

impl RequestGuard {
    fn new(node: Arc<Node>, traffic: Arc<Traffic>, watch: Watch, head: MemoryShare) -> Self {
        traffic.requests.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        Self { node, traffic, watch, _head: head }
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.traffic.requests.fetch_sub(1, std::sync::atomic::Ordering::Relaxed);
        self.watch.end_answer();
    }
}

/// The body of an answer, which counts its request as in progress.
#[derive(Debug)]
struct CountedBody {
    body: AnswerBody,
    guard: Arc<RequestGuard>,
}

impl Body for CountedBody {
    type Data = bytes::Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Self::Data>, Self::Error>>> {
        let frame = Pin::new(&mut self.body).poll_frame(cx);
        if let Poll::Ready(Some(Ok(frame))) = &frame
            && !self.guard.watch.record_unsent(frame.data_ref().map_or(0, bytes::Bytes::len))
            && !self.guard.node.connection_limits.of(Side::Callers).close_unread(&self.guard.node)
        {
            // The connection closes, so the answer never appears complete.
            return Poll::Ready(Some(Err(std::io::Error::other("no memory for an unread answer"))));
        }
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
