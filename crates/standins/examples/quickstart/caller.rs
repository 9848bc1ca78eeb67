//! An HTTP caller of entry hosts that retries until it receives a complete answer.

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

/// Time limit of a request over all its attempts.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);
/// Delay before a retry, unless the answer gives one.
const DEFAULT_RETRY_DELAY: Duration = Duration::from_millis(250);
/// How long an idle connection stays in the pool.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
const DATA_PREFIX: &str = "data: ";
const DONE: &str = "[DONE]";

/// A request to an entry host.
#[derive(Clone, Debug)]
pub struct CallerRequest {
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

/// A complete answer to a streaming request.
#[derive(Clone, Debug)]
pub struct CompleteAnswer {
    /// The text of all events.
    pub text: String,
    /// Time from the caller's first attempt to the first token.
    pub first_token: Duration,
}

/// The body of a completion request.
#[derive(Debug, Serialize)]
pub struct CompletionBody<'a> {
    /// The model.
    pub model: &'a str,
    /// The prompt.
    pub prompt: &'a str,
    /// The maximum length of the answer, in tokens.
    pub max_tokens: u64,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// The priority; greater values run first.
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
struct RefusalBody {
    error: RefusalDetails,
}

#[derive(Deserialize)]
struct RefusalDetails {
    retry_after_s: Option<u64>,
}

/// An attempt got no complete answer; holds the delay before the next one.
struct RetryAfter(Duration);

/// Sends requests over pooled connections.
#[derive(Clone)]
pub struct Caller {
    http: Client<HttpConnector, Full<Bytes>>,
}

impl Caller {
    /// Creates a caller without connections.
    pub fn new() -> Self {
        let mut builder = Client::builder(TokioExecutor::new());
        builder.pool_timer(TokioTimer::new()).pool_idle_timeout(IDLE_TIMEOUT);
        Self { http: builder.build_http() }
    }

    /// Sends a streaming request to the entry hosts in turn until one answers completely.
    pub async fn send_stream(
        &self,
        hosts: &[SocketAddr],
        call: &CallerRequest,
    ) -> Option<CompleteAnswer> {
        let started = Instant::now();
        let mut targets = hosts.iter().cycle();
        while started.elapsed() < REQUEST_TIMEOUT {
            let reading = self.read_stream(*targets.next()?, call, started);
            match timeout_at(started + REQUEST_TIMEOUT, reading).await {
                Ok(Ok(answer)) => return Some(answer),
                Ok(Err(RetryAfter(delay))) => tokio::time::sleep(delay).await,
                Err(_) => return None,
            }
        }
        None
    }

    /// Sends a plain request to the entry hosts in turn until one succeeds.
    pub async fn send_plain(&self, hosts: &[SocketAddr], call: &CallerRequest) -> Option<String> {
        let started = Instant::now();
        let mut targets = hosts.iter().cycle();
        while started.elapsed() < REQUEST_TIMEOUT {
            let reading = self.read_plain(*targets.next()?, call);
            match timeout_at(started + REQUEST_TIMEOUT, reading).await {
                Ok(Ok(body)) => return Some(body),
                Ok(Err(RetryAfter(delay))) => tokio::time::sleep(delay).await,
                Err(_) => return None,
            }
        }
        None
    }

    async fn read_plain(
        &self,
        host: SocketAddr,
        call: &CallerRequest,
    ) -> Result<String, RetryAfter> {
        let body = self.send(host, call).await?;
        let body = body.collect().await.map_err(|_| RetryAfter(DEFAULT_RETRY_DELAY))?;
        String::from_utf8(body.to_bytes().to_vec()).map_err(|_| RetryAfter(DEFAULT_RETRY_DELAY))
    }

    async fn read_stream(
        &self,
        host: SocketAddr,
        call: &CallerRequest,
        started: Instant,
    ) -> Result<CompleteAnswer, RetryAfter> {
        let mut body = self.send(host, call).await?;
        let mut complete = CompleteAnswer { text: String::new(), first_token: Duration::ZERO };
        let mut buffer = Vec::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| RetryAfter(DEFAULT_RETRY_DELAY))?;
            buffer.extend_from_slice(&frame.into_data().unwrap_or_default());
            while let Some(event) = take_event(&mut buffer) {
                let Some(data) = event.strip_prefix(DATA_PREFIX) else {
                    continue;
                };
                if data == DONE {
                    return Ok(complete);
                }
                // An event of any other shape is an error event, which ends the stream early.
                let chunk: Chunk =
                    serde_json::from_str(data).map_err(|_| RetryAfter(DEFAULT_RETRY_DELAY))?;
                if complete.text.is_empty() {
                    complete.first_token = started.elapsed();
                }
                chunk.choices.iter().for_each(|choice| complete.text.push_str(&choice.text));
            }
        }
        Err(RetryAfter(DEFAULT_RETRY_DELAY))
    }

    async fn send(&self, host: SocketAddr, call: &CallerRequest) -> Result<Incoming, RetryAfter> {
        let uri = format!("http://{host}{}", call.path);
        let mut request = Request::builder()
            .method(call.method.clone())
            .uri(uri)
            .header(AUTHORIZATION, format!("Bearer {}", call.bearer_key))
            .header("content-type", "application/json");
        if let Some(key) = &call.idempotency_key {
            request = request.header("idempotency-key", key);
        }
        let request = request.body(Full::new(call.body.clone()));
        let request = request.map_err(|_| RetryAfter(DEFAULT_RETRY_DELAY))?;
        let answer =
            self.http.request(request).await.map_err(|_| RetryAfter(DEFAULT_RETRY_DELAY))?;
        if answer.status().is_success() {
            return Ok(answer.into_body());
        }
        Err(RetryAfter(read_retry_delay(answer.status(), answer.into_body()).await))
    }
}

async fn read_retry_delay(status: StatusCode, body: Incoming) -> Duration {
    let Ok(body) = body.collect().await else {
        return DEFAULT_RETRY_DELAY;
    };
    let body = body.to_bytes();
    log::debug!("request failed with status {status}: {}", String::from_utf8_lossy(&body));
    let refusal: Option<RefusalBody> = serde_json::from_slice(&body).ok();
    let retry_after_s = refusal.and_then(|refusal| refusal.error.retry_after_s);
    retry_after_s.map_or(DEFAULT_RETRY_DELAY, Duration::from_secs)
}

/// Removes one event from the front of the buffer.
fn take_event(buffer: &mut Vec<u8>) -> Option<String> {
    let end = buffer.windows(2).position(|pair| pair == b"\n\n")?;
    let event = String::from_utf8_lossy(&buffer[..end]).into_owned();
    buffer.drain(..end + 2);
    Some(event)
}
