//! A test client of the stand-ins, with builders of prompts, requests and configurations.

use bytes::Bytes;
use clients::wire::engine::{
    CommittedBlock, CompletionRequest, End, Export, ExportAnswer, ExportBlock, Import,
    ImportAnswer, ImportBlock, PromptSegment, StreamBody, StreamEvent,
};
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use protocol::ids::{ChainKey, WeightVersion};
use protocol::size::{TokenCount, TokensPerSecond};
use serde::Serialize;
use serde::de::DeserializeOwned;
use standins::engine::{Engine, EngineConfig};
use standins::store::{StoreConfig, StoreHost};
use standins::weight_store::WeightStore;
use std::net::SocketAddr;
use std::time::Duration;

pub const SEGMENT_BYTES: usize = 8_000;

/// Calls stand-ins over HTTP.
pub struct Caller {
    http: Client<HttpConnector, Full<Bytes>>,
}

/// The events received on one completion stream.
#[derive(Debug, Default)]
pub struct Stream {
    pub status: StatusCode,
    pub events: Vec<StreamEvent>,
    pub done: bool,
}

impl Stream {
    pub fn tokens(&self) -> Vec<String> {
        let tokens = self.events.iter().filter_map(|event| match &event.body {
            StreamBody::Token(token) => Some(token.text.clone()),
            StreamBody::End(_) => None,
        });
        tokens.collect()
    }

    pub fn end(&self) -> Option<&End> {
        self.events.iter().find_map(|event| match &event.body {
            StreamBody::Token(_) => None,
            StreamBody::End(end) => Some(end),
        })
    }
}

impl Caller {
    pub fn new() -> Self {
        Self { http: Client::builder(TokioExecutor::new()).build_http() }
    }

    pub async fn raw(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: Bytes,
    ) -> Option<(StatusCode, Bytes)> {
        let uri = format!("http://{address}{path}");
        let request = Request::builder().method(method).uri(uri).body(Full::new(body)).unwrap();
        let response = self.http.request(request).await.ok()?;
        let status = response.status();
        Some((status, response.into_body().collect().await.ok()?.to_bytes()))
    }

    pub async fn post(
        &self,
        address: SocketAddr,
        path: &str,
        body: &impl Serialize,
    ) -> Option<(StatusCode, Bytes)> {
        let body = serde_json::to_vec(body).unwrap();
        self.raw(Method::POST, address, path, body.into()).await
    }

    pub async fn get<T: DeserializeOwned>(&self, address: SocketAddr, path: &str) -> T {
        let (status, body) =
            self.raw(Method::GET, address, path, Bytes::new()).await.expect("an answer");
        assert!(status.is_success(), "{path} answered {status}");
        serde_json::from_slice(&body).expect("the expected JSON")
    }

    /// Requests a completion and reads until `max_events` events have arrived, the answer ends or
    /// the connection closes.
    pub async fn complete(
        &self,
        address: SocketAddr,
        request: &CompletionRequest,
        max_events: usize,
    ) -> Stream {
        let body = Full::new(Bytes::from(serde_json::to_vec(request).unwrap()));
        let request = Request::post(format!("http://{address}/v1/completions")).body(body).unwrap();
        let Ok(response) = self.http.request(request).await else {
            return Stream::default();
        };
        let mut stream = Stream { status: response.status(), ..Stream::default() };
        let mut body = response.into_body();
        let mut text = String::new();
        while stream.events.len() < max_events {
            let Some(Ok(frame)) = body.frame().await else {
                break;
            };
            text.push_str(std::str::from_utf8(&frame.into_data().unwrap()).unwrap());
            while let Some((event, rest)) = text.split_once("\n\n") {
                if let Some(data) = event.strip_prefix("data: ") {
                    match data {
                        "[DONE]" => stream.done = true,
                        data => stream.events.push(serde_json::from_str(data).unwrap()),
                    }
                }
                text = rest.to_owned();
            }
        }
        stream
    }
}

pub fn version() -> WeightVersion {
    "v1".parse().unwrap()
}

/// Returns a text of full segments and a short remainder, determined by `seed` alone.
pub fn prompt(seed: u64, segments: usize) -> String {
    let line = format!("seed {seed}; ");
    line.repeat(SEGMENT_BYTES * segments / line.len() + 4)
}

pub fn request(attempt_id: &str, prompt: &str, max_tokens: u64) -> CompletionRequest {
    let full_segments = prompt.len() / SEGMENT_BYTES;
    let segments = (1..=full_segments).map(|count| PromptSegment {
        key: ChainKey::new(*blake3::hash(&prompt.as_bytes()[..count * SEGMENT_BYTES]).as_bytes()),
        end_byte: count * SEGMENT_BYTES,
    });
    CompletionRequest {
        attempt_id: attempt_id.parse().unwrap(),
        model: "shade".to_owned(),
        weight_version: version(),
        prompt: prompt.to_owned(),
        max_tokens,
        priority: 0,
        cache_salt: "salt".to_owned(),
        segments: segments.collect(),
        resume_at_token: 0,
    }
}

/// Returns the configuration of a fast engine whose prefix cache holds four blocks.
pub fn fast_config() -> EngineConfig {
    EngineConfig {
        prefill_rate: TokensPerSecond::new(10_000_000),
        token_gap_ms: 0,
        cache_size: TokenCount::new(8_000),
        load_lag_ms: 0,
        event_lag_ms: 0,
        ..EngineConfig::default()
    }
}

pub async fn engine(config: EngineConfig) -> Engine {
    Engine::start(config, WeightStore::new()).await.unwrap()
}

pub async fn store() -> StoreHost {
    StoreHost::start(StoreConfig::default()).await.unwrap()
}

/// Exports all cached blocks of a request.
pub async fn export(
    caller: &Caller,
    engine: &Engine,
    store: &StoreHost,
    request: &CompletionRequest,
) -> Vec<CommittedBlock> {
    let blocks = request.segments.iter().map(|segment| ExportBlock {
        key: segment.key,
        name: format!("{}.{}", segment.key, request.attempt_id),
    });
    let export = Export {
        attempt_id: request.attempt_id.clone(),
        store: store.address(),
        expires_in_ms: 60_000,
        blocks: blocks.collect(),
    };
    let (_, answer) = caller.post(engine.address(), "/kv/export", &export).await.unwrap();
    serde_json::from_slice::<ExportAnswer>(&answer).unwrap().committed
}

/// Imports blocks and returns the keys of those that are in memory afterwards.
pub async fn import(
    caller: &Caller,
    engine: &Engine,
    store: &StoreHost,
    blocks: &[CommittedBlock],
) -> Vec<ChainKey> {
    let blocks = blocks.iter().map(|block| ImportBlock {
        key: block.key,
        store: store.address(),
        name: block.name.clone(),
        length_bytes: block.length_bytes,
        checksum: block.checksum.clone(),
    });
    let import = Import {
        attempt_id: "import".parse().unwrap(),
        weight_version: version(),
        blocks: blocks.collect(),
    };
    let (_, answer) = caller.post(engine.address(), "/kv/import", &import).await.unwrap();
    serde_json::from_slice::<ImportAnswer>(&answer).unwrap().imported
}

/// Waits until a condition holds.
pub async fn wait_until(mut condition: impl FnMut() -> bool) {
    while !condition() {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}
