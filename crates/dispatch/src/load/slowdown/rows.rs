//! The slowdowns of servers, as gateways exchange them.

use crate::load::peers::ServerTag;
use serde::de::{Error, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::fmt;

/// The maximum number of rows in a message; those that follow are ignored.
pub const MAX_ROWS: usize = 200;
/// The size of an encoded row: four bytes of tag, two of the figure, and one each of age and number.
const ROW_BYTES: usize = 8;
/// The unit of ages, in milliseconds.
const AGE_UNIT_MS: u64 = 20;

/// What a gateway heard of one server, or what a relay estimates.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SlowdownRow {
    /// The server.
    pub server: ServerTag,
    /// The mean of the samples or the estimate, in percent; any value if another gateway sent it.
    pub percent: u16,
    /// The age of the newest sample, in milliseconds.
    pub age_ms: u64,
    /// The number of samples; 0 in estimates.
    pub samples: u8,
}

impl SlowdownRow {
    /// The age of the oldest statement that a row can hold, in milliseconds.
    pub const MAX_AGE_MS: u64 = u8::MAX as u64 * AGE_UNIT_MS;

    fn to_bytes(self) -> [u8; ROW_BYTES] {
        let [first, second, third, fourth] = self.server.to_bytes();
        let [low, high] = self.percent.to_le_bytes();
        let age = (self.age_ms / AGE_UNIT_MS).try_into().unwrap_or(u8::MAX);
        [first, second, third, fourth, low, high, age, self.samples]
    }

    const fn from_bytes(bytes: [u8; ROW_BYTES]) -> Self {
        let [first, second, third, fourth, low, high, age, samples] = bytes;
        Self {
            server: ServerTag::from_bytes([first, second, third, fourth]),
            percent: u16::from_le_bytes([low, high]),
            age_ms: age as u64 * AGE_UNIT_MS,
            samples,
        }
    }
}

/// The rows of a message, encoded as one string of bytes.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SlowdownRows(pub Vec<SlowdownRow>);

impl Serialize for SlowdownRows {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let rows = self.0.iter().take(MAX_ROWS);
        let bytes: Vec<u8> = rows.flat_map(|row| row.to_bytes()).collect();
        serializer.serialize_bytes(&bytes)
    }
}

impl<'de> Deserialize<'de> for SlowdownRows {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_bytes(SlowdownRowsVisitor)
    }
}

struct SlowdownRowsVisitor;

impl Visitor<'_> for SlowdownRowsVisitor {
    type Value = SlowdownRows;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("eight bytes for each server")
    }

    fn visit_bytes<E: Error>(self, bytes: &[u8]) -> Result<SlowdownRows, E> {
        let (rows, rest) = bytes.as_chunks::<ROW_BYTES>();
        if !rest.is_empty() {
            return Err(E::invalid_length(bytes.len(), &self));
        }
        let rows = rows.iter().take(MAX_ROWS).map(|row| SlowdownRow::from_bytes(*row));
        Ok(SlowdownRows(rows.collect()))
    }
}
