//! Appends a record and confirms its verdict.

use crate::error::CommandError;
use crate::publications::Publications;
use clients::error::ClientError;
use clients::log::LogClient;
use control::configuration::{CONFIGURATION_STREAM, ConfigRecord, Verdict};
use protocol::ids::{ConfigVersion, LogOffset};
use std::time::{Duration, Instant};

/// The timeout for an answer of the log to an append.
const APPEND_TIMEOUT: Duration = Duration::from_millis(3_000);
/// How long the stream is read for a record before the append is retried.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(2_000);
/// How long a single read waits for new records.
const READ_TIMEOUT: Duration = Duration::from_millis(500);
/// The delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// An accepted publication.
#[derive(Debug)]
pub(super) struct Accepted {
    /// The version.
    pub(super) version: ConfigVersion,
    /// The offset of the record.
    pub(super) offset: LogOffset,
    /// The unique id of the publication.
    pub(super) publication_id: String,
}

/// Appends a record, retrying until it is found in the log, and returns its verdict, which is the
/// same for all readers.
///
/// If an answer is lost, the record may be stored, so the stream is read for it before a retry. A
/// second copy is harmless, since its base is no longer in force once the first copy is accepted.
///
/// # Errors
///
/// Returns [`CommandError`] for a record that conflicts with another one, is refused or is not
/// found before the deadline.
pub(super) async fn append(
    log: &LogClient,
    mut publications: Publications,
    record: &ConfigRecord,
    deadline: Instant,
) -> Result<Accepted, CommandError> {
    let value = serde_json::to_string(record)
        .map_err(|error| CommandError::Usage(format!("the text cannot be encoded: {error}")))?;
    let mut may_be_stored = false;
    loop {
        let failure = log.append(CONFIGURATION_STREAM, value.clone(), APPEND_TIMEOUT).await.err();
        may_be_stored |= failure.as_ref().is_none_or(may_have_stored);
        if may_be_stored {
            let until = deadline.min(Instant::now() + CONFIRM_TIMEOUT);
            read_until_found(&mut publications, &record.publication_id, until).await?;
        }
        publications.check_complete()?;
        if let Some(verdict) = verdict(&publications, record) {
            return verdict;
        }
        if let Some(error @ ClientError::Refused { status: ..500, .. }) = failure {
            return Err(CommandError::from_log(error));
        }
        if Instant::now() >= deadline {
            return Err(unconfirmed(may_be_stored, failure, record));
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

fn may_have_stored(error: &ClientError) -> bool {
    !error.is_unsent() && !matches!(error, ClientError::Refused { .. })
}

/// Reads the stream, at least once, until a publication is found or the time has passed.
async fn read_until_found(
    publications: &mut Publications,
    publication_id: &str,
    until: Instant,
) -> Result<(), CommandError> {
    loop {
        match publications.read_more(READ_TIMEOUT).await {
            Ok(_) => {}
            Err(error @ ClientError::Refused { status: ..500, .. }) => {
                return Err(CommandError::from_log(error));
            }
            Err(error) => {
                log::debug!("cannot read the configuration stream: {error}");
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
        if publications.find(publication_id).is_some() || Instant::now() >= until {
            return Ok(());
        }
    }
}

fn verdict(
    publications: &Publications,
    record: &ConfigRecord,
) -> Option<Result<Accepted, CommandError>> {
    let publication = publications.find(&record.publication_id)?;
    Some(match &publication.verdict {
        Verdict::Accepted(version) => Ok(Accepted {
            version: *version,
            offset: publication.offset,
            publication_id: record.publication_id.clone(),
        }),
        Verdict::Conflict(in_force) => Err(publications.conflict(record.base, *in_force)),
        Verdict::Invalid(reason) => Err(CommandError::Refused(reason.clone())),
    })
}

fn unconfirmed(
    may_be_stored: bool,
    failure: Option<ClientError>,
    record: &ConfigRecord,
) -> CommandError {
    match failure {
        Some(error) if !may_be_stored => CommandError::from_log(error),
        _ => CommandError::AppendUnconfirmed { publication_id: record.publication_id.clone() },
    }
}
