//! Rendezvous hashing: nodes with the same set of hosts select the same hosts for a key.

use crate::ids::HostName;
use smallvec::SmallVec;

/// The number of hosts that [`winners`] returns without a heap allocation; callers usually request
/// no more.
const INLINE_WINNERS: usize = 4;

/// Returns a 64-bit digest of a name or key.
pub fn digest(bytes: &[u8]) -> u64 {
    let hash = blake3::hash(bytes);
    let mut first = [0; 8];
    first.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(first)
}

/// Returns the weight of a host for a key, computed from both digests.
pub const fn weight(key: u64, host: u64) -> u64 {
    mix(host ^ mix(key))
}

/// Mixes a number so that each bit of the result depends on all bits of the input.
pub const fn mix(value: u64) -> u64 {
    let mut z = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// Returns up to `count` hosts with the highest weights for a key, in descending order.
pub fn winners<'a, I>(key: u64, count: usize, hosts: I) -> SmallVec<[&'a HostName; INLINE_WINNERS]>
where
    I: IntoIterator<Item = (&'a HostName, u64)>,
{
    let mut best: SmallVec<[(u64, &HostName); INLINE_WINNERS]> = SmallVec::new();
    for (host, host_digest) in hosts {
        let entry = (weight(key, host_digest), host);
        let position = best.partition_point(|other| *other > entry);
        if position < count {
            best.insert(position, entry);
            best.truncate(count);
        }
    }
    best.into_iter().map(|(_, host)| host).collect()
}
