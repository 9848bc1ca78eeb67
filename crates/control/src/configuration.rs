//! Which of the published configurations is in force.

use protocol::ids::{ConfigVersion, LogOffset};
use serde::{Deserialize, Serialize};
use settings::services::{ServicesText, VersionedServices};

/// The log's stream of configuration records.
pub const CONFIGURATION_STREAM: &str = "configuration";

/// Holds one record of the configuration stream.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ConfigRecord {
    /// The version that the operators started from.
    pub base: ConfigVersion,
    /// Tells apart two publishers of the same text.
    pub publication_id: String,
    /// The services text as written.
    pub text: String,
}

/// Says what became of one record.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// The record is in force as this version.
    Accepted(ConfigVersion),
    /// The base is not the version in force, which is named.
    Conflict(ConfigVersion),
    /// The text does not pass the check.
    Invalid(String),
}

/// Holds the configuration in force, as told by the records read so far.
#[derive(Clone, Debug, Default)]
pub struct ConfigLedger {
    in_force: VersionedServices,
    next: LogOffset,
}

impl ConfigLedger {
    /// Creates a ledger that has read nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the configuration in force; version zero before the first.
    pub fn in_force(&self) -> &VersionedServices {
        &self.in_force
    }

    /// Returns the offset of the next record to read.
    pub fn next(&self) -> LogOffset {
        self.next
    }

    /// Applies the record at an offset; every reader comes to the same verdict.
    pub fn apply(&mut self, offset: LogOffset, value: &str) -> Verdict {
        self.next = LogOffset::new(offset.value() + 1);
        match judge(self.in_force.version, value) {
            Ok(services) => self.accept(services),
            Err(verdict) => verdict,
        }
    }

    fn accept(&mut self, services: ServicesText) -> Verdict {
        let version = ConfigVersion::new(self.in_force.version.value() + 1);
        self.in_force = VersionedServices { version, services };
        Verdict::Accepted(version)
    }
}

fn judge(current: ConfigVersion, value: &str) -> Result<ServicesText, Verdict> {
    let record: ConfigRecord =
        serde_json::from_str(value).map_err(|error| Verdict::Invalid(error.to_string()))?;
    if record.base != current {
        return Err(Verdict::Conflict(current));
    }
    settings::parse_services_text(&record.text)
        .map_err(|report| Verdict::Invalid(report.to_string()))
}
