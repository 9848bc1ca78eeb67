//! Settings of a daemon.

pub mod shape;

use protocol::ids::{FailureDomain, HostName, Region};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// All settings of a daemon.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ProcessSettings {
    /// The name of the host that the daemon runs on.
    pub host: HostName,
    /// The host's failure domain.
    pub failure_domain: FailureDomain,
    /// The host's region.
    pub region: Region,
    /// The addresses that the daemon listens on.
    pub listen: ListenSettings,
    /// The platform's services.
    pub platform: PlatformSettings,
    /// Peers to contact first when the platform is unreachable.
    #[serde(default)]
    pub seed_peers: Vec<SocketAddr>,
    /// Maps addresses to the addresses under which this host reaches them.
    #[serde(default)]
    pub address_map: BTreeMap<SocketAddr, SocketAddr>,
    /// The limits on callers' requests.
    #[serde(default)]
    pub limits: LimitSettings,
    /// The time limits of a graceful shutdown.
    #[serde(default)]
    pub drain: DrainSettings,
    /// The placement policy of prompts.
    #[serde(default)]
    pub policy: PlacementPolicy,
    /// The number of threads that serve requests.
    #[serde(default = "default_worker_threads")]
    pub worker_threads: u32,
    /// The log level.
    #[serde(default)]
    pub log_level: LogLevel,
    /// The address that counters are sent to as StatsD datagrams.
    #[serde(default)]
    pub statsd: Option<SocketAddr>,
}

/// The addresses to listen on; port 0 binds any free port.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// The listener for callers' requests.
    pub callers: SocketAddr,
    /// The listener for messages from other entry hosts.
    pub peers: SocketAddr,
    /// The listener for operators' requests.
    pub operators: SocketAddr,
}

/// The platform's services: their addresses, and the log's retention and append budget.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// The address of the append-only log.
    pub log: SocketAddr,
    /// The address of the list of live and leaving hosts.
    pub host_list: SocketAddr,
    /// The minimum retention of a record in the log, in milliseconds.
    #[serde(default = "default_log_retention_ms")]
    pub log_retention_ms: u64,
    /// The append budget for orders of all entry hosts together, in appends per second.
    #[serde(default = "default_log_appends_per_s")]
    pub log_appends_per_s: u64,
}

impl PlatformSettings {
    /// Creates settings with the default retention and append budget of the log.
    pub const fn new(log: SocketAddr, host_list: SocketAddr) -> Self {
        Self {
            log,
            host_list,
            log_retention_ms: default_log_retention_ms(),
            log_appends_per_s: default_log_appends_per_s(),
        }
    }
}

/// With fewer threads, the requests of a burst wait for each other's prompts to be processed.
const fn default_worker_threads() -> u32 {
    4
}

const fn default_log_retention_ms() -> u64 {
    3_600_000
}

const fn default_log_appends_per_s() -> u64 {
    300
}

/// Limits on callers' requests.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LimitSettings {
    /// The maximum size of a request body, in bytes.
    pub body_bytes: u64,
    /// The maximum length of an answer that a caller may request, in tokens.
    pub answer_tokens: u64,
    /// The timeout for a caller to send its request, in milliseconds.
    pub caller_read_ms: u64,
    /// The timeout for a caller to read written bytes, in milliseconds.
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

/// Time limits of a graceful shutdown.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct DrainSettings {
    /// The wait for the load balancer to notice that the host is not ready, in milliseconds.
    pub balancer_wait_ms: u64,
    /// The time limit of the drain, in milliseconds; it includes the wait for the load balancer.
    pub bound_ms: u64,
}

impl Default for DrainSettings {
    fn default() -> Self {
        Self { balancer_wait_ms: 2_000, bound_ms: 120_000 }
    }
}

/// The policy by which prompts are placed on servers.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PlacementPolicy {
    /// The server with the lowest expected time to first token, counting cached KV blocks.
    #[default]
    Camphorward,
    /// Round robin over the servers; a baseline.
    RoundRobin,
    /// The server with the lowest load; a baseline.
    LeastLoad,
    /// The server that the prompt's first segment hashes to; a baseline.
    PrefixHash,
}

/// The least severe level that is logged.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Nothing.
    Off,
    /// Errors that need an operator's attention.
    Error,
    /// Errors that the system handles itself.
    Warn,
    /// Changes of state.
    #[default]
    Info,
    /// One line per attempt.
    Debug,
    /// Everything.
    Trace,
}
