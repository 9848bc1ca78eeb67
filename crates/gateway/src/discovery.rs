//! Registers this gateway in the platform's store, and lists its peers and the retired blocks.

use crate::backoff::Backoff;
use crate::event;
use crate::gateway_records;
use crate::gateways::{Features, GatewayRecord};
use crate::node::Node;
use crate::peers;
use crate::store::{StoreClient, StoreError};
use dispatch::era::StoreEra;
use platform::store::{GATEWAY_TOPIC, RETIREMENT_KEY};
use rand::Rng;
use std::sync::Arc;
use std::time::Duration;

/// The delay between the first and the second listing: all gateways of an installation start within
/// a fraction of a second, so the first listing may miss some.
const SECOND_LISTING_DELAY: Duration = Duration::from_secs(2);
/// The delay between later listings; each one costs a call.
const LISTING_INTERVAL: Duration = Duration::from_secs(20);
/// After how many listings this gateway writes its record again.
const WRITE_EVERY_LISTINGS: u32 = 3;
/// After how many listings without a new record a gateway's entry expires.
pub const EXPIRE_AFTER_LISTINGS: u32 = 10;
/// The longest delay before a gateway writes its record again after the store has returned from a
/// copy; it is random, so that the gateways do not write at once.
const MAX_REGISTRATION_DELAY_MS: u64 = 1_000;
/// The delay after a failed call, and the maximum to which it grows.
const RETRY_DELAY: Duration = Duration::from_millis(700);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(3);

/// Keeps this gateway's record and its table of peers up to date.
pub async fn run(node: Arc<Node>) {
    let Some(local_address) = node.settings.listen.peers else { return };
    let mut store = StoreClient::new(&node);
    let record = GatewayRecord {
        host: node.settings.host.clone(),
        failure_domain: node.settings.failure_domain.clone(),
        peer_address: local_address,
        incarnation: node.incarnation,
    };
    let mut listings: u32 = 0;
    let mut eras = node.watch_eras();
    let mut registered_era = None;
    let mut backoff = Backoff::new(RETRY_DELAY, MAX_RETRY_DELAY);
    loop {
        let must_write = listings.is_multiple_of(WRITE_EVERY_LISTINGS);
        let result = match must_write {
            true => write_and_list(&node, &mut store, &record).await.map(Some),
            false => list(&node, &mut store).await.map(|()| None),
        };
        if let Ok(Some(era)) = result {
            let before = registered_era.replace(era);
            if before.is_some_and(|before| before < era) {
                node.metrics.count("store_eras", "written_again");
                event!(info, node.now_ms(), "gateway_registered_again", { "era": era.value() });
            }
            // A rise is done with if this record was written after it.
            if eras.borrow_and_update().current() != era {
                eras.mark_changed();
            }
        }
        if let Err(error) = result {
            event!(debug, node.now_ms(), "gateways_not_listed", { "error": error.to_string() });
            tokio::time::sleep(backoff.record_failure()).await;
            continue;
        }
        backoff.record_success();
        let delay = if listings == 0 { SECOND_LISTING_DELAY } else { LISTING_INTERVAL };
        listings = listings.wrapping_add(1);
        if tokio::time::timeout(delay, eras.changed()).await.is_ok() {
            let delay_ms = rand::rng().random_range(0..MAX_REGISTRATION_DELAY_MS);
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
            listings = 0;
        }
    }
}

/// Writes the record and lists the gateways; returns the era in which the record was written.
async fn write_and_list(
    node: &Node,
    store: &mut StoreClient,
    record: &GatewayRecord,
) -> Result<StoreEra, StoreError> {
    let value = peers::encode_with(record, &Features::LOCAL);
    let began_ms = node.now_ms();
    let (_, era) = store.append(GATEWAY_TOPIC, record.host.as_str(), &value, None).await?;
    node.fetch_permit().record_registration(era, began_ms);
    list(node, store).await?;
    Ok(era)
}

async fn list(node: &Node, store: &mut StoreClient) -> Result<(), StoreError> {
    let began_ms = node.now_ms();
    let listing = gateway_records::list(store).await?;
    let mut state = node.state();
    let before = state.gateways.count();
    state.gateways.replace_listed(listing.gateways, EXPIRE_AFTER_LISTINGS);
    for (model, oldest_used) in listing.retired.iter().flatten() {
        state.blocks.retirements.retire(model, *oldest_used);
    }
    let count = state.gateways.count();
    drop(state);
    match listing.retired {
        Some(_) => node.fetch_permit().record_listing(listing.end.era, began_ms),
        None => node.metrics.count("unreadable_records", RETIREMENT_KEY),
    }
    if count != before {
        event!(info, node.now_ms(), "gateways_listed", { "count": count, "before": before });
    }
    Ok(())
}
