//! The derivation of answers, which lets tests distinguish correct answers from wrong ones.
//!
//! An engine's state after some text depends on the weight version and every byte of the text.
//! Each token of an answer depends on the state after the complete prompt and on the token's
//! offset. An answer that was derived from a wrong state therefore differs from
//! [`expected_answer`].

use protocol::ids::WeightVersion;

/// The prime of the 128-bit FNV-1a hash.
const FNV_PRIME: u128 = 0x0000_0000_0100_0000_0000_0000_0000_013b;
/// The offset basis of the 128-bit FNV-1a hash.
const FNV_OFFSET: u128 = 0x6c62_272e_07bb_0142_62b8_2175_6295_c58d;
/// Alphabet of the tokens, five bits per letter.
const LETTERS: &[u8; 32] = b"abcdefghijklmnopqrstuvwxyz234567";
/// Number of letters in a token, before its trailing blank.
const LETTERS_PER_TOKEN: usize = 3;

/// Models the KV cache of a text under one weight version.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ModelState(u128);

impl ModelState {
    /// Returns the state before any text.
    pub fn new(weight_version: &WeightVersion) -> Self {
        let digest = blake3::hash(weight_version.as_str().as_bytes());
        Self(FNV_OFFSET ^ leading_u128(digest.as_bytes()))
    }

    /// Returns the state for bytes that are not valid KV cache.
    pub fn from_garbage(bytes: &[u8]) -> Self {
        Self(leading_u128(blake3::hash(bytes).as_bytes()))
    }

    /// Decodes a state.
    pub const fn from_bytes(bytes: [u8; 16]) -> Self {
        Self(u128::from_le_bytes(bytes))
    }

    /// Encodes the state.
    pub const fn to_bytes(self) -> [u8; 16] {
        self.0.to_le_bytes()
    }

    /// Returns the state after appending text.
    pub fn after(self, text: &[u8]) -> Self {
        Self(
            text.iter()
                .fold(self.0, |state, byte| (state ^ u128::from(*byte)).wrapping_mul(FNV_PRIME)),
        )
    }

    /// Returns one token of the answer to the text that produced this state.
    pub fn token(self, offset: u64) -> String {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&self.to_bytes());
        hasher.update(&offset.to_le_bytes());
        let digest = hasher.finalize();
        let letters = digest.as_bytes().iter().take(LETTERS_PER_TOKEN);
        let letters = letters.map(|byte| char::from(LETTERS[usize::from(*byte) % LETTERS.len()]));
        letters.chain([' ']).collect()
    }
}

fn leading_u128(digest: &[u8; 32]) -> u128 {
    let mut leading = [0; 16];
    leading.copy_from_slice(&digest[..16]);
    u128::from_le_bytes(leading)
}

/// Returns the tokens of the only correct answer to a prompt.
pub fn expected_answer(
    prompt: &str,
    weight_version: &WeightVersion,
    max_tokens: u64,
) -> Vec<String> {
    let state = ModelState::new(weight_version).after(prompt.as_bytes());
    (0..max_tokens).map(|offset| state.token(offset)).collect()
}
