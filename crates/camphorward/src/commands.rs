//! The commands, one per module.

mod check;
mod counters;
mod digest_key;
mod drain;
mod history;
mod publish;
mod show;
mod status;
mod why;

use crate::connections::Connections;
use crate::console::Console;
use crate::error::CommandError;
use argh::FromArgs;
use time::OffsetDateTime;
use time::format_description::well_known::Rfc3339;

/// A command with its arguments.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub(crate) enum Command {
    /// Checks a file.
    Check(check::Check),
    /// Publishes a services text.
    Publish(publish::Publish),
    /// Shows a published text.
    Show(show::Show),
    /// Lists all published records.
    History(history::History),
    /// Shows the state of the entry hosts.
    Status(status::Status),
    /// Drains an entry host.
    Drain(drain::Drain),
    /// Explains how a request was placed.
    Why(why::Why),
    /// Shows the counters.
    Counters(counters::CountersCommand),
    /// Makes the digest of a bearer key.
    DigestKey(digest_key::DigestKey),
}

/// Runs a command.
///
/// # Errors
///
/// Returns a [`CommandError`], or the error of writing the result.
pub(crate) async fn run(
    command: Command,
    connections: &Connections,
    console: &mut Console<'_>,
) -> eyre::Result<()> {
    match command {
        Command::Check(command) => command.run(console).await,
        Command::Publish(command) => command.run(connections, console).await,
        Command::Show(command) => command.run(connections, console).await,
        Command::History(command) => command.run(connections, console).await,
        Command::Status(command) => command.run(connections, console).await,
        Command::Drain(command) => command.run(connections, console).await,
        Command::Why(command) => command.run(connections, console).await,
        Command::Counters(command) => command.run(connections, console).await,
        Command::DigestKey(command) => command.run(console),
    }
}

/// Reads a file given on the command line.
///
/// # Errors
///
/// Returns [`CommandError::File`].
pub(crate) fn read_file(file: &str) -> Result<String, CommandError> {
    std::fs::read_to_string(file)
        .map_err(|error| CommandError::File { file: file.to_owned(), reason: error.to_string() })
}

/// Renders a timestamp as RFC 3339, or `-` if it is out of range.
fn format_time(since_epoch_ms: u64) -> String {
    let nanoseconds = i128::from(since_epoch_ms) * 1_000_000;
    let timestamp = OffsetDateTime::from_unix_timestamp_nanos(nanoseconds).ok();
    timestamp
        .and_then(|timestamp| timestamp.format(&Rfc3339).ok())
        .unwrap_or_else(|| "-".to_owned())
}
