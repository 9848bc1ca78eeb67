//! Random prompt text of a given size.

use clients::wire::engine::TEXT_BYTES_PER_TOKEN;
use rand::Rng;
use rand::rngs::SmallRng;

const LETTERS: &[u8; 26] = b"abcdefghijklmnopqrstuvwxyz";

/// Returns random text of a number of tokens, each of three letters and a space.
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

/// Returns the number of tokens in a text.
pub fn tokens(text: &str) -> u64 {
    text.len().div_ceil(TEXT_BYTES_PER_TOKEN) as u64
}
