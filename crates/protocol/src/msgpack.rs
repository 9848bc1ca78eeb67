//! Decodes MessagePack that others wrote.

use rmp_serde::Deserializer;
use rmp_serde::config::SerializerConfig;
use rmp_serde::decode::{Error, ReadSlice};

use serde::de::DeserializeOwned;

/// The maximum nesting of a value. The decoder recurses once a level, and a worker thread's stack
/// holds some hundreds; no message or record has more than ten.
pub const MAX_DEPTH: usize = 32;

/// Decodes a value; bytes that follow it are ignored.
///
/// # Errors
///
/// Returns an error if the bytes are not a value of the expected type, or one that is nested too
/// deeply.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Error> {
    decode_bounded(Deserializer::from_read_ref(bytes))
}

/// Decodes a value in which addresses are text, as in human-readable formats.
///
/// # Errors
///
/// Returns an error as [`decode`] does.
pub fn decode_readable<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Error> {
    decode_bounded(Deserializer::from_read_ref(bytes).with_human_readable())
}

/// Decodes the next of several values that follow each other, and moves `bytes` behind it.
///
/// # Errors
///
/// Returns an error as [`decode`] does; `bytes` may then start in the middle of the value.
pub fn decode_next<T: DeserializeOwned>(bytes: &mut &[u8]) -> Result<T, Error> {
    decode_bounded(Deserializer::new(bytes))
}

fn decode_bounded<'de, T, R, C>(mut deserializer: Deserializer<R, C>) -> Result<T, Error>
where
    T: DeserializeOwned,
    R: ReadSlice<'de>,
    C: SerializerConfig,
{
    deserializer.set_max_depth(MAX_DEPTH);
    T::deserialize(&mut deserializer)
}
