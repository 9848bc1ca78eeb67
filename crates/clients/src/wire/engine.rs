//! A model engine on a backend server.
//!
//! | call | answer |
//! |---|---|
//! | `POST /v1/completions` with [`CompletionRequest`] | the head names attempt, version and incarnation ([`ATTEMPT_HEADER`], [`VERSION_HEADER`], [`INCARNATION_HEADER`]); then server-sent events with [`StreamEvent`], comment lines as keepalives, `[DONE]` last |
//! | `POST /v1/cancel` with [`Cancel`] | 204 |
//! | `GET /load` | [`LoadReport`] |
//! | `GET /kv/snapshot` | [`KvSnapshot`] |
//! | `GET /kv/events?from=N` | [`KvEvents`] |
//! | `POST /kv/export` with [`Export`] | [`ExportAnswer`] |
//! | `POST /kv/import` with [`Import`] | [`ImportAnswer`] |
//! | `POST /admin/load` with [`LoadCommand`] | 202; 409 with an old fencing token, where the engine checks it |
//!
//! A refusal is a 4xx or 5xx status with [`Refusal`].

use protocol::ids::{AttemptId, ChainKey, Incarnation, LogOffset, WeightVersion};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The response header that echoes the attempt.
pub const ATTEMPT_HEADER: &str = "x-attempt-id";
/// The response header that names the weight version in use.
pub const VERSION_HEADER: &str = "x-weight-version";
/// The response header that names the server's incarnation.
pub const INCARNATION_HEADER: &str = "x-incarnation";

pub use protocol::size::TEXT_BYTES_PER_TOKEN;

/// Asks for a completion.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CompletionRequest {
    /// The attempt, echoed in the head and in each event.
    pub attempt_id: AttemptId,
    /// The model.
    pub model: String,
    /// The version that the caller's request is to run on.
    pub weight_version: WeightVersion,
    /// The prompt's text.
    pub prompt: String,
    /// The longest answer, in tokens.
    pub max_tokens: u64,
    /// Greater runs first.
    pub priority: i32,
    /// Keeps the prefix cache of one organisation apart from the others'.
    pub cache_salt: String,
    /// The prompt's whole pieces, under which the engine caches its work.
    #[serde(rename = "pieces")]
    pub segments: Vec<PromptSegment>,
    /// The first token to send; the ones before were passed on by an earlier attempt.
    pub resume_at_token: u64,
}

/// Marks one piece of a prompt.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct PromptSegment {
    /// The key under which the piece's KV cache is kept.
    pub key: ChainKey,
    /// Where the piece ends in the prompt's text, in bytes.
    pub end_byte: usize,
}

/// Holds one server-sent event of an answer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct StreamEvent {
    /// The attempt.
    pub attempt_id: AttemptId,
    /// What happened.
    #[serde(flatten)]
    pub body: StreamBody,
}

/// Tells tokens from the end mark.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StreamBody {
    /// One token.
    Token(Token),
    /// The end mark.
    End(End),
}

/// Holds one token.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Token {
    /// The token's place in the answer, counted from zero.
    pub offset: u64,
    /// The token's text.
    pub text: String,
}

/// Ends an answer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct End {
    /// The length of the whole answer in tokens.
    pub answer_tokens: u64,
    /// The length of the prompt in tokens.
    pub prompt_tokens: u64,
    /// The prompt tokens that came from the cache or from imports.
    pub cached_tokens: u64,
}

/// Cancels an attempt.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Cancel {
    /// The attempt.
    pub attempt_id: AttemptId,
}

/// Reports a server's load, with a lag.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LoadReport {
    /// The server's incarnation.
    pub incarnation: Incarnation,
    /// The weight version in use.
    pub weight_version: WeightVersion,
    /// Whether the server is leaving.
    pub leaving: bool,
    /// Attempts that are generating.
    pub running: u32,
    /// Attempts that wait.
    pub queued: u32,
    /// Prompt tokens still to be computed over all attempts.
    pub queued_prompt_tokens: u64,
    /// The rate at which prompt tokens are computed.
    pub prefill_tokens_per_s: u64,
    /// How old the report is, in milliseconds.
    pub age_ms: u64,
}

/// Lists the pieces in a server's memory.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct KvSnapshot {
    /// The server's incarnation.
    pub incarnation: Incarnation,
    /// The keys in memory.
    pub keys: Vec<ChainKey>,
    /// The number of the next event after the snapshot.
    pub next_event: u64,
}

/// Holds consecutive cache events.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct KvEvents {
    /// The server's incarnation.
    pub incarnation: Incarnation,
    /// The events, oldest first; numbers may leave gaps.
    pub events: Vec<KvEvent>,
    /// The number of the next event.
    pub next_event: u64,
}

/// Holds one cache event.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct KvEvent {
    /// The event's number.
    pub number: u64,
    /// The piece.
    pub key: ChainKey,
    /// What happened to it.
    pub change: KvChange,
}

/// Says what happened to a cached piece.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum KvChange {
    /// The piece came into memory.
    Stored,
    /// The piece left memory.
    Evicted,
}

/// Asks an engine to write pieces to a store host and commit them.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Export {
    /// The attempt under which the blocks are written.
    pub attempt_id: AttemptId,
    /// The store host.
    pub store: SocketAddr,
    /// How long the blocks are to be kept, in milliseconds.
    pub expires_in_ms: u64,
    /// The pieces with the write-once names of their blocks.
    pub blocks: Vec<ExportBlock>,
}

/// Names the block for one exported piece.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ExportBlock {
    /// The piece.
    pub key: ChainKey,
    /// The block's name.
    pub name: String,
}

/// Answers an [`Export`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ExportAnswer {
    /// The blocks that are committed now, with what was committed.
    pub committed: Vec<CommittedBlock>,
}

/// Describes one committed block.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CommittedBlock {
    /// The piece.
    pub key: ChainKey,
    /// The block's name.
    pub name: String,
    /// The committed length.
    pub length_bytes: u64,
    /// The committed checksum.
    pub checksum: String,
}

/// Asks an engine to read blocks from store hosts into its memory.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Import {
    /// The attempt that needs the blocks.
    pub attempt_id: AttemptId,
    /// The weight version that the blocks must be of.
    pub weight_version: WeightVersion,
    /// The blocks in the order of the chain.
    pub blocks: Vec<ImportBlock>,
}

/// Names one block to import, and what it must be.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ImportBlock {
    /// The piece.
    pub key: ChainKey,
    /// The store host.
    pub store: SocketAddr,
    /// The block's name.
    pub name: String,
    /// The committed length.
    pub length_bytes: u64,
    /// The committed checksum.
    pub checksum: String,
}

/// Answers an [`Import`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ImportAnswer {
    /// The pieces that were read, verified and are in memory now.
    pub imported: Vec<ChainKey>,
}

/// Asks a server to load a weight version.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LoadCommand {
    /// The version.
    pub weight_version: WeightVersion,
    /// The fencing token: the log offset of the steward's lease.
    pub fencing: LogOffset,
}

/// Explains a refusal.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Refusal {
    /// Why, as a short word: `wrong_version`, `leaving`, `full` or `malformed`.
    pub reason: String,
    /// Whether the engine vouches that nothing was run.
    pub not_run: bool,
}
