//! The configuration, faults and counters of an engine.

use protocol::ids::{Incarnation, WeightVersion};
use protocol::size::{BytesPerSecond, TokenCount, TokensPerSecond};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The configuration of an engine.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineConfig {
    /// The listen address; port 0 selects any free port.
    pub address: SocketAddr,
    /// Maps the addresses of store hosts to those under which they are reached from here.
    pub address_map: BTreeMap<SocketAddr, SocketAddr>,
    /// The first incarnation.
    pub incarnation: Incarnation,
    /// The weight version that each incarnation starts with.
    pub weight_version: WeightVersion,
    /// The prefill rate, for one prompt at a time.
    pub prefill_rate: TokensPerSecond,
    /// The gap between two tokens of an answer, in milliseconds.
    pub token_gap_ms: u64,
    /// Maximum number of attempts that generate at once.
    pub max_running: usize,
    /// Maximum number of further attempts that may be queued.
    pub max_queued: usize,
    /// The capacity of the prefix cache.
    pub cache_size: TokenCount,
    /// The interval of keepalives on a stream without tokens yet, in milliseconds.
    pub keepalive_ms: u64,
    /// Maximum age of a load report, in milliseconds.
    pub load_lag_ms: u64,
    /// The delay before a cache event becomes visible, in milliseconds.
    pub event_lag_ms: u64,
    /// One in this many cache events is dropped; zero drops none.
    pub event_lost_every: u64,
    /// The modelled size of one token's KV cache, in bytes.
    pub kv_bytes_per_token: u64,
    /// Whether a block's body has its modelled size, instead of a few kilobytes.
    pub full_size_blocks: bool,
    /// The import rate, over all imports together.
    pub import_bytes_per_s: BytesPerSecond,
    /// The export rate, over all exports together.
    pub export_bytes_per_s: BytesPerSecond,
    /// Whether imported blocks are checked for length, checksum and version.
    pub verifies_blocks: bool,
    /// Whether requests for another weight version are refused.
    pub checks_version: bool,
    /// Whether load commands with an old fencing token are refused.
    pub checks_fencing: bool,
    /// Whether new attempts are refused while the engine is leaving.
    pub refuses_when_leaving: bool,
    /// The time to load weights while at most two engines load, in milliseconds.
    pub load_ms: u64,
}

impl Default for EngineConfig {
    fn default() -> Self {
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            address_map: BTreeMap::new(),
            incarnation: Incarnation::new(1),
            weight_version: default_version(),
            prefill_rate: TokensPerSecond::new(20_000),
            token_gap_ms: 10,
            max_running: 16,
            max_queued: 256,
            cache_size: TokenCount::new(200_000),
            keepalive_ms: 500,
            load_lag_ms: 100,
            event_lag_ms: 50,
            event_lost_every: 0,
            kv_bytes_per_token: 64,
            full_size_blocks: false,
            import_bytes_per_s: BytesPerSecond::new(50_000_000),
            export_bytes_per_s: BytesPerSecond::new(50_000_000),
            verifies_blocks: true,
            checks_version: true,
            checks_fencing: true,
            refuses_when_leaving: true,
            load_ms: 500,
        }
    }
}

/// Returns the weight version that engines start with by default.
///
/// # Panics
///
/// Never: the literal is a valid name.
fn default_version() -> WeightVersion {
    "v1".parse().expect("a literal name is valid")
}

/// The faults of an engine.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Delay of every call, in milliseconds.
    pub delay_ms: u64,
    /// Whether the engine is leaving.
    pub leaving: bool,
    /// The engine crashes when it starts to prefill a prompt that contains this text.
    pub crash_marker: Option<String>,
    /// The delay from a crash to the restart, in milliseconds; no restart if absent.
    pub restart_after_ms: Option<u64>,
    /// Number of attempts that the stream faults below still apply to; all if absent.
    #[serde(rename = "stream_fault_runs")]
    pub stream_fault_attempts: Option<u32>,
    /// After this many tokens, nothing more is sent and the connection stays open.
    pub silent_after_tokens: Option<u64>,
    /// After this many tokens, the last one is sent again.
    pub duplicate_after_tokens: Option<u64>,
    /// After this many tokens, the rest carries the ID and text of another attempt.
    pub crossed_after_tokens: Option<u64>,
    /// After this many tokens, an event follows that never ends.
    pub endless_after_tokens: Option<u64>,
    /// After this many tokens, the answer ends without an end mark.
    pub truncated_after_tokens: Option<u64>,
    /// Whether cancellations are accepted and ignored.
    pub ignores_cancel: bool,
}

/// The counters of an engine over all its incarnations.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct EngineCounters {
    /// Attempts that were accepted.
    #[serde(rename = "runs")]
    pub attempts: u64,
    /// Attempts that were accepted while the engine was leaving.
    #[serde(rename = "runs_while_leaving")]
    pub attempts_while_leaving: u64,
    /// Attempts that completed with the end mark.
    pub completed: u64,
    /// Attempts that were cancelled or whose connection closed before the end mark.
    pub abandoned: u64,
    /// Attempts that were refused.
    pub refused: u64,
    /// Prompt tokens of the attempts whose prefill is complete.
    pub prompt_tokens: u64,
    /// Those of the prompt tokens that came from the cache or from imports.
    pub cached_tokens: u64,
    /// Tokens that were sent.
    pub sent_tokens: u64,
    /// Blocks that were imported.
    pub imported_blocks: u64,
    /// Modelled bytes of the imported blocks.
    pub imported_bytes: u64,
    /// Blocks that could not be read or failed verification.
    pub rejected_blocks: u64,
    /// Blocks that were exported and committed.
    pub exported_blocks: u64,
    /// Modelled bytes of the exported blocks.
    pub exported_bytes: u64,
    /// Weight versions that were loaded.
    pub loads: u64,
    /// Load commands that were refused because of an old fencing token.
    #[serde(rename = "stale_orders")]
    pub stale_commands: u64,
    /// Crashes.
    pub crashes: u64,
}
