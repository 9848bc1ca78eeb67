//! Reads the configuration stream and judges its records as every entry host does.

mod start;

use crate::error::{CommandError, Conflict};
use clients::error::ClientError;
use clients::log::LogClient;
use control::configuration::{
    CONFIGURATION_STREAM, ConfigLedger, ConfigRecord, ConfigSnapshot, Verdict,
};
use protocol::ids::{ConfigVersion, LogOffset};
use std::time::Duration;

/// The records read at once; each may hold several hundred kilobytes.
const PAGE_RECORDS: usize = 50;

/// Says how much of the stream is needed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Extent {
    /// What tells the version in force: the newest snapshot and the records after it.
    Newest,
    /// Everything that the log holds and that can be judged.
    All,
}

/// Holds one record of the configuration stream and what became of it.
#[derive(Clone, Debug)]
pub(crate) struct Publication {
    /// Where the record stands.
    pub(crate) offset: LogOffset,
    /// When the log took it, in milliseconds since the epoch.
    pub(crate) appended_at_ms: u64,
    /// The record, if it is one.
    pub(crate) record: Option<ConfigRecord>,
    /// What became of it.
    pub(crate) verdict: Verdict,
}

/// Reads the configuration stream from its start or from a snapshot.
#[derive(Debug)]
pub(crate) struct Publications {
    log: LogClient,
    start: Option<ConfigSnapshot>,
    ledger: ConfigLedger,
    read: Vec<Publication>,
    /// The oldest record that was still there when earlier ones were to be read and were gone.
    after_gap: Option<LogOffset>,
}

impl Publications {
    /// Reads what the log holds now.
    ///
    /// # Errors
    ///
    /// Returns [`CommandError`] if the log does not answer, or no longer holds what is needed to
    /// judge its records.
    pub(crate) async fn read(log: &LogClient, extent: Extent) -> Result<Self, CommandError> {
        let ledger = start::find(log, extent).await?;
        let start = ledger.snapshot();
        let mut publications =
            Self { log: log.clone(), start, ledger, read: Vec::new(), after_gap: None };
        while publications.read_more(Duration::ZERO).await.map_err(CommandError::from_log)? {}
        publications.check_whole()?;
        Ok(publications)
    }

    /// Checks that no record was gone before it could be read.
    ///
    /// # Errors
    ///
    /// Returns [`CommandError::Refused`], since a later record would be judged against the wrong
    /// version.
    pub(crate) fn check_whole(&self) -> Result<(), CommandError> {
        self.after_gap.map_or(Ok(()), |first| Err(gap_error(first)))
    }

    /// Reads the next records, waiting up to `wait` for a first one; tells whether more may follow.
    ///
    /// # Errors
    ///
    /// Returns any [`ClientError`].
    pub(crate) async fn read_more(&mut self, wait: Duration) -> Result<bool, ClientError> {
        let next = self.ledger.next();
        let page = self.log.read(CONFIGURATION_STREAM, next, PAGE_RECORDS, wait).await?;
        if page.first_retained > next {
            self.after_gap = Some(page.first_retained);
        }
        for record in page.records.into_iter().filter(|record| record.offset >= next) {
            let verdict = self.ledger.apply(record.offset, &record.value);
            self.read.push(Publication {
                offset: record.offset,
                appended_at_ms: record.appended_at_ms,
                record: serde_json::from_str(&record.value).ok(),
                verdict,
            });
        }
        Ok(self.ledger.next() > next && self.ledger.next() < page.end)
    }

    /// Returns the snapshot before the first record read, if there is one.
    pub(crate) fn start(&self) -> Option<&ConfigSnapshot> {
        self.start.as_ref()
    }

    /// Returns all records read so far.
    pub(crate) fn all(&self) -> &[Publication] {
        &self.read
    }

    /// Returns the version in force.
    pub(crate) fn in_force(&self) -> ConfigVersion {
        self.ledger.in_force().version
    }

    /// Returns the record that was accepted as a version.
    pub(crate) fn accepted_as(&self, version: ConfigVersion) -> Option<&Publication> {
        self.read.iter().find(|one| one.verdict == Verdict::Accepted(version))
    }

    /// Returns the first record of a publication.
    pub(crate) fn find(&self, publication_id: &str) -> Option<&Publication> {
        self.read.iter().find(|one| {
            one.record.as_ref().is_some_and(|record| record.publication_id == publication_id)
        })
    }

    /// Describes what is in force to the publisher of something else.
    pub(crate) fn conflict(&self, base: ConfigVersion, in_force: ConfigVersion) -> CommandError {
        let winner = self.accepted_as(in_force);
        let id = winner.and_then(|one| one.record.as_ref()).map(|one| one.publication_id.clone());
        let offset = winner.map(|one| one.offset);
        CommandError::Conflict { conflict: Conflict { base, in_force, publication_id: id, offset } }
    }
}

fn gap_error(first_retained: LogOffset) -> CommandError {
    CommandError::Refused(format!(
        "records before offset {first_retained} are gone from the log and no snapshot covers them, \
         so versions cannot be told"
    ))
}
