//! The search for the server of an attempt, which runs beside the attempts in progress.

use crate::node::Node;
use crate::quarantine::{self, PlacementConstraint};
use crate::reply::Failure;
use crate::run::Job;
use crate::run::place::{self, Placed};
use placement::chain::PrefixChain;
use protocol::ids::{AttemptId, HostName};
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;

/// What an attempt's server is searched with.
pub(crate) struct Search {
    pub(crate) node: Arc<Node>,
    pub(crate) job: Arc<Job>,
    pub(crate) chain: Arc<PrefixChain>,
    pub(crate) attempt_id: AttemptId,
    /// The servers that have failed the request or are silent.
    pub(crate) excluded: Vec<HostName>,
    pub(crate) deadline_at_ms: u64,
}

/// A server that was found.
pub(crate) struct Found {
    pub(crate) constraint: PlacementConstraint,
    pub(crate) placed: Placed,
    /// The servers that are still excluded.
    pub(crate) excluded: Vec<HostName>,
}

/// The result of a search; `None` if no server is left.
pub(crate) type SearchResult = Result<Option<Found>, Failure>;

/// A search in progress.
pub(crate) struct RunningSearch {
    pub(crate) attempt_id: AttemptId,
    /// Whether a retry was already taken from the budget for the attempt.
    pub(crate) is_granted: bool,
    node: Arc<Node>,
    job: Arc<Job>,
    task: JoinHandle<SearchResult>,
}

impl Search {
    /// Starts the search after a delay.
    pub(crate) fn start(self, delay: Duration, is_granted: bool) -> RunningSearch {
        RunningSearch {
            attempt_id: self.attempt_id.clone(),
            is_granted,
            node: Arc::clone(&self.node),
            job: Arc::clone(&self.job),
            task: tokio::spawn(async move {
                tokio::time::sleep(delay).await;
                self.run().await
            }),
        }
    }

    /// Finds a server, unless the request is quarantined. A server that the request is pinned to may
    /// have crashed since, so the check is repeated.
    async fn run(mut self) -> SearchResult {
        loop {
            let (node, job) = (&self.node, &self.job);
            let (excluded, deadline_at_ms) = (&self.excluded, self.deadline_at_ms);
            let constraint =
                quarantine::check(node, job, &self.attempt_id, excluded, deadline_at_ms).await?;
            match self.place(&constraint).await {
                Ok(placed) => {
                    let excluded = self.excluded;
                    return Ok(Some(Found { constraint, placed, excluded }));
                }
                Err(_) if constraint.required_server.is_none() => return Ok(None),
                Err(_) => tokio::time::sleep(quarantine::PINNED_RETRY_DELAY).await,
            }
        }
    }

    /// Finds a server; once every server has failed the request, all are eligible again.
    async fn place(&mut self, constraint: &PlacementConstraint) -> Result<Placed, Failure> {
        let (node, job) = (&self.node, &self.job);
        let excluded = constraint.excluded(node, job, &self.excluded);
        let placed = place::place(node, job, &self.chain, &self.attempt_id, &excluded).await;
        if placed.is_ok() || self.excluded.is_empty() || constraint.required_server.is_some() {
            return placed;
        }
        self.excluded.clear();
        place::place(node, job, &self.chain, &self.attempt_id, &self.excluded).await
    }
}

impl RunningSearch {
    /// Waits for the result.
    pub(crate) async fn result(&mut self) -> SearchResult {
        // A search that panicked has found no server.
        (&mut self.task).await.unwrap_or(Ok(None))
    }

    /// Gives up the search; a server that it finds is not counted as loaded.
    pub(crate) fn abandon(self) {
        tokio::spawn(async move {
            if let Ok(Ok(Some(found))) = self.task.await {
                place::withdraw(&self.node, &self.job.service, &self.attempt_id, &found.placed);
            }
        });
    }
}
