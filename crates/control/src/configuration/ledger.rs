//! The verdict on each record, which is the same for all readers.

use super::record::{ConfigRecord, ConfigSnapshot};
use protocol::ids::{ConfigVersion, LogOffset};
use settings::problem::Report;
use settings::services::{ServicesText, VersionedServices};

/// The verdict on one record.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// The record is in force as this version.
    Accepted(ConfigVersion),
    /// The record's base is not the version in force, which is given here.
    Conflict(ConfigVersion),
    /// The record or its services text is invalid, for this reason.
    Invalid(String),
}

/// The configuration in force, derived from the records read so far.
#[derive(Clone, Debug, Default)]
pub struct ConfigLedger {
    in_force: VersionedServices,
    text: String,
    next: LogOffset,
}

impl ConfigLedger {
    /// Creates a ledger before the first record.
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates a ledger after the last record that a snapshot covers.
    ///
    /// # Errors
    ///
    /// Returns the problems of an invalid services text.
    pub fn from_snapshot(snapshot: &ConfigSnapshot) -> Result<Self, Report> {
        let services = settings::parse_services_text(&snapshot.text)?;
        let in_force = VersionedServices { version: snapshot.version, services };
        Ok(Self { in_force, text: snapshot.text.clone(), next: snapshot.as_of })
    }

    /// Returns the configuration in force; version zero before the first accepted record.
    pub fn in_force(&self) -> &VersionedServices {
        &self.in_force
    }

    /// Returns the services text in force as published.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Returns the offset of the next record to read.
    pub fn next(&self) -> LogOffset {
        self.next
    }

    /// Returns a snapshot that covers all records read so far; `None` if none was accepted.
    pub fn snapshot(&self) -> Option<ConfigSnapshot> {
        let version = self.in_force.version;
        let accepted = version != ConfigVersion::default();
        accepted.then(|| ConfigSnapshot { version, text: self.text.clone(), as_of: self.next })
    }

    /// Applies the record at an offset; every reader reaches the same verdict.
    pub fn apply(&mut self, offset: LogOffset, value: &str) -> Verdict {
        self.next = LogOffset::new(offset.value() + 1);
        match judge(self.in_force.version, value) {
            Ok((services, text)) => self.accept(services, text),
            Err(verdict) => verdict,
        }
    }

    fn accept(&mut self, services: ServicesText, text: String) -> Verdict {
        let version = ConfigVersion::new(self.in_force.version.value() + 1);
        self.in_force = VersionedServices { version, services };
        self.text = text;
        Verdict::Accepted(version)
    }
}

fn judge(current: ConfigVersion, value: &str) -> Result<(ServicesText, String), Verdict> {
    let record: ConfigRecord =
        serde_json::from_str(value).map_err(|error| Verdict::Invalid(error.to_string()))?;
    if record.base != current {
        return Err(Verdict::Conflict(current));
    }
    let services = settings::parse_services_text(&record.text)
        .map_err(|report| Verdict::Invalid(report.to_string()))?;
    Ok((services, record.text))
}
