//! `camphorward show`.

use crate::connections::Connections;
use crate::console::Console;
use crate::error::CommandError;
use crate::publications::{Publication, Publications};
use argh::FromArgs;
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

/// Holds one accepted text.
#[derive(Debug, Serialize)]
struct ShowReport {
    version: ConfigVersion,
    offset: LogOffset,
    appended_at_ms: u64,
    base: ConfigVersion,
    publication_id: String,
    text: String,
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
        let publications = Publications::read_all(connections.log()?).await?;
        let version = self.at.unwrap_or(publications.in_force());
        let report = publications.accepted_as(version).and_then(|one| new_report(version, one));
        let Some(report) = report else {
            return Err(not_there(version, publications.in_force()).into());
        };
        console.print(&report)
    }
}

fn new_report(version: ConfigVersion, publication: &Publication) -> Option<ShowReport> {
    let record = publication.record.clone()?;
    Some(ShowReport {
        version,
        offset: publication.offset,
        appended_at_ms: publication.appended_at_ms,
        base: record.base,
        publication_id: record.publication_id,
        text: record.text,
    })
}

fn not_there(version: ConfigVersion, in_force: ConfigVersion) -> CommandError {
    let message = match in_force.value() {
        0 => "no configuration has been accepted yet".to_owned(),
        _ => format!("there is no version {version}; version {in_force} is in force"),
    };
    CommandError::NotThere(message)
}
