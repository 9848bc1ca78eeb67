//! The era of the platform's store: it rises by one each time the store returns from a copy, which
//! has lost the newest records, so that offsets are given out again.

use crate::lease::{LEASE_MARGIN_MS, LEASE_MS};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;

/// The era of the store. Offsets of different eras cannot be compared. A store that names no era
/// is in the first one.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct StoreEra(u32);

impl StoreEra {
    /// The highest era: fences of it still fit a signed integer of 64 bits.
    pub const MAX: Self = Self(u32::MAX >> 1);

    /// Wraps an era, at most [`StoreEra::MAX`].
    pub const fn new(era: u32) -> Self {
        Self(if era > Self::MAX.0 { Self::MAX.0 } else { era })
    }

    /// Returns the number.
    pub const fn value(self) -> u32 {
        self.0
    }
}

impl fmt::Display for StoreEra {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// The text is not a whole number from 0 to [`StoreEra::MAX`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct InvalidEra;

impl FromStr for StoreEra {
    type Err = InvalidEra;

    fn from_str(text: &str) -> Result<Self, InvalidEra> {
        let era: u32 = text.parse().map_err(|_| InvalidEra)?;
        if era > Self::MAX.0 { Err(InvalidEra) } else { Ok(Self(era)) }
    }
}

/// The era that an answer of the store names.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NamedEra {
    /// The answer names an era.
    Era(StoreEra),
    /// The answer names none.
    Missing,
    /// The name cannot be parsed.
    Malformed,
}

/// How an answer relates to the eras known before.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerEra {
    /// The answer was given in the current era.
    Current,
    /// The answer is the first of a later era, which is now the current one.
    Raised {
        /// The era until now.
        before: StoreEra,
    },
    /// The answer was given in an earlier era and arrived late.
    Outdated,
    /// The answer names an era that it cannot have been given in; it counts as current.
    Ignored(IgnoredEra),
}

/// Why an era is ignored.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum IgnoredEra {
    /// It is lower than the one that was known when the call began.
    Lower,
    /// The answer names none, unlike earlier ones.
    Missing,
    /// It cannot be parsed.
    Malformed,
}

impl IgnoredEra {
    /// Returns the reason's name in logs and counters.
    pub const fn as_str(self) -> &'static str {
        match self {
            IgnoredEra::Lower => "lower",
            IgnoredEra::Missing => "missing",
            IgnoredEra::Malformed => "malformed",
        }
    }
}

/// The highest era that a gateway has seen.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct EraTracker {
    /// `None` before the first answer that names an era.
    known: Option<StoreEra>,
    /// When it was first seen.
    since_ms: u64,
}

impl EraTracker {
    /// Returns the current era.
    pub fn current(&self) -> StoreEra {
        self.known.unwrap_or_default()
    }

    /// Returns the current era if an answer or a peer has named one.
    pub const fn known(&self) -> Option<StoreEra> {
        self.known
    }

    /// Returns when the current era was first seen; zero before the first answer that names one.
    pub const fn since_ms(&self) -> u64 {
        self.since_ms
    }

    /// Returns from when on every lease of earlier eras has expired, known of or not. Their last
    /// appends were answered before the first answer of the current era.
    pub const fn leases_expired_at_ms(&self) -> u64 {
        match self.known {
            Some(_) => self.since_ms + LEASE_MS + LEASE_MARGIN_MS,
            None => 0,
        }
    }

    /// Judges an answer to a call that began in the era `asked`.
    pub fn observe_answer(&mut self, asked: StoreEra, named: NamedEra, now_ms: u64) -> AnswerEra {
        let current = self.current();
        let ignored = match named {
            NamedEra::Era(era) => {
                if self.known.is_none_or(|known| era > known) {
                    return match self.observe_era(era, now_ms) {
                        Some(before) => AnswerEra::Raised { before },
                        None => AnswerEra::Current,
                    };
                }
                if era == current {
                    return AnswerEra::Current;
                }
                IgnoredEra::Lower
            }
            NamedEra::Missing if self.known.is_none() => return AnswerEra::Current,
            NamedEra::Missing => IgnoredEra::Missing,
            NamedEra::Malformed => IgnoredEra::Malformed,
        };
        // The store is linearizable: only a call that began before the rise was known may have been
        // executed in an earlier era.
        if asked < current { AnswerEra::Outdated } else { AnswerEra::Ignored(ignored) }
    }

    /// Records an era named by the store or a peer; returns the one before if it rises.
    pub fn observe_era(&mut self, era: StoreEra, now_ms: u64) -> Option<StoreEra> {
        if self.known.is_some_and(|known| era <= known) {
            return None;
        }
        let before = self.known.replace(era);
        self.since_ms = now_ms;
        before
    }
}
