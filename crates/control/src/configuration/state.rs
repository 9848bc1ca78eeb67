//! The configuration in force on a node, from the log and from peers.

use super::ledger::ConfigLedger;
use super::reader::{ConfigReader, JudgedRecord, ReadRequest, StreamPage};
use protocol::ids::{ConfigVersion, LogOffset};
use protocol::message::configuration::{ConfigRelay, ConfigRequest};
use settings::problem::Report;
use settings::services::VersionedServices;
use std::sync::Arc;
use thiserror::Error;

/// The configuration in force with its text.
#[derive(Clone, Debug, PartialEq)]
pub struct InForce {
    /// The version and the parsed text.
    pub services: VersionedServices,
    /// The text as published.
    pub text: String,
}

/// The reason why a node has no configuration.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum NotReady {
    /// Neither the log nor a peer has answered.
    #[error("neither the log nor any peer has provided a configuration yet")]
    NothingReached,
    /// The log is being read.
    #[error("the configuration is still being read from the log")]
    Reading,
    /// The log was read to its end and holds no accepted configuration.
    #[error("no configuration has been published yet")]
    NothingPublished,
    /// Records that determine the configuration in force have expired from the log.
    #[error(
        "the log starts at offset {0}, no snapshot covers what came before, and no peer has the configuration"
    )]
    LogIncomplete(LogOffset),
}

/// A relayed configuration that was rejected because its text is invalid.
#[derive(Clone, Debug, Error, PartialEq)]
#[error("version {version} relayed by a peer does not pass the check: {report}")]
pub struct RelayError {
    /// The version.
    pub version: ConfigVersion,
    /// The problems of its text.
    pub report: Report,
}

/// The configuration of the highest version that a node has received; the version never decreases.
#[derive(Clone, Debug, Default)]
pub struct Configuration {
    reader: ConfigReader,
    in_force: Option<Arc<InForce>>,
    log_reached: bool,
}

impl Configuration {
    /// Creates the state of a node that has just started.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the configuration in force.
    ///
    /// # Errors
    ///
    /// Returns the reason if there is none.
    pub fn in_force(&self) -> Result<&Arc<InForce>, NotReady> {
        self.in_force.as_ref().ok_or_else(|| self.not_ready())
    }

    /// Returns the version in force; zero for none.
    pub fn version(&self) -> ConfigVersion {
        self.in_force.as_ref().map_or(ConfigVersion::default(), |found| found.services.version)
    }

    /// Returns the next read request for the log.
    pub fn next_read(&self) -> ReadRequest {
        self.reader.next_read()
    }

    /// Returns the ledger from which snapshots are written.
    pub fn ledger(&self) -> Option<&ConfigLedger> {
        self.reader.ledger()
    }

    /// Applies the log's answer to [`Configuration::next_read`]; returns the verdicts.
    pub fn take_page(&mut self, request: ReadRequest, page: &StreamPage) -> Vec<JudgedRecord> {
        self.log_reached = true;
        let judged = self.reader.take_page(request, page);
        if let Some(ledger) = self.reader.ledger() {
            let version = ledger.in_force().version;
            let services = || ledger.in_force().clone();
            let text = || ledger.text().to_owned();
            self.in_force = later_of(self.in_force.take(), version, services, text);
        }
        judged
    }

    /// Applies a configuration relayed by a peer; returns whether it is in force now.
    ///
    /// # Errors
    ///
    /// Returns the problems of a later version whose text is invalid.
    pub fn take_relay(&mut self, relay: &ConfigRelay) -> Result<bool, RelayError> {
        if relay.version <= self.version() {
            return Ok(false);
        }
        let services = settings::parse_services_text(&relay.text)
            .map_err(|report| RelayError { version: relay.version, report })?;
        let services = VersionedServices { version: relay.version, services };
        self.in_force = Some(Arc::new(InForce { services, text: relay.text.clone() }));
        Ok(true)
    }

    /// Answers a peer's request for the configuration in force.
    pub fn answer(&self, request: ConfigRequest) -> ConfigRelay {
        let later = self.in_force.as_ref().filter(|found| found.services.version > request.known);
        let text = later.map_or(String::new(), |found| found.text.clone());
        ConfigRelay { version: self.version(), text }
    }

    fn not_ready(&self) -> NotReady {
        if let Some(first_retained) = self.reader.gap_from() {
            return NotReady::LogIncomplete(first_retained);
        }
        match (self.log_reached, self.reader.is_caught_up()) {
            (false, _) => NotReady::NothingReached,
            (true, false) => NotReady::Reading,
            (true, true) => NotReady::NothingPublished,
        }
    }
}

/// Returns the later of the configuration in force and that of the ledger.
fn later_of(
    current: Option<Arc<InForce>>,
    version: ConfigVersion,
    services: impl FnOnce() -> VersionedServices,
    text: impl FnOnce() -> String,
) -> Option<Arc<InForce>> {
    let current_version =
        current.as_ref().map_or(ConfigVersion::default(), |found| found.services.version);
    if version <= current_version {
        return current;
    }
    Some(Arc::new(InForce { services: services(), text: text() }))
}
