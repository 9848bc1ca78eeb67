//! Times, sizes and counts of the daemon.

use std::time::Duration;

/// How often the host list is read.
pub(crate) const HOST_LIST_INTERVAL: Duration = Duration::from_millis(1_000);
/// How often each server's load is read.
pub(crate) const LOAD_INTERVAL: Duration = Duration::from_millis(250);
/// How long one read of the log waits for a record.
pub(crate) const LOG_WAIT: Duration = Duration::from_millis(2_000);
/// How long the log may take to answer an append.
pub(crate) const LOG_APPEND_TIMEOUT: Duration = Duration::from_millis(5_000);
/// How much longer each rank among the writers of snapshots waits than the one before.
pub(crate) const SNAPSHOT_RANK_PAUSE_MS: u64 = 3_000;
/// The most records read at once.
pub(crate) const LOG_PAGE_RECORDS: usize = 48;
/// How long the home of a prompt may take to answer.
pub(crate) const HOME_TIMEOUT: Duration = Duration::from_millis(60);
/// How long the home of a prompt in another region may take to answer.
pub(crate) const FAR_HOME_TIMEOUT: Duration = Duration::from_millis(120);
/// From how many missing pieces on the homes in other regions are asked.
pub(crate) const FAR_HOME_MISSING_PIECES: usize = 3;
/// Every how many reads of load a server in another region is read.
pub(crate) const FAR_LOAD_EVERY: u64 = 8;
/// How long a peer may take to answer any other message.
pub(crate) const PEER_TIMEOUT: Duration = Duration::from_millis(500);
/// How long the last answer's bytes are given to leave before the process ends.
pub(crate) const DRAIN_LINGER: Duration = Duration::from_millis(200);
/// How many usual token gaps without a byte make a connection silent.
pub(crate) const SILENCE_TOKEN_GAPS: u32 = 25;
/// The shortest time without a byte that makes a connection silent.
pub(crate) const MIN_SILENCE: Duration = Duration::from_millis(1_000);
/// How long an export may take.
pub(crate) const EXPORT_TIMEOUT: Duration = Duration::from_millis(30_000);
/// How long an import may take beyond what is expected.
pub(crate) const IMPORT_MARGIN: Duration = Duration::from_millis(1_000);
/// How many parts of an answer may wait for a caller to read.
pub(crate) const ANSWER_QUEUE: usize = 64;
/// How long the outcome of a finished request is remembered for `why`, in requests.
pub(crate) const EXPLAINED_REQUESTS: usize = 2_048;
/// How often the drain looks whether requests are still under way.
pub(crate) const DRAIN_POLL: Duration = Duration::from_millis(20);
/// How long a connection may stay without a byte in either direction.
pub(crate) const IDLE_CONNECTION: Duration = Duration::from_secs(120);
/// The longest answer when the caller names no limit, in tokens.
pub(crate) const DEFAULT_ANSWER_TOKENS: u64 = 256;
/// How long a store host may take to say which blocks it keeps, while a caller waits.
pub(crate) const STORE_LOOKUP_TIMEOUT: Duration = Duration::from_millis(50);
/// How long an append of order records may take.
pub(crate) const ORDER_APPEND_TIMEOUT: Duration = Duration::from_millis(1_000);
/// How often the committer looks for work without being woken.
pub(crate) const ORDER_COMMIT_IDLE: Duration = Duration::from_millis(1_000);
/// How often time passes for open orders.
pub(crate) const ORDER_TICK: Duration = Duration::from_millis(50);
/// How many ticks lie between two looks at the live entry hosts.
pub(crate) const ORDER_TICKS_PER_VIEW: u64 = 4;
/// How long a server may take to tell an order's outcome.
pub(crate) const ORDER_STATUS_TIMEOUT: Duration = Duration::from_millis(1_000);
/// How long a read of the orders stream waits for a record before any time is covered.
pub(crate) const ORDER_FIRST_WAIT: Duration = Duration::from_millis(50);
/// How often expired rows and unused budgets are dropped.
pub(crate) const SWEEP_INTERVAL: Duration = Duration::from_secs(30);
/// The largest headers of a request in all, in bytes.
pub(crate) const MAX_HEADER_BYTES: usize = 64 << 10;
