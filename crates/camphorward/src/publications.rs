//! Reads the configuration stream and applies its records as the entry hosts do.

mod start;

use crate::error::{CommandError, Conflict};
use clients::error::ClientError;
use clients::log::LogClient;
use control::configuration::{
    CONFIGURATION_STREAM, ConfigLedger, ConfigRecord, ConfigSnapshot, Verdict,
};
use protocol::ids::{ConfigVersion, LogOffset};
use std::time::Duration;

/// The number of records per read; each may hold several hundred kilobytes.
const PAGE_RECORDS: usize = 50;

/// The part of the stream to read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Extent {
    /// The newest snapshot and the records after it, which determine the version in force.
    Newest,
    /// All records in the log for which a verdict can be determined.
    All,
}

/// A record of the configuration stream with its verdict.
#[derive(Clone, Debug)]
pub(crate) struct Publication {
    /// The offset of the record.
    pub(crate) offset: LogOffset,
    /// The time of the append, in milliseconds since the epoch.
    pub(crate) appended_at_ms: u64,
    /// The decoded record, if it is valid.
    pub(crate) record: Option<ConfigRecord>,
    /// The verdict on the record.
    pub(crate) verdict: Verdict,
}

/// The records of the configuration stream, read from its start or from a snapshot.
#[derive(Debug)]
pub(crate) struct Publications {
    log: LogClient,
    start: Option<ConfigSnapshot>,
    ledger: ConfigLedger,
    records: Vec<Publication>,
    /// The oldest retained record, if records before it expired before they were read.
    first_after_gap: Option<LogOffset>,
}

impl Publications {
    /// Reads the records that the log holds at present.
    ///
    /// # Errors
    ///
    /// Returns [`CommandError`] if the log does not answer, or if records have expired without
    /// which the verdicts cannot be determined.
    pub(crate) async fn read(log: &LogClient, extent: Extent) -> Result<Self, CommandError> {
        let ledger = start::find(log, extent).await?;
        let start = ledger.snapshot();
        let mut publications =
            Self { log: log.clone(), start, ledger, records: Vec::new(), first_after_gap: None };
        while publications.read_more(Duration::ZERO).await.map_err(CommandError::from_log)? {}
        publications.check_complete()?;
        Ok(publications)
    }

    /// Checks that no record expired before it was read.
    ///
    /// # Errors
    ///
    /// Returns [`CommandError::Refused`], since later records would be compared with the wrong
    /// version.
    pub(crate) fn check_complete(&self) -> Result<(), CommandError> {
        self.first_after_gap.map_or(Ok(()), |first| Err(gap_error(first)))
    }

    /// Reads the next records, waiting up to `wait` for the first one. Returns whether any was read
    /// and more follow.
    ///
    /// # Errors
    ///
    /// Returns any [`ClientError`].
    pub(crate) async fn read_more(&mut self, wait: Duration) -> Result<bool, ClientError> {
        let next = self.ledger.next();
        let page = self.log.read(CONFIGURATION_STREAM, next, PAGE_RECORDS, wait).await?;
        if page.first_retained > next {
            self.first_after_gap = Some(page.first_retained);
        }
        for record in page.records.into_iter().filter(|record| record.offset >= next) {
            let verdict = self.ledger.apply(record.offset, &record.value);
            self.records.push(Publication {
                offset: record.offset,
                appended_at_ms: record.appended_at_ms,
                record: serde_json::from_str(&record.value).ok(),
                verdict,
            });
        }
        Ok(self.ledger.next() > next && self.ledger.next() < page.end)
    }

    /// Returns the snapshot that reading started from, if any.
    pub(crate) fn start(&self) -> Option<&ConfigSnapshot> {
        self.start.as_ref()
    }

    /// Returns all records read so far.
    pub(crate) fn all(&self) -> &[Publication] {
        &self.records
    }

    /// Returns the version in force.
    pub(crate) fn in_force(&self) -> ConfigVersion {
        self.ledger.in_force().version
    }

    /// Returns the record that was accepted as a version.
    pub(crate) fn accepted_as(&self, version: ConfigVersion) -> Option<&Publication> {
        self.records.iter().find(|publication| publication.verdict == Verdict::Accepted(version))
    }

    /// Returns the first record of a publication.
    pub(crate) fn find(&self, publication_id: &str) -> Option<&Publication> {
        self.records.iter().find(|publication| {
            publication
                .record
                .as_ref()
                .is_some_and(|record| record.publication_id == publication_id)
        })
    }

    /// Returns the error for a publication whose base is not in force.
    pub(crate) fn conflict(&self, base: ConfigVersion, in_force: ConfigVersion) -> CommandError {
        let accepted = self.accepted_as(in_force);
        let id = accepted
            .and_then(|publication| publication.record.as_ref())
            .map(|record| record.publication_id.clone());
        let offset = accepted.map(|publication| publication.offset);
        CommandError::Conflict { conflict: Conflict { base, in_force, publication_id: id, offset } }
    }
}

fn gap_error(first_retained: LogOffset) -> CommandError {
    CommandError::Refused(format!(
        "records before offset {first_retained} have expired from the log and no snapshot covers \
         them, so versions cannot be determined"
    ))
}
