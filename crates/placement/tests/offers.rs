//! The choice between the offers of regions.

use placement::offers::{Offer, best};

const TEXT_BYTES: u64 = 60_000;

fn offer(first_token_ms: u64, reusable_blocks: usize, crosses_link: bool) -> Offer {
    Offer { first_token_ms, reusable_blocks, crosses_link }
}

#[test]
fn a_prompt_moves_to_its_kept_work() {
    let offers = [offer(750, 2, false), offer(250, 7, true)];
    assert_eq!(best(&offers, TEXT_BYTES), Some(1));
}

#[test]
fn a_gain_that_is_less_than_the_links_price_leaves_the_prompt_where_it_is() {
    let offers = [offer(300, 2, false), offer(250, 7, true)];
    assert_eq!(best(&offers, TEXT_BYTES), Some(0));
}

#[test]
fn a_new_prompt_stays_in_its_region_through_a_short_wait() {
    let offers = [offer(750, 2, false), offer(450, 2, true)];
    assert_eq!(best(&offers, TEXT_BYTES), Some(0));
}

#[test]
fn a_new_prompt_moves_when_the_wait_is_long_or_no_near_server_is_left() {
    let (local, far) = (offer(3_000, 2, false), offer(450, 2, true));
    assert_eq!(best(&[local, far], TEXT_BYTES), Some(1));
    assert_eq!(best(&[far], TEXT_BYTES), Some(0));
    assert_eq!(best(&[], TEXT_BYTES), None);
}
