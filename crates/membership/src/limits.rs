//! Limits and intervals of the host table and its probes.

/// The interval between calls of [`crate::Prober::tick`], in milliseconds.
pub const TICK_MS: u64 = 250;
/// The timeout of a probe or of a read of a server's report, in milliseconds.
pub const PROBE_TIMEOUT_MS: u64 = 750;
/// The number of ticks between probes of entry hosts when no urgent update is pending.
pub const TICKS_PER_PEER_PROBE: u64 = 2;
/// The number of ticks between probes of unreachable hosts.
pub const TICKS_PER_UNREACHABLE_PROBE: u64 = 8;
/// The maximum number of entry hosts probed in one tick while an urgent update is pending.
pub const EAGER_FANOUT: usize = 3;
/// The maximum number of watched servers probed in one tick.
pub const SERVER_PROBES_PER_TICK: usize = 2;
/// The maximum number of unconfirmed hosts probed in one tick.
pub const CONFIRMATION_PROBES_PER_TICK: usize = 6;
/// The number of entry hosts that probe a server.
pub const WATCHERS_PER_SERVER: usize = 2;
/// The number of entry hosts in a failure domain that read the platform's host list.
pub const LIST_READERS_PER_DOMAIN: usize = 2;
/// The number of consecutive failures after which a node publishes a suspicion of a host.
pub const FAILURES_BEFORE_SUSPICION: u32 = 2;
/// The number of consecutive failures after which a host gets no more confirmation probes.
pub const FAILURES_BEFORE_BACKOFF: u32 = 3;
/// The time after which a host that this node repeatedly fails to reach is unreachable, in
/// milliseconds.
pub const UNREACHABLE_AFTER_MS: u64 = 2_000;
/// The time after which a host is unreachable if its suspicion is not refuted, in milliseconds.
pub const SUSPICION_TIMEOUT_MS: u64 = 5_000;
/// The time for which a node publishes no new suspicion of a host after receiving a refutation, in
/// milliseconds.
pub const REFUTATION_HOLD_MS: u64 = 60_000;
/// The minimum interval between exchanges that one node starts, in milliseconds.
pub const MIN_EXCHANGE_INTERVAL_MS: u64 = 1_000;
/// The maximum time by which a recent view lags behind the table, in milliseconds.
pub const MAX_VIEW_LAG_MS: u64 = 50;
/// The minimum interval between updates of the set of servers that a node watches, in milliseconds.
pub const MIN_WATCH_UPDATE_INTERVAL_MS: u64 = 1_000;
/// The time after which a suspected host is removed from the table, in milliseconds.
pub const SUSPECT_RETENTION_MS: u64 = 24 * 60 * 60 * 1_000;
/// The number of shards of a table, each with its own lock.
pub const SHARDS: usize = 16;
/// The maximum number of updates waiting in the gossip queue.
pub const MAX_PENDING_UPDATES: usize = 2_048;
/// The maximum number of differing buckets that one exchange requests.
pub const BUCKETS_PER_EXCHANGE: usize = 24;
