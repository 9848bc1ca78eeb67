//! Timeouts, intervals and size limits of the daemon.

use std::time::Duration;

/// Interval between reads of the host list.
pub(crate) const HOST_LIST_INTERVAL: Duration = Duration::from_millis(1_000);
/// Interval between reads of each server's load.
pub(crate) const LOAD_INTERVAL: Duration = Duration::from_millis(250);
/// How long one read of the log waits for a record to arrive.
pub(crate) const LOG_WAIT: Duration = Duration::from_millis(2_000);
/// Timeout of an append to the log.
pub(crate) const LOG_APPEND_TIMEOUT: Duration = Duration::from_millis(5_000);
/// Additional delay per rank before a host writes a snapshot that is due.
pub(crate) const SNAPSHOT_RANK_DELAY_MS: u64 = 3_000;
/// Maximum number of records in one read of the log.
pub(crate) const LOG_PAGE_RECORDS: usize = 48;
/// Timeout of a request to the home of a prompt in the local region, and of a query on a suspect.
pub(crate) const HOME_TIMEOUT: Duration = Duration::from_millis(60);
/// Timeout of a request to the home of a prompt in a remote region.
pub(crate) const REMOTE_HOME_TIMEOUT: Duration = Duration::from_millis(120);
/// Minimum number of uncached segments for which the homes in remote regions are queried.
pub(crate) const REMOTE_HOME_MIN_MISSING_SEGMENTS: usize = 3;
/// A server in a remote region is read once in this many rounds of load reads.
pub(crate) const REMOTE_LOAD_INTERVAL_ROUNDS: u64 = 8;
/// Timeout of any other message to a peer.
pub(crate) const PEER_TIMEOUT: Duration = Duration::from_millis(500);
/// How long the process waits after a drain for the last response bytes to be sent.
pub(crate) const DRAIN_LINGER: Duration = Duration::from_millis(200);
/// A stream counts as idle after this many expected token gaps without a byte.
pub(crate) const IDLE_TOKEN_GAPS: u32 = 25;
/// Minimum time without a byte before a stream counts as idle.
pub(crate) const MIN_IDLE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Timeout of an export of blocks.
pub(crate) const EXPORT_TIMEOUT: Duration = Duration::from_millis(30_000);
/// How much longer than expected an import may take.
pub(crate) const IMPORT_MARGIN: Duration = Duration::from_millis(1_000);
/// Maximum number of parts of an answer buffered for the caller.
pub(crate) const ANSWER_QUEUE_PARTS: usize = 64;
/// Maximum number of recent requests held for `why`.
pub(crate) const MAX_EXPLAINED_REQUESTS: usize = 2_048;
/// Interval at which a drain checks for requests in flight.
pub(crate) const DRAIN_POLL: Duration = Duration::from_millis(20);
/// Timeout of a connection that is idle in both directions.
pub(crate) const IDLE_CONNECTION_TIMEOUT: Duration = Duration::from_secs(120);
/// Maximum length of an answer in tokens if the caller sets no limit.
pub(crate) const DEFAULT_ANSWER_TOKENS: u64 = 256;
/// Timeout of a block lookup on a store host; a caller waits for it.
pub(crate) const STORE_LOOKUP_TIMEOUT: Duration = Duration::from_millis(50);
/// Timeout of an append of order records.
pub(crate) const ORDER_APPEND_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Interval at which the committer checks for records without being woken.
pub(crate) const ORDER_COMMIT_INTERVAL: Duration = Duration::from_millis(1_000);
/// Tick interval of the order coordinator.
pub(crate) const ORDER_TICK: Duration = Duration::from_millis(50);
/// Number of ticks between two updates of the live entry hosts.
pub(crate) const ORDER_TICKS_PER_VIEW: u64 = 4;
/// Timeout of a query for an order's outcome.
pub(crate) const ORDER_STATUS_TIMEOUT: Duration = Duration::from_millis(1_000);
/// How long a read of the orders stream waits for a record while the stream has not yet been read
/// without a gap from a known time on.
pub(crate) const ORDER_FIRST_WAIT: Duration = Duration::from_millis(50);
/// Interval at which expired entries and unused retry budgets are removed.
pub(crate) const SWEEP_INTERVAL: Duration = Duration::from_secs(30);
/// Maximum total size of a request's headers, in bytes.
pub(crate) const MAX_HEADER_BYTES: usize = 64 << 10;
