//! The operators' records: configurations and named weights.

use crate::event;
use crate::node::{InForce, Node};
use crate::store::{StoreClient, StoreError};
use dispatch::rollout::TargetVersions;
use platform::configuration::{read_configuration, read_weights};
use platform::frames::{KeyedRecord, read_keyed};
use platform::store::{CONFIGURATION_KEY, OPERATOR_TOPIC, WEIGHTS_KEY_PREFIX};

/// Where the next read goes on; `None` before the first listing.
#[derive(Debug, Default)]
pub struct OperatorRecords {
    next: Option<u64>,
}

impl OperatorRecords {
    /// Reads new records, or lists the newest ones first.
    ///
    /// # Errors
    ///
    /// Says why the store could not be read.
    pub async fn read(
        &mut self,
        node: &Node,
        store: &mut StoreClient,
        wait_ms: u64,
    ) -> Result<(), StoreError> {
        let Some(from) = self.next else {
            let newest = store.newest(OPERATOR_TOPIC).await?;
            for (record, _) in newest.records {
                apply(node, &record, "store");
            }
            self.next = Some(newest.end);
            return Ok(());
        };
        let batch = match store.read(OPERATOR_TOPIC, from, wait_ms).await {
            Err(StoreError::Deleted) => {
                self.next = None;
                return Err(StoreError::Deleted);
            }
            other => other?,
        };
        for bytes in &batch.records {
            match read_keyed(bytes) {
                Ok(record) => apply(node, &record, "store"),
                Err(error) => note_unreadable(node, "record", &error.to_string()),
            }
        }
        self.next = Some(from + batch.records.len() as u64);
        Ok(())
    }
}

/// Applies an operator's record; what cannot be read leaves the old state in force.
pub fn apply(node: &Node, record: &KeyedRecord, source: &str) {
    let Some(value) = &record.value else { return };
    if record.key == CONFIGURATION_KEY {
        apply_configuration(node, value, source);
    } else if record.key.starts_with(WEIGHTS_KEY_PREFIX) {
        apply_weights(node, value, source);
    }
}

fn apply_configuration(node: &Node, value: &[u8], source: &str) {
    let configuration = match read_configuration(value) {
        Ok(configuration) => configuration,
        Err(error) => return note_unreadable(node, CONFIGURATION_KEY, &error.to_string()),
    };
    let version = configuration.version.value();
    let old = node.in_force().map(|held| held.configuration.version.value());
    let routes = configuration.routes.len();
    let stores: Vec<String> = configuration
        .block_stores()
        .map(|(_, store)| format!("{}@{}", store.address, store.domain))
        .collect();
    if node.put_in_force(InForce::new(configuration, value.to_vec())) {
        node.metrics.count("configurations", "in_force");
        event!(info, node.now_ms(), "configuration_in_force", {
            "version": version,
            "old_version": old,
            "routes": routes,
            "stores": stores,
            "source": source,
        });
    }
}

fn apply_weights(node: &Node, value: &[u8], source: &str) {
    let (model, version) = match read_weights(value) {
        Ok(named) => named,
        Err(error) => return note_unreadable(node, WEIGHTS_KEY_PREFIX, &error.to_string()),
    };
    let learnt_ms = node.now_ms();
    let mut state = node.state();
    let old = state.weights.get(&model).and_then(TargetVersions::newest);
    if !state.note_weights(model.clone(), version, learnt_ms) {
        return;
    }
    drop(state);
    node.weights_changed.notify_one();
    event!(info, learnt_ms, "weights_named", {
        "model": model.as_str(),
        "version": version,
        "old_version": old,
        "source": source,
    });
}

fn note_unreadable(node: &Node, what: &str, error: &str) {
    node.metrics.count("unreadable_records", what);
    event!(warn, node.now_ms(), "record_unreadable", { "record": what, "error": error });
}
