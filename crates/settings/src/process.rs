//! The settings of one daemon.

pub mod shape;

use protocol::ids::{FailureDomain, HostName, Region};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Holds all settings of one daemon.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ProcessSettings {
    /// The name of the host that the daemon runs on.
    pub host: HostName,
    /// The host's failure domain.
    pub failure_domain: FailureDomain,
    /// The host's region.
    pub region: Region,
    /// Where the daemon listens.
    pub listen: ListenSettings,
    /// Where the platform's services are.
    pub platform: PlatformSettings,
    /// Peers to ask first when the platform cannot be reached.
    #[serde(default)]
    pub seed_peers: Vec<SocketAddr>,
    /// Addresses that are reached under another address from here.
    #[serde(default)]
    pub address_map: BTreeMap<SocketAddr, SocketAddr>,
    /// What callers may send.
    #[serde(default)]
    pub limits: LimitSettings,
    /// How the daemon shuts down.
    #[serde(default)]
    pub drain: DrainSettings,
    /// How prompts are placed.
    #[serde(default)]
    pub policy: PlacementPolicy,
    /// The threads that serve requests.
    #[serde(default = "default_worker_threads")]
    pub worker_threads: u32,
    /// What is logged.
    #[serde(default)]
    pub log_level: LogLevel,
    /// Where counters are sent as StatsD datagrams.
    #[serde(default)]
    pub statsd: Option<SocketAddr>,
}

/// Gives the listeners' addresses; port 0 takes any free port.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// Where callers send requests.
    pub callers: SocketAddr,
    /// Where other entry hosts send messages.
    pub peers: SocketAddr,
    /// Where operators ask for status.
    pub operators: SocketAddr,
}

/// Gives the addresses of the platform's services.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// The append-only log.
    pub log: SocketAddr,
    /// The list of live and leaving hosts.
    pub host_list: SocketAddr,
    /// How long the log keeps a record at the least, in milliseconds.
    #[serde(default = "default_log_retention_ms")]
    pub log_retention_ms: u64,
    /// The appends a second that all entry hosts together may make for orders.
    #[serde(default = "default_log_appends_per_s")]
    pub log_appends_per_s: u64,
}

impl PlatformSettings {
    /// Creates settings with a log of default retention and budget.
    pub const fn new(log: SocketAddr, host_list: SocketAddr) -> Self {
        Self {
            log,
            host_list,
            log_retention_ms: default_log_retention_ms(),
            log_appends_per_s: default_log_appends_per_s(),
        }
    }
}

/// Fewer threads let a burst of requests wait behind each other's prompts.
const fn default_worker_threads() -> u32 {
    4
}

const fn default_log_retention_ms() -> u64 {
    3_600_000
}

const fn default_log_appends_per_s() -> u64 {
    300
}

/// Bounds what callers may send.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LimitSettings {
    /// The largest body, in bytes.
    pub body_bytes: u64,
    /// The largest answer that a caller may ask for, in tokens.
    pub answer_tokens: u64,
    /// How long a caller may take to send its request, in milliseconds.
    pub caller_read_ms: u64,
    /// How long a caller may leave written bytes unread, in milliseconds.
    pub caller_write_ms: u64,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            body_bytes: 8 << 20,
            answer_tokens: 32_768,
            caller_read_ms: 10_000,
            caller_write_ms: 20_000,
        }
    }
}

/// Bounds a graceful shutdown.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct DrainSettings {
    /// How long the balancer is given to see that the host is not ready, in milliseconds.
    pub balancer_wait_ms: u64,
    /// How long requests under way may take to finish, in milliseconds.
    pub bound_ms: u64,
}

impl Default for DrainSettings {
    fn default() -> Self {
        Self { balancer_wait_ms: 2_000, bound_ms: 120_000 }
    }
}

/// Selects how prompts are placed on servers.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PlacementPolicy {
    /// Least expected time to the first token, with kept work.
    #[default]
    Camphorward,
    /// Each server in turn; a baseline.
    RoundRobin,
    /// The server with the least load; a baseline.
    LeastLoad,
    /// The server that the first piece hashes to; a baseline.
    PrefixHash,
}

/// Selects what is logged.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Nothing.
    Off,
    /// Faults that need an operator.
    Error,
    /// Faults that the system handles itself.
    Warn,
    /// Changes of state.
    #[default]
    Info,
    /// One line for each attempt.
    Debug,
    /// Everything.
    Trace,
}
