//! The target size of the system, and a node's budget for control.

/// Number of entry hosts.
pub const NODES: f64 = 350.0;
/// Number of model servers.
pub const SERVERS: f64 = 800.0;
/// Number of prompts whose prefix returns in later requests.
pub const RETURNING_PROMPTS: f64 = 460_000.0;
/// Number of organisations.
pub const ORGANISATIONS: f64 = 2_800.0;
/// Number of models.
pub const MODELS: f64 = 8.0;
/// Number of failure domains.
pub const DOMAINS: f64 = 4.0;
/// Number of regions.
pub const REGIONS: f64 = 2.0;
/// Configuration changes per day.
pub const CHANGES_PER_DAY: f64 = 1_100.0;
/// Restarts and replacements of nodes per day.
pub const RESTARTS_PER_DAY: f64 = 98.0;
/// Requests per second at peak load.
pub const REQUESTS_PER_S: f64 = 4_100.0;
/// Generated tokens per second at peak load.
pub const TOKENS_PER_S: f64 = 1_900_000.0;
/// Number of segments of a returning prompt.
pub const SEGMENTS_PER_PROMPT: f64 = 10.0;
/// Cache events of the servers per request: one block stored, one dropped.
pub const EVENTS_PER_REQUEST: f64 = 2.0;
/// Orders per second for which the rows on orders are computed.
pub const ORDERS_PER_S: f64 = 10.0;
/// How long the ledger retains an order's key.
pub const ORDER_WINDOW_S: f64 = 1_800.0;
/// Appends of order records per second over all nodes.
pub const ORDER_APPENDS_PER_S: f64 = 300.0;

/// Budget of a node's control for processor time, in microseconds per second.
pub const BUDGET_CPU_US_PER_S: f64 = 14_000.0;
/// Budget of a node's control for bytes sent and received per second.
pub const BUDGET_BYTES_PER_S: f64 = 6_000.0;
/// Budget of a node's control for memory.
pub const BUDGET_MEMORY_BYTES: f64 = 64e6;

/// Seconds in a day.
pub const S_PER_DAY: f64 = 86_400.0;
