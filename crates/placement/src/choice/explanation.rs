//! Explains a choice to operators.

use super::cost::Cost;
use protocol::ids::HostName;
use serde::Serialize;
use settings::process::PlacementPolicy;
use std::fmt;

/// The maximum number of servers that an explanation lists.
const MAX_LISTED_SERVERS: usize = 4;

/// The reason why a server was chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// It has the lowest expected time to first token.
    #[serde(rename = "least_first_token")]
    LowestFirstTokenTime,
    /// It is the rendezvous winner for the prompt among servers of equal cost and bounded load.
    PreferredAmongEqual,
    /// The request is a suspect, and this server has the fewest other attempts.
    #[serde(rename = "fewest_others")]
    FewestOtherAttempts,
    /// A baseline policy chose it without comparing costs.
    Baseline,
}

impl Reason {
    const fn as_str(self) -> &'static str {
        match self {
            Self::LowestFirstTokenTime => "lowest expected time to first token",
            Self::PreferredAmongEqual => {
                "rendezvous winner for the prompt among servers of equal cost"
            }
            Self::FewestOtherAttempts => "fewest other attempts, because the request is a suspect",
            Self::Baseline => "chosen by a baseline policy without comparing costs",
        }
    }
}

/// Explains a choice.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Explanation {
    /// The policy.
    pub policy: PlacementPolicy,
    /// Why the server was chosen.
    pub reason: Reason,
    /// The number of servers that were compared.
    pub compared: usize,
    /// The chosen server, followed by the others with the lowest costs.
    pub considered: Vec<ServerCost>,
}

/// Holds the cost of one server and its components.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ServerCost {
    /// The server.
    pub server: HostName,
    /// The total by which servers are compared, in milliseconds.
    pub total_ms: f64,
    /// The network round trip.
    pub path_ms: f64,
    /// The wait in the server's queue.
    pub queue_ms: f64,
    /// The time for block imports.
    pub import_ms: f64,
    /// The time for the prefill of the remaining tokens.
    pub recompute_ms: f64,
    /// The penalty for the link's price and for a failure domain where the request failed before.
    pub penalty_ms: f64,
    /// The number of leading blocks in the server's memory.
    #[serde(rename = "cached_pieces")]
    pub cached_blocks: usize,
    /// The number of blocks that would be imported.
    #[serde(rename = "imported_pieces")]
    pub imported_blocks: usize,
    /// The number of attempts on the server, running and queued.
    pub attempts: u32,
}

impl Explanation {
    pub(super) fn new(costs: &[Cost<'_>], chosen: usize, reason: Reason) -> Self {
        Self {
            policy: PlacementPolicy::Camphorward,
            reason,
            compared: costs.len(),
            considered: ranked(costs, chosen).map(ServerCost::new).collect(),
        }
    }

    pub(super) fn of_baseline(policy: PlacementPolicy, cost: &Cost<'_>) -> Self {
        let considered = vec![ServerCost::new(cost)];
        Self { policy, reason: Reason::Baseline, compared: 1, considered }
    }
}

/// Returns the chosen cost, followed by the lowest of the other costs.
fn ranked<'a, 'b>(
    costs: &'a [Cost<'b>],
    chosen: usize,
) -> impl Iterator<Item = &'a Cost<'b>> + use<'a, 'b> {
    let mut others: Vec<&Cost<'b>> = Vec::with_capacity(costs.len());
    others.extend(costs.iter().enumerate().filter(|(i, _)| *i != chosen).map(|(_, cost)| cost));
    let listed = MAX_LISTED_SERVERS.saturating_sub(1).min(others.len());
    let by_total = |a: &&Cost<'_>, b: &&Cost<'_>| a.total_ms().total_cmp(&b.total_ms());
    if listed < others.len() {
        others.select_nth_unstable_by(listed, by_total);
        others.truncate(listed);
    }
    others.sort_by(by_total);
    std::iter::once(&costs[chosen]).chain(others)
}

impl ServerCost {
    fn new(cost: &Cost<'_>) -> Self {
        Self {
            server: cost.candidate.host.clone(),
            total_ms: cost.total_ms(),
            path_ms: cost.path_ms,
            queue_ms: cost.load.queue_ms,
            import_ms: cost.prefill.import_ms,
            recompute_ms: cost.prefill.recompute_ms,
            penalty_ms: cost.penalty_ms,
            cached_blocks: cost.prefill.cached_blocks,
            imported_blocks: cost.prefill.imported_blocks,
            attempts: cost.load.attempts,
        }
    }
}

impl fmt::Display for Explanation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}; compared {} servers", self.reason.as_str(), self.compared)?;
        self.considered.iter().try_for_each(|considered| write!(f, "\n{considered}"))
    }
}

impl fmt::Display for ServerCost {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}: {:.1} ms = path {:.1} + queue {:.1} + import {:.1} + recompute {:.1}",
            self.server,
            self.total_ms,
            self.path_ms,
            self.queue_ms,
            self.import_ms,
            self.recompute_ms
        )?;
        if self.penalty_ms > 0.0 {
            write!(f, " + penalty {:.1}", self.penalty_ms)?;
        }
        write!(
            f,
            " ({} blocks cached, {} imported, {} attempts)",
            self.cached_blocks, self.imported_blocks, self.attempts
        )
    }
}
