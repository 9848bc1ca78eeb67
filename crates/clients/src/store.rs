//! Client of a store host.

use crate::error::ClientError;
use crate::http::HttpClient;
use crate::wire::store::{BlockStatus, Extend, Lookup, LookupAnswer};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Timeout of a lookup or extension.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Looks up and extends committed blocks on store hosts.
#[derive(Clone, Debug)]
pub struct StoreClient {
    http: Arc<HttpClient>,
}

impl StoreClient {
    /// Creates a client.
    pub fn new(http: Arc<HttpClient>) -> Self {
        Self { http }
    }

    /// Returns the status of those of the given blocks that are committed.
    ///
    /// # Errors
    ///
    /// Returns any [`ClientError`].
    pub async fn look_up(
        &self,
        address: SocketAddr,
        names: Vec<String>,
    ) -> Result<Vec<BlockStatus>, ClientError> {
        let lookup = Lookup { names };
        let answer: LookupAnswer =
            self.http.post_json(address, "/blocks/lookup", &lookup, CALL_TIMEOUT).await?;
        Ok(answer.blocks)
    }

    /// Extends a block's expiry time.
    ///
    /// # Errors
    ///
    /// Returns any [`ClientError`].
    pub async fn extend(
        &self,
        address: SocketAddr,
        name: &str,
        expires_in_ms: u64,
    ) -> Result<BlockStatus, ClientError> {
        let path = format!("/blocks/{name}/extend");
        self.http.post_json(address, &path, &Extend { expires_in_ms }, CALL_TIMEOUT).await
    }
}
