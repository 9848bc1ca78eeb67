//! Typed names and ids that processes exchange.

use serde::de::{self, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::fmt;
use std::str::FromStr;
use thiserror::Error;

/// The maximum length of a text id, in bytes.
pub const MAX_NAME_BYTES: usize = 128;

/// The error for an invalid name or id.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum IdError {
    /// The text is empty.
    #[error("the {0} is empty")]
    Empty(&'static str),
    /// The text is longer than [`MAX_NAME_BYTES`].
    #[error("the {0} is longer than {MAX_NAME_BYTES} bytes")]
    TooLong(&'static str),
    /// The text contains a character other than letters, digits, `.`, `_`, `-` and `:`.
    #[error("the {0} holds the character {1:?}; use letters, digits, '.', '_', '-' or ':'")]
    BadCharacter(&'static str, char),
    /// The text is not a number or hexadecimal digest of the right length.
    #[error("the {0} is malformed")]
    Malformed(&'static str),
}

fn check_name(what: &'static str, text: &str) -> Result<(), IdError> {
    if text.is_empty() {
        return Err(IdError::Empty(what));
    }
    if text.len() > MAX_NAME_BYTES {
        return Err(IdError::TooLong(what));
    }
    let bad = text.chars().find(|c| !c.is_ascii_alphanumeric() && !"._-:".contains(*c));
    bad.map_or(Ok(()), |c| Err(IdError::BadCharacter(what, c)))
}

macro_rules! name_id {
    ($(#[$doc:meta])* $name:ident, $what:literal) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(String);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                check_name($what, text)?;
                Ok(Self(text.to_owned()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = IdError;

            fn try_from(text: String) -> Result<Self, IdError> {
                check_name($what, &text)?;
                Ok(Self(text))
            }
        }

        impl From<$name> for String {
            fn from(id: $name) -> String {
                id.0
            }
        }
    };
}

name_id!(
    /// Names a host: an entry host, a backend server or a store host.
    HostName, "host name"
);
name_id!(
    /// Names a failure domain.
    FailureDomain, "failure domain"
);
name_id!(
    /// Names a region, which contains failure domains.
    Region, "region"
);
name_id!(
    /// Names an organisation, whose requests and cached KV blocks are isolated from all others.
    OrganisationId, "organisation"
);
name_id!(
    /// Names a service in the services text.
    ServiceName, "service name"
);
name_id!(
    /// Names a model as callers request it.
    ModelName, "model name"
);
name_id!(
    /// Names one version of a model's weights.
    WeightVersion, "weight version"
);
name_id!(
    /// Identifies one request of a caller across all its attempts.
    RequestId, "request id"
);
name_id!(
    /// Identifies one attempt at a request on one backend server.
    AttemptId, "attempt id"
);

macro_rules! number_id {
    ($(#[$doc:meta])* $name:ident, $what:literal) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(u64);

        impl $name {
            /// Wraps a number.
            pub const fn new(value: u64) -> Self {
                Self(value)
            }

            /// Returns the number.
            pub const fn value(self) -> u64 {
                self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                text.parse().map(Self).map_err(|_| IdError::Malformed($what))
            }
        }
    };
}

number_id!(
    /// Orders the incarnations of one host: a restarted or replaced host has a greater one.
    Incarnation, "incarnation"
);
number_id!(
    /// Numbers an accepted configuration; zero means none.
    ConfigVersion, "configuration version"
);
number_id!(
    /// The offset of a record in a stream of the platform's log; also serves as a fencing token.
    LogOffset, "log offset"
);

/// The length of a [`ChainKey`] in bytes.
pub const CHAIN_KEY_BYTES: usize = 32;

/// Identifies one segment of a prompt together with all segments before it.
///
/// The key is a keyed hash over the organisation, the model, the weight version and the text up
/// to the end of the segment, so keys of two organisations or versions never match.
#[derive(Clone, Copy, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ChainKey([u8; CHAIN_KEY_BYTES]);

impl ChainKey {
    /// Wraps a digest.
    pub const fn new(bytes: [u8; CHAIN_KEY_BYTES]) -> Self {
        Self(bytes)
    }

    /// Returns the digest.
    pub const fn as_bytes(&self) -> &[u8; CHAIN_KEY_BYTES] {
        &self.0
    }
}

impl fmt::Display for ChainKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for ChainKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl FromStr for ChainKey {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        let malformed = IdError::Malformed("chain key");
        if text.len() != 2 * CHAIN_KEY_BYTES || !text.is_ascii() {
            return Err(malformed);
        }
        let mut bytes = [0; CHAIN_KEY_BYTES];
        for (index, byte) in bytes.iter_mut().enumerate() {
            let digits = &text[2 * index..2 * index + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| malformed.clone())?;
        }
        Ok(Self(bytes))
    }
}

// Implemented by hand: hexadecimal digits in JSON, the raw digest in MessagePack. A placement holds
// one key per segment, and the raw digest halves the message.
impl Serialize for ChainKey {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if serializer.is_human_readable() {
            return serializer.collect_str(self);
        }
        serializer.serialize_bytes(&self.0)
    }
}

impl<'de> Deserialize<'de> for ChainKey {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        if deserializer.is_human_readable() {
            return deserializer.deserialize_str(ChainKeyVisitor);
        }
        deserializer.deserialize_bytes(ChainKeyVisitor)
    }
}

struct ChainKeyVisitor;

impl Visitor<'_> for ChainKeyVisitor {
    type Value = ChainKey;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a digest of {CHAIN_KEY_BYTES} bytes or its hexadecimal digits")
    }

    fn visit_str<E: de::Error>(self, text: &str) -> Result<ChainKey, E> {
        text.parse().map_err(E::custom)
    }

    fn visit_bytes<E: de::Error>(self, bytes: &[u8]) -> Result<ChainKey, E> {
        let digest = <[u8; CHAIN_KEY_BYTES]>::try_from(bytes);
        digest.map(ChainKey).map_err(|_| E::invalid_length(bytes.len(), &self))
    }
}
