//! Readiness for the platform's balancer, and metrics for operators.

use crate::node::Node;
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use platform::headers::READY_PATH;
use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;

/// The path of the counters and histograms.
const METRICS_PATH: &str = "/metrics";
/// How long a request's head may take.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// How long accepting pauses after an error.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Serves readiness and metrics on one listener.
pub async fn accept(node: Arc<Node>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let node = Arc::clone(&node);
        tokio::spawn(async move {
            let service = service_fn(move |request| answer(Arc::clone(&node), request));
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEAD_TIMEOUT)
                .serve_connection(TokioIo::new(stream), service);
            // Checks come again; a broken connection needs no line.
            drop(connection.await);
        });
    }
}

async fn answer(
    node: Arc<Node>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let (status, body) = match request.uri().path() {
        READY_PATH => (
            if is_ready(&node) { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE },
            String::new(),
        ),
        METRICS_PATH => (StatusCode::OK, node.metrics.to_text()),
        _ => (StatusCode::NOT_FOUND, String::new()),
    };
    let mut answer = Response::new(Full::new(Bytes::from(body)));
    *answer.status_mut() = status;
    Ok(answer)
}

/// A gateway is ready when it knows a configuration and servers, and is not about to end.
fn is_ready(node: &Node) -> bool {
    let knows_servers = node.knowledge().registry.all_usable().next().is_some();
    !node.is_draining() && node.in_force().is_some() && knows_servers
}
