//! Errors of calls to other processes.

use std::time::Duration;
use thiserror::Error;

/// The ways in which a call can fail.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum ClientError {
    /// No connection was established, so no byte of the request was sent.
    #[error("cannot connect: {0}")]
    Unreachable(String),
    /// The connection was lost after the request may have been sent, or the answer is too large.
    #[error("connection lost: {0}")]
    ConnectionLost(String),
    /// The answer, its head or its next byte did not arrive within the given time.
    #[error("no answer for {} ms", .0.as_millis())]
    TimedOut(Duration),
    /// The other side answered with an error status.
    #[error("refused with status {status}: {body}")]
    Refused {
        /// The HTTP status.
        status: u16,
        /// The start of the body.
        body: String,
    },
    /// The answer does not conform to the protocol.
    #[error("malformed answer: {0}")]
    Malformed(String),
}

impl ClientError {
    /// Returns whether the other side is guaranteed to have received nothing.
    pub fn is_unsent(&self) -> bool {
        matches!(self, Self::Unreachable(_))
    }
}
