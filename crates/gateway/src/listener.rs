//! Serves short calls on a listener: readiness, metrics, peers.

use crate::connect;
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
use std::time::Duration;
use tokio::net::TcpListener;

/// How long the head of a request may take, including the time since the previous request.
const HEADER_TIMEOUT: Duration = Duration::from_secs(60);
/// The back-off delay after an accept error.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// The protocol to which connections between gateways are switched.
pub const TUNNEL_PROTOCOL: &str = "camphorward-tunnel";

/// The status and body of an answer.
pub type Reply = (StatusCode, Vec<u8>);

/// Answers every request on a listener.
pub async fn accept<A, F>(listener: TcpListener, answer: A)
where
    A: Fn(Request<Incoming>, SocketAddr) -> F + Clone + Send + 'static,
    F: Future<Output = Reply> + Send + 'static,
{
    loop {
        let Ok((stream, from)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_BACKOFF).await;
            continue;
        };
        if connect::prepare(&stream).is_err() {
            continue;
        }
        let answer = answer.clone();
        tokio::spawn(async move {
            let service = service_fn(move |request| {
                let reply = answer(request, from);
                async move { Ok::<_, Infallible>(build(reply.await)) }
            });
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEADER_TIMEOUT)
                .serve_connection(TokioIo::new(stream), service)
                .with_upgrades();
            // After an error the caller connects again and repeats its call.
            drop(connection.await);
        });
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
