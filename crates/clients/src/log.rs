//! Client of the platform's append-only log.

use crate::error::ClientError;
use crate::http::{HttpClient, build_request, from_json};
use crate::wire::log::{Appended, RecordPage};
use http::Method;
use protocol::ids::LogOffset;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Time that a read may take beyond its long-poll wait.
const READ_MARGIN: Duration = Duration::from_millis(3_000);

/// Appends to and reads from the log.
#[derive(Clone, Debug)]
pub struct LogClient {
    http: Arc<HttpClient>,
    address: SocketAddr,
}

impl LogClient {
    /// Creates a client.
    pub fn new(http: Arc<HttpClient>, address: SocketAddr) -> Self {
        Self { http, address }
    }

    /// Appends a record.
    ///
    /// # Errors
    ///
    /// Returns any [`ClientError`]. The record may still be stored, unless the error
    /// [is unsent](ClientError::is_unsent) or the log refused the record.
    pub async fn append(
        &self,
        stream: &str,
        record: String,
        timeout: Duration,
    ) -> Result<LogOffset, ClientError> {
        let path = format!("/streams/{stream}/records");
        let body = record.into();
        let request = build_request(Method::POST, self.address, &path, "text/plain", body)?;
        let answer = self.http.fetch(self.address, request, timeout).await?;
        from_json::<Appended>(&answer).map(|appended| appended.offset)
    }

    /// Reads records from offset `from` on; waits up to `wait` if there are none yet.
    ///
    /// # Errors
    ///
    /// Returns any [`ClientError`].
    pub async fn read(
        &self,
        stream: &str,
        from: LogOffset,
        limit: usize,
        wait: Duration,
    ) -> Result<RecordPage, ClientError> {
        let wait_ms = wait.as_millis();
        let path = format!("/streams/{stream}/records?from={from}&limit={limit}&wait_ms={wait_ms}");
        self.http.get_json(self.address, &path, wait + READ_MARGIN).await
    }
}
