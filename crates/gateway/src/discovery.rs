//! Making this gateway known in the store, and learning of the others.

use crate::event;
use crate::gateways::GatewayRecord;
use crate::node::Node;
use crate::peers;
use crate::store::{StoreClient, StoreError};
use platform::store::GATEWAY_TOPIC;
use std::sync::Arc;
use std::time::Duration;

/// When the others are listed again after the start: all gateways of an installation start within
/// a fraction of a second.
const SECOND_LISTING: Duration = Duration::from_secs(2);
/// How often they are listed later; every listing costs a call.
const LIST_EVERY: Duration = Duration::from_secs(20);
/// How often this gateway writes its record again, in listings.
const WRITE_EVERY_LISTINGS: u32 = 3;
/// After how many listings without a new record a gateway is forgotten.
pub const FORGOTTEN_AFTER_LISTINGS: u32 = 10;
/// The pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(700);

/// Keeps this gateway's record and the table of the others up to date.
pub async fn run(node: Arc<Node>) {
    let Some(own) = node.settings.listen.peers else { return };
    let mut store = StoreClient::new(node.settings.store.address, Arc::clone(&node.metrics));
    let record = GatewayRecord {
        host: node.settings.host.clone(),
        failure_domain: node.settings.failure_domain.clone(),
        peers: own,
        life: node.life,
    };
    let mut listings: u32 = 0;
    loop {
        let must_write = listings.is_multiple_of(WRITE_EVERY_LISTINGS);
        let result = match must_write {
            true => write_and_list(&node, &mut store, &record).await,
            false => list(&node, &mut store).await,
        };
        if let Err(error) = result {
            event!(debug, node.now_ms(), "gateways_not_listed", { "error": error.to_string() });
            tokio::time::sleep(RETRY_PAUSE).await;
            continue;
        }
        let pause = if listings == 0 { SECOND_LISTING } else { LIST_EVERY };
        listings = listings.wrapping_add(1);
        tokio::time::sleep(pause).await;
    }
}

async fn write_and_list(
    node: &Node,
    store: &mut StoreClient,
    record: &GatewayRecord,
) -> Result<(), StoreError> {
    let value = peers::encode(record);
    store.append(GATEWAY_TOPIC, record.host.as_str(), &value, None).await?;
    list(node, store).await
}

async fn list(node: &Node, store: &mut StoreClient) -> Result<(), StoreError> {
    let newest = store.newest(GATEWAY_TOPIC).await?;
    let records = newest.records.into_iter().filter_map(|(record, offset)| {
        let gateway = peers::decode::<GatewayRecord>(record.value.as_deref()?)?;
        Some((gateway, offset))
    });
    let records: Vec<(GatewayRecord, u64)> = records.collect();
    let mut state = node.state();
    let before = state.gateways.count();
    state.gateways.replace_listed(records, FORGOTTEN_AFTER_LISTINGS);
    let count = state.gateways.count();
    drop(state);
    if count != before {
        event!(info, node.now_ms(), "gateways_listed", { "count": count, "before": before });
    }
    Ok(())
}
