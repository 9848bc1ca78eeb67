//! A client of the daemons' callers' listener.

use clients::http::{HttpClient, build_request, read_body};
use clients::wire::engine::TEXT_BYTES_PER_TOKEN;
use http::{HeaderValue, Method};
use serde_json::{Value, json};
use standins::answer::expected_answer;
use std::net::SocketAddr;
use std::time::Duration;

/// Longer than any answer of a test takes.
const CALL_TIMEOUT: Duration = Duration::from_secs(60);
/// The length of a segment in bytes of text.
const SEGMENT_BYTES: usize = 2_000 * TEXT_BYTES_PER_TOKEN;

/// An answer as the caller received it.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub headers: http::HeaderMap,
    pub body: String,
}

impl Answer {
    /// Returns the JSON body.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body)
            .unwrap_or_else(|error| panic!("{error}: {} {:?}", self.status, self.body))
    }

    /// Joins the tokens of a stream; returns `None` without the end mark.
    pub fn streamed_text(&self) -> Option<String> {
        let events = self.body.lines().filter_map(|line| line.strip_prefix("data: "));
        let mut text = String::new();
        for event in events {
            if event == "[DONE]" {
                return Some(text);
            }
            let value: Value = serde_json::from_str(event).expect("an event is JSON");
            text.push_str(value["choices"][0]["text"].as_str().unwrap_or_default());
        }
        None
    }
}

/// Sends a request with a bearer key.
pub async fn send(
    address: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(&'static str, &str)],
    body: String,
) -> Answer {
    let mut request = build_request(method, address, path, "application/json", body.into())
        .expect("a valid request");
    for (name, value) in headers {
        request.headers_mut().insert(*name, HeaderValue::from_str(value).expect("a valid header"));
    }
    let answer =
        HttpClient::new().send(address, request, CALL_TIMEOUT).await.expect("the host answers");
    let (head, body) = answer.into_parts();
    let body = read_body(body).await.map(|bytes| String::from_utf8_lossy(&bytes).into_owned());
    Answer { status: head.status.as_u16(), headers: head.headers, body: body.unwrap_or_default() }
}

/// Requests a streamed completion.
pub async fn complete(
    address: SocketAddr,
    key: &str,
    model: &str,
    prompt: &str,
    tokens: u64,
) -> Answer {
    let body = json!({ "model": model, "prompt": prompt, "max_tokens": tokens, "stream": true });
    let bearer = format!("Bearer {key}");
    let headers = [("authorization", bearer.as_str())];
    send(address, Method::POST, "/v1/completions", &headers, body.to_string()).await
}

/// Returns a prompt of a number of full segments and a rest; the text differs by name from its
/// start.
pub fn prompt(name: &str, segments: usize) -> String {
    let mut text = format!("{name}: ");
    while text.len() < segments * SEGMENT_BYTES + 40 {
        text.push_str("a long history of billets and shades; ");
    }
    text
}

/// Returns the only correct answer to a prompt.
pub fn expected_answer_to(prompt: &str, tokens: u64) -> String {
    expected_answer_of("v1", prompt, tokens)
}

/// Returns the only correct answer to a prompt under a weight version.
pub fn expected_answer_of(version: &str, prompt: &str, tokens: u64) -> String {
    expected_answer(prompt, &version.parse().expect("a valid name"), tokens).concat()
}
