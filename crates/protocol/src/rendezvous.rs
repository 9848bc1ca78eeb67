//! Rendezvous hashing: every node that knows the same hosts picks the same ones for a key.

use crate::ids::HostName;
use smallvec::SmallVec;

/// The most hosts that a caller of [`winners`] usually asks for.
const USUAL_WINNERS: usize = 4;

/// Returns a 64-bit digest of a name or key.
pub fn digest(bytes: &[u8]) -> u64 {
    let hash = blake3::hash(bytes);
    let mut first = [0; 8];
    first.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(first)
}

/// Returns the weight of a host for a key, from both digests.
pub const fn weight(key: u64, host: u64) -> u64 {
    mix(host ^ mix(key))
}

/// Returns a number whose bits all depend on all bits of another.
pub const fn mix(value: u64) -> u64 {
    let mut z = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// Returns up to `count` hosts of greatest weight for a key, greatest first.
pub fn winners<'a, I>(key: u64, count: usize, hosts: I) -> SmallVec<[&'a HostName; USUAL_WINNERS]>
where
    I: IntoIterator<Item = (&'a HostName, u64)>,
{
    let mut best: SmallVec<[(u64, &HostName); USUAL_WINNERS]> = SmallVec::new();
    for (host, host_digest) in hosts {
        let entry = (weight(key, host_digest), host);
        let place = best.partition_point(|kept| *kept > entry);
        if place < count {
            best.insert(place, entry);
            best.truncate(count);
        }
    }
    best.into_iter().map(|(_, host)| host).collect()
}
