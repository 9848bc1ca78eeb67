//! A small HTTP server on a free loopback port.

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::net::TcpListener;

/// Handles the requests that a server started by [`serve`] receives.
pub trait Handler: Send + Sync + 'static {
    /// Returns the status code and the body of the answer; `None` closes the connection.
    fn answer(&self, method: &str, path: &str, body: String) -> Option<(u16, String)>;
}

/// Serves on a free port until the test's runtime shuts down.
pub async fn serve(handler: Arc<impl Handler>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let handler = Arc::clone(&handler);
            tokio::spawn(async move {
                let service = service_fn(|request| respond(Arc::clone(&handler), request));
                // An error closes the connection; a handler may do so on purpose.
                let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
            });
        }
    });
    address
}

async fn respond(
    handler: Arc<impl Handler>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, std::io::Error> {
    let (head, body) = request.into_parts();
    let body = body.collect().await.map_err(std::io::Error::other)?.to_bytes();
    let body = String::from_utf8_lossy(&body).into_owned();
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
    let (status, text) = handler
        .answer(head.method.as_str(), path, body)
        .ok_or_else(|| std::io::Error::other("the connection is to be closed"))?;
    Response::builder().status(status).body(text.into()).map_err(std::io::Error::other)
}
