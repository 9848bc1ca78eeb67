//! Finds kept blocks again by their names, when a prompt's home is new.

use crate::chain::block_name;
use crate::index::ChainView;
use crate::rendezvous;
use protocol::ids::{ChainKey, HostName};
use std::collections::BTreeMap;

/// The number of store hosts of a piece's ranking that are asked.
const ASKED_STORES: usize = 2;

/// Names one block that may be kept on a store host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BlockLookup {
    /// The piece.
    pub key: ChainKey,
    /// The block's name.
    pub name: String,
}

/// Lists for each store host the blocks to ask for: those of pieces without a known block, at the
/// first two store hosts of the piece's ranking.
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
        for store in rendezvous::stores_for_block(key, live_stores).into_iter().take(ASKED_STORES) {
            let block = BlockLookup { key: *key, name: block_name(key) };
            lookups.entry(store.clone()).or_default().push(block);
        }
    }
    lookups
}
