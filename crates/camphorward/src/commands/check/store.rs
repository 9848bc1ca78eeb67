//! Reads the configuration in force from the platform's store.

use crate::error::CommandError;
use bytes::Bytes;
use clients::http::{HttpClient, build_request};
use http::Method;
use platform::store::{CONFIGURATION_KEY, OPERATOR_TOPIC, decode_newest, newest_path};
use std::net::SocketAddr;
use std::time::Duration;

/// How long the store may take for one page.
const PAGE_TIMEOUT: Duration = Duration::from_secs(3);
/// The most pages that are read; a page has up to 500 records or a megabyte.
const MAX_PAGES: usize = 64;

/// Returns the record of the configuration in force; `None` if there is none.
pub(super) async fn read_configuration(
    address: SocketAddr,
) -> Result<Option<Vec<u8>>, CommandError> {
    let failed = |reason: String| CommandError::Store { address, reason };
    let http = HttpClient::new();
    let mut after: Option<Vec<u8>> = None;
    for _ in 0..MAX_PAGES {
        let path = newest_path(OPERATOR_TOPIC, after.as_deref());
        let request = build_request(Method::GET, address, &path, "", Bytes::new());
        let request = request.map_err(|error| failed(error.to_string()))?;
        let body = http.fetch(address, request, PAGE_TIMEOUT).await;
        let body = body.map_err(|error| failed(error.to_string()))?;
        let page = decode_newest(&body).map_err(|error| failed(error.to_string()))?;
        let mut records = page.records.into_iter().map(|(record, _)| record);
        if let Some(found) = records.find(|record| record.key == CONFIGURATION_KEY) {
            return Ok(found.value);
        }
        match page.last_key.filter(|_| page.has_more) {
            Some(key) => after = Some(key),
            None => return Ok(None),
        }
    }
    Err(failed(format!("the configuration is not in the first {MAX_PAGES} pages")))
}
