//! Bounds and times of the host table and its probes.

/// The time between two calls of [`crate::Prober::tick`], in milliseconds.
pub const TICK_MS: u64 = 250;
/// A probe or report without an answer for this long has failed, in milliseconds.
pub const PROBE_TIMEOUT_MS: u64 = 750;
/// Every how many ticks an entry host is probed when nothing has changed.
pub const TICKS_PER_PEER_PROBE: u64 = 2;
/// Every how many ticks a host that was called unreachable is probed.
pub const TICKS_PER_UNREACHABLE_PROBE: u64 = 8;
/// The most entry hosts probed in one tick to pass on a change.
pub const EAGER_FANOUT: usize = 3;
/// The most watched servers probed in one tick.
pub const SERVER_PROBES_PER_TICK: usize = 2;
/// The most doubtful hosts probed in one tick.
pub const CHECKS_PER_TICK: usize = 6;
/// The number of entry hosts that probe a server.
pub const WATCHERS_PER_SERVER: usize = 2;
/// The number of entry hosts of a failure domain that read the platform's list.
pub const LIST_READERS_PER_DOMAIN: usize = 2;
/// The number of failed probes in a row after which a host is suspected aloud.
pub const FAILURES_BEFORE_SUSPICION: u32 = 2;
/// The number of failed probes in a row after which a host is not probed out of turn.
pub const FAILURES_BEFORE_REST: u32 = 3;
/// A host whose own probes have failed for this long is unreachable, in milliseconds.
pub const UNREACHABLE_AFTER_MS: u64 = 2_000;
/// A host whose suspicion by others stands for this long is unreachable, in milliseconds.
pub const SUSPECT_FOR_MS: u64 = 5_000;
/// A refuted suspicion is not raised again for this long by nodes that heard so, in milliseconds.
pub const REFUTED_FOR_MS: u64 = 60_000;
/// The least time between two exchanges that one node begins, in milliseconds.
pub const EXCHANGE_GAP_MS: u64 = 1_000;
/// The most that a recent view lags behind the table, in milliseconds.
pub const VIEW_GAP_MS: u64 = 50;
/// The least time between two changes of the servers that one node watches, in milliseconds.
pub const WATCH_GAP_MS: u64 = 1_000;
/// An unreachable host is kept in the table for this long, in milliseconds.
pub const RETAIN_MS: u64 = 24 * 60 * 60 * 1_000;
/// The number of shards of a table, each under its own lock.
pub const SHARDS: usize = 16;
/// The most changes that wait to be passed on.
pub const MAX_RUMOURS: usize = 2_048;
/// The most differing buckets that one exchange asks for.
pub const BUCKETS_PER_EXCHANGE: usize = 24;
