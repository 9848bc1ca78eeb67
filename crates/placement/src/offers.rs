//! Chooses among the servers that the homes of several regions offer for one prompt.

use crate::choice::link_price_ms;

/// The expected number of returns of a prompt that has no better cached prefix in a remote region;
/// each return crosses the link again.
const EXPECTED_RETURNS: f64 = 4.0;

/// Describes the server that one region's home offers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Offer {
    /// The expected time to first token.
    pub first_token_ms: u64,
    /// The number of leading blocks that need no prefill, cached or imported.
    pub reusable_blocks: usize,
    /// Whether the prompt crosses the link between regions.
    pub crosses_link: bool,
}

/// Returns the index of the best offer: the lowest time to first token plus the link's price, which
/// is by volume.
///
/// If a remote region holds no more blocks of the prompt than the local one, the prompt stays
/// local, unless the local wait exceeds the price of the link for this request and the expected
/// returns.
pub fn best(offers: &[Offer], text_bytes: u64) -> Option<usize> {
    let local = offers.iter().filter(|offer| !offer.crosses_link);
    let local_blocks = local.map(|offer| offer.reusable_blocks).max().unwrap_or_default();
    let total_ms = |offer: &Offer| {
        let crossings = match (offer.crosses_link, offer.reusable_blocks > local_blocks) {
            (false, _) => 0.0,
            (true, true) => 1.0,
            (true, false) => 1.0 + EXPECTED_RETURNS,
        };
        offer.first_token_ms as f64 + crossings * link_price_ms(text_bytes)
    };
    let totals = offers.iter().map(total_ms).enumerate();
    totals.min_by(|(_, a_ms), (_, b_ms)| a_ms.total_cmp(b_ms)).map(|(index, _)| index)
}
