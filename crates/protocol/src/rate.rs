//! Typed rates.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;
use thiserror::Error;

/// The highest rate that a server can mean, in requests a second.
const MAX_PER_S: f64 = 1_000_000.0;

/// The error for an invalid rate.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum RateError {
    /// The text is no decimal number.
    #[error("the rate is malformed")]
    Malformed,
    /// The rate is below zero.
    #[error("the rate is negative")]
    Negative,
    /// The rate is higher than any server's.
    #[error("the rate is higher than {MAX_PER_S} a second")]
    TooHigh,
}

impl RateError {
    /// Returns the reason's name in counters.
    pub const fn as_str(self) -> &'static str {
        match self {
            RateError::Malformed => "malformed",
            RateError::Negative => "negative",
            RateError::TooHigh => "too_high",
        }
    }
}

/// A rate of requests, per second; zero allows none.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct RequestRate(f64);

impl RequestRate {
    /// Wraps a number of requests a second.
    ///
    /// # Errors
    ///
    /// Returns an error if the number is no rate of a server.
    pub fn new(per_s: f64) -> Result<Self, RateError> {
        match per_s {
            _ if per_s.is_nan() => Err(RateError::Malformed),
            _ if per_s < 0.0 => Err(RateError::Negative),
            _ if per_s > MAX_PER_S => Err(RateError::TooHigh),
            _ => Ok(Self(per_s)),
        }
    }

    /// Returns the number of requests a second.
    pub const fn per_s(self) -> f64 {
        self.0
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

impl FromStr for RequestRate {
    type Err = RateError;

    /// Parses a decimal number of requests a second.
    fn from_str(text: &str) -> Result<Self, RateError> {
        let is_decimal = |byte: u8| byte.is_ascii_digit() || byte == b'.' || byte == b'-';
        if !text.bytes().all(is_decimal) {
            return Err(RateError::Malformed);
        }
        Self::new(text.parse().map_err(|_| RateError::Malformed)?)
    }
}

impl TryFrom<f64> for RequestRate {
    type Error = RateError;

    fn try_from(per_s: f64) -> Result<Self, RateError> {
        Self::new(per_s)
    }
}

impl From<RequestRate> for f64 {
    fn from(rate: RequestRate) -> Self {
        rate.per_s()
    }
}
