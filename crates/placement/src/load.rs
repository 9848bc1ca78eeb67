//! Load of backend servers: their reports, corrected for attempts dispatched since.

mod server;

use crate::load::server::ServerLoad;
use protocol::ids::{AttemptId, HostName, Incarnation};
use sharded::Sharded;
use std::collections::HashMap;

pub use crate::load::server::{DEFAULT_PREFILL_TOKENS_PER_S, REPORT_MAX_AGE_MS};

/// Holds a load report of a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReportedLoad {
    /// The server's incarnation.
    pub incarnation: Incarnation,
    /// The attempts that generate tokens.
    pub running: u32,
    /// The attempts that are queued.
    pub queued: u32,
    /// The prompt tokens still to be prefilled, over all attempts.
    pub queued_prompt_tokens: u64,
    /// The prefill rate.
    pub prefill_tokens_per_s: u64,
    /// The time that the report describes.
    pub as_of_ms: u64,
}

/// Describes an attempt dispatched to a server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SentAttempt {
    /// The attempt.
    pub attempt_id: AttemptId,
    /// The prompt tokens that the server has to prefill.
    pub recomputed_tokens: u64,
    /// The expected time to first token, counted from `sent_at_ms`.
    pub expected_first_token_ms: u64,
    /// When the attempt reaches the server's queue, which is after its imports. With an earlier
    /// time, a report made during the imports would be taken to include the attempt.
    pub sent_at_ms: u64,
}

/// Holds the estimated load of a server at one point in time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadEstimate {
    /// The time until the queued prompt tokens are prefilled, corrected by how late recent first
    /// tokens were.
    pub queue_ms: f64,
    /// The prefill rate.
    pub prefill_tokens_per_s: u64,
    /// The attempts on the server, running and queued.
    pub attempts: u32,
    /// Whether the estimate is based on a report that is recent enough.
    pub reported: bool,
}

/// Holds the load of all servers, in shards by server.
#[derive(Debug)]
pub struct LoadTable {
    shards: Sharded<HashMap<HostName, ServerLoad>>,
}

impl Default for LoadTable {
    fn default() -> Self {
        Self::new()
    }
}

impl LoadTable {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self { shards: Sharded::new(HashMap::new) }
    }

    /// Applies a server's report; a report of an older time or incarnation is ignored.
    pub fn report(&self, server: &HostName, report: ReportedLoad) {
        self.update(server, |load| load.report(report));
    }

    /// Counts an attempt that is being dispatched to a server.
    pub fn sent(&self, server: &HostName, attempt: SentAttempt) {
        self.update(server, |load| load.sent(attempt));
    }

    /// Records an attempt's first token, which ends its prefill.
    pub fn first_token(&self, server: &HostName, attempt_id: &AttemptId, now_ms: u64) {
        self.update(server, |load| load.first_token(attempt_id, now_ms));
    }

    /// Removes an attempt that ended, with or without a complete answer.
    pub fn finished(&self, server: &HostName, attempt_id: &AttemptId) {
        self.update(server, |load| load.finished(attempt_id));
    }

    /// Removes the state of a server that crashed or left.
    pub fn remove(&self, server: &HostName) {
        self.shards.lock(server).remove(server);
    }

    /// Estimates a server's load; an unknown server counts as idle, with a default prefill rate.
    pub fn estimate(&self, server: &HostName, now_ms: u64) -> LoadEstimate {
        match self.shards.lock(server).get(server) {
            Some(load) => load.estimate(now_ms),
            None => ServerLoad::default().estimate(now_ms),
        }
    }

    fn update(&self, server: &HostName, change: impl FnOnce(&mut ServerLoad)) {
        let mut shard = self.shards.lock(server);
        match shard.get_mut(server) {
            Some(load) => change(load),
            None => change(shard.entry(server.clone()).or_default()),
        }
    }
}
