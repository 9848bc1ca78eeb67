//! The configuration in force, from the log or relayed by peers.

use crate::directory::Directory;
use control::configuration::{
    ConfigSnapshot, Configuration, InForce, JudgedRecord, ReadRequest, RelayError, StreamPage,
};
use protocol::ids::ConfigVersion;
use protocol::message::configuration::{ConfigRelay, ConfigRequest};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};

/// The highest configuration version received, with its lookup tables.
#[derive(Debug, Default)]
pub(crate) struct ConfigState {
    state: Mutex<Configuration>,
    directory: RwLock<Arc<Directory>>,
}

impl ConfigState {
    /// Creates the state of a daemon without a configuration.
    pub(crate) fn new() -> Self {
        Self::default()
    }

    /// Returns the lookup tables of the configuration in force.
    pub(crate) fn directory(&self) -> Arc<Directory> {
        Arc::clone(&self.directory.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Returns the reason why no configuration is in force, if none is.
    pub(crate) fn missing_reason(&self) -> Option<String> {
        self.lock().in_force().err().map(|reason| reason.to_string())
    }

    /// Returns the next read of the log to perform.
    pub(crate) fn next_read(&self) -> ReadRequest {
        self.lock().next_read()
    }

    /// Applies a page of the log; returns the verdicts on its records.
    pub(crate) fn take_page(&self, request: ReadRequest, page: &StreamPage) -> Vec<JudgedRecord> {
        let mut state = self.lock();
        let records = state.take_page(request, page);
        self.put_in_force(state.in_force().ok());
        records
    }

    /// Applies a configuration relayed by a peer; returns whether it is now in force.
    ///
    /// # Errors
    ///
    /// Returns the problems of a later version whose text is invalid.
    pub(crate) fn take_relay(&self, relay: &ConfigRelay) -> Result<bool, RelayError> {
        let mut state = self.lock();
        let changed = state.take_relay(relay)?;
        self.put_in_force(state.in_force().ok());
        Ok(changed)
    }

    /// Answers a peer's request for the configuration in force.
    pub(crate) fn answer(&self, request: ConfigRequest) -> ConfigRelay {
        self.lock().answer(request)
    }

    /// Returns the snapshot that is due, as `decide` determines from the ledger.
    pub(crate) fn due_snapshot(
        &self,
        decide: impl FnOnce(&control::configuration::ConfigLedger) -> Option<ConfigSnapshot>,
    ) -> Option<ConfigSnapshot> {
        self.lock().ledger().and_then(decide)
    }

    /// Updates the lookup tables. Must be called with the state locked, so that an earlier version
    /// never replaces a later one.
    fn put_in_force(&self, in_force: Option<&Arc<InForce>>) {
        let Some(in_force) = in_force else {
            return;
        };
        if self.directory().version() < in_force.services.version {
            let directory = Arc::new(Directory::new(&in_force.services));
            *self.directory.write().unwrap_or_else(PoisonError::into_inner) = directory;
        }
    }

    /// Returns the version in force, or zero if there is none.
    pub(crate) fn version(&self) -> ConfigVersion {
        self.directory().version()
    }

    fn lock(&self) -> MutexGuard<'_, Configuration> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
