//! The operators' records: configurations, target weight versions and evacuations.

use crate::cold;
use crate::evacuations;
use crate::event;
use crate::node::{InForce, Node};
use crate::routing_state::Found;
use crate::store::{LogPosition, StoreClient, StoreError};
use crate::target_weights;
use crate::unreadable;
use dispatch::blocks::DedicatedOrganisations;
use dispatch::era::StoreEra;
use platform::configuration::{decode_configuration, decode_weights};
use platform::frames::{KeyedRecord, decode_keyed};
use platform::store::{CONFIGURATION_KEY, OPERATOR_TOPIC, WEIGHTS_KEY_PREFIX};

/// How long the store takes to answer, and the answer is on its way, in milliseconds.
const MAX_ANSWER_MS: u64 = 250;

/// The position of the next read; `None` before the first listing.
#[derive(Debug, Default)]
pub struct OperatorRecords {
    next: Option<LogPosition>,
    /// The era of the last listing.
    listed_era: Option<StoreEra>,
    /// Whether the last listing left out no unreadable record.
    is_listed_whole: bool,
}

impl OperatorRecords {
    /// Reads new records, or lists the newest ones first.
    ///
    /// # Errors
    ///
    /// Returns an error if the store cannot be read or has deleted the records.
    pub async fn read(
        &mut self,
        node: &Node,
        store: &mut StoreClient,
        wait_ms: u64,
    ) -> Result<(), StoreError> {
        let era = node.eras().current();
        let asked_ms = node.now_ms();
        let Some(from) = self.next.filter(|from| from.era == era) else {
            let newest = store.newest(OPERATOR_TOPIC).await?;
            let was_listed_in = self.listed_era.replace(newest.end.era);
            if was_listed_in.is_some_and(|listed| listed < newest.end.era) {
                node.record_read_again(OPERATOR_TOPIC, newest.end.era, newest.records.len());
            }
            // The evacuations come first, so that no configuration is in force without them.
            evacuations::list(node, &newest);
            self.is_listed_whole = newest.is_complete;
            for (record, _) in newest.records {
                apply(node, &record, Found::Listed, "store");
            }
            target_weights::record_complete(node, asked_ms);
            self.next = Some(newest.end);
            return Ok(());
        };
        let batch = match store.read(OPERATOR_TOPIC, from, wait_ms).await {
            Err(error @ (StoreError::Deleted | StoreError::EraChanged)) => {
                self.next = None;
                return Err(error);
            }
            other => other?,
        };
        // A record that is there is sent at once, so one that took longer was not there before.
        let sent_ms =
            node.suspensions.written_since_ms(node.now_ms()).saturating_sub(MAX_ANSWER_MS);
        let not_before_ms = (sent_ms > asked_ms).then_some(sent_ms);
        for (offset, bytes) in (from.offset..).zip(&batch.records) {
            match decode_keyed(bytes) {
                Ok(record) => {
                    evacuations::record(node, &record, LogPosition { offset, ..from });
                    apply(node, &record, Found::Appended { not_before_ms }, "store");
                }
                Err(error) => unreadable::report(node, "record", "", &error),
            }
        }
        let next = from.offset + batch.records.len() as u64;
        if self.is_listed_whole {
            evacuations::record_read(node, LogPosition { offset: next, ..from });
        }
        if next >= batch.end {
            target_weights::record_complete(node, sent_ms.max(asked_ms));
        }
        self.next = Some(LogPosition { offset: next, ..from });
        Ok(())
    }
}

/// Applies an operator's record; one that cannot be decoded leaves the old state in force.
pub fn apply(node: &Node, record: &KeyedRecord, found: Found, source: &str) {
    let Some(value) = &record.value else { return };
    if record.key == CONFIGURATION_KEY {
        apply_configuration(node, value, source);
    } else if record.key.starts_with(WEIGHTS_KEY_PREFIX) {
        apply_weights(node, &record.key, value, found, source);
    }
}

fn apply_configuration(node: &Node, value: &[u8], source: &str) {
    let configuration = match decode_configuration(value) {
        Ok(configuration) => configuration,
        Err(error) => {
            return unreadable::report(node, CONFIGURATION_KEY, CONFIGURATION_KEY, &error);
        }
    };
    let version = configuration.version.value();
    let old = node.in_force();
    let old_version = old.as_ref().map(|held| held.configuration.version.value());
    let routes = configuration.routes.len();
    let stores: Vec<String> = configuration
        .block_stores()
        .map(|(_, store)| format!("{}@{}", store.address, store.domain))
        .collect();
    let in_force = InForce::new(configuration, value.to_vec());
    if node.put_in_force(in_force) {
        if let Some(held) = node.in_force() {
            cold::configure(node, &held.configuration);
            report_dedicated(node, old.as_deref(), &held);
        }
        node.metrics.count("configurations", "in_force");
        event!(info, node.now_ms(), "configuration_in_force", {
            "version": version,
            "old_version": old_version,
            "routes": routes,
            "stores": stores,
            "source": source,
        });
    }
}

/// Reports a change of the organisations that share no cached blocks. The others share them under
/// another salt from then on, where nothing is cached unless the same organisations were dedicated
/// before.
fn report_dedicated(node: &Node, old: Option<&InForce>, new: &InForce) {
    let dedicated = &new.configuration.dedicated;
    if old.map_or(&DedicatedOrganisations::default(), |old| &old.configuration.dedicated)
        == dedicated
    {
        return;
    }
    node.metrics.count("configurations", "dedicated_changed");
    event!(info, node.now_ms(), "dedicated_organisations_changed", {
        "version": new.configuration.version.value(),
        "dedicated": dedicated.names(),
        "shared_scope": dedicated.scope(None).to_string(),
    });
}

fn apply_weights(node: &Node, key: &str, value: &[u8], found: Found, source: &str) {
    let (model, version) = match decode_weights(value) {
        Ok(target) => target,
        Err(error) => return unreadable::report(node, WEIGHTS_KEY_PREFIX, key, &error),
    };
    target_weights::record(node, &model, version, found, source);
}
