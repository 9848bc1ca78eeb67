//! Client of an inference engine.

use crate::error::ClientError;
use crate::http::{HttpClient, json_request, read_body, refused};
use crate::stream::AnswerStream;
use crate::wire::engine::{
    ATTEMPT_HEADER, Cancel, CompletionRequest, Export, ExportAnswer, INCARNATION_HEADER, Import,
    ImportAnswer, KvEvents, KvSnapshot, LoadCommand, LoadReport, VERSION_HEADER,
};
use http::HeaderMap;
use protocol::ids::{AttemptId, Incarnation, WeightVersion};
use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

/// Timeout of a short call.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The identifiers in the head of an engine's answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AnswerHead {
    /// The attempt that the answer belongs to.
    pub attempt_id: AttemptId,
    /// The weight version that the engine uses.
    pub weight_version: WeightVersion,
    /// The server's incarnation.
    pub incarnation: Incarnation,
}

/// Calls inference engines.
#[derive(Clone, Debug)]
pub struct EngineClient {
    http: Arc<HttpClient>,
}

impl EngineClient {
    /// Creates a client.
    pub fn new(http: Arc<HttpClient>) -> Self {
        Self { http }
    }

    /// Starts an attempt; waits at most `head_timeout` for the head of the answer and at most
    /// `idle_timeout` between bytes.
    ///
    /// # Errors
    ///
    /// Returns any [`ClientError`].
    pub async fn complete(
        &self,
        address: SocketAddr,
        request: &CompletionRequest,
        head_timeout: Duration,
        idle_timeout: Duration,
    ) -> Result<(AnswerHead, AnswerStream), ClientError> {
        let request = json_request(address, "/v1/completions", request)?;
        let answer = self.http.send(address, request, head_timeout).await?;
        if !answer.status().is_success() {
            let status = answer.status().as_u16();
            return Err(refused(status, &read_body(answer.into_body()).await?));
        }
        let head = read_head(answer.headers())?;
        Ok((head, AnswerStream::new(answer.into_body(), idle_timeout)))
    }

    /// Cancels an attempt.
    ///
    /// # Errors
    ///
    /// Returns any [`ClientError`].
    pub async fn cancel(
        &self,
        address: SocketAddr,
        attempt_id: AttemptId,
    ) -> Result<(), ClientError> {
        self.http.post_json_unit(address, "/v1/cancel", &Cancel { attempt_id }, CALL_TIMEOUT).await
    }

    /// Reads a server's load.
    ///
    /// # Errors
    ///
    /// Returns any [`ClientError`].
    pub async fn load(&self, address: SocketAddr) -> Result<LoadReport, ClientError> {
        self.http.get_json(address, "/load", CALL_TIMEOUT).await
    }

    /// Reads which segments a server has cached.
    ///
    /// # Errors
    ///
    /// Returns any [`ClientError`].
    pub async fn kv_snapshot(&self, address: SocketAddr) -> Result<KvSnapshot, ClientError> {
        self.http.get_json(address, "/kv/snapshot", CALL_TIMEOUT).await
    }

    /// Reads the cache events from event number `from` on.
    ///
    /// # Errors
    ///
    /// Returns any [`ClientError`].
    pub async fn kv_events(&self, address: SocketAddr, from: u64) -> Result<KvEvents, ClientError> {
        self.http.get_json(address, &format!("/kv/events?from={from}"), CALL_TIMEOUT).await
    }

    /// Requests that a server write blocks to a store host.
    ///
    /// # Errors
    ///
    /// Returns any [`ClientError`].
    pub async fn export(
        &self,
        address: SocketAddr,
        export: &Export,
        timeout: Duration,
    ) -> Result<ExportAnswer, ClientError> {
        self.http.post_json(address, "/kv/export", export, timeout).await
    }

    /// Requests that a server read blocks from store hosts.
    ///
    /// # Errors
    ///
    /// Returns any [`ClientError`].
    pub async fn import(
        &self,
        address: SocketAddr,
        import: &Import,
        timeout: Duration,
    ) -> Result<ImportAnswer, ClientError> {
        self.http.post_json(address, "/kv/import", import, timeout).await
    }

    /// Sends a command to load a weight version.
    ///
    /// # Errors
    ///
    /// Returns any [`ClientError`].
    pub async fn load_weights(
        &self,
        address: SocketAddr,
        command: &LoadCommand,
    ) -> Result<(), ClientError> {
        self.http.post_json_unit(address, "/admin/load", command, CALL_TIMEOUT).await
    }
}

fn read_head(headers: &HeaderMap) -> Result<AnswerHead, ClientError> {
    Ok(AnswerHead {
        attempt_id: read_header(headers, ATTEMPT_HEADER)?,
        weight_version: read_header(headers, VERSION_HEADER)?,
        incarnation: read_header(headers, INCARNATION_HEADER)?,
    })
}

fn read_header<T: FromStr>(headers: &HeaderMap, name: &str) -> Result<T, ClientError> {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    let parsed = value.and_then(|text| text.parse().ok());
    parsed.ok_or_else(|| ClientError::Malformed(format!("answer head has no valid {name} header")))
}
