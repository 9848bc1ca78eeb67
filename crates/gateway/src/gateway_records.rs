//! The topic of the gateways' records, which also holds what is retired: a gateway that registers
//! and then lists learns both with one call.

use crate::gateways::{Features, GatewayRecord};
use crate::peers;
use crate::store::{LogPosition, StoreClient, StoreError};
use platform::codec;
use platform::store::{GATEWAY_TOPIC, RETIREMENT_KEY};
use protocol::ids::ModelName;
use std::collections::BTreeMap;

/// The oldest weight version of each model whose cached blocks may still be used.
pub type Retired = BTreeMap<ModelName, u64>;

/// The newest records of the topic.
#[derive(Debug)]
pub struct Listing {
    /// The gateways, with the positions of their records.
    pub gateways: Vec<(GatewayRecord, Features, LogPosition)>,
    /// What is retired; `None` if the record cannot be decoded.
    pub retired: Option<Retired>,
    /// The end of the topic.
    pub end: LogPosition,
}

/// Lists the records.
///
/// # Errors
///
/// Returns an error if the listing is incomplete.
pub async fn list(store: &mut StoreClient) -> Result<Listing, StoreError> {
    let newest = store.newest(GATEWAY_TOPIC).await?;
    let mut listing =
        Listing { gateways: Vec::new(), retired: Some(Retired::new()), end: newest.end };
    for (record, offset) in newest.records {
        let Some(value) = record.value.as_deref() else { continue };
        if record.key == RETIREMENT_KEY {
            listing.retired = codec::decode("retired blocks", value).ok();
        } else if let Some((gateway, features)) = peers::decode_with(value) {
            let position = LogPosition { offset, ..newest.end };
            listing.gateways.push((gateway, features, position));
        }
    }
    Ok(listing)
}

/// Writes what is retired at the end of a listing.
///
/// # Errors
///
/// Returns [`StoreError::Conflict`] if another record was appended since the listing.
pub async fn write_retired(
    store: &mut StoreClient,
    retired: &Retired,
    end: LogPosition,
) -> Result<(), StoreError> {
    let value = codec::encode(retired);
    store.append(GATEWAY_TOPIC, RETIREMENT_KEY, &value, Some(end)).await?;
    Ok(())
}
