//! Load of backend servers, corrected for the lag of their reports.

mod server;

use crate::load::server::ServerLoad;
use protocol::ids::{AttemptId, HostName, Incarnation};
use sharded::Sharded;
use std::collections::HashMap;

pub use crate::load::server::{DEFAULT_PREFILL_TOKENS_PER_S, REPORT_LIFE_MS};

/// Holds a server's own report.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReportedLoad {
    /// The server's incarnation.
    pub incarnation: Incarnation,
    /// Attempts that are generating.
    pub running: u32,
    /// Attempts that wait.
    pub queued: u32,
    /// Prompt tokens still to be computed over all attempts.
    pub queued_prompt_tokens: u64,
    /// The rate at which prompt tokens are computed.
    pub prefill_tokens_per_s: u64,
    /// The moment that the report describes.
    pub as_of_ms: u64,
}

/// Describes an attempt sent to a server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SentAttempt {
    /// The attempt.
    pub attempt_id: AttemptId,
    /// The prompt tokens that the server has to compute.
    pub recomputed_tokens: u64,
    /// When the first token is expected, counted from `sent_at_ms`.
    pub expected_first_token_ms: u64,
    /// When the attempt reaches the server's queue: after the imports that come before it, or a
    /// report made during the imports would be taken to include it.
    pub sent_at_ms: u64,
}

/// Estimates a server's load at one moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadEstimate {
    /// The time until the prompt tokens that wait are computed.
    pub queue_ms: f64,
    /// The rate at which prompt tokens are computed.
    pub prefill_tokens_per_s: u64,
    /// The attempts on the server, generating and waiting.
    pub attempts: u32,
    /// Whether a recent report stands behind the estimate.
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
    /// Creates a table that knows no server.
    pub fn new() -> Self {
        Self { shards: Sharded::new(HashMap::new) }
    }

    /// Takes in a server's report; one of an older moment or incarnation changes nothing.
    pub fn report(&self, server: &HostName, report: ReportedLoad) {
        self.update(server, |load| load.report(report));
    }

    /// Counts an attempt that is being sent to a server.
    pub fn sent(&self, server: &HostName, attempt: SentAttempt) {
        self.update(server, |load| load.sent(attempt));
    }

    /// Notes an attempt's first token, which ends its prompt work.
    pub fn first_token(&self, server: &HostName, attempt_id: &AttemptId, now_ms: u64) {
        self.update(server, |load| load.first_token(attempt_id, now_ms));
    }

    /// Drops an attempt that ended, whether with its whole answer or not.
    pub fn finished(&self, server: &HostName, attempt_id: &AttemptId) {
        self.update(server, |load| load.finished(attempt_id));
    }

    /// Drops all that is known of a server that died or left.
    pub fn forget(&self, server: &HostName) {
        self.shards.lock(server).remove(server);
    }

    /// Estimates a server's load; an unknown server counts as idle at a default rate.
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
