//! What an engine is told, and what it counts.

use protocol::ids::{Incarnation, WeightVersion};
use protocol::size::{BytesPerSecond, TokenCount, TokensPerSecond};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Configures an engine.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineConfig {
    /// Where the engine listens; port 0 takes any free port.
    pub address: SocketAddr,
    /// Store hosts that are reached under another address from here.
    pub address_map: BTreeMap<SocketAddr, SocketAddr>,
    /// The incarnation of the first life.
    pub incarnation: Incarnation,
    /// The weight version that each life starts with.
    pub weight_version: WeightVersion,
    /// The rate at which prompt tokens are computed, one prompt after another.
    pub prefill_rate: TokensPerSecond,
    /// The gap between two tokens of an answer, in milliseconds.
    pub token_gap_ms: u64,
    /// How many attempts generate at once.
    pub max_running: usize,
    /// How many further attempts may wait.
    pub max_queued: usize,
    /// How much of prompts the prefix cache holds.
    pub cache_size: TokenCount,
    /// The gap between keepalives of a waiting stream, in milliseconds.
    pub keepalive_ms: u64,
    /// How old a load report may be, in milliseconds.
    pub load_lag_ms: u64,
    /// How late cache events appear, in milliseconds.
    pub event_lag_ms: u64,
    /// Every so many cache events one is lost; zero for none.
    pub event_lost_every: u64,
    /// The modelled bytes of KV cache that one token takes.
    pub kv_bytes_per_token: u64,
    /// Whether a block's body has its modelled size instead of a few kilobytes.
    pub full_size_blocks: bool,
    /// The rate at which blocks are read, over all imports.
    pub import_bytes_per_s: BytesPerSecond,
    /// The rate at which blocks are written, over all exports.
    pub export_bytes_per_s: BytesPerSecond,
    /// Whether imported blocks are checked for length, checksum and version.
    pub verifies_blocks: bool,
    /// Whether requests for another weight version are refused.
    pub checks_version: bool,
    /// Whether orders with an old fencing token are refused.
    pub checks_fencing: bool,
    /// Whether new work is refused while the engine is leaving.
    pub refuses_when_leaving: bool,
    /// How long weights take to load when at most two engines load, in milliseconds.
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

/// Returns the version that engines start with unless told otherwise.
///
/// # Panics
///
/// Never: the literal is a valid name.
fn default_version() -> WeightVersion {
    "v1".parse().expect("a literal name is valid")
}

/// Selects an engine's faults.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Every call is delayed by so many milliseconds.
    pub delay_ms: u64,
    /// The engine is leaving.
    pub leaving: bool,
    /// The engine crashes when it starts to compute a prompt that holds this text.
    pub crash_marker: Option<String>,
    /// How long after a crash the engine starts again, in milliseconds; never if absent.
    pub restart_after_ms: Option<u64>,
    /// How many of the next runs the stream faults below are for; all if absent.
    #[serde(rename = "stream_fault_runs")]
    pub stream_fault_attempts: Option<u32>,
    /// After so many tokens nothing more is sent, and the connection stays open.
    pub silent_after_tokens: Option<u64>,
    /// After so many tokens the last one is sent again.
    pub duplicate_after_tokens: Option<u64>,
    /// After so many tokens the rest carries another attempt's id and text.
    pub crossed_after_tokens: Option<u64>,
    /// After so many tokens the answer ends without an end mark.
    pub truncated_after_tokens: Option<u64>,
    /// Cancellations are accepted and ignored.
    pub ignores_cancel: bool,
}

/// Counts what an engine did over all its lives.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct EngineCounters {
    /// Attempts that were accepted.
    #[serde(rename = "runs")]
    pub attempts: u64,
    /// Attempts that were accepted while the engine was leaving.
    #[serde(rename = "runs_while_leaving")]
    pub attempts_while_leaving: u64,
    /// Attempts that ran to the end mark.
    pub completed: u64,
    /// Attempts that were cancelled or whose connection closed before the end mark.
    pub abandoned: u64,
    /// Attempts that were refused.
    pub refused: u64,
    /// Prompt tokens of the attempts whose prompt was computed.
    pub prompt_tokens: u64,
    /// Those of them that came from the cache or from imports.
    pub cached_tokens: u64,
    /// Tokens that were sent.
    pub sent_tokens: u64,
    /// Blocks that were imported.
    pub imported_blocks: u64,
    /// Modelled bytes of the imported blocks.
    pub imported_bytes: u64,
    /// Blocks that could not be read or failed the check.
    pub rejected_blocks: u64,
    /// Blocks that were exported and committed.
    pub exported_blocks: u64,
    /// Modelled bytes of the exported blocks.
    pub exported_bytes: u64,
    /// Weights that were loaded.
    pub loads: u64,
    /// Orders with an old fencing token that were refused.
    #[serde(rename = "stale_orders")]
    pub stale_commands: u64,
    /// Crashes.
    pub crashes: u64,
}
