//! Client of peer entry hosts: MessagePack bodies over HTTP.

use crate::error::ClientError;
use crate::http::{HttpClient, build_request};
use http::Method;
use protocol::msgpack;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Content type of the protocol between entry hosts.
pub const CONTENT_TYPE: &str = "application/msgpack";

/// Calls other entry hosts.
#[derive(Clone, Debug)]
pub struct PeerClient {
    http: Arc<HttpClient>,
}

impl PeerClient {
    /// Creates a client.
    pub fn new(http: Arc<HttpClient>) -> Self {
        Self { http }
    }

    /// Sends a message and reads the answer.
    ///
    /// # Errors
    ///
    /// Returns any [`ClientError`].
    pub async fn call<A: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        message: &impl Serialize,
        timeout: Duration,
    ) -> Result<A, ClientError> {
        let body = encode(message)?.into();
        let request = build_request(Method::POST, address, path, CONTENT_TYPE, body)?;
        decode(&self.http.fetch(address, request, timeout).await?)
    }
}

/// Encodes a message of the protocol between entry hosts.
///
/// # Errors
///
/// Returns [`ClientError::Malformed`] for a value that MessagePack cannot represent.
pub fn encode(message: &impl Serialize) -> Result<Vec<u8>, ClientError> {
    rmp_serde::to_vec_named(message).map_err(|error| ClientError::Malformed(error.to_string()))
}

/// Decodes a message of the protocol between entry hosts.
///
/// # Errors
///
/// Returns [`ClientError::Malformed`] for bytes that are not MessagePack of the expected form.
pub fn decode<A: DeserializeOwned>(bytes: &[u8]) -> Result<A, ClientError> {
    msgpack::decode(bytes).map_err(|error| ClientError::Malformed(error.to_string()))
}
