//! Typed sizes and rates with their units.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::iter::Sum;
use std::num::ParseIntError;
use std::ops::{Add, AddAssign};
use std::str::FromStr;

/// The number of bytes of text that count as one token.
pub const TEXT_BYTES_PER_TOKEN: usize = 4;

macro_rules! size {
    ($(#[$doc:meta])* $name:ident, $unit:literal) => {
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

            /// Subtracts, saturating at zero.
            pub const fn saturating_sub(self, other: Self) -> Self {
                Self(self.0.saturating_sub(other.0))
            }
        }

        impl Add for $name {
            type Output = Self;

            fn add(self, other: Self) -> Self {
                Self(self.0.saturating_add(other.0))
            }
        }

        impl AddAssign for $name {
            fn add_assign(&mut self, other: Self) {
                *self = *self + other;
            }
        }

        impl Sum for $name {
            fn sum<I: Iterator<Item = Self>>(iter: I) -> Self {
                iter.fold(Self(0), Add::add)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{} {}", self.0, $unit)
            }
        }

        impl FromStr for $name {
            type Err = ParseIntError;

            fn from_str(text: &str) -> Result<Self, ParseIntError> {
                text.trim_end_matches($unit).trim_end().parse().map(Self)
            }
        }
    };
}

size!(
    /// Counts bytes.
    ByteCount, "B"
);
size!(
    /// Counts tokens of a prompt or an answer.
    TokenCount, "tokens"
);
size!(
    /// A rate in tokens per second.
    TokensPerSecond, "tokens/s"
);
size!(
    /// A rate in bytes per second.
    BytesPerSecond, "B/s"
);
