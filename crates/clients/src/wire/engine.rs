//! Bodies of the calls to an inference engine on a backend server.
//!
//! | call | answer |
//! |---|---|
//! | `POST /v1/completions` with [`CompletionRequest`] | the head carries attempt, version and incarnation ([`ATTEMPT_HEADER`], [`VERSION_HEADER`], [`INCARNATION_HEADER`]); then server-sent events with [`StreamEvent`], comment lines as keepalives, `[DONE]` last |
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

/// The response header that echoes the attempt ID.
pub const ATTEMPT_HEADER: &str = "x-attempt-id";
/// The response header with the weight version in use.
pub const VERSION_HEADER: &str = "x-weight-version";
/// The response header with the server's incarnation.
pub const INCARNATION_HEADER: &str = "x-incarnation";

pub use protocol::size::TEXT_BYTES_PER_TOKEN;

/// Requests a completion.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CompletionRequest {
    /// The attempt ID, echoed in the head and in each event.
    pub attempt_id: AttemptId,
    /// The model.
    pub model: String,
    /// The weight version that the request must run on.
    pub weight_version: WeightVersion,
    /// The text of the prompt.
    pub prompt: String,
    /// The maximum length of the answer, in tokens.
    pub max_tokens: u64,
    /// The priority; greater values run first.
    pub priority: i32,
    /// Separates the prefix cache of one organisation from those of the others.
    pub cache_salt: String,
    /// The prompt's full segments, by whose keys the engine caches KV blocks.
    #[serde(rename = "pieces")]
    pub segments: Vec<PromptSegment>,
    /// The first token to send; an earlier attempt has delivered the tokens before it.
    pub resume_at_token: u64,
}

/// One segment of a prompt.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct PromptSegment {
    /// The key of the segment's KV block.
    pub key: ChainKey,
    /// The end of the segment in the prompt's text, in bytes.
    pub end_byte: usize,
}

/// One server-sent event of an answer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct StreamEvent {
    /// The attempt ID.
    pub attempt_id: AttemptId,
    /// The content of the event.
    #[serde(flatten)]
    pub body: StreamBody,
}

/// The content of an event: a token or the end mark.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StreamBody {
    /// One token.
    Token(Token),
    /// The end mark.
    End(End),
}

/// One token of an answer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Token {
    /// The token's offset in the answer, counted from zero.
    pub offset: u64,
    /// The token's text.
    pub text: String,
}

/// The end mark of an answer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct End {
    /// The length of the complete answer, in tokens.
    pub answer_tokens: u64,
    /// The length of the prompt, in tokens.
    pub prompt_tokens: u64,
    /// The number of prompt tokens that came from the cache or from imports.
    pub cached_tokens: u64,
}

/// Cancels an attempt.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Cancel {
    /// The attempt ID.
    pub attempt_id: AttemptId,
}

/// A server's load, possibly outdated by `age_ms`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LoadReport {
    /// The server's incarnation.
    pub incarnation: Incarnation,
    /// The weight version in use.
    pub weight_version: WeightVersion,
    /// Whether the server is leaving.
    pub leaving: bool,
    /// Number of attempts that generate tokens.
    pub running: u32,
    /// Number of queued attempts.
    pub queued: u32,
    /// Number of prompt tokens still to be prefilled, over all attempts.
    pub queued_prompt_tokens: u64,
    /// The prefill rate, in prompt tokens per second.
    pub prefill_tokens_per_s: u64,
    /// The age of the report, in milliseconds.
    pub age_ms: u64,
}

/// The KV blocks in a server's memory.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct KvSnapshot {
    /// The server's incarnation.
    pub incarnation: Incarnation,
    /// The keys of the blocks in memory.
    pub keys: Vec<ChainKey>,
    /// The number of the first event after the snapshot.
    pub next_event: u64,
}

/// Consecutive cache events.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct KvEvents {
    /// The server's incarnation.
    pub incarnation: Incarnation,
    /// The events, oldest first; their numbers may have gaps.
    pub events: Vec<KvEvent>,
    /// The number of the next event.
    pub next_event: u64,
}

/// One cache event.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct KvEvent {
    /// The event's number.
    pub number: u64,
    /// The key of the block.
    pub key: ChainKey,
    /// The change.
    pub change: KvChange,
}

/// A change of the cache.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum KvChange {
    /// The block was stored in memory.
    Stored,
    /// The block was evicted from memory.
    Evicted,
}

/// Requests that an engine write blocks to a store host and commit them.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Export {
    /// The attempt under which the blocks are written.
    pub attempt_id: AttemptId,
    /// The store host.
    pub store: SocketAddr,
    /// The TTL of the blocks, in milliseconds.
    pub expires_in_ms: u64,
    /// The blocks to export, with their write-once names.
    pub blocks: Vec<ExportBlock>,
}

/// A block to export.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ExportBlock {
    /// The key of the segment.
    pub key: ChainKey,
    /// The block's name.
    pub name: String,
}

/// Answers an [`Export`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ExportAnswer {
    /// The blocks that are committed now, with their lengths and checksums.
    pub committed: Vec<CommittedBlock>,
}

/// A committed block.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CommittedBlock {
    /// The key of the segment.
    pub key: ChainKey,
    /// The block's name.
    pub name: String,
    /// The committed length.
    pub length_bytes: u64,
    /// The committed checksum.
    pub checksum: String,
}

/// Requests that an engine read blocks from store hosts into its memory.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Import {
    /// The attempt that needs the blocks.
    pub attempt_id: AttemptId,
    /// The weight version that the blocks must have been computed with.
    pub weight_version: WeightVersion,
    /// The blocks, in the order of the chain.
    pub blocks: Vec<ImportBlock>,
}

/// A block to import, with its expected length and checksum.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ImportBlock {
    /// The key of the segment.
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
    /// The keys of the segments that were read, verified and are in memory now.
    pub imported: Vec<ChainKey>,
}

/// Commands a server to load a weight version.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LoadCommand {
    /// The weight version.
    pub weight_version: WeightVersion,
    /// The fencing token: the log offset of the rollout lease.
    pub fencing: LogOffset,
}

/// Explains a refusal.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Refusal {
    /// The reason: `wrong_version`, `leaving`, `full` or `malformed`.
    pub reason: String,
    /// Whether the engine guarantees that nothing was run.
    pub not_run: bool,
}
