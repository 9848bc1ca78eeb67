//! The records of the orders stream.

use crate::key::{OrderDigest, OrderKey};
use protocol::ids::{AttemptId, HostName, Incarnation, ServiceName};
use serde::{Deserialize, Serialize};
use std::fmt;

/// Identifies one incarnation of an entry host.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Owner {
    /// The host.
    pub host: HostName,
    /// The host's incarnation.
    pub incarnation: Incarnation,
}

impl fmt::Display for Owner {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.host, self.incarnation)
    }
}

/// One record of the stream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(tag = "record", rename_all = "snake_case")]
pub enum Record {
    /// An attempt claims a key.
    Intent(Intent),
    /// An attempt was executed.
    Outcome(Outcome),
    /// An attempt was abandoned before it was sent, and never will be sent.
    Release(Release),
    /// No effect. Marks ensure that the oldest retained record of an idle stream is old enough for
    /// new keys to be covered.
    Mark,
}

impl Record {
    /// Returns the attempt that the record belongs to.
    pub const fn attempt(&self) -> Option<&AttemptId> {
        match self {
            Self::Intent(intent) => Some(&intent.attempt),
            Self::Outcome(outcome) => Some(&outcome.attempt),
            Self::Release(release) => Some(&release.attempt),
            Self::Mark => None,
        }
    }

    /// Returns the size of the answer in the record, in bytes.
    pub const fn answer_bytes(&self) -> usize {
        match self {
            Self::Outcome(outcome) => outcome.answer.body.len(),
            Self::Intent(_) | Self::Release(_) | Self::Mark => 0,
        }
    }

    /// Returns the key that the record belongs to.
    pub const fn key(&self) -> Option<&OrderKey> {
        match self {
            Self::Intent(intent) => Some(&intent.key),
            Self::Outcome(outcome) => Some(&outcome.key),
            Self::Release(release) => Some(&release.key),
            Self::Mark => None,
        }
    }
}

/// A claim of a key by an attempt.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Intent {
    /// The key.
    #[serde(flatten)]
    pub key: OrderKey,
    /// The attempt.
    pub attempt: AttemptId,
    /// The order service.
    pub service: ServiceName,
    /// The digest of the order's method, path and body.
    pub digest: OrderDigest,
    /// The only process that may send the attempt.
    pub owner: Owner,
}

/// The answer to an executed attempt.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Outcome {
    /// The key.
    #[serde(flatten)]
    pub key: OrderKey,
    /// The attempt.
    pub attempt: AttemptId,
    /// The service's answer.
    pub answer: OrderAnswer,
}

/// Releases a key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Release {
    /// The key.
    #[serde(flatten)]
    pub key: OrderKey,
    /// The attempt.
    pub attempt: AttemptId,
}

/// The answer of an order service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OrderAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The content type, if the service sent one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub content_type: Option<String>,
    /// The body.
    pub body: String,
}

/// Encodes records as the value of one log record.
///
/// # Errors
///
/// Returns the serialiser's error; the record types cause none.
pub fn encode(records: &[Record]) -> Result<String, serde_json::Error> {
    serde_json::to_string(records)
}

/// Decodes the records in the value of one log record.
///
/// # Errors
///
/// Returns an error if the text is not an array of records.
pub fn decode(text: &str) -> Result<Vec<Record>, serde_json::Error> {
    serde_json::from_str(text)
}
