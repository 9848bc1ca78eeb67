//! Client of the platform's host list.

use crate::error::ClientError;
use crate::http::HttpClient;
use crate::wire::host_list::HostList;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Timeout of reading the list.
const READ_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Reads the host list.
#[derive(Clone, Debug)]
pub struct HostListClient {
    http: Arc<HttpClient>,
    address: SocketAddr,
}

impl HostListClient {
    /// Creates a client.
    pub fn new(http: Arc<HttpClient>, address: SocketAddr) -> Self {
        Self { http, address }
    }

    /// Reads the list.
    ///
    /// # Errors
    ///
    /// Returns any [`ClientError`].
    pub async fn read(&self) -> Result<HostList, ClientError> {
        self.http.get_json(self.address, "/hosts", READ_TIMEOUT).await
    }
}
