//! Answers to callers: answers of servers that are passed on, and refusals by the gateway itself.

use crate::answer_memory::HeldBody;
use bytes::Bytes;
use futures_util::Stream;
use http::{HeaderMap, HeaderValue, Response, StatusCode};
use http_body::Frame;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use std::io;

/// A body that fails if the server's answer is aborted, so that it never appears complete.
pub type AnswerBody = UnsyncBoxBody<Bytes, io::Error>;

/// Builds a body from all of its bytes.
pub fn full_body(bytes: Bytes) -> AnswerBody {
    Full::new(bytes).map_err(|never| match never {}).boxed_unsync()
}

/// Builds a body from an answer that was read completely.
pub fn held_body(body: HeldBody) -> AnswerBody {
    body.map_err(|never| match never {}).boxed_unsync()
}

/// Builds a body from frames as they arrive.
pub fn streamed_body(
    frames: impl Stream<Item = io::Result<Frame<Bytes>>> + Send + 'static,
) -> AnswerBody {
    BodyExt::boxed_unsync(StreamBody::new(frames))
}

macro_rules! refusals {
    ($($(#[doc = $doc:literal])+ $name:ident => $text:literal, $status:ident;)*) => {
        /// The reason why the gateway itself ends a request.
        #[derive(Clone, Copy, Debug, Eq, PartialEq)]
        pub enum Refusal {
            $($(#[doc = $doc])+ $name,)*
        }

        impl Refusal {
            /// Returns the reason's name in answers, logs and counters.
            pub const fn as_str(self) -> &'static str {
                match self {
                    $(Refusal::$name => $text,)*
                }
            }

            /// Returns the status of the answer.
            pub const fn status(self) -> StatusCode {
                match self {
                    $(Refusal::$name => StatusCode::$status,)*
                }
            }
        }
    };
}

refusals! {
    /// The head has both a content length and a transfer encoding.
    ConflictingFraming => "two_framings", BAD_REQUEST;
    /// The request has no id, or its prompt's description cannot be parsed.
    Malformed => "malformed", BAD_REQUEST;
    /// The body did not arrive in time; the request has not run.
    SlowBody => "slow_body", REQUEST_TIMEOUT;
    /// The body is larger than the configuration allows.
    BodyTooLarge => "body_too_large", PAYLOAD_TOO_LARGE;
    /// The gateway has no memory for the body; the request has not run.
    NoMemory => "no_memory", SERVICE_UNAVAILABLE;
    /// No configuration is in force yet; the request has not run.
    NoConfiguration => "no_configuration", SERVICE_UNAVAILABLE;
    /// No route matches this host and path.
    NoRoute => "no_route", NOT_FOUND;
    /// The key is missing or belongs to no organisation.
    UnknownKey => "unknown_key", UNAUTHORIZED;
    /// The request crashed the servers that ran it before; it does not run again.
    CrashesServers => "crashes_servers", SERVICE_UNAVAILABLE;
    /// Servers crashed under requests with the same segments in their prompts; it does not run.
    PromptCrashesServers => "prompt_crashes_servers", SERVICE_UNAVAILABLE;
    /// The registry lists no usable server of the service; the request has not run.
    NoServer => "no_server", SERVICE_UNAVAILABLE;
    /// No server of the service is in a region where the request may be served; it has not run.
    NoAllowedServer => "no_server_in_allowed_regions", SERVICE_UNAVAILABLE;
    /// The failure domains of the servers that might serve the request are evacuated; it has not run.
    Evacuated => "evacuated", SERVICE_UNAVAILABLE;
    /// The gateway has just started and does not know the evacuations; the request has not run.
    EvacuationsUnknown => "evacuations_unknown", SERVICE_UNAVAILABLE;
    /// Every server of the service asked for a pause; the request has not run.
    ServersPaused => "servers_paused", SERVICE_UNAVAILABLE;
    /// The limits that the servers of the service named are used up; the request has not run.
    ServersLimited => "servers_limited", SERVICE_UNAVAILABLE;
    /// The servers of the service are cold and bear no more for now; the request has not run.
    ServersCold => "servers_cold", SERVICE_UNAVAILABLE;
    /// The request is larger than the memory of any server; it has not run.
    TooLarge => "too_large_for_servers", SERVICE_UNAVAILABLE;
    /// It is unknown which software version began the stream that is taken up again; the request
    /// has not run.
    UnknownStream => "unknown_stream", SERVICE_UNAVAILABLE;
    /// The gateway shuts down before the request's deadline; it has not run.
    ShuttingDown => "shutting_down", SERVICE_UNAVAILABLE;
    /// No server has free capacity to answer in time; the request has not run.
    Overloaded => "overloaded", SERVICE_UNAVAILABLE;
    /// The organisation has used its fair share of a service that others ask for too; the request
    /// has not run.
    OverFairShare => "over_fair_share", SERVICE_UNAVAILABLE;
    /// What is left of the servers' time is kept for short requests; the request has not run.
    ReservedForQuick => "reserved_for_quick", SERVICE_UNAVAILABLE;
    /// The servers refused the attempts, or the retry budget is exhausted; it has not run.
    ServersRefused => "servers_refused", SERVICE_UNAVAILABLE;
    /// The deadline passed before the request was sent; it has not run.
    DeadlineExceededUnsent => "late_unsent", SERVICE_UNAVAILABLE;
    /// The server failed or its answer was aborted; the request may have run.
    ServerFailed => "server_broke", BAD_GATEWAY;
    /// The server's answer belongs to another request; this one may have run.
    MismatchedAnswer => "foreign_answer", BAD_GATEWAY;
    /// The deadline passed while a server had the request; it may have run.
    DeadlineExceeded => "late", GATEWAY_TIMEOUT;
}

impl Refusal {
    /// Builds the answer; `retry_after_ms` is the delay after which the caller should retry.
    pub fn answer(self, retry_after_ms: Option<u64>) -> Response<AnswerBody> {
        let body = format!("{{\"error\":\"{}\"}}", self.as_str());
        let mut answer = Response::new(full_body(body.into()));
        *answer.status_mut() = self.status();
        let headers = answer.headers_mut();
        headers.insert(http::header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Some(retry_after_ms) = retry_after_ms {
            let seconds = format!("{:.3}", retry_after_ms as f64 / 1_000.0);
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                headers.insert(http::header::RETRY_AFTER, value);
            }
        }
        answer
    }
}

/// The headers that apply to one connection only.
const HOP_HEADERS: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Removes the headers that apply to one connection only, and the content length, which is set
/// anew.
pub fn strip_hop_headers(headers: &mut HeaderMap) {
    let options: Vec<String> = headers
        .get_all(http::header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(',').map(|name| name.trim().to_ascii_lowercase()))
        .collect();
    for name in options.iter().map(String::as_str).chain(HOP_HEADERS) {
        headers.remove(name);
    }
    headers.remove(http::header::CONTENT_LENGTH);
}
