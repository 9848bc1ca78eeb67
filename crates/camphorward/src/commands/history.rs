//! `camphorward history`.

use super::format_time;
use crate::connections::Connections;
use crate::console::Console;
use crate::publications::{Extent, Publication, Publications};
use crate::table::Table;
use argh::FromArgs;
use control::configuration::{ConfigSnapshot, Verdict};
use protocol::ids::{ConfigVersion, LogOffset};
use serde::Serialize;
use std::fmt;

/// Lists all published records with their verdicts.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "history")]
pub(crate) struct History {}

/// The published records and the version in force.
#[derive(Debug, Serialize)]
struct HistoryReport {
    in_force: ConfigVersion,
    start: Option<HistoryStart>,
    records: Vec<HistoryRow>,
}

/// The version in force before the first listed record, from a snapshot.
#[derive(Debug, Serialize)]
struct HistoryStart {
    version: ConfigVersion,
    as_of: LogOffset,
}

impl HistoryStart {
    fn new(snapshot: &ConfigSnapshot) -> Self {
        Self { version: snapshot.version, as_of: snapshot.as_of }
    }
}

/// A record with its verdict.
#[derive(Debug, Serialize)]
struct HistoryRow {
    offset: LogOffset,
    appended_at_ms: u64,
    verdict: &'static str,
    version: Option<ConfigVersion>,
    base: Option<ConfigVersion>,
    publication_id: Option<String>,
    detail: Option<String>,
}

impl HistoryRow {
    fn new(publication: &Publication) -> Self {
        let record = publication.record.as_ref();
        let (verdict, version, detail) = match &publication.verdict {
            Verdict::Accepted(version) => ("accepted", Some(*version), None),
            Verdict::Conflict(current) => {
                ("conflict", None, Some(format!("version {current} was in force")))
            }
            Verdict::Invalid(reason) => ("invalid", None, Some(reason.clone())),
        };
        Self {
            offset: publication.offset,
            appended_at_ms: publication.appended_at_ms,
            verdict,
            version,
            base: record.map(|record| record.base),
            publication_id: record.map(|record| record.publication_id.clone()),
            detail,
        }
    }

    fn cells(&self) -> Vec<String> {
        let or_dash = |text: Option<String>| text.unwrap_or_else(|| "-".to_owned());
        let detail = self.detail.as_deref().unwrap_or_default();
        vec![
            self.offset.to_string(),
            format_time(self.appended_at_ms),
            or_dash(self.base.map(|base| base.to_string())),
            self.verdict.to_owned(),
            or_dash(self.version.map(|version| version.to_string())),
            or_dash(self.publication_id.clone()),
            detail.lines().next().unwrap_or_default().to_owned(),
        ]
    }
}

impl fmt::Display for HistoryReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(HistoryStart { version, as_of }) = &self.start {
            writeln!(
                f,
                "version {version} was in force before offset {as_of}, according to a snapshot\n"
            )?;
        }
        let headers = ["OFFSET", "APPENDED", "BASE", "VERDICT", "VERSION", "PUBLICATION", "DETAIL"];
        let mut table = Table::new(&headers);
        self.records.iter().for_each(|row| table.push(row.cells()));
        table.fmt(f)
    }
}

impl History {
    pub(crate) async fn run(
        self,
        connections: &Connections,
        console: &mut Console<'_>,
    ) -> eyre::Result<()> {
        let publications = Publications::read(connections.log()?, Extent::All).await?;
        let records = publications.all().iter().map(HistoryRow::new).collect();
        let start = publications.start().map(HistoryStart::new);
        console.print(&HistoryReport { in_force: publications.in_force(), start, records })
    }
}
