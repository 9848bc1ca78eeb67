//! Messages between an entry host and the home of a prompt.

use crate::ids::{AttemptId, ChainKey, HostName, Region, ServiceName};
use crate::message::operator::CandidateExplanation;
use serde::{Deserialize, Serialize};

/// Requests a server for an attempt from the home of its prompt.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PlaceRequest {
    /// The model service.
    pub service: ServiceName,
    /// The attempt to place.
    pub attempt_id: AttemptId,
    /// The keys of the prompt's full segments in prompt order.
    pub chain: Vec<ChainKey>,
    /// The length of the prompt in tokens.
    pub prompt_tokens: u64,
    /// The length of the prompt's text in bytes.
    pub text_bytes: u64,
    /// The region of the entry host.
    pub region: Region,
    /// The servers that already failed this request.
    pub excluded: Vec<HostName>,
}

/// Answers a [`PlaceRequest`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PlaceReply {
    /// A server was chosen.
    Placed(PlaceAnswer),
    /// The service has no server that may be chosen.
    NoServer,
    /// The receiver has no such service in its configuration.
    UnknownService,
}

/// Holds the placement of an attempt.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PlaceAnswer {
    /// The chosen backend server.
    pub server: HostName,
    /// The number of leading segments whose KV blocks are in the server's memory.
    pub cached_pieces: usize,
    /// The cached blocks for the server to import, in the order of the chain.
    pub imports: Vec<CachedBlock>,
    /// The number of tokens for the server to prefill.
    pub recomputed_tokens: u64,
    /// The expected time to first token, in milliseconds.
    pub expected_first_token_ms: u64,
    /// The servers compared, in order of increasing cost.
    pub candidates: Vec<CandidateExplanation>,
}

/// Describes one committed KV block on a store host.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CachedBlock {
    /// The key of the segment.
    pub key: ChainKey,
    /// The store host that holds the block.
    pub store: HostName,
    /// The write-once name of the block.
    pub name: String,
    /// The committed length in bytes.
    pub length_bytes: u64,
    /// The committed checksum, hexadecimal BLAKE3.
    pub checksum: String,
}

/// Reports a finished attempt to the home of its prompt.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct FinishedNotice {
    /// The model service.
    pub service: ServiceName,
    /// The attempt.
    pub attempt_id: AttemptId,
    /// The server that ran it.
    pub server: HostName,
    /// The keys of the prompt's full segments in prompt order.
    pub chain: Vec<ChainKey>,
    /// Whether the attempt completed up to its end marker.
    pub completed: bool,
    /// The blocks that the server should have imported but did not.
    pub missing: Vec<CachedBlock>,
}
