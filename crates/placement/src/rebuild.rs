//! Rebuilds index rows on a new home by looking up blocks on store hosts by their names.

use crate::chain::block_name;
use crate::index::ChainView;
use crate::rendezvous;
use protocol::ids::{ChainKey, HostName};
use std::collections::BTreeMap;

/// The number of store hosts in a block's rendezvous ranking that are queried.
const QUERIED_STORES: usize = 2;

/// Names one block that a store host may hold.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BlockLookup {
    /// The key of the block's segment.
    pub key: ChainKey,
    /// The block's name.
    pub name: String,
}

/// Lists the blocks to look up on each store host.
///
/// Each segment without an importable block in the view is looked up on the first two store hosts
/// of the block's rendezvous ranking.
pub fn lookups(
    chain: &[ChainKey],
    view: &ChainView,
    live_stores: &[HostName],
) -> BTreeMap<HostName, Vec<BlockLookup>> {
    let mut lookups: BTreeMap<HostName, Vec<BlockLookup>> = BTreeMap::new();
    for (position, key) in chain.iter().enumerate() {
        if view.importable.get(position).is_some_and(|copies| !copies.is_empty()) {
            continue;
        }
        for store in rendezvous::stores_for_block(key, live_stores).into_iter().take(QUERIED_STORES)
        {
            let block = BlockLookup { key: *key, name: block_name(key) };
            lookups.entry(store.clone()).or_default().push(block);
        }
    }
    lookups
}
