//! Serves short calls on a listener: readiness, metrics, peers.

use crate::connection_limits::{self, Admitted, Side};
use crate::node::Node;
use crate::watched::WatchedStream;
use bytes::Bytes;
use http::header::{CONNECTION, UPGRADE};
use http::{HeaderValue, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;

/// How long the head of a request may take, including the time since the previous request.
const HEADER_TIMEOUT: Duration = Duration::from_secs(60);
/// The maximum size of a head, and of the buffer from which it is read, in bytes.
const MAX_BUFFER_BYTES: usize = 16 * 1024;
/// How long a call may take, with its answer, in milliseconds. Followers wait for changes for some
/// seconds.
const MAX_CALL_MS: u64 = 60_000;
/// The back-off delay after an accept error.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// The protocol to which connections between gateways are switched.
pub const TUNNEL_PROTOCOL: &str = "camphorward-tunnel";

/// The status and body of an answer.
pub type Reply = (StatusCode, Vec<u8>);

/// Answers every request on the listener of a side.
pub async fn accept<A, F>(node: Arc<Node>, side: Side, listener: TcpListener, answer: A)
where
    A: Fn(Request<Incoming>, SocketAddr) -> F + Clone + Send + 'static,
    F: Future<Output = Reply> + Send + 'static,
{
    loop {
        let Ok((stream, from)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_BACKOFF).await;
            continue;
        };
        if let Some(admitted) = connection_limits::admit(&node, side, stream) {
            tokio::spawn(serve(Arc::clone(&node), admitted, from, answer.clone()));
        }
        // A connection that was admitted is read before others may take its place.
        tokio::task::yield_now().await;
    }
}

/// Serves a connection until it closes, or must close for another one.
async fn serve<A, F>(node: Arc<Node>, admitted: Admitted, from: SocketAddr, answer: A)
where
    A: Fn(Request<Incoming>, SocketAddr) -> F + Clone + Send + 'static,
    F: Future<Output = Reply> + Send + 'static,
{
    let Admitted { stream, watch, membership } = admitted;
    let service = {
        let (node, watch) = (Arc::clone(&node), watch.clone());
        service_fn(move |request| {
            let (node, watch, answer) = (Arc::clone(&node), watch.clone(), answer.clone());
            async move {
                watch.until_flushed().await;
                let now_ms = node.now_ms();
                watch.start_request(now_ms, now_ms + MAX_CALL_MS);
                let reply = answer(request, from).await;
                // A connection that is switched to another protocol has no more requests.
                if reply.0 != StatusCode::SWITCHING_PROTOCOLS {
                    watch.end_answer();
                }
                Ok::<_, Infallible>(build(reply))
            }
        })
    };
    let stream = WatchedStream::new(stream, watch, node);
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .max_buf_size(MAX_BUFFER_BYTES)
        .serve_connection(TokioIo::new(stream), service)
        .with_upgrades();
    // After an error the caller connects again and repeats its call.
    tokio::select! {
        ended = connection => drop(ended),
        () = membership.evicted() => {}
    }
}

fn build((status, body): Reply) -> Response<Full<Bytes>> {
    let mut answer = Response::new(Full::new(Bytes::from(body)));
    *answer.status_mut() = status;
    if status == StatusCode::SWITCHING_PROTOCOLS {
        let headers = answer.headers_mut();
        headers.insert(CONNECTION, HeaderValue::from_static("upgrade"));
        headers.insert(UPGRADE, HeaderValue::from_static(TUNNEL_PROTOCOL));
    }
    answer
}
