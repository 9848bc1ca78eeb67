//! `camphorward check --kind configuration`.

use super::{Check, Kind, read_bytes, store};
use crate::console::Console;
use crate::error::CommandError;
use dispatch::configuration_check::{
    Change, Difference, Finding, Severity, Surroundings, check, differences,
};
use platform::configuration_file::{self, ConfigurationFile};
use protocol::ids::Region;
use serde::Serialize;
use std::collections::BTreeSet;
use std::fmt;

/// The report on a configuration that can be read.
#[derive(Debug, Serialize)]
struct ConfigurationReport {
    ok: bool,
    file: String,
    kind: Kind,
    version: u64,
    findings: Vec<FindingRow>,
    /// Fields that have no effect.
    unused_fields: BTreeSet<String>,
    /// The version in force; absent if there is none to compare with.
    #[serde(skip_serializing_if = "Option::is_none")]
    in_force: Option<u64>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    differences: Vec<DifferenceRow>,
}

#[derive(Debug, Serialize)]
struct FindingRow {
    severity: &'static str,
    place: String,
    problem: String,
}

#[derive(Debug, Serialize)]
struct DifferenceRow {
    place: String,
    change: String,
}

impl FindingRow {
    fn new(finding: &Finding) -> Self {
        Self {
            severity: finding.problem.severity().as_str(),
            place: finding.place.to_string(),
            problem: finding.problem.to_string(),
        }
    }
}

impl DifferenceRow {
    fn new(difference: &Difference) -> Self {
        let change = match &difference.change {
            Change::Added => "added".to_owned(),
            Change::Removed => "removed".to_owned(),
            Change::Field { name, before, after } => format!("{name}: {before} -> {after}"),
            Change::Keys { added, removed } => format!("keys: {added} added, {removed} removed"),
        };
        Self { place: difference.place.to_string(), change }
    }
}

impl fmt::Display for ConfigurationReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let verdict = if self.ok { "is valid" } else { "is not valid" };
        writeln!(f, "{} {verdict}: configuration version {}", self.file, self.version)?;
        for FindingRow { severity, place, problem } in &self.findings {
            writeln!(f, "{severity}: {place}: {problem}")?;
        }
        for field in &self.unused_fields {
            writeln!(f, "unused field: {field}")?;
        }
        let Some(in_force) = self.in_force else { return Ok(()) };
        if self.differences.is_empty() {
            return writeln!(f, "no difference from version {in_force}, which is in force");
        }
        writeln!(f, "differences from version {in_force}, which is in force:")?;
        for DifferenceRow { place, change } in &self.differences {
            writeln!(f, "  {place}: {change}")?;
        }
        Ok(())
    }
}

impl Check {
    pub(super) async fn check_configuration(
        self,
        bytes: &[u8],
        console: &mut Console<'_>,
    ) -> eyre::Result<()> {
        let regions = self.regions.as_deref().map(parse_regions).transpose()?;
        let new = decode(&self.file, bytes)?;
        let in_force = self.read_in_force().await?;
        let in_force = in_force.as_ref().map(|file| &file.written);
        let surroundings = Surroundings { in_force, regions: regions.as_ref() };
        let findings = check(&new.written, &surroundings);
        let is_error =
            |finding: &&Finding| self.strict || finding.problem.severity() == Severity::Error;
        let errors = findings.iter().filter(is_error).count();
        let different = in_force.map(|in_force| differences(&new.written, in_force));
        let report = ConfigurationReport {
            ok: errors == 0,
            file: self.file.clone(),
            kind: Kind::Configuration,
            version: new.written.version.value(),
            findings: findings.iter().map(FindingRow::new).collect(),
            unused_fields: new.unused_fields,
            in_force: in_force.map(|in_force| in_force.version.value()),
            differences: different.iter().flatten().map(DifferenceRow::new).collect(),
        };
        console.print(&report)?;
        if errors > 0 {
            return Err(CommandError::InvalidConfiguration { file: self.file, errors }.into());
        }
        Ok(())
    }

    /// Reads the configuration in force; `None` if none was asked for or the store has none.
    async fn read_in_force(&self) -> Result<Option<ConfigurationFile>, CommandError> {
        match (&self.in_force, &self.store) {
            (Some(_), Some(_)) => {
                Err(CommandError::Usage("use --in-force or --store, not both".to_owned()))
            }
            (Some(file), None) => decode(file, &read_bytes(file)?).map(Some),
            (None, Some(address)) => {
                let address = address.parse().map_err(|_| {
                    CommandError::Usage(format!("{address} is no address of the form IP:PORT"))
                })?;
                let record = store::read_configuration(address).await?;
                let decoded = record.map(|record| configuration_file::decode_record(&record));
                decoded
                    .transpose()
                    .map_err(|error| CommandError::Store { address, reason: error.to_string() })
            }
            (None, None) => Ok(None),
        }
    }
}

/// Decodes a file: JSON with comments, or the bytes of a record.
fn decode(file: &str, bytes: &[u8]) -> Result<ConfigurationFile, CommandError> {
    let malformed =
        |reason: String| CommandError::MalformedConfiguration { file: file.to_owned(), reason };
    // The record of a configuration is a map, whose first byte is no character of a JSON text.
    let is_text = bytes.first().is_some_and(u8::is_ascii);
    if !is_text {
        return configuration_file::decode_record(bytes)
            .map_err(|error| malformed(error.to_string()));
    }
    let text = super::to_text(file, bytes)?;
    let value = settings::parse_value(text)
        .map_err(|report| CommandError::InvalidText { file: file.to_owned(), report })?;
    configuration_file::decode(&value).map_err(|error| malformed(error.to_string()))
}

fn parse_regions(text: &str) -> Result<BTreeSet<Region>, CommandError> {
    let parse = |name: &str| {
        name.trim().parse().map_err(|error| CommandError::Usage(format!("region {name}: {error}")))
    };
    text.split(',').map(parse).collect()
}
