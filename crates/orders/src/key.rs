//! Idempotency keys, their scope and the digests of orders.

use protocol::ids::OrganisationId;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;
use thiserror::Error;
use uuid::Uuid;

/// The only accepted UUID version, whose leading bits hold the creation time in milliseconds.
const KEY_VERSION: usize = 7;
/// The number of bits after the timestamp in a version 7 UUID.
const BITS_AFTER_TIME: u32 = 80;

/// An error in parsing a key or a digest.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum KeyError {
    /// The text is not a UUID.
    #[error("the idempotency key is not a UUID")]
    NotUuid,
    /// The UUID is of another version.
    #[error("the idempotency key is a UUID of version {0}; use version 7")]
    WrongVersion(usize),
    /// The text is not a BLAKE3 digest in hexadecimal.
    #[error("the order digest is malformed")]
    BadDigest,
}

/// The idempotency key of an order, which the caller repeats on each retry.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct IdempotencyKey(Uuid);

impl IdempotencyKey {
    /// Returns when the caller created the key, by the caller's clock, in milliseconds since the
    /// epoch.
    pub const fn created_at_ms(self) -> u64 {
        (self.0.as_u128() >> BITS_AFTER_TIME) as u64
    }
}

impl fmt::Display for IdempotencyKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for IdempotencyKey {
    type Err = KeyError;

    fn from_str(text: &str) -> Result<Self, KeyError> {
        let uuid = Uuid::parse_str(text).map_err(|_| KeyError::NotUuid)?;
        match uuid.get_version_num() {
            KEY_VERSION => Ok(Self(uuid)),
            other => Err(KeyError::WrongVersion(other)),
        }
    }
}

impl TryFrom<String> for IdempotencyKey {
    type Error = KeyError;

    fn try_from(text: String) -> Result<Self, KeyError> {
        text.parse()
    }
}

impl From<IdempotencyKey> for String {
    fn from(key: IdempotencyKey) -> String {
        key.to_string()
    }
}

/// An idempotency key scoped to the organisation that sent it.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct OrderKey {
    /// The organisation.
    pub organisation: OrganisationId,
    /// The key.
    pub key: IdempotencyKey,
}

impl OrderKey {
    /// Creates the scoped key.
    pub const fn new(organisation: OrganisationId, key: IdempotencyKey) -> Self {
        Self { organisation, key }
    }
}

impl fmt::Display for OrderKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.organisation, self.key)
    }
}

/// The digest of an order's method, path and body.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct OrderDigest(blake3::Hash);

impl OrderDigest {
    /// Computes the digest of an order.
    pub fn new(method: &str, path: &str, body: &[u8]) -> Self {
        let mut hasher = blake3::Hasher::new();
        hash_field(&mut hasher, method.as_bytes());
        hash_field(&mut hasher, path.as_bytes());
        hash_field(&mut hasher, body);
        Self(hasher.finalize())
    }
}

fn hash_field(hasher: &mut blake3::Hasher, field: &[u8]) {
    hasher.update(&(field.len() as u64).to_le_bytes());
    hasher.update(field);
}

impl fmt::Display for OrderDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0.to_hex())
    }
}

impl FromStr for OrderDigest {
    type Err = KeyError;

    fn from_str(text: &str) -> Result<Self, KeyError> {
        blake3::Hash::from_hex(text).map(Self).map_err(|_| KeyError::BadDigest)
    }
}

impl TryFrom<String> for OrderDigest {
    type Error = KeyError;

    fn try_from(text: String) -> Result<Self, KeyError> {
        text.parse()
    }
}

impl From<OrderDigest> for String {
    fn from(digest: OrderDigest) -> String {
        digest.to_string()
    }
}
