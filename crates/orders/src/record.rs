//! The records of the orders stream.

use crate::key::{OrderDigest, OrderKey};
use protocol::ids::{AttemptId, HostName, Incarnation, ServiceName};
use serde::{Deserialize, Serialize};
use std::fmt;

/// Names one life of an entry host.
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

/// Holds one record.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(tag = "record", rename_all = "snake_case")]
pub enum Record {
    /// An attempt claims a key.
    Intent(Intent),
    /// An attempt was executed.
    Outcome(Outcome),
    /// An attempt was given up before it was sent, and never will be sent.
    Release(Release),
    /// Nothing happened; keeps the oldest retained record of an idle stream old enough.
    Mark,
}

impl Record {
    /// Returns the attempt that the record is about.
    pub const fn attempt(&self) -> Option<&AttemptId> {
        match self {
            Self::Intent(intent) => Some(&intent.attempt),
            Self::Outcome(outcome) => Some(&outcome.attempt),
            Self::Release(release) => Some(&release.attempt),
            Self::Mark => None,
        }
    }

    /// Returns the length of the answer in the record, in bytes.
    pub const fn answer_bytes(&self) -> usize {
        match self {
            Self::Outcome(outcome) => outcome.answer.body.len(),
            Self::Intent(_) | Self::Release(_) | Self::Mark => 0,
        }
    }

    /// Returns the key that the record is about.
    pub const fn key(&self) -> Option<&OrderKey> {
        match self {
            Self::Intent(intent) => Some(&intent.key),
            Self::Outcome(outcome) => Some(&outcome.key),
            Self::Release(release) => Some(&release.key),
            Self::Mark => None,
        }
    }
}

/// Claims a key for one attempt.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Intent {
    /// The key.
    #[serde(flatten)]
    pub key: OrderKey,
    /// The attempt.
    pub attempt: AttemptId,
    /// The order service.
    pub service: ServiceName,
    /// What is ordered.
    pub digest: OrderDigest,
    /// The only process that may send the attempt.
    pub owner: Owner,
}

/// Tells what an executed attempt was answered.
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

/// Gives a key back.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Release {
    /// The key.
    #[serde(flatten)]
    pub key: OrderKey,
    /// The attempt.
    pub attempt: AttemptId,
}

/// Holds the answer of an order service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OrderAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The content type, if the service gave one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub content_type: Option<String>,
    /// The body.
    pub body: String,
}

/// Writes records as the text of one log record.
///
/// # Errors
///
/// Returns the serialiser's error; the types here cause none.
pub fn encode(records: &[Record]) -> Result<String, serde_json::Error> {
    serde_json::to_string(records)
}

/// Reads the records in the text of one log record.
///
/// # Errors
///
/// Returns an error if the text is not an array of records.
pub fn decode(text: &str) -> Result<Vec<Record>, serde_json::Error> {
    serde_json::from_str(text)
}
