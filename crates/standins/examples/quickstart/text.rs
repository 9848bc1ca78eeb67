//! Prompt text of a given size.

use clients::wire::engine::TEXT_BYTES_PER_TOKEN;
use rand::Rng;
use rand::rngs::SmallRng;

const LETTERS: &[u8; 26] = b"abcdefghijklmnopqrstuvwxyz";

/// Returns text of some tokens, each three letters and a blank.
pub fn text(random: &mut SmallRng, tokens: u64) -> String {
    let mut text = String::with_capacity(tokens as usize * TEXT_BYTES_PER_TOKEN);
    for _ in 0..tokens {
        for _ in 1..TEXT_BYTES_PER_TOKEN {
            text.push(char::from(LETTERS[random.random_range(0..LETTERS.len())]));
        }
        text.push(' ');
    }
    text
}

/// Returns how many tokens a text counts as.
pub fn tokens(text: &str) -> u64 {
    text.len().div_ceil(TEXT_BYTES_PER_TOKEN) as u64
}
