//! Answers to other gateways.

use crate::node::Node;
use crate::peers::follow;
use crate::peers::message::{
    self, FOLLOW_PATH, FollowRequest, NEWS_PATH, News, SNAPSHOT_PATH, Snapshot,
};
use bytes::Bytes;
use dispatch::crashes::ContentKey;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;

/// The largest news accepted, in bytes.
const MAX_NEWS_BYTES: usize = 256 * 1024;
/// How long a request's head may take, idle time included.
const HEAD_TIMEOUT: Duration = Duration::from_secs(60);
/// How long accepting pauses after an error.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Serves other gateways.
pub async fn accept(node: Arc<Node>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        if crate::connect::prepare(&stream).is_err() {
            continue;
        }
        let node = Arc::clone(&node);
        tokio::spawn(async move {
            let service = service_fn(move |request| answer(Arc::clone(&node), request));
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEAD_TIMEOUT)
                .serve_connection(TokioIo::new(stream), service);
            // A peer whose connection breaks opens another.
            drop(connection.await);
        });
    }
}

async fn answer(
    node: Arc<Node>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let path = request.uri().path().to_owned();
    let (status, body) = match path.as_str() {
        SNAPSHOT_PATH => match snapshot(&node) {
            Some(snapshot) => (StatusCode::OK, message::encode(&snapshot)),
            None => (StatusCode::SERVICE_UNAVAILABLE, Vec::new()),
        },
        FOLLOW_PATH => match read_follow(request).await {
            Some(known) => match follow::answer(&node, known).await {
                Some(answer) => (StatusCode::OK, message::encode(&answer)),
                None => (StatusCode::SERVICE_UNAVAILABLE, Vec::new()),
            },
            None => (StatusCode::BAD_REQUEST, Vec::new()),
        },
        NEWS_PATH => {
            let body = Limited::new(request.into_body(), MAX_NEWS_BYTES).collect().await;
            let news = body.ok().and_then(|body| message::decode::<News>(&body.to_bytes()));
            match news {
                Some(news) => {
                    take_news(&node, news);
                    (StatusCode::OK, Vec::new())
                }
                None => (StatusCode::BAD_REQUEST, Vec::new()),
            }
        }
        _ => (StatusCode::NOT_FOUND, Vec::new()),
    };
    let mut answer = Response::new(Full::new(Bytes::from(body)));
    *answer.status_mut() = status;
    Ok(answer)
}

async fn read_follow(request: Request<Incoming>) -> Option<FollowRequest> {
    let body = Limited::new(request.into_body(), MAX_NEWS_BYTES).collect().await.ok()?;
    message::decode(&body.to_bytes())
}

fn snapshot(node: &Node) -> Option<Snapshot> {
    let age_ms = node.store_age_ms()?;
    let configuration = node.in_force().map(|held| held.record.clone());
    let knowledge = node.knowledge();
    Some(Snapshot {
        age_ms,
        configuration,
        weights: knowledge.named_versions(),
        servers: knowledge.registry.snapshot(),
        gateways: knowledge.gateways.records(),
    })
}

fn take_news(node: &Node, news: News) {
    let now_ms = node.now_ms();
    let mut knowledge = node.knowledge();
    for key in news.broken {
        knowledge.crashes.count(ContentKey::from_bytes(key), now_ms);
    }
    for (server, for_ms) in news.occupied {
        knowledge.loads.occupy(&server, now_ms + for_ms);
    }
    for (model, oldest_used) in news.oldest_used {
        knowledge.blocks.retire(&model, oldest_used);
    }
    for (server, model, version) in news.loaded {
        knowledge.registry.note_version(&server, &model, version);
        knowledge.loads.release(&server);
    }
}
