//! The configuration in force, from the log or relayed by peers.

use crate::directory::Directory;
use control::configuration::{
    ConfigSnapshot, Configuration, InForce, JudgedRecord, ReadRequest, RelayError, StreamPage,
};
use protocol::ids::ConfigVersion;
use protocol::message::configuration::{ConfigRelay, ConfigRequest};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};

/// Holds the highest configuration seen, and the lookups made from it.
#[derive(Debug, Default)]
pub(crate) struct ConfigState {
    state: Mutex<Configuration>,
    directory: RwLock<Arc<Directory>>,
}

impl ConfigState {
    /// Creates the state of a daemon that has seen no configuration.
    pub(crate) fn new() -> Self {
        Self::default()
    }

    /// Returns the lookups in the configuration in force.
    pub(crate) fn directory(&self) -> Arc<Directory> {
        Arc::clone(&self.directory.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Returns why there is no configuration, if there is none.
    pub(crate) fn missing_reason(&self) -> Option<String> {
        self.lock().in_force().err().map(|reason| reason.to_string())
    }

    /// Returns what to read next from the log.
    pub(crate) fn next_read(&self) -> ReadRequest {
        self.lock().next_read()
    }

    /// Takes in a page of the log; returns the verdicts on its records.
    pub(crate) fn take_page(&self, order: ReadRequest, page: &StreamPage) -> Vec<JudgedRecord> {
        let mut state = self.lock();
        let judged = state.take_page(order, page);
        self.put_in_force(state.in_force().ok());
        judged
    }

    /// Takes in what a peer relays; returns whether it is in force now.
    ///
    /// # Errors
    ///
    /// Returns the problems of a later version whose text does not pass the check.
    pub(crate) fn take_relay(&self, relay: &ConfigRelay) -> Result<bool, RelayError> {
        let mut state = self.lock();
        let changed = state.take_relay(relay)?;
        self.put_in_force(state.in_force().ok());
        Ok(changed)
    }

    /// Answers a peer that asks for the configuration in force.
    pub(crate) fn answer(&self, ask: ConfigRequest) -> ConfigRelay {
        self.lock().answer(ask)
    }

    /// Returns the snapshot that is due by a decision on the ledger.
    pub(crate) fn due_snapshot(
        &self,
        decide: impl FnOnce(&control::configuration::ConfigLedger) -> Option<ConfigSnapshot>,
    ) -> Option<ConfigSnapshot> {
        self.lock().ledger().and_then(decide)
    }

    /// Called under the state's lock, so that a later version is never replaced by an earlier one.
    fn put_in_force(&self, in_force: Option<&Arc<InForce>>) {
        let Some(in_force) = in_force else {
            return;
        };
        if self.directory().version() < in_force.services.version {
            let directory = Arc::new(Directory::new(&in_force.services));
            *self.directory.write().unwrap_or_else(PoisonError::into_inner) = directory;
        }
    }

    /// Returns the version in force; zero for none.
    pub(crate) fn version(&self) -> ConfigVersion {
        self.directory().version()
    }

    fn lock(&self) -> MutexGuard<'_, Configuration> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
