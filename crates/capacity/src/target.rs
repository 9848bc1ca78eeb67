//! The size that the system is built for, and what a node may spend on control.

/// Entry hosts.
pub const NODES: f64 = 350.0;
/// Model servers.
pub const SERVERS: f64 = 800.0;
/// Prompts that return.
pub const PROMPTS: f64 = 460_000.0;
/// Organisations.
pub const ORGANISATIONS: f64 = 2_800.0;
/// Models.
pub const MODELS: f64 = 8.0;
/// Failure domains.
pub const DOMAINS: f64 = 4.0;
/// Regions.
pub const REGIONS: f64 = 2.0;
/// Configuration changes a day.
pub const CHANGES_A_DAY: f64 = 1_100.0;
/// Restarts and replacements a day.
pub const RESTARTS_A_DAY: f64 = 98.0;
/// Requests a second at the peak.
pub const REQUESTS_PER_S: f64 = 4_100.0;
/// Generated tokens a second at the peak.
pub const TOKENS_PER_S: f64 = 1_900_000.0;
/// The pieces of a returning prompt.
pub const PIECES_A_PROMPT: f64 = 10.0;
/// Cache events of the servers for each request: one piece stored, one dropped.
pub const EVENTS_A_REQUEST: f64 = 2.0;
/// Orders a second for which the order rows are worked out.
pub const ORDERS_PER_S: f64 = 10.0;
/// How long the ledger remembers an order's key, in seconds.
pub const ORDER_WINDOW_S: f64 = 1_800.0;
/// Appends of order records a second over all nodes.
pub const ORDER_APPENDS_PER_S: f64 = 300.0;

/// The processor time that control may take, in microseconds a second.
pub const BUDGET_CPU_US_PER_S: f64 = 14_000.0;
/// The bytes that control may send or receive, a second.
pub const BUDGET_BYTES_PER_S: f64 = 6_000.0;
/// The memory that control may take.
pub const BUDGET_MEMORY_BYTES: f64 = 64e6;

/// Seconds in a day.
pub const S_PER_DAY: f64 = 86_400.0;
