//! Appends a record and finds out what became of it.

use crate::error::CommandError;
use crate::publications::Publications;
use clients::error::ClientError;
use clients::log::LogClient;
use control::configuration::{CONFIGURATION_STREAM, ConfigRecord, Verdict};
use protocol::ids::{ConfigVersion, LogOffset};
use std::time::{Duration, Instant};

/// How long the log may take to answer an append.
const APPEND_TIMEOUT: Duration = Duration::from_millis(3_000);
/// How long a record is looked for before it is appended once more.
const READ_BACK: Duration = Duration::from_millis(2_000);
/// How long one read waits for a record.
const READ_WAIT: Duration = Duration::from_millis(500);
/// The pause after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Names what a publication was accepted as.
#[derive(Debug)]
pub(super) struct Accepted {
    /// The version.
    pub(super) version: ConfigVersion,
    /// Where the record stands.
    pub(super) offset: LogOffset,
    /// What tells the record apart.
    pub(super) publication_id: String,
}

/// Appends a record until it is seen in the log, and returns the verdict that all readers reach.
///
/// An answer that is lost leaves open whether the record was taken, so it is looked for; a second
/// copy does no harm, since its base is no longer in force once the first copy is.
///
/// # Errors
///
/// Returns [`CommandError`] for a record that lost, was refused or was not seen in time.
pub(super) async fn append(
    log: &LogClient,
    mut publications: Publications,
    record: &ConfigRecord,
    deadline: Instant,
) -> Result<Accepted, CommandError> {
    let value = serde_json::to_string(record)
        .map_err(|error| CommandError::Usage(format!("the text cannot be sent: {error}")))?;
    let mut may_be_taken = false;
    loop {
        let failure = log.append(CONFIGURATION_STREAM, value.clone(), APPEND_TIMEOUT).await.err();
        may_be_taken |= failure.as_ref().is_none_or(may_have_taken);
        if may_be_taken {
            let until = deadline.min(Instant::now() + READ_BACK);
            read_until_seen(&mut publications, &record.publication_id, until).await?;
        }
        publications.check_whole()?;
        if let Some(verdict) = verdict(&publications, record) {
            return verdict;
        }
        if let Some(error @ ClientError::Refused { status: ..500, .. }) = failure {
            return Err(CommandError::from_log(error));
        }
        if Instant::now() >= deadline {
            return Err(not_seen(may_be_taken, failure, record));
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

fn may_have_taken(error: &ClientError) -> bool {
    !error.is_unsent() && !matches!(error, ClientError::Refused { .. })
}

/// Reads on until a publication is seen or the time is up, at least once.
async fn read_until_seen(
    publications: &mut Publications,
    publication_id: &str,
    until: Instant,
) -> Result<(), CommandError> {
    loop {
        match publications.read_more(READ_WAIT).await {
            Ok(_) => {}
            Err(error @ ClientError::Refused { status: ..500, .. }) => {
                return Err(CommandError::from_log(error));
            }
            Err(error) => {
                log::debug!("reading back failed: {error}");
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
    let seen = publications.find(&record.publication_id)?;
    Some(match &seen.verdict {
        Verdict::Accepted(version) => Ok(Accepted {
            version: *version,
            offset: seen.offset,
            publication_id: record.publication_id.clone(),
        }),
        Verdict::Conflict(in_force) => Err(publications.conflict(record.base, *in_force)),
        Verdict::Invalid(reason) => Err(CommandError::Refused(reason.clone())),
    })
}

fn not_seen(
    may_be_taken: bool,
    failure: Option<ClientError>,
    record: &ConfigRecord,
) -> CommandError {
    match failure {
        Some(error) if !may_be_taken => CommandError::from_log(error),
        _ => CommandError::AppendUnknown { publication_id: record.publication_id.clone() },
    }
}
