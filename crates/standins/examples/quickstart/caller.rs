//! An HTTP caller of entry hosts that asks again when it gets no whole answer.

use bytes::Bytes;
use http::header::AUTHORIZATION;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// How long a caller goes on asking.
const PATIENCE: Duration = Duration::from_secs(30);
/// How long a caller waits before it asks again, unless told otherwise.
const RETRY_PAUSE: Duration = Duration::from_millis(250);
/// How long an unused connection is kept.
const IDLE: Duration = Duration::from_secs(10);
const DATA: &str = "data: ";
const DONE: &str = "[DONE]";

/// Holds one request to an entry host.
#[derive(Clone, Debug)]
pub struct Question {
    /// The method.
    pub method: Method,
    /// The path.
    pub path: String,
    /// The bearer key.
    pub bearer_key: String,
    /// The idempotency key, if the call needs one.
    pub idempotency_key: Option<String>,
    /// The body.
    pub body: Bytes,
}

/// Holds a whole answer.
#[derive(Clone, Debug)]
pub struct Whole {
    /// The text of a stream or the body of a plain call.
    pub text: String,
    /// When the first token came, counted from the caller's first try.
    pub first_token: Duration,
}

/// Asks for a completion as a stream.
#[derive(Debug, Serialize)]
pub struct CompletionBody<'a> {
    /// The model.
    pub model: &'a str,
    /// The prompt.
    pub prompt: &'a str,
    /// The longest answer, in tokens.
    pub max_tokens: u64,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Greater runs first.
    pub priority: i32,
}

#[derive(Deserialize)]
struct Chunk {
    choices: Vec<ChunkChoice>,
}

#[derive(Deserialize)]
struct ChunkChoice {
    text: String,
}

#[derive(Deserialize)]
struct Refused {
    error: RefusedError,
}

#[derive(Deserialize)]
struct RefusedError {
    retry_after_s: Option<u64>,
}

/// Says that a try got no whole answer, and when to ask again.
struct TryAgain(Duration);

/// Sends requests over kept connections.
#[derive(Clone)]
pub struct Caller {
    http: Client<HttpConnector, Full<Bytes>>,
}

impl Caller {
    /// Creates a caller without connections.
    pub fn new() -> Self {
        let mut builder = Client::builder(TokioExecutor::new());
        builder.pool_timer(TokioTimer::new()).pool_idle_timeout(IDLE);
        Self { http: builder.build_http() }
    }

    /// Asks entry hosts in turn for a stream until one gives a whole answer.
    pub async fn ask_stream(&self, hosts: &[SocketAddr], question: &Question) -> Option<Whole> {
        let started = Instant::now();
        let mut turns = hosts.iter().cycle();
        while started.elapsed() < PATIENCE {
            let reading = self.read_stream(*turns.next()?, question, started);
            match timeout_at(started + PATIENCE, reading).await {
                Ok(Ok(whole)) => return Some(whole),
                Ok(Err(TryAgain(pause))) => tokio::time::sleep(pause).await,
                Err(_) => return None,
            }
        }
        None
    }

    /// Asks entry hosts in turn for a plain answer until one succeeds.
    pub async fn ask_plain(&self, hosts: &[SocketAddr], question: &Question) -> Option<String> {
        let started = Instant::now();
        let mut turns = hosts.iter().cycle();
        while started.elapsed() < PATIENCE {
            let reading = self.read_plain(*turns.next()?, question);
            match timeout_at(started + PATIENCE, reading).await {
                Ok(Ok(body)) => return Some(body),
                Ok(Err(TryAgain(pause))) => tokio::time::sleep(pause).await,
                Err(_) => return None,
            }
        }
        None
    }

    async fn read_plain(&self, host: SocketAddr, question: &Question) -> Result<String, TryAgain> {
        let body = self.send(host, question).await?;
        let body = body.collect().await.map_err(|_| TryAgain(RETRY_PAUSE))?;
        String::from_utf8(body.to_bytes().to_vec()).map_err(|_| TryAgain(RETRY_PAUSE))
    }

    async fn read_stream(
        &self,
        host: SocketAddr,
        question: &Question,
        started: Instant,
    ) -> Result<Whole, TryAgain> {
        let mut body = self.send(host, question).await?;
        let mut whole = Whole { text: String::new(), first_token: Duration::ZERO };
        let mut unread = Vec::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| TryAgain(RETRY_PAUSE))?;
            unread.extend_from_slice(&frame.into_data().unwrap_or_default());
            while let Some(event) = take_event(&mut unread) {
                let Some(data) = event.strip_prefix(DATA) else {
                    continue;
                };
                if data == DONE {
                    return Ok(whole);
                }
                // An event of another shape is the error that ends a stream early.
                let chunk: Chunk = serde_json::from_str(data).map_err(|_| TryAgain(RETRY_PAUSE))?;
                if whole.text.is_empty() {
                    whole.first_token = started.elapsed();
                }
                chunk.choices.iter().for_each(|choice| whole.text.push_str(&choice.text));
            }
        }
        Err(TryAgain(RETRY_PAUSE))
    }

    async fn send(&self, host: SocketAddr, question: &Question) -> Result<Incoming, TryAgain> {
        let uri = format!("http://{host}{}", question.path);
        let mut request = Request::builder()
            .method(question.method.clone())
            .uri(uri)
            .header(AUTHORIZATION, format!("Bearer {}", question.bearer_key))
            .header("content-type", "application/json");
        if let Some(key) = &question.idempotency_key {
            request = request.header("idempotency-key", key);
        }
        let request = request.body(Full::new(question.body.clone()));
        let request = request.map_err(|_| TryAgain(RETRY_PAUSE))?;
        let answer = self.http.request(request).await.map_err(|_| TryAgain(RETRY_PAUSE))?;
        if answer.status().is_success() {
            return Ok(answer.into_body());
        }
        Err(TryAgain(read_pause(answer.status(), answer.into_body()).await))
    }
}

async fn read_pause(status: StatusCode, body: Incoming) -> Duration {
    let Ok(body) = body.collect().await else {
        return RETRY_PAUSE;
    };
    let body = body.to_bytes();
    log::debug!("a caller got {status}: {}", String::from_utf8_lossy(&body));
    let refused: Option<Refused> = serde_json::from_slice(&body).ok();
    let retry_after_s = refused.and_then(|refused| refused.error.retry_after_s);
    retry_after_s.map_or(RETRY_PAUSE, Duration::from_secs)
}

/// Takes one event from the front of what was read.
fn take_event(unread: &mut Vec<u8>) -> Option<String> {
    let end = unread.windows(2).position(|pair| pair == b"\n\n")?;
    let event = String::from_utf8_lossy(&unread[..end]).into_owned();
    unread.drain(..end + 2);
    Some(event)
}
