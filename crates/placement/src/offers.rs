//! Choice between the servers that the homes of several regions offer for one prompt.

use crate::choice::link_price_ms;

/// How often a prompt that is new to all regions counts as returning to where it is computed.
const EXPECTED_RETURNS: f64 = 4.0;

/// Describes the server that one region's home offers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Offer {
    /// The expected time to the first token.
    pub first_token_ms: u64,
    /// The leading pieces that need not be computed.
    pub reusable_blocks: usize,
    /// Whether the prompt crosses the link between regions.
    pub crosses_link: bool,
}

/// Returns the place of the best offer: the soonest first token, where the link counts by volume.
///
/// A prompt of which a far region knows no more than the own one stays, unless the wait here
/// outweighs its way over the link now and on its expected returns.
pub fn best(offers: &[Offer], text_bytes: u64) -> Option<usize> {
    let near = offers.iter().filter(|offer| !offer.crosses_link);
    let near_pieces = near.map(|offer| offer.reusable_blocks).max().unwrap_or_default();
    let total_ms = |offer: &Offer| {
        let ways = match (offer.crosses_link, offer.reusable_blocks > near_pieces) {
            (false, _) => 0.0,
            (true, true) => 1.0,
            (true, false) => 1.0 + EXPECTED_RETURNS,
        };
        offer.first_token_ms as f64 + ways * link_price_ms(text_bytes)
    };
    let totals = offers.iter().map(total_ms).enumerate();
    totals.min_by(|(_, a_ms), (_, b_ms)| a_ms.total_cmp(b_ms)).map(|(place, _)| place)
}
