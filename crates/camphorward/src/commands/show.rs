//! `camphorward show`.

use crate::connections::Connections;
use crate::console::Console;
use crate::error::CommandError;
use crate::publications::{Extent, Publication, Publications};
use argh::FromArgs;
use control::configuration::ConfigRecord;
use protocol::ids::{ConfigVersion, LogOffset};
use serde::Serialize;
use std::fmt;

/// Shows the services text in force, or that of an earlier version.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "show")]
pub(crate) struct Show {
    /// version to show; the one in force if not given
    #[argh(option, arg_name = "N")]
    at: Option<ConfigVersion>,
}

/// An accepted text.
#[derive(Debug, Serialize)]
struct ShowReport {
    version: ConfigVersion,
    text: String,
    /// The record, if the log still retains it.
    record: Option<ShownRecord>,
}

/// The record of an accepted text.
#[derive(Debug, Serialize)]
struct ShownRecord {
    offset: LogOffset,
    appended_at_ms: u64,
    base: ConfigVersion,
    publication_id: String,
}

impl fmt::Display for ShowReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.text)
    }
}

impl Show {
    pub(crate) async fn run(
        self,
        connections: &Connections,
        console: &mut Console<'_>,
    ) -> eyre::Result<()> {
        let extent = if self.at.is_some() { Extent::All } else { Extent::Newest };
        let publications = Publications::read(connections.log()?, extent).await?;
        let version = self.at.unwrap_or(publications.in_force());
        let Some(report) = find(&publications, version) else {
            return Err(not_found(version, publications.in_force()).into());
        };
        console.print(&report)
    }
}

fn find(publications: &Publications, version: ConfigVersion) -> Option<ShowReport> {
    let accepted = publications.accepted_as(version);
    if let Some(report) = accepted.and_then(|publication| new_report(version, publication)) {
        return Some(report);
    }
    let snapshot = publications.start().filter(|snapshot| snapshot.version == version)?;
    Some(ShowReport { version, text: snapshot.text.clone(), record: None })
}

fn new_report(version: ConfigVersion, publication: &Publication) -> Option<ShowReport> {
    let ConfigRecord { base, publication_id, text } = publication.record.clone()?;
    let Publication { offset, appended_at_ms, .. } = *publication;
    let record = Some(ShownRecord { offset, appended_at_ms, base, publication_id });
    Some(ShowReport { version, text, record })
}

fn not_found(version: ConfigVersion, in_force: ConfigVersion) -> CommandError {
    let message = match in_force.value() {
        0 => "no configuration has been accepted yet".to_owned(),
        _ => format!("the log does not hold version {version}; version {in_force} is in force"),
    };
    CommandError::NotFound(message)
}
