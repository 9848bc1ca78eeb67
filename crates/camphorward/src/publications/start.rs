//! Finds the position to read from, so that no record is compared with the wrong version.

use super::{Extent, PAGE_RECORDS, gap_error};
use crate::error::CommandError;
use clients::error::ClientError;
use clients::log::LogClient;
use control::configuration::{CONFIGURATION_STREAM, ConfigLedger, ConfigSnapshot, SNAPSHOT_STREAM};
use protocol::ids::LogOffset;
use std::time::Duration;

/// Returns the ledger to start from, which is empty or restored from a snapshot.
///
/// # Errors
///
/// Returns [`CommandError`] if the log does not answer, or if records have expired that no snapshot
/// covers.
pub(super) async fn find(log: &LogClient, extent: Extent) -> Result<ConfigLedger, CommandError> {
    let first = read_first_retained(log).await.map_err(CommandError::from_log)?;
    let is_complete = first == LogOffset::default();
    if is_complete && extent == Extent::All {
        return Ok(ConfigLedger::new());
    }
    let mut snapshots = read_snapshots(log).await.map_err(CommandError::from_log)?;
    snapshots.retain(|snapshot| snapshot.as_of >= first);
    snapshots.sort_by_key(|snapshot| snapshot.as_of);
    if extent == Extent::Newest {
        snapshots.reverse();
    }
    let from_snapshot =
        snapshots.iter().find_map(|snapshot| ConfigLedger::from_snapshot(snapshot).ok());
    let empty = is_complete.then(ConfigLedger::new);
    from_snapshot.or(empty).ok_or_else(|| gap_error(first))
}

async fn read_first_retained(log: &LogClient) -> Result<LogOffset, ClientError> {
    let page = log.read(CONFIGURATION_STREAM, LogOffset::default(), 1, Duration::ZERO).await?;
    Ok(page.first_retained)
}

async fn read_snapshots(log: &LogClient) -> Result<Vec<ConfigSnapshot>, ClientError> {
    let mut snapshots = Vec::new();
    let mut next = LogOffset::default();
    loop {
        let page = log.read(SNAPSHOT_STREAM, next, PAGE_RECORDS, Duration::ZERO).await?;
        let values = page.records.iter().map(|record| &record.value);
        snapshots.extend(values.filter_map(|value| serde_json::from_str(value).ok()));
        let Some(last) = page.records.last() else {
            return Ok(snapshots);
        };
        next = LogOffset::new(last.offset.value() + 1);
        if next >= page.end {
            return Ok(snapshots);
        }
    }
}
