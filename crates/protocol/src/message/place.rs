//! Messages between an entry host and the home of a prompt.

use crate::ids::{AttemptId, ChainKey, HostName, Region, ServiceName};
use crate::message::operator::CandidateExplanation;
use serde::{Deserialize, Serialize};

/// Asks the home of a prompt where to run it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PlaceRequest {
    /// The model service.
    pub service: ServiceName,
    /// The attempt that is to be placed.
    pub attempt_id: AttemptId,
    /// The keys of the prompt's whole pieces, first piece first.
    pub chain: Vec<ChainKey>,
    /// The length of the whole prompt in tokens.
    pub prompt_tokens: u64,
    /// The length of the prompt's text in bytes.
    pub text_bytes: u64,
    /// The region of the entry host.
    pub region: Region,
    /// Servers that already failed this request.
    pub excluded: Vec<HostName>,
}

/// Answers a [`PlaceRequest`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PlaceReply {
    /// A server was chosen.
    Placed(PlaceAnswer),
    /// No server of the service is left to choose.
    NoServer,
    /// The host that was asked does not know the service.
    UnknownService,
}

/// Tells an entry host where to run a prompt.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PlaceAnswer {
    /// The chosen backend server.
    pub server: HostName,
    /// How many leading pieces the server holds already.
    pub cached_pieces: usize,
    /// Kept blocks that the server is to import, in the order of the chain.
    pub imports: Vec<CachedBlock>,
    /// The tokens that the server is to compute.
    pub recomputed_tokens: u64,
    /// The expected time to the first token, in milliseconds.
    pub expected_first_token_ms: u64,
    /// The servers weighed, the cheapest first.
    pub candidates: Vec<CandidateExplanation>,
}

/// Describes one committed block of kept work on a store host.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CachedBlock {
    /// The key of the piece.
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

/// Tells the home of a prompt what a finished attempt left behind.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct FinishedNotice {
    /// The model service.
    pub service: ServiceName,
    /// The attempt.
    pub attempt_id: AttemptId,
    /// The server that ran it.
    pub server: HostName,
    /// The keys of the prompt's whole pieces.
    pub chain: Vec<ChainKey>,
    /// Whether the attempt ran to its end mark.
    pub completed: bool,
    /// Blocks that were to be imported and were not.
    pub missing: Vec<CachedBlock>,
}
