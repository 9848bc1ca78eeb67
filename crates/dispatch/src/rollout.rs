//! Rollout of new weights: which server loads which version next.
//!
//! Load pattern: newer weights are named while traffic runs, sometimes twice within seconds; each
//! server that loads takes no new requests, and a load takes longer while many load at once.

use crate::registry::ServerId;
use protocol::ids::FailureDomain;
use smallvec::SmallVec;
use std::collections::BTreeMap;

/// The share of a service's servers that are ordered at once. Runs end first, which takes longer
/// than the load itself, so that about half of these load at the same time.
const LOADING_SHARE: f64 = 0.34;
/// The least number of servers that are ordered at once.
const MIN_LOADING: usize = 2;
/// After how long an order that brought nothing is given again, in milliseconds.
const COMMAND_RETRY_MS: u64 = 1_200;
/// The part of the time allowed for new weights after which no request goes to older ones; what is
/// left covers requests that wait at a server.
const OLD_WEIGHTS_SHARE: f64 = 0.68;
/// The part of the time allowed after which a request that still waits at a server with older
/// weights is taken back; the rest covers the way there.
const ABORT_SHARE: f64 = 0.96;

/// What the steward knows of a server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServerState {
    /// The server.
    pub id: ServerId,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// The version that it has.
    pub version: u64,
    /// Whether it carries out an order.
    pub is_busy: bool,
    /// The orders that it has accepted in this life, if it has told.
    pub commands_accepted: Option<u64>,
    /// When it was last ordered, in this life.
    pub commanded_ms: Option<u64>,
    /// The steward's own requests in flight there.
    pub in_flight: usize,
}

/// Says when a steward may first order a server: at once if it never took an order in its life, else
/// when the orders of the steward before lie far enough back.
pub const fn may_command_at_ms(commands_accepted: u64, acquired_ms: u64, handover_ms: u64) -> u64 {
    if commands_accepted == 0 { acquired_ms } else { acquired_ms + handover_ms }
}

/// What the steward does next for one model.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Step {
    /// Servers to order the newest version from.
    pub command: Vec<ServerId>,
    /// Servers to ask for their state.
    pub query: Vec<ServerId>,
}

/// Decides the next step of a rollout to `newest`; `None` when every server has it.
pub fn next_step(servers: &[ServerState], newest: u64, now_ms: u64) -> Option<Step> {
    let outstanding: Vec<&ServerState> =
        servers.iter().filter(|server| server.version < newest).collect();
    if outstanding.is_empty() {
        return None;
    }
    let is_loading = |server: &ServerState| {
        server.is_busy || server.commanded_ms.is_some_and(|at_ms| now_ms < at_ms + COMMAND_RETRY_MS)
    };
    let (loading, mut waiting): (Vec<&ServerState>, Vec<&ServerState>) =
        outstanding.into_iter().partition(|server| is_loading(server));
    let mut free_slots = max_loading(servers.len()).saturating_sub(loading.len());
    let mut loading_by_domain: BTreeMap<&FailureDomain, usize> = BTreeMap::new();
    for server in &loading {
        *loading_by_domain.entry(&server.domain).or_default() += 1;
    }
    let mut step = Step::default();
    step.query.extend(loading.iter().map(|server| server.id.clone()));
    // Servers that have not told how many orders they accepted are asked before their turn.
    let unqueried = waiting.iter().filter(|server| server.commands_accepted.is_none());
    step.query.extend(unqueried.map(|server| server.id.clone()));
    waiting.retain(|server| server.commands_accepted.is_some());
    while free_slots > 0 {
        let key = |server: &&&ServerState| {
            let there = loading_by_domain.get(&server.domain).copied().unwrap_or(0);
            (there, server.in_flight, server.id.clone())
        };
        let Some(next) = waiting.iter().min_by_key(key).copied() else { break };
        *loading_by_domain.entry(&next.domain).or_default() += 1;
        waiting.retain(|server| server.id != next.id);
        step.command.push(next.id.clone());
        free_slots -= 1;
    }
    Some(step)
}

fn max_loading(servers: usize) -> usize {
    ((servers as f64 * LOADING_SHARE) as usize).max(MIN_LOADING)
}

/// The weight versions named for a model, and when each was learnt of.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct TargetVersions {
    /// Increasing versions, each with the time from which its bound counts.
    versions: SmallVec<[(u64, u64); 2]>,
}

impl TargetVersions {
    /// Notes a version; says whether it is the newest.
    pub fn add(&mut self, version: u64, since_ms: u64) -> bool {
        let is_newest = self.newest().is_none_or(|newest| version > newest);
        if is_newest {
            self.versions.push((version, since_ms));
        }
        is_newest
    }

    /// Corrects when a version was named.
    pub fn set_since_ms(&mut self, version: u64, since_ms: u64) {
        if let Some(entry) = self.versions.iter_mut().find(|entry| entry.0 == version) {
            entry.1 = since_ms;
        }
    }

    /// Returns the time from which the newest version's bound counts.
    pub fn newest_since_ms(&self) -> Option<u64> {
        self.versions.last().map(|(_, since_ms)| *since_ms)
    }

    /// Returns when a request that waits at a server with a version is taken back; `None` if no
    /// newer version is named.
    pub fn abort_at_ms(&self, version: u64, allowed_ms: u64) -> Option<u64> {
        let next = self.versions.iter().find(|(versions, _)| *versions > version);
        next.map(|(_, since_ms)| since_ms + (ABORT_SHARE * allowed_ms as f64) as u64)
    }

    /// Returns the newest version.
    pub fn newest(&self) -> Option<u64> {
        self.versions.last().map(|(version, _)| *version)
    }

    /// Returns the oldest version that requests may still go to, where `allowed_ms` is the
    /// installation's bound.
    pub fn oldest_usable(&self, allowed_ms: u64, now_ms: u64) -> u64 {
        let bound_ms = (OLD_WEIGHTS_SHARE * allowed_ms as f64) as u64;
        let due = self.versions.iter().filter(|(_, since_ms)| now_ms >= since_ms + bound_ms);
        due.map(|(version, _)| *version).max().unwrap_or(0)
    }
}
