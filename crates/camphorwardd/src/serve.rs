//! Accepts connections and serves them with a gotham router.

use crate::connection::{ConnectionDeadlines, DeadlineStream};
use crate::constants::{IDLE_CONNECTION_TIMEOUT, MAX_HEADER_BYTES};
use crate::counters::Counter;
use crate::node::{Node, NodeHandle};
use crate::reply::{self, Failure};
use bytes::Bytes;
use futures_util::future::BoxFuture;
use gotham::handler::{HandlerFuture, HandlerResult};
use gotham::helpers::http::Body;
use gotham::middleware::state::StateMiddleware;
use gotham::pipeline::{Pipeline, SinglePipelineChain, new_pipeline, single_pipeline};
use gotham::router::Router;
use gotham::router::builder::{RouterBuilder, build_router};
use gotham::state::{FromState, State};
use http::{HeaderMap, Method, Response, Uri};
use http_body_util::{BodyExt, Limited};
use protocol::error::ErrorKind;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;

/// The middleware that passes the node to each handler.
type NodeMiddleware = (StateMiddleware<NodeHandle>, ());
/// The builder of a listener's routes.
pub(crate) type Routes<'a> =
    RouterBuilder<'a, SinglePipelineChain<NodeMiddleware>, (Pipeline<NodeMiddleware>, ())>;

/// An HTTP request with its body read.
pub(crate) struct Call {
    /// The node.
    pub(crate) node: Arc<Node>,
    /// The method.
    pub(crate) method: Method,
    /// The path and query.
    pub(crate) uri: Uri,
    /// The headers.
    pub(crate) headers: HeaderMap,
    /// The complete body.
    pub(crate) body: Bytes,
}

/// Builds a router whose handlers receive the node.
pub(crate) fn build_node_router(node: &Arc<Node>, draw: impl FnOnce(&mut Routes<'_>)) -> Router {
    let middleware = StateMiddleware::new(NodeHandle::new(Arc::clone(node)));
    let (chain, pipelines) = single_pipeline(new_pipeline().add(middleware).build());
    build_router(chain, pipelines, draw)
}

/// Serves a router until the future is dropped.
pub(crate) async fn serve(listener: TcpListener, router: Router, node: Arc<Node>) {
    let limits = &node.settings.limits;
    let write = Duration::from_millis(limits.caller_write_ms);
    let deadlines = ConnectionDeadlines { write, idle: IDLE_CONNECTION_TIMEOUT };
    let counters = Arc::clone(&node.counters);
    gotham::bind_server(listener, router, move |socket| {
        counters.count(Counter::Connections);
        // A socket on which the option cannot be set is served without it.
        let _ = socket.set_nodelay(true);
        let stream = DeadlineStream::new(socket, deadlines, Arc::clone(&counters));
        std::future::ready(Ok(stream))
    })
    .await
}

/// Reads the body of a request and runs a handler on it.
pub(crate) fn handle<F>(mut state: State, handler: F) -> Pin<Box<HandlerFuture>>
where
    F: FnOnce(Call) -> BoxFuture<'static, Response<Body>> + Send + 'static,
{
    Box::pin(async move {
        let response = match read_call(&mut state).await {
            Ok(call) => handler(call).await,
            Err(failure) => {
                NodeHandle::borrow_from(&state).node().counters.count_refusal(failure.kind);
                reply::failure(&failure)
            }
        };
        let result: HandlerResult = Ok((state, response));
        result
    })
}

async fn read_call(state: &mut State) -> Result<Call, Failure> {
    let node = NodeHandle::borrow_from(state).node();
    let method = Method::borrow_from(state).clone();
    let uri = Uri::borrow_from(state).clone();
    let headers = HeaderMap::take_from(state);
    check_headers(&headers)?;
    let body = Body::take_from(state);
    let body = read_body(body, &node).await?;
    Ok(Call { node, method, uri, headers, body })
}

/// Refuses headers above a limit that is well below the size at which the HTTP library closes the
/// connection.
fn check_headers(headers: &HeaderMap) -> Result<(), Failure> {
    let sizes = headers.iter().map(|(name, value)| name.as_str().len() + value.len());
    if sizes.sum::<usize>() <= MAX_HEADER_BYTES {
        return Ok(());
    }
    let message = format!("the headers are larger than {MAX_HEADER_BYTES} bytes in all");
    Err(Failure::new(ErrorKind::HeadersTooLarge, message))
}

async fn read_body(body: Body, node: &Node) -> Result<Bytes, Failure> {
    let limits = &node.settings.limits;
    let max_bytes = usize::try_from(limits.body_bytes).unwrap_or(usize::MAX);
    let read = Limited::new(body, max_bytes).collect();
    let timeout = Duration::from_millis(limits.caller_read_ms);
    let collected = tokio::time::timeout(timeout, read).await.map_err(|_| slow_caller(timeout))?;
    collected.map(|body| body.to_bytes()).map_err(|error| {
        if error.is::<http_body_util::LengthLimitError>() {
            let message = format!("the body is larger than {max_bytes} bytes (limits.body_bytes)");
            return Failure::new(ErrorKind::BodyTooLarge, message);
        }
        Failure::new(
            ErrorKind::MalformedRequest,
            "the connection closed before the end of the body",
        )
    })
}

fn slow_caller(timeout: Duration) -> Failure {
    let message = format!("the body did not arrive within {} ms", timeout.as_millis());
    Failure::new(ErrorKind::SlowCaller, message)
}
