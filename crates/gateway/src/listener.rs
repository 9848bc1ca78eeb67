//! Serving short calls on a listener: readiness, metrics, peers.

use crate::connect;
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::time::Duration;
use tokio::net::TcpListener;

/// How long a request's head may take, the time since the request before included.
const HEAD_TIMEOUT: Duration = Duration::from_secs(60);
/// How long accepting pauses after an error.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// An answer's status and body.
pub type Reply = (StatusCode, Vec<u8>);

/// Answers every request on a listener.
pub async fn accept<A, F>(listener: TcpListener, answer: A)
where
    A: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Reply> + Send + 'static,
{
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        if connect::prepare(&stream).is_err() {
            continue;
        }
        let answer = answer.clone();
        tokio::spawn(async move {
            let service = service_fn(move |request| {
                let reply = answer(request);
                async move { Ok::<_, Infallible>(build(reply.await)) }
            });
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEAD_TIMEOUT)
                .serve_connection(TokioIo::new(stream), service);
            // The other side opens another connection and asks again.
            drop(connection.await);
        });
    }
}

fn build((status, body): Reply) -> Response<Full<Bytes>> {
    let mut answer = Response::new(Full::new(Bytes::from(body)));
    *answer.status_mut() = status;
    answer
}
