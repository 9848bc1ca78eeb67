//! Rendezvous hashing: every node picks the same winner for a key without coordination.

use protocol::ids::{ChainKey, HostName};

/// Returns the weight of a candidate for a key; the highest weight wins.
pub fn weight(key: &[u8], candidate: &[u8]) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&(key.len() as u64).to_le_bytes());
    hasher.update(key);
    hasher.update(candidate);
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(bytes)
}

/// Returns the candidate with the highest weight; `None` if there are no candidates.
pub fn winner<I>(key: &[u8], candidates: I, id: impl Fn(&I::Item) -> &[u8]) -> Option<I::Item>
where
    I: IntoIterator,
{
    candidates.into_iter().max_by_key(|candidate| weight(key, id(candidate)))
}

/// Returns all candidates in descending order of weight.
pub fn ranking<I>(key: &[u8], candidates: I, id: impl Fn(&I::Item) -> &[u8]) -> Vec<I::Item>
where
    I: IntoIterator,
{
    let mut ranked: Vec<(u64, I::Item)> =
        candidates.into_iter().map(|item| (weight(key, id(&item)), item)).collect();
    ranked.sort_by_key(|(weight, _)| std::cmp::Reverse(*weight));
    ranked.into_iter().map(|(_, item)| item).collect()
}

/// Returns the home of a key: the host with the highest weight.
pub fn home<'a>(key: &[u8], hosts: impl IntoIterator<Item = &'a HostName>) -> Option<&'a HostName> {
    winner(key, hosts, |host| host.as_str().as_bytes())
}

/// Returns the store hosts in a block's rendezvous ranking, the preferred one first.
pub fn stores_for_block<'a>(
    key: &ChainKey,
    live_stores: impl IntoIterator<Item = &'a HostName>,
) -> Vec<&'a HostName> {
    ranking(key.as_bytes(), live_stores, |host| host.as_str().as_bytes())
}
