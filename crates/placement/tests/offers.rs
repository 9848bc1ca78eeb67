//! Tests of the choice among the offers of several regions.

use placement::offers::{Offer, best};

const TEXT_BYTES: u64 = 60_000;

fn offer(first_token_ms: u64, reusable_blocks: usize, crosses_link: bool) -> Offer {
    Offer { first_token_ms, reusable_blocks, crosses_link }
}

#[test]
fn a_prompt_moves_to_its_cached_blocks() {
    let offers = [offer(750, 2, false), offer(250, 7, true)];
    assert_eq!(best(&offers, TEXT_BYTES), Some(1));
}

#[test]
fn a_prompt_stays_local_if_the_gain_is_below_the_links_price() {
    let offers = [offer(300, 2, false), offer(250, 7, true)];
    assert_eq!(best(&offers, TEXT_BYTES), Some(0));
}

#[test]
fn a_new_prompt_stays_local_despite_a_short_wait() {
    let offers = [offer(750, 2, false), offer(450, 2, true)];
    assert_eq!(best(&offers, TEXT_BYTES), Some(0));
}

#[test]
fn a_new_prompt_moves_if_the_wait_is_long_or_no_local_server_is_left() {
    let (local, remote) = (offer(3_000, 2, false), offer(450, 2, true));
    assert_eq!(best(&[local, remote], TEXT_BYTES), Some(1));
    assert_eq!(best(&[remote], TEXT_BYTES), Some(0));
    assert_eq!(best(&[], TEXT_BYTES), None);
}
