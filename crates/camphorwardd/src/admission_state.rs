//! State that admission decides from: fair shares by service and retry budgets.

use admission::gate::Gate;
use admission::retry_budget::RetryBudgets;
use protocol::ids::ServiceName;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};

/// The tables that admission decides from.
#[derive(Debug, Default)]
pub(crate) struct AdmissionState {
    pub(crate) budgets: RetryBudgets,
    gates: Mutex<HashMap<ServiceName, Arc<Gate>>>,
}

impl AdmissionState {
    /// Creates empty tables.
    pub(crate) fn new() -> Self {
        Self::default()
    }

    /// Returns the gate of a service.
    pub(crate) fn gate(&self, service: &ServiceName) -> Arc<Gate> {
        let mut gates = self.gates.lock().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(gates.entry(service.clone()).or_default())
    }
}
