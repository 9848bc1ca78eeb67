//! An open-loop load at a fixed request rate.

use crate::daemon::KEY;
use clients::http::{HttpClient, build_request};
use clients::wire::engine::CompletionRequest;
use hdrhistogram::Histogram;
use http::{HeaderValue, Method, Request};
use http_body_util::{BodyExt, Full};
use serde_json::json;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::task::JoinSet;

const CALL_TIMEOUT: Duration = Duration::from_secs(30);
/// Text that occurs only in the events of tokens.
const TOKEN_MARK: &[u8] = b"text";
/// Significant digits of the recorded times.
const SIGNIFICANT_DIGITS: u8 = 3;
const LAST_EVENT: &[u8] = b"[DONE]";

/// The parameters of a load.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    pub requests: u32,
    pub gap: Duration,
    pub answer_tokens: u64,
    pub prompt_bytes: usize,
}

/// The target of a load.
#[derive(Clone, Debug)]
pub enum Target {
    Engines(Vec<SocketAddr>),
    Daemon(SocketAddr),
}

/// The results of a load.
pub struct Outcome {
    first_token_us: Histogram<u64>,
    failed: u32,
}

impl Outcome {
    /// Prints one line of the table.
    pub fn print(&self, name: &str) {
        let at = |quantile| self.first_token_us.value_at_quantile(quantile);
        println!("{name:22} {:8} {:8} {:8} {:8}", at(0.50), at(0.95), at(0.99), self.failed);
    }

    /// Returns the 95th percentile of the time to first token.
    pub fn p95_us(&self) -> u64 {
        self.first_token_us.value_at_quantile(0.95)
    }
}

impl Load {
    /// Sends the load and waits for all answers.
    pub async fn run(&self, target: &Target) -> Outcome {
        let http = Arc::new(HttpClient::new());
        let mut calls = JoinSet::new();
        let started = tokio::time::Instant::now();
        for number in 0..self.requests {
            tokio::time::sleep_until(started + self.gap * number).await;
            let (address, request) = self.request(target, number);
            let http = Arc::clone(&http);
            calls.spawn(async move { first_token(&http, address, request).await });
        }
        let mut outcome = Outcome {
            first_token_us: Histogram::new(SIGNIFICANT_DIGITS)
                .unwrap_or_else(|_| unreachable!("the digits are valid")),
            failed: 0,
        };
        while let Some(joined) = calls.join_next().await {
            match joined.ok().flatten() {
                Some(time) => {
                    outcome.first_token_us.record(time.as_micros() as u64).unwrap_or_default()
                }
                None => outcome.failed += 1,
            }
        }
        outcome
    }

    fn request(&self, target: &Target, number: u32) -> (SocketAddr, Request<Full<bytes::Bytes>>) {
        let prompt = format!("{number} {}", "x".repeat(self.prompt_bytes));
        let (address, body) = match target {
            Target::Engines(engines) => {
                (engines[number as usize % engines.len()], self.engine_body(prompt, number))
            }
            Target::Daemon(address) => (*address, self.caller_body(&prompt)),
        };
        let request = build_request(
            Method::POST,
            address,
            "/v1/completions",
            "application/json",
            body.into(),
        );
        let mut request = request.unwrap_or_else(|_| unreachable!("the path is valid"));
        let bearer = HeaderValue::from_str(&format!("Bearer {KEY}"));
        let bearer = bearer.unwrap_or_else(|_| unreachable!("the key is ASCII"));
        request.headers_mut().insert("authorization", bearer);
        (address, request)
    }

    fn caller_body(&self, prompt: &str) -> Vec<u8> {
        let body = json!({ "model": "model", "prompt": prompt, "max_tokens": self.answer_tokens, "stream": true });
        body.to_string().into_bytes()
    }

    fn engine_body(&self, prompt: String, number: u32) -> Vec<u8> {
        let request = CompletionRequest {
            attempt_id: format!("a{number}").parse().unwrap_or_else(|_| unreachable!("a valid id")),
            model: "model".to_owned(),
            weight_version: "v1".parse().unwrap_or_else(|_| unreachable!("a valid name")),
            prompt,
            max_tokens: self.answer_tokens,
            priority: 0,
            cache_salt: String::new(),
            segments: Vec::new(),
            resume_at_token: 0,
        };
        serde_json::to_vec(&request).unwrap_or_default()
    }
}

/// Returns the time to first token, or `None` if the answer is incomplete.
async fn first_token(
    http: &HttpClient,
    address: SocketAddr,
    request: Request<Full<bytes::Bytes>>,
) -> Option<Duration> {
    let started = Instant::now();
    let answer = http.send(address, request, CALL_TIMEOUT).await.ok()?;
    let mut body = answer.into_body();
    let mut first = None;
    let mut is_complete = false;
    while let Some(frame) = body.frame().await {
        let data = frame.ok()?.into_data().ok()?;
        let contains = |mark: &[u8]| data.windows(mark.len()).any(|window| window == mark);
        if first.is_none() && contains(TOKEN_MARK) {
            first = Some(started.elapsed());
        }
        is_complete |= contains(LAST_EVENT);
    }
    first.filter(|_| is_complete)
}
